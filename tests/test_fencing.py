"""Guards against placing a task again while its first start may still run."""

import pytest

from flamingoway.core.fencing import LeaseTerms, WorkerLease

TERMS = LeaseTerms(lease_s=10.0, drift=0.1, horizon_s=100.0)

# Time of the first report, of the last acknowledgement and of the confirmation that
# the former owner is dead or deposed; earliest safe time of a second placement.
CASES = {
    "no contact, no confirmation": (None, None, None, 1000 + 110 + 11),
    "no contact, former owner deposed before the takeover": (
        None,
        None,
        990,
        1000 + 11,
    ),
    "no contact, former owner deposed after the takeover": (
        None,
        None,
        1030,
        1030 + 11,
    ),
    "confirmation later than the horizon": (None, None, 9000, 1000 + 110 + 11),
    "reported, nothing acknowledged": (1005, None, None, 1005 + 11),
    "reported and acknowledged": (1005, 1020, None, 1020 + 11),
    "confirmation does not shorten a lease of this owner": (
        1005,
        1020,
        1001,
        1020 + 11,
    ),
}


@pytest.mark.parametrize("case", CASES.values(), ids=CASES.keys())
def test_earliest_safe_time_of_a_second_placement(case):
    reported_at, acked_at, deposed_at, expected = case
    lease = WorkerLease(taken_over_at=1000.0)
    if reported_at is not None:
        lease.note_report(reported_at)
        lease.note_report(reported_at + 50)
    if acked_at is not None:
        lease.note_ack(acked_at)
        lease.note_ack(acked_at - 5)
    assert lease.safe_at(TERMS, deposed_at) == pytest.approx(expected)


@pytest.mark.parametrize("worker_rate", [0.91, 1.0, 1.1])
@pytest.mark.parametrize("delay", [0.0, 4.0])
def test_lease_has_ended_on_any_clock_within_the_permitted_drift(worker_rate, delay):
    """The worker's lease starts when it sends the report and runs on its own clock."""
    sent_at = 1020.0
    lease = WorkerLease(1000.0, reached_at=1001.0)
    lease.note_ack(sent_at + delay)
    worker_end = sent_at + TERMS.lease_s / worker_rate
    assert lease.safe_at(TERMS, None) >= worker_end
