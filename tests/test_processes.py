"""Failure tests with separate processes: kills, pauses and store outages.

Each test starts the stand-ins of one deployment and entry processes with short
leases, so that a takeover fits into seconds.
"""

import json
import signal
import threading
import time
import uuid

import pytest
import yaml
from ledgers import overlapping_attempts, repeated_requests, started_tasks

from standins.client import Member, Operator, wait_for_version
from standins.cluster import Cluster, Entry, read_ledger, running_cluster, wait_until
from standins.deployment import EXAMPLES

ENVIRONMENT = "kerbihan-production"
MEMBER = "agency-quimper"
LIMITS = {"task_lease_s": 4.0, "report_interval_s": 1.0, "drain_notice_s": 0.5}
TRACE = {"exporter": "log"}
TAKEOVER_S = 10.0
PROBE_INTERVAL_S = 0.1
# Lag of the stand-in for the VM list, and the time after which a leaving target must
# get no new work.
VM_LAG_S = 0.5
LEAVING_S = 3.0


@pytest.fixture
def cluster():
    """Run the stand-ins and two entry processes with a document in effect."""
    with running_cluster("kerbihan") as running:
        for index in range(2):
            running.start_entry(
                running.deployments[0], index, limits=LIMITS, trace=TRACE
            )
        running.wait_ready()
        promote(running)
        yield running


def promote(cluster: Cluster) -> None:
    operator = Operator(cluster.entries[0].url)
    document = (EXAMPLES / "documents" / "kerbihan-planner.yaml").read_bytes()
    tried = operator.try_document("kerbihan-trial", document)
    promoted = operator.promote("kerbihan-trial", ENVIRONMENT, tried.body["digest"])
    assert promoted.status == 200, promoted
    urls = [entry.url for entry in cluster.entries]
    wait_for_version(urls, ENVIRONMENT, promoted.body["version"])


def member_at(entry: Entry) -> Member:
    return Member(entry.url, ENVIRONMENT, MEMBER)


def spans_of(cluster: Cluster, trace_id: str) -> dict[str, str]:
    """Return the process that logged each span of a trace, by span name."""
    found = {}
    for entry in cluster.entries:
        for line in entry.process.log.read_text().splitlines():
            record = json.loads(line) if line.startswith("{") else {}
            if record.get("trace_id") == trace_id and "span" in record:
                found[record["span"]["name"]] = record["process"]
    return found


def owner_and_other(cluster: Cluster) -> tuple[Entry, Entry]:
    """Return the entry process that owns the shard and the other one."""
    found: list[Entry] = []

    def search() -> bool:
        status = Operator(cluster.entries[0].url).status()
        for process in status.get("processes", []):
            if "brittany" in process.get("shards", {}):
                found.extend(
                    entry
                    for entry in cluster.entries
                    if entry.process.name == process["process_id"]
                )
        return bool(found)

    wait_until(search, 20, "an owner of the shard")
    other = next(entry for entry in cluster.entries if entry is not found[0])
    return found[0], other


def submit_all(member: Member, count: int, run_ms: int) -> list[str]:
    """Submit fit plans and return their job ids; all must be accepted."""
    ids = []
    for _ in range(count):
        answer = member.submit("fit-plan", {"run_ms": run_ms, "result": {"n": 1}})
        assert answer.status == 202, answer
        ids.append(answer.body["job_id"])
    return ids


def all_started(ledger, ids: list[str]) -> bool:
    """Tell whether a task of every job was started."""
    ran = {task_id.split("/")[0] for task_id in started_tasks(read_ledger(ledger))}
    return set(ids) <= ran


def assert_jobs_ran_once(cluster: Cluster, ids: list[str]) -> None:
    """Check that the task of every job ran, and never in two attempts at once."""
    path = cluster.worker_ledger(cluster.deployments[0])
    assert overlapping_attempts(read_ledger(path)) == []
    assert all_started(path, ids)


def test_owner_killed_while_work_is_queued_and_running(cluster):
    """Guards against accepted jobs that a takeover loses or runs twice."""
    owner, other = owner_and_other(cluster)
    member = member_at(other)
    ids = submit_all(member, 30, run_ms=2500)
    owner.process.send(signal.SIGKILL)
    states = {member.wait(job_id)["state"] for job_id in ids}
    assert states == {"succeeded"}
    assert_jobs_ran_once(cluster, ids)


def test_work_starts_again_soon_after_the_owner_died(cluster):
    """Guards against a takeover that takes longer than its bound."""
    owner, other = owner_and_other(cluster)
    member = member_at(other)
    owner.process.send(signal.SIGKILL)
    killed = time.monotonic()
    accepted: list[str] = []

    def accept() -> bool:
        answer = member.submit("fit-plan", {"run_ms": 10})
        if answer.status == 202:
            accepted.append(answer.body["job_id"])
        return answer.status == 202

    wait_until(accept, TAKEOVER_S, "a submission accepted after the takeover")
    assert member.wait(accepted[0], TAKEOVER_S)["state"] == "succeeded"
    assert time.monotonic() - killed < TAKEOVER_S


def test_owner_paused_beyond_its_lease_and_resumed(cluster):
    """Guards against a resumed former owner that starts work a second time."""
    owner, other = owner_and_other(cluster)
    member = member_at(other)
    ids = submit_all(member, 20, run_ms=3000)
    owner.process.send(signal.SIGSTOP)
    try:
        wait_until(
            lambda: member.submit("fit-plan", {"run_ms": 10}).status == 202,
            TAKEOVER_S + 5,
            "a submission accepted by the new owner",
        )
    finally:
        owner.process.send(signal.SIGCONT)
    states = {member.wait(job_id)["state"] for job_id in ids}
    assert states == {"succeeded"}
    assert_jobs_ran_once(cluster, ids)


def test_a_submission_held_by_a_paused_owner_does_not_run_after_its_cancellation(
    cluster,
):
    """Guards against a cancellation that overtakes the submission of its job."""
    owner, other = owner_and_other(cluster)
    member = member_at(other)
    key = str(uuid.UUID(int=1, version=4))
    owner.process.send(signal.SIGSTOP)
    try:
        held = member.submit("fit-plan", {"run_ms": 10}, key=key)
        assert held.status == 504, held
        job_id = held.body["job_id"]
        wait_until(
            lambda: member.submit("fit-plan", {"run_ms": 10}).status == 202,
            TAKEOVER_S + 5,
            "a submission accepted by the new owner",
        )
        cancelled = member.cancel(job_id)
    finally:
        owner.process.send(signal.SIGCONT)
    assert (cancelled.status, cancelled.body["ran"]) == (404, "no")
    time.sleep(2.0)
    repeated = member.submit("fit-plan", {"run_ms": 10}, key=key)
    assert (repeated.status, repeated.body["name"]) == (409, "CANCELLED_BEFORE")
    assert member_at(owner).cancel(job_id).status == 404
    ledger = cluster.worker_ledger(cluster.deployments[0])
    assert not all_started(ledger, [job_id])


def test_one_trace_covers_every_process_of_a_job(cluster):
    """Guards against a process that does not pass the trace context on."""
    owner, other = owner_and_other(cluster)
    answer = member_at(other).submit("fit-plan", {"run_ms": 10})
    member_at(other).wait(answer.body["job_id"])
    spans = spans_of(cluster, answer.body["trace_id"])
    assert spans == {
        "ingress": other.process.name,
        "owner": owner.process.name,
        "start": owner.process.name,
    }


def test_store_down_keeps_checks_and_running_work(cluster):
    """Guards against work that stops, or is accepted in memory, without the store."""
    _owner, other = owner_and_other(cluster)
    member = member_at(other)
    ids = submit_all(member, 10, run_ms=9000)
    ledger = cluster.worker_ledger(cluster.deployments[0])
    wait_until(lambda: all_started(ledger, ids), 10, "all tasks started")
    cluster.store_control(down=True)
    time.sleep(2 * LIMITS["task_lease_s"])
    check = member.check("slot-check", {"service_ms": 1})
    refused = member.submit("fit-plan", {"run_ms": 10})
    cluster.store_control(down=False)
    assert check.status == 200
    assert refused.status == 503
    assert refused.body["ran"] == "no"
    assert {member.wait(job_id)["state"] for job_id in ids} == {"succeeded"}
    entries = read_ledger(ledger)
    assert overlapping_attempts(entries) == []
    starts = [entry for entry in entries if entry["event"] == "start"]
    repeated = [entry for entry in starts if entry["attempt"] > 1]
    assert repeated == [], "a lease was not renewed during the outage"


def test_lost_answers_of_the_store_duplicate_no_job(cluster):
    """Guards against a write that is repeated blindly after a lost answer."""
    _owner, other = owner_and_other(cluster)
    member = member_at(other)
    accepted = []
    for index in range(10):
        cluster.store_control(drop=1, drop_mode="error")
        key = str(uuid.UUID(int=index + 1, version=4))
        answer = member.submit("fit-plan", {"run_ms": 50}, key=key)
        assert answer.status in (202, 504), answer
        accepted.append(answer.body["job_id"])
    assert {member.wait(job_id)["state"] for job_id in accepted} == {"succeeded"}
    assert len(set(accepted)) == 10
    assert len(member.jobs().body["jobs"]) == 10
    assert_jobs_ran_once(cluster, accepted)


def test_all_entry_processes_killed_and_started_again(cluster):
    """Guards against state that is kept only in the entry processes."""
    member = member_at(cluster.entries[0])
    ids = submit_all(member, 20, run_ms=3000)
    for entry in cluster.entries:
        entry.process.send(signal.SIGKILL)
    for entry in cluster.entries:
        entry.process.popen.wait()
        cluster.restart_entry(entry)
    cluster.wait_ready()
    wait_until(lambda: member.jobs().status == 200, TAKEOVER_S, "an owner")
    assert {member.wait(job_id)["state"] for job_id in ids} == {"succeeded"}
    assert_jobs_ran_once(cluster, ids)


def test_two_operators_race_at_two_processes(cluster):
    """Guards against a document overwritten by an operator who has not seen it."""
    document = (EXAMPLES / "documents" / "kerbihan-planner.yaml").read_bytes()
    answers = []

    def accept(entry: Entry, comment: bytes) -> None:
        headers = {"If-Match": "1"}
        path = "environments/kerbihan-trial/try"
        operator = Operator(entry.url)
        answers.append(operator.call("POST", path, document + comment, headers))

    threads = [
        threading.Thread(target=accept, args=(entry, b"# change %d\n" % index))
        for index, entry in enumerate(cluster.entries)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(answer.status for answer in answers) == [200, 409]
    urls = [entry.url for entry in cluster.entries]
    wait_for_version(urls, "kerbihan-trial", 2)


def test_process_restarted_without_the_store_serves_checks(cluster):
    """Guards against a process that can get documents only from the store."""
    first, second = cluster.entries
    settings = yaml.safe_load(first.settings.read_text())
    peer_port = yaml.safe_load(second.settings.read_text())["peer_port"]
    settings["peers"] = [f"127.0.0.1:{peer_port}"]
    first.settings.write_text(yaml.safe_dump(settings))
    cluster.store_control(down=True)
    first.process.send(signal.SIGKILL)
    first.process.popen.wait()
    cluster.restart_entry(first)
    wait_until(lambda: first.ready, 20, "ready without the store")
    answer = member_at(first).check("slot-check", {"service_ms": 1})
    cluster.store_control(down=False)
    assert answer.status == 200


class Balancer:
    """Sends checks to processes that are ready, as the platform's balancer does.

    A process gets no checks while its readiness check fails. A refused connection is
    not a failure, because nothing of the request was sent.
    """

    def __init__(self, cluster: Cluster):
        self._entries = cluster.entries
        self._ready: list[Entry] = list(cluster.entries)
        self._stop = threading.Event()
        self._threads = [threading.Thread(target=self._probe)]
        self._threads += [
            threading.Thread(target=self._send_checks, args=(n,)) for n in range(4)
        ]
        self.answers: list[tuple[int, str]] = []
        self.failures: list[str] = []

    def __enter__(self) -> "Balancer":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_exc) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _probe(self) -> None:
        while not self._stop.wait(PROBE_INTERVAL_S):
            self._ready = [entry for entry in self._entries if entry.ready]

    def _send_checks(self, turn: int) -> None:
        while not self._stop.is_set():
            turn += 1
            ready = self._ready
            if ready:
                self._send_check(ready[turn % len(ready)])

    def _send_check(self, entry: Entry) -> None:
        try:
            answer = member_at(entry).check("slot-check", {"service_ms": 20})
        except OSError as exc:
            if not isinstance(getattr(exc, "reason", exc), ConnectionRefusedError):
                self.failures.append(repr(exc))
            return
        self.answers.append((answer.status, answer.body.get("message", "")))


def test_rolling_restart_loses_no_check(cluster):
    """Guards against requests cut off or refused by a planned stop."""
    codes = []
    with Balancer(cluster) as balancer:
        for entry in cluster.entries:
            codes.append(entry.process.stop())
            cluster.restart_entry(entry)
            wait_until(lambda e=entry: e.ready, 20, "restarted process ready")
            time.sleep(2 * PROBE_INTERVAL_S)
    assert codes == [0, 0]
    assert balancer.failures == []
    assert {status for status, _ in balancer.answers} == {200}, set(balancer.answers)
    ledger = read_ledger(cluster.target_ledger(cluster.deployments[0]))
    assert repeated_requests(ledger) == []
    assert len(ledger) == len(balancer.answers)


def test_a_killed_entry_process_repeats_no_check(cluster):
    """Guards against a check that runs twice because its entry process was killed."""
    with Balancer(cluster) as balancer:
        wait_until(lambda: len(balancer.answers) > 100, 20, "some answers")
        killed = cluster.entries[0]
        killed.process.send(signal.SIGKILL)
        killed.process.popen.wait()
        cluster.restart_entry(killed)
        wait_until(lambda: killed.ready, 20, "restarted process ready")
    answered = [status for status, _ in balancer.answers if status == 200]
    refused = [text for status, text in balancer.answers if status != 200]
    assert refused == []
    ledger = read_ledger(cluster.target_ledger(cluster.deployments[0]))
    # A caller whose connection broke does not know whether its check ran.
    unknown = len(balancer.failures)
    assert len(answered) <= len(ledger) <= len(answered) + unknown


def test_rolling_restart_of_targets_loses_no_check(cluster):
    """Guards against new work for a leaving target and checks lost when it stops."""
    deployment = cluster.deployments[0]
    with Balancer(cluster) as balancer:
        wait_until(lambda: len(balancer.answers) > 50, 20, "some answers")
        for group in cluster.target_groups:
            cluster.set_state(group, "leaving")
            time.sleep(VM_LAG_S + LEAVING_S)
            last_new = group_entries(cluster, group)
            time.sleep(1.0)
            assert group_entries(cluster, group) == last_new
            group.process.stop()
            cluster.start_targets(group)
            cluster.set_state(group, "live")
            wait_until(
                lambda g=group, n=last_new: group_entries(cluster, g) > n,
                20,
                "new work after the return",
            )
    assert balancer.failures == []
    assert {status for status, _ in balancer.answers} == {200}, set(balancer.answers)
    ledger = read_ledger(cluster.target_ledger(deployment))
    assert repeated_requests(ledger) == []
    assert len(ledger) == len(balancer.answers)


def group_entries(cluster: Cluster, group) -> int:
    """Return how many checks the targets of a group have run."""
    ledger = read_ledger(cluster.target_ledger(group.deployment))
    return sum(entry["port"] in group.ports for entry in ledger)
