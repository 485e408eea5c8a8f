"""Records and requests that are not valid, for tests and the soak."""

import json

# Far more than a decoder can follow without running out of stack.
NESTING = 60_000
DEEP = "[" * NESTING + "]" * NESTING
HUGE_NUMBER = "9" * 300


def worker_entry(service, **fields):
    """Return a valid registry entry as JSON text, with some fields replaced."""
    body = {
        "service": service,
        "address": "127.0.0.1:9",
        "zone": "z1",
        "state": "ready",
        "capacity": {"cpu": 16000, "memMb": 65536},
        "labels": ["a", "r1"],
        "born": 1,
        "seq": 1,
    }
    return json.dumps(body | fields)


def worker_entries(service):
    """Return registry entries that name no usable worker, by kind."""
    valid = worker_entry(service)
    capacity = f'{{"cpu": {HUGE_NUMBER}, "memMb": {HUGE_NUMBER}}}'
    entries = {
        "nested field": f'{{"extra": {DEEP}, {valid[1:]}',
        "port out of range": worker_entry(service, address="127.0.0.1:99999"),
        "port zero": worker_entry(service, address="127.0.0.1:0"),
        "port not a number": worker_entry(service, address="127.0.0.1:8x"),
        "host name": worker_entry(service, address="worker:80"),
        "header in the address": worker_entry(service, address="127.0.0.1:80\r\nX: 1"),
        "huge capacity": valid.replace('{"cpu": 16000, "memMb": 65536}', capacity),
        "negative capacity": worker_entry(service, capacity={"cpu": -1, "memMb": 1}),
        "huge start time": valid.replace('"born": 1', f'"born": {HUGE_NUMBER}'),
        "negative start time": worker_entry(service, born=-5),
        "many labels": worker_entry(service, labels=["x"] * 10_000),
        "long label": worker_entry(service, labels=["x" * 100_000]),
        "long zone": worker_entry(service, zone="z" * 300_000),
        "unknown state": worker_entry(service, state="asleep"),
        "other type": worker_entry(service, labels={"a": 1}),
        "no fields": "{}",
        "empty": "",
        "not text": "\udcff\udcfe",
    }
    return {
        name: text.encode("utf-8", "surrogateescape") for name, text in entries.items()
    }


def job_bodies():
    """Return bodies of submissions that must be refused at once, by kind."""
    step = {"count": 1, "cpu": 500}
    bodies = {
        "tasks": {"steps": [step | {"count": 300_000_000}]},
        "tasks of all steps": {"steps": [step | {"count": 2000}] * 50},
        "occurrences": {
            "steps": [step],
            "repeats": 1_000_000_000,
            "firstRunMs": 1.0,
            "intervalMs": 0.001,
        },
        "steps": {"steps": [step] * 5000},
        "dependencies": {"steps": [step, step | {"after": [0] * 100_000}]},
        "cores": {"steps": [step | {"cpu": 10**18}]},
        "negative repeats": {"steps": [step], "repeats": -1},
        "negative estimate": {"steps": [step | {"estRuntimeMs": -1e9}]},
        "huge estimate": {"steps": [step | {"estRuntimeMs": 1e300}]},
        "huge start": {"steps": [step], "repeats": 2, "firstRunMs": 1e300},
        "negative interval": {"steps": [step], "repeats": 2, "intervalMs": -1},
        "long label": {"steps": [step | {"constraints": "x" * 10_000}]},
        "limit on a worker": {"steps": [step | {"antiAffinity": -1}]},
    }
    texts = {name: json.dumps({"spec": "x"} | body) for name, body in bodies.items()}
    texts["huge count"] = f'{{"spec":"x","steps":[{{"count":{HUGE_NUMBER}}}]}}'
    texts["nested body"] = DEEP
    texts["nested field"] = f'{{"spec":"x","extra":{DEEP},"steps":[{{"count":1}}]}}'
    return {name: text.encode() for name, text in texts.items()}
