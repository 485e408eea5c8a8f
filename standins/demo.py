"""Runs the whole path with real requests for both deployments.

Starts the platform's stand-ins and entry processes, promotes an environment
document, sends checks, submits, reads and cancels jobs, and kills a shard owner
while jobs run. Then checks the ledgers of the stand-ins for duplicate runs.
"""

import signal
import sys
from collections import Counter

from .client import Member, Operator, wait_for_version
from .cluster import Cluster, Entry, read_ledger, running_cluster, wait_until
from .deployment import EXAMPLES, Deployment

ENTRIES_PER_DEPLOYMENT = 2
CHECKS = 20
JOBS = 12

PLANS = {
    "kerbihan": {
        "member": "agency-quimper",
        "check": "slot-check",
        "jobs": [("fit-plan", 1), ("inventory-sort", 1)],
    },
    "andina": {
        "member": "lab-cusco",
        "check": "viability-check",
        "jobs": [("panel-refresh", 1), ("lineage-plan", 4)],
    },
}


def main() -> int:
    """Run the demonstration; return 0 if every step had its expected outcome."""
    with running_cluster("kerbihan", "andina") as cluster:
        report("started store, VM list, 48 workers and 48 targets")
        for index in range(ENTRIES_PER_DEPLOYMENT):
            for deployment in cluster.deployments:
                cluster.start_entry(deployment, index)
        cluster.wait_ready()
        report(f"{len(cluster.entries)} entry processes are ready")
        for deployment in cluster.deployments:
            run_deployment(cluster, deployment)
        compare_ledgers(cluster)
    report("done")
    return 0


def run_deployment(cluster: Cluster, deployment: Deployment) -> None:
    """Run all steps for one deployment."""
    entries = [e for e in cluster.entries if e.region == deployment.region]
    report(f"--- {deployment.name} ({deployment.region})")
    promote(cluster, entries, deployment)
    run_checks(entries, deployment)
    run_jobs(entries, deployment)
    kill_owner(cluster, entries, deployment)


def promote(cluster: Cluster, entries: list[Entry], deployment: Deployment) -> None:
    """Validate a document, try it in trial and promote it to production."""
    operator = Operator(entries[0].url)
    path = EXAMPLES / "documents" / f"{deployment.application}.yaml"
    document = path.read_bytes()
    trial = f"{deployment.name}-trial"
    production = f"{deployment.name}-production"
    expect(operator.validate(trial, document).status == 200, "document is valid")
    tried = operator.try_document(trial, document)
    expect(tried.status == 200, f"tried in {trial}: {tried.body}")
    promoted = operator.promote(trial, production, tried.body["digest"])
    expect(promoted.status == 200, f"promoted to {production}: {promoted.body}")
    urls = [entry.url for entry in cluster.entries]
    seconds = wait_for_version(urls, production, promoted.body["version"])
    report(f"in effect on {len(urls)} entry processes after {seconds:.2f} s")


def run_checks(entries: list[Entry], deployment: Deployment) -> None:
    """Send checks through all entry processes of the deployment."""
    plan = PLANS[deployment.name]
    answered = 0
    for index in range(CHECKS):
        entry = entries[index % len(entries)]
        member = Member(entry.url, f"{deployment.name}-production", plan["member"])
        answer = member.check(plan["check"], {"service_ms": 5, "n": index})
        expect(answer.status == 200, f"check {index}: {answer}")
        answered += 1
    report(f"{answered} {plan['check']} requests answered")


def run_jobs(entries: list[Entry], deployment: Deployment) -> None:
    """Submit jobs, read their results and cancel one."""
    plan = PLANS[deployment.name]
    environment = f"{deployment.name}-production"
    first = Member(entries[0].url, environment, plan["member"])
    second = Member(entries[-1].url, environment, plan["member"])
    for kind, tasks in plan["jobs"]:
        answer = first.submit(kind, {"run_ms": 100, "result": {"ok": True}}, tasks)
        expect(answer.status == 202, f"submit {kind}: {answer}")
        job = second.wait(answer.body["job_id"])
        expect(job["state"] == "succeeded", f"{kind} ended: {job}")
        report(f"{kind} with {tasks} task(s) succeeded")
    answer = first.submit(plan["jobs"][0][0], {"run_ms": 60_000})
    expect(answer.status == 202, f"submit: {answer}")
    second.cancel(answer.body["job_id"])
    job = first.wait(answer.body["job_id"])
    expect(job["state"] == "cancelled", f"cancelled job: {job}")
    report("a running job was cancelled")


def kill_owner(cluster: Cluster, entries: list[Entry], deployment: Deployment) -> None:
    """Kill the shard's owner while jobs run; every job must still succeed."""
    plan = PLANS[deployment.name]
    environment = f"{deployment.name}-production"
    owner = find_owner(entries, deployment)
    other = next(entry for entry in entries if entry is not owner)
    member = Member(other.url, environment, plan["member"])
    kind = plan["jobs"][0][0]
    ids = []
    for _ in range(JOBS):
        answer = member.submit(kind, {"run_ms": 3000, "result": {"ok": True}})
        expect(answer.status == 202, f"submit: {answer}")
        ids.append(answer.body["job_id"])
    owner.process.send(signal.SIGKILL)
    report(f"killed the owner {owner.process.name} with {JOBS} jobs in progress")
    states = Counter(member.wait(job_id)["state"] for job_id in ids)
    expect(states == {"succeeded": JOBS}, f"jobs after the kill: {states}")
    report(f"all {JOBS} jobs succeeded under the new owner")
    cluster.restart_entry(owner)
    cluster.wait_ready()
    report(f"{owner.process.name} restarted and is ready")


def find_owner(entries: list[Entry], deployment: Deployment) -> Entry:
    """Return the entry process that owns the deployment's shard."""
    found: list[Entry] = []

    def search() -> bool:
        status = Operator(entries[0].url).status()
        for process in status.get("processes", []):
            if deployment.region in process.get("shards", {}):
                found.extend(
                    e for e in entries if e.process.name == process["process_id"]
                )
        return bool(found)

    wait_until(search, 20, f"owner of {deployment.region}")
    return found[0]


def compare_ledgers(cluster: Cluster) -> None:
    """Verify that no task attempt started twice and no check ran twice."""
    for deployment in cluster.deployments:
        starts = [
            (entry["task_id"], entry["attempt"])
            for entry in read_ledger(cluster.worker_ledger(deployment))
            if entry["event"] == "start"
        ]
        expect(len(starts) == len(set(starts)), "no attempt started twice")
        checks = read_ledger(cluster.target_ledger(deployment))
        ids = [entry["id"] for entry in checks]
        expect(len(ids) == len(set(ids)), "no check ran twice")
        report(f"{deployment.name}: {len(starts)} task starts, {len(ids)} checks run")


def expect(condition: bool, message: str) -> None:
    """Exit with an error if ``condition`` is false."""
    if not condition:
        raise SystemExit(f"FAILED: {message}")


def report(message: str) -> None:
    """Print one line and flush it."""
    print(message, flush=True)


if __name__ == "__main__":
    sys.exit(main())
