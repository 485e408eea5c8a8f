"""Guards against log lines, metrics and traces that tools cannot use."""

import io
import json
import logging as stdlib_logging
import random
import subprocess
import sys

import pytest
from absl import logging
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from flamingoway.errors import BadSettings, Refused
from flamingoway.log import log_output
from flamingoway.metrics import CHECK_BUCKETS_S, WAIT_BUCKETS_S, Metrics
from flamingoway.settings import TraceSettings
from flamingoway.trace import Tracer, parse_traceparent
from flamingoway.tracesdk import SdkSink

TRACE, SPAN = "4bf92f3577b34da6a3ce929d0e0e4736", "00f067aa0ba902b7"


class ListSink:
    """Collects the finished spans."""

    def __init__(self):
        self.spans = []

    def export(self, span):
        self.spans.append(span)

    def close(self):
        pass


def make_tracer(sink=None, exporter="none", ratio=1.0):
    settings = TraceSettings(exporter=exporter, sample_ratio=ratio)
    return Tracer(settings, random.Random(1), lambda: 100.0, sink)


def logged_lines(action, level="info"):
    stream = io.StringIO()
    with log_output("entry-1", level, stream):
        action()
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_each_record_is_one_json_line():
    """Guards against line breaks and objects that break the JSON line format."""

    def action():
        logging.info("two\nlines %s", {1}, extra={"job_id": "j1", "member": ""})
        stdlib_logging.getLogger("tornado.access").warning("from a library")
        logging.debug("hidden")
        logging.error("wrong format %d", "x")

    first, second, third = logged_lines(action)
    assert first["message"] == "two\nlines {1}"
    assert first["job_id"] == "j1"
    assert "member" not in first
    assert set(first) == {"time", "level", "message", "process", "job_id"}
    assert (first["process"], first["level"]) == ("entry-1", "info")
    assert second["message"] == "from a library"
    assert "wrong format" in third["message"]


def test_error_record_has_code_and_traceback():
    """Guards against errors that cannot be searched by their code."""

    def action():
        try:
            raise Refused("no room")
        except Refused:
            logging.exception("refused")

    (line,) = logged_lines(action)
    assert line["code"] == 2000
    assert line["error"].endswith("no room")


def test_log_output_ends_with_the_block():
    """Guards against log handlers that remain installed after the block."""
    before = stdlib_logging.getLogger().handlers[:], logging.get_verbosity()
    logged_lines(lambda: None, "debug")
    assert (stdlib_logging.getLogger().handlers[:], logging.get_verbosity()) == before


def test_labels_are_bounded():
    """Guards against metric series that multiply with values sent by callers."""
    metrics = Metrics(["trial"], ["brittany"])
    for index in range(100):
        metrics.observe_wait(f"e{index}", f"w{index}", 0.1)
        metrics.count_refusal(2000 + index)
        metrics.count_store_call(f"c{index}", f"r{index}")
        metrics.set_packing(f"s{index}", f"r{index}", 0.5)
    names = {line.split(" ")[0] for line in metrics.render().decode().splitlines()}
    assert 'flamingoway_wait_seconds_sum{environment="other",work="other"}' in names
    assert 'flamingoway_refusals_total{code="NEVER_FITS"}' in names
    assert len(names) < 60


def test_two_processes_have_separate_registries():
    """Guards against module-level metrics shared between processes in a test."""
    first, second = (Metrics(["trial"], ["brittany"]) for _ in range(2))
    first.observe_check("trial", 0.004, 0.002)
    assert b'check_seconds_count{environment="trial"} 1.0' in first.render()
    assert b"check_seconds_count{" not in second.render()


@pytest.mark.parametrize(
    ("buckets", "target"), [(CHECK_BUCKETS_S, 0.005), (WAIT_BUCKETS_S, 2.9)]
)
def test_buckets_resolve_the_targets(buckets, target):
    """Guards against latency targets that no bucket bound resolves.

    Each target must be a bound, and the next bound must be less than 1.5 times it.
    """
    assert list(buckets) == sorted(set(buckets))
    index = buckets.index(target)
    assert buckets[index + 1] < 1.5 * target


def test_packing_of_a_lost_shard_is_removed():
    """Guards against a former owner that still exports the shard's metrics."""
    metrics = Metrics([], ["brittany"])
    metrics.set_packing("brittany", "cores", 0.9)
    metrics.remove_shard("brittany")
    assert b"packing_ratio{" not in metrics.render()


@pytest.mark.parametrize(
    ("header", "expected"),
    [
        (f"00-{TRACE}-{SPAN}-01", True),
        (f"00-{TRACE}-{SPAN}-00", False),
        (f"cc-{TRACE}-{SPAN}-01-more", True),
        (f"00-{TRACE}-{SPAN}-01-more", None),
        (f"ff-{TRACE}-{SPAN}-01", None),
        (f"00-{'0' * 32}-{SPAN}-01", None),
        (f"00-{TRACE}-{'0' * 16}-01", None),
        (f"00-{TRACE.upper()}-{SPAN}-01", None),
        (f"00-{TRACE}-{SPAN}-1", None),
        (f"00-{TRACE}-{SPAN}-01\n", None),
        ("", None),
    ],
)
def test_traceparent_is_parsed_strictly(header, expected):
    """Guards against invalid ids that are passed on to targets."""
    context = parse_traceparent(header)
    assert (context.sampled if context else None) == expected
    if header.startswith("00") and context:
        assert context.traceparent == header


@pytest.mark.parametrize(
    ("ratio", "flags", "exported"),
    [(1.0, None, 1), (0.0, None, 0), (0.0, "01", 1), (1.0, "00", 0)],
)
def test_parent_decides_sampling(ratio, flags, exported):
    """Guards against traces that are only partly sampled."""
    sink = ListSink()
    parent = f"00-{TRACE}-{SPAN}-{flags}" if flags else ""
    with make_tracer(sink, ratio=ratio).span("hop", parent) as span:
        assert parse_traceparent(span.traceparent).sampled == bool(exported)
    assert len(sink.spans) == exported
    assert (span.trace_id == TRACE) == bool(flags)


def test_sample_ratio_is_respected():
    """Guards against a ratio that is applied to the wrong bits."""
    sink = ListSink()
    tracer = make_tracer(sink, ratio=0.25)
    for _ in range(2000):
        with tracer.span("hop"):
            pass
    assert 430 < len(sink.spans) < 570


def test_error_is_recorded_and_raised():
    """Guards against spans that hide an error."""
    sink = ListSink()
    with pytest.raises(Refused), make_tracer(sink).span("hop", kind="slot-check"):
        raise Refused("no room")
    assert sink.spans[0].attributes == {
        "kind": "slot-check",
        "error": "Refused",
        "code": 2000,
    }


def test_log_exporter_writes_finished_spans():
    """Guards against logged spans that cannot be correlated with their trace."""

    def action():
        with make_tracer(exporter="log").span("hop", f"00-{TRACE}-{SPAN}-01") as span:
            span.set(member="brest")

    (line,) = logged_lines(action)
    assert line["trace_id"] == TRACE
    assert line["span"]["parent_id"] == SPAN
    assert line["span"]["attributes"] == {"member": "brest"}


def test_sdk_exporter_receives_ids_and_times():
    """Guards against spans that lose their parent in the SDK."""
    exporter = InMemorySpanExporter()
    tracer = make_tracer(SdkSink(exporter))
    with tracer.span("hop", f"00-{TRACE}-{SPAN}-01", member="brest"):
        pass
    tracer.close()
    (span,) = exporter.get_finished_spans()
    assert span.context.trace_id == int(TRACE, 16)
    assert span.parent.span_id == int(SPAN, 16)
    assert span.start_time == 100_000_000_000
    assert span.attributes["member"] == "brest"


def test_unknown_exporter_names_the_allowed_ones():
    """Guards against a process that starts without its configured exporter."""
    with pytest.raises(BadSettings, match="allowed: log, none, otlp"):
        make_tracer(exporter="zipkin")


def test_otlp_without_its_package_is_a_settings_error(monkeypatch):
    """Guards against a start-up that fails with a traceback, not a settings error."""
    monkeypatch.setitem(sys.modules, "opentelemetry.exporter", None)
    with pytest.raises(BadSettings, match="opentelemetry.exporter"):
        make_tracer(exporter="otlp")


def test_no_exporter_imports_no_opentelemetry():
    """Guards against the memory that the SDK takes in every process."""
    code = (
        "import sys, flamingoway.trace as t\n"
        "from flamingoway.settings import TraceSettings\n"
        "with t.Tracer(TraceSettings()).span('hop'): pass\n"
        "print([m for m in sys.modules if m.startswith('opentelemetry')])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"
