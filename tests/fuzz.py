"""Mutation of recorded messages for every decoder of the queues and the platform.

``python -m tests.fuzz SEED COUNT`` plays inputs by hand. A decoder may raise nothing
but the error of its border; what it accepts goes to a cluster state and its planner.
"""

import copy
import json
import random
import sys

import msgspec
import yaml

from flamingoway import peer, yamlio
from flamingoway.errors import BadRequest, BadSettings
from flamingoway.model import Resources
from flamingoway.platform import wire
from flamingoway.platform.settings import NodeSettings
from flamingoway.queues import records
from flamingoway.queues.limits import check_job
from flamingoway.queues.messages import SubmitRequest
from flamingoway.queues.model import Step, StepJobSpec, StepJobState, WorkerEntry
from flamingoway.queues.session import read_epoch
from flamingoway.queues.table import TableJob
from flamingoway.store import KeyValue
from standins.platform import config
from tests.queue_cluster import ADVISED, Bench

ODD_VALUES = [
    0,
    -1,
    1,
    2**31,
    2**53,
    2**63,
    2**64,
    10**300,
    -(10**300),
    0.5,
    -0.0,
    1e308,
    True,
    None,
    "",
    "x" * 300,
    "\u00b2",
    "\x00\r\n",
    "0.0.0.0:0",
    "127.0.0.1:65536",
    [],
    {},
    [[]],
    {"a": {"b": []}},
]
DEPTHS = (10, 900, 1100, 30_000)
TASK = "00000000000000a1.0.0.0"
JOB = {
    "spec": "x",
    "steps": [
        {"count": 3, "cpu": 500, "memMb": 100, "estRuntimeMs": 900, "gang": True},
        {"count": 2, "cpu": 1, "after": [0], "affinity": "r1", "antiAffinity": 1},
        {"count": 1, "longRunning": True, "mayMiss": 1, "fills": True, "image": "a"},
    ],
    "repeats": 2,
    "firstRunMs": 1000.0,
    "intervalMs": 50.5,
}
WORKER = {
    "service": "s",
    "address": "127.0.0.1:8000",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "capacity": {"cpu": 16000, "memMb": 65536, "gpu": 1},
    "labels": ["a", "r1"],
    "born": 1,
    "seq": 1,
}
REPORT = {
    "clockMs": 482113,
    "born": 1,
    "numRunning": [[TASK, 1, "0bb8", 41, 7], ["a.0.0.1", 2, "", 0.5]],
    "ended": [[58, TASK, 1, "done", ""], [59, "b.0.0.1", 2, "failed", None]],
}
ITEM = {"key": "a/b", "value": "eA==", "revision": 3, "created": 2, "lease": 9}
ITEMS = {"items": [ITEM], "events": [ITEM], "hasMore": False, "storeRevision": 7}
SETTINGS = {
    "nodeName": "n1",
    "ip": "127.0.0.1",
    "zone": "z1",
    "listen": {"front": "127.0.0.1:80", "ready": "127.0.0.1:81"},
    "portRange": [7720, 7735],
    "bounds": {"holdMaxMs": 6000, "graceS": 6, "status_s": 120},
    "limits": {"cpuShare": 0.5, "cores": 2},
    "advice": "127.0.0.1:9",
    "platform": {"address": "127.0.0.1:8", "form": "kv"},
}
SPEC = StepJobSpec("00000000000000a1", "plans", "x", (Step(2, Resources(1, 1)),))
ENTRY = WorkerEntry("w1", "s", "127.0.0.1:8000", "z", Resources(1, 1))
RECORDS = {
    records.JobRecord: records.JobRecord(
        SPEC, 1.0, "n1", records.QueueRecord.of(ADVISED)
    ),
    records.ProgressRecord: records.ProgressRecord(
        StepJobState.RUNNING,
        {"0.0": records.StepProgress([0], {0: [1]}, {1: "c"}, {1: 1500})},
    ),
    records.CancelRecord: records.CancelRecord(1796454136.1),
    records.ProcessRecord: records.ProcessRecord("n1", "127.0.0.1:1", "z"),
    records.LeaderRecord: records.LeaderRecord("n1", 1),
    records.WorkerRecord: records.WorkerRecord(ENTRY, 1, (TASK,)),
}
DECODERS = {}


def decoder(*names):
    """Register a decoder of a message, with a valid one, under its names."""

    def register(function):
        for name in names:
            DECODERS[name] = function
        return function

    return register


def text(value):
    return json.dumps(value).encode()


def packed(value):
    return msgspec.msgpack.encode(value)


class Fuzz:
    """Plays mutated messages against decoders and what is behind them."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.accepted = 0
        self._renew_bench()

    def play(self, name):
        """Play one input of a decoder; return the data."""
        kind, valid = MESSAGES[name]
        if self.rng.random() < 0.7:
            data = self._mutate_value(valid, kind)
        else:
            data = self._mutate_bytes(kind(valid))
        try:
            DECODERS[name](self, data)
        except (BadRequest, BadSettings):
            return data
        self.accepted += 1
        return data

    def _renew_bench(self):
        self.bench = Bench(3)
        self.number = 0

    def _mutate_bytes(self, data):
        data = bytearray(data)
        for _ in range(self.rng.randint(1, 4)):
            position = self.rng.randrange(len(data) + 1)
            change = self.rng.randrange(4)
            if change == 0:
                data[position : position + self.rng.randint(1, 9)] = b""
            elif change == 1:
                data[position:position] = self.rng.randbytes(self.rng.randint(1, 4))
            elif change == 2:
                depth = self.rng.choice(DEPTHS)
                data[position:position] = self.rng.choice([b"[", b'{"a":', b"\x91"]) * (
                    depth
                )
            elif position < len(data):
                data[position] = self.rng.randrange(256)
        return bytes(data)

    def _mutate_value(self, value, kind):
        """Replace, add or remove parts of a message."""
        value = json.loads(json.dumps(value))
        for _ in range(self.rng.randint(1, 3)):
            places = list(parts(value))
            if not places:
                break
            holder, key = self.rng.choice(places)
            if self.rng.random() < 0.2:
                del holder[key]
            elif isinstance(holder, dict) and self.rng.random() < 0.2:
                holder[f"x{self.rng.randrange(9)}"] = copy.deepcopy(
                    self.rng.choice(ODD_VALUES)
                )
            else:
                holder[key] = copy.deepcopy(self.rng.choice(ODD_VALUES))
        try:
            return kind(value)
        except OverflowError:
            # The format has no such numbers.
            return b""


def parts(value):
    """Yield each list or dictionary in a value with each of its keys."""
    if isinstance(value, dict | list):
        for key in list(value) if isinstance(value, dict) else range(len(value)):
            yield value, key
            yield from parts(value[key])


def plain(value):
    return json.loads(msgspec.json.encode(value))


MESSAGES = {
    "job": (text, JOB),
    "worker": (text, WORKER),
    "report": (text, REPORT),
    "configuration": (text, json.loads(config(1, "s", {"plans": "/p/"}))),
    "items": (text, ITEMS),
    "order answer": (text, {"clockMs": 1, "born": 1, "reason": "room"}),
    "advice": (text, {"good": [["w1", "t"]], "validMs": 2000}),
    "lease": (text, {"lease": 1, "ttlMs": 100}),
    "revision": (text, {"revision": 1}),
    "settings": (lambda v: yaml.safe_dump(v).encode(), SETTINGS),
    "envelope": (packed, {"ok": None, "error": {"code": 2004, "message": "m"}}),
    "submission": (packed, plain(SubmitRequest(SPEC, 1.0))),
    "epoch": (lambda v: str(v).strip("[]").encode(), [57]),
} | {kind.__name__: (packed, plain(record)) for kind, record in RECORDS.items()}


@decoder("job")
def decode_job(fuzz, data):
    run_job(fuzz, wire.to_job(data, f"{fuzz.number:016x}", ADVISED.name))


def run_job(fuzz, spec):
    """Let a leader add and plan a job that the border has accepted."""
    bench = fuzz.bench
    fuzz.number += 1
    value = records.encode(records.JobRecord(spec, bench.now))
    entry = TableJob(spec.job_id, spec.queue, value, 1)
    bench.cluster.add_job(entry, bench.now, bench.now, False)
    bench.planner.run(bench.now)
    for job in bench.cluster.jobs.values():
        records.encode_progress(job.record())
    bench.cluster.cancel_job(spec.job_id, bench.now, bench.now)
    if fuzz.number % 50 == 0:
        fuzz._renew_bench()


@decoder("worker")
def decode_worker(fuzz, data):
    entry = wire.to_worker("x1", data)
    worker = fuzz.bench.cluster.set_worker(entry, fuzz.bench.now)
    worker.recorded_address = worker.entry.address
    fuzz.bench.report("x1")
    fuzz.bench.planner.run(fuzz.bench.now)
    fuzz.bench.cluster.remove_worker(worker)


@decoder("report")
def decode_report(fuzz, data):
    report = wire.to_report(data)
    bench = fuzz.bench
    worker = bench.worker("w0")
    bench.cluster.on_report(
        worker, report, bench.now, worker.token, bench.now, bench.now
    )
    fuzz._renew_bench()


@decoder("configuration")
def decode_configuration(fuzz, data):
    desired = wire.to_desired_state(data)
    desired.find("jobs.example", "/p/x")
    fuzz.bench.cluster.set_desired_state(desired)
    fuzz._renew_bench()


@decoder("items")
def decode_items(fuzz, data):
    body = wire.parse(wire.ItemsBody, data)
    for item in [*body.items, *body.events]:
        wire.to_event(item)


@decoder("order answer")
def decode_order_answer(fuzz, data):
    wire.parse(wire.OrderAnswerBody, data)


@decoder("advice")
def decode_advice(fuzz, data):
    dict(wire.parse(wire.AdviceAnswerBody, data).good)


@decoder("lease")
def decode_lease(fuzz, data):
    wire.parse(wire.LeaseBody, data)


@decoder("revision")
def decode_revision(fuzz, data):
    wire.parse(wire.RevisionBody, data)


@decoder("settings")
def decode_settings(fuzz, data):
    yamlio.decode(data, NodeSettings, BadSettings, "node.yaml")


@decoder("envelope")
def decode_envelope(fuzz, data):
    peer.decode_message(peer._ENVELOPE_DECODER, data)


@decoder("submission")
def decode_submission(fuzz, data):
    decoded = peer.decode_message(msgspec.msgpack.Decoder(SubmitRequest), data)
    check_job(decoded.spec)


@decoder("epoch")
def decode_epoch(fuzz, data):
    epoch, _ = read_epoch(KeyValue("fw/epoch", data, 1, 100))
    assert 0 <= epoch <= 100


@decoder(*(kind.__name__ for kind in RECORDS))
def decode_record(fuzz, data):
    for kind in RECORDS:
        try:
            record = records.decode(kind, data)
        except BadRequest:
            continue
        if kind is records.JobRecord:
            check_job(record.spec)


def main(seed, count):
    fuzz = Fuzz(seed)
    names = sorted(MESSAGES)
    for number in range(count):
        name = names[number % len(names)]
        state = fuzz.rng.getstate()
        try:
            fuzz.play(name)
        except Exception as exc:
            fuzz.rng.setstate(state)
            print(f"{name}, input {number} of seed {seed}: {exc!r}", flush=True)
            raise
    print(f"seed {seed}: {count} inputs, {fuzz.accepted} accepted", flush=True)


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
