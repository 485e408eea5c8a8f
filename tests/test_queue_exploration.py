"""Orders of messages about one job, explored to a bound.

``python -m tests.exploration --depth N`` explores orders with more faults.
"""

from dataclasses import replace

import pytest

from flamingoway.queues import records
from flamingoway.queues.mirror import Mirror
from flamingoway.queues.table import JobTable
from tests.exploration import (
    OLD_BUILD,
    OWN_CANCELLATION,
    RETENTION,
    SCENARIOS,
    ReadOnlyCancelIntake,
    explore,
    run_order,
)

BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}


class ReportedRevisionMirror(Mirror):
    """Takes a revision that is only reported for included, as before c255ca6."""

    def _apply(self, changes):
        super()._apply(changes)
        self._revision = max(self._revision, changes.revision)

    def _note_reported(self, revision, began):
        self._revision = max(self._revision, revision)


class ReceiptAgeMirror(Mirror):
    """Counts the age of the copy from an answer, as before 1d6d04a."""

    async def _follow_once(self, wait_s):
        await super()._follow_once(wait_s)
        self._confirmed_at = self._clock()


class ForgetfulTable(JobTable):
    """Drops a cancellation that is newer than a range read, as before 963c638."""

    def _keys(self, revision):
        jobs = [job for job in self._jobs.values() if job.revision <= revision]
        keys = [records.JOB_PREFIX + job.job_id for job in jobs]
        return [*super()._keys(revision), *keys]


def require_none(report):
    for order in report.failures:
        pytest.fail(order.trace(report.scenario), pytrace=False)
    assert report.complete
    assert not report.outcomes["long"]
    assert not report.outcomes["diverged"]


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_no_order_breaks_a_rule(scenario):
    require_none(explore(scenario))


UNDONE_FIXES = [
    ("writes", {"intake": ReadOnlyCancelIntake}),
    ("repeated submission", {"intake": ReadOnlyCancelIntake}),
    ("kill", {"intake": ReadOnlyCancelIntake}),
    ("gap", {"mirror": ReportedRevisionMirror}),
    ("pause", {"mirror": ReceiptAgeMirror}),
    ("slow read", {"table": ForgetfulTable}),
]


@pytest.mark.parametrize("name, classes", UNDONE_FIXES)
def test_exploration_finds_an_undone_fix(name, classes):
    report = explore(BY_NAME[name].with_classes(**classes))
    assert any("UNASKED" in v for o in report.failures for v in o.violations)


def test_a_forwarded_cancellation_is_not_acknowledged_by_an_old_build():
    """Guards against a 410 of a process that stores no cancellation."""
    require_none(explore(OLD_BUILD))


def test_an_expired_cancellation_is_not_deleted_with_a_later_job():
    """Guards against deletions that were decided before the job was stored."""
    require_none(explore(RETENTION))


def test_a_leader_does_not_start_a_job_whose_cancellation_it_has_stored():
    """Guards against starts until the leader's watch shows its own write."""
    require_none(explore(OWN_CANCELLATION))


def test_an_order_is_repeated_alike():
    scenario = replace(BY_NAME["kill"], max_faults=1)
    orders = [run_order(scenario) for _ in range(2)]
    assert orders[0].actions == orders[1].actions
    assert orders[0].lines == orders[1].lines
