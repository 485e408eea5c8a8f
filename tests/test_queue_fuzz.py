"""Guards against input from outside that raises anything but the border's own error."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flamingoway.errors import BadRequest
from flamingoway.platform import wire
from flamingoway.queues import records
from tests import fuzz, invalid_records

INPUTS = 60_000
# Inputs that failed once: name of the decoder and data.
FAILED = [
    ("worker", invalid_records.worker_entries("s")["nested field"]),
    ("worker", invalid_records.worker_entries("s")["huge capacity"]),
    ("worker", invalid_records.worker_entries("s")["port out of range"]),
    ("report", b'{"clockMs":1,"numRunning":[["a.0.0.\xc2\xb2",1,"",0]]}'),
    ("report", b'{"clockMs":1,"ended":[[1,"a.0.0.0",1e400,"done",""]]}'),
    ("items", b'{"items":[{"key":"a","value":"x"}],"storeRevision":1}'),
    ("epoch", b"\xff"),
    ("JobRecord", b"\x91" * 60_000),
    ("submission", b"\x91" * 60_000),
]
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=20,
)
STEP_FIELDS = st.dictionaries(
    st.sampled_from(["count", "cpu", "memMb", "after", "gang", "estRuntimeMs"]), JSON
)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_mutated_messages_raise_only_the_error_of_the_border(seed):
    fuzz.main(seed, INPUTS)


@pytest.mark.parametrize("name, data", FAILED)
def test_inputs_that_failed_once(name, data):
    try:
        fuzz.DECODERS[name](fuzz.Fuzz(1), data)
    except BadRequest:
        pass


@settings(derandomize=True, max_examples=300, deadline=None)
@given(JSON)
def test_any_json_is_decoded_or_refused(value):
    data = json.dumps(value).encode()
    decoders = [
        lambda: wire.to_worker("w1", data),
        lambda: wire.to_report(data),
        lambda: wire.to_desired_state(data),
        lambda: wire.to_job(data, "a1", "plans"),
        lambda: wire.parse(wire.ItemsBody, data),
    ]
    decoders += [lambda kind=kind: records.decode(kind, data) for kind in fuzz.RECORDS]
    for decode in decoders:
        try:
            decode()
        except BadRequest:
            pass


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(STEP_FIELDS, max_size=4))
def test_any_steps_are_run_or_refused(steps):
    data = json.dumps({"spec": "x", "steps": steps}).encode()
    try:
        spec = wire.to_job(data, "00000000000000a1", "advised")
    except BadRequest:
        return
    fuzz.run_job(fuzz.Fuzz(1), spec)
