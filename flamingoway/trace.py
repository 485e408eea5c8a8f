"""Trace spans and the W3C ``traceparent`` header.

Each hop opens a span with :meth:`Tracer.span` and sends ``span.traceparent`` to the
next hop. Without an exporter, a span only carries the ids and OpenTelemetry is not
imported.
"""

import random
import re
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any, Protocol

from absl import logging

from .errors import BadSettings, FlamingowayError
from .registry import Registry
from .settings import TraceSettings

TRACEPARENT = re.compile(r"([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})")
SAMPLED_FLAG = 0x01
RATIO_BITS = 64


@dataclass(frozen=True, slots=True)
class SpanContext:
    """Ids of a span that are propagated between hops.

    Attributes:
        trace_id: 32 hexadecimal digits.
        span_id: 16 hexadecimal digits.
        sampled: Whether spans of this trace are exported.
    """

    trace_id: str
    span_id: str
    sampled: bool

    @property
    def traceparent(self) -> str:
        """Value of the ``traceparent`` header for the next hop."""
        flags = SAMPLED_FLAG if self.sampled else 0
        return f"00-{self.trace_id}-{self.span_id}-{flags:02x}"


def parse_traceparent(header: str) -> SpanContext | None:
    """Return the ids in a ``traceparent`` header, or ``None`` if it is invalid.

    Later versions of the header may have more parts, which are ignored. Version
    ff and all-zero ids are invalid (W3C Trace Context, section 3.2).
    """
    match = TRACEPARENT.match(header)
    if match is None:
        return None
    version, trace_id, span_id, flags = match.groups()
    rest = header[match.end() :]
    if version == "ff" or (rest and (version == "00" or rest[0] != "-")):
        return None
    if not trace_id.strip("0") or not span_id.strip("0"):
        return None
    return SpanContext(trace_id, span_id, bool(int(flags, 16) & SAMPLED_FLAG))


@dataclass(slots=True)
class Span:
    """One hop of a trace.

    Attributes:
        parent_id: Span id of the previous hop; empty at the first one.
        start: Wall-clock time in seconds since the epoch; 0 if not sampled.
        end: Wall-clock time in seconds since the epoch; 0 while it is open.
    """

    name: str
    context: SpanContext
    parent_id: str = ""
    attributes: dict[str, Any] = field(default_factory=dict)
    start: float = 0.0
    end: float = 0.0

    @property
    def traceparent(self) -> str:
        """Value of the ``traceparent`` header for the next hop."""
        return self.context.traceparent

    @property
    def trace_id(self) -> str:
        """Trace id, 32 hexadecimal digits."""
        return self.context.trace_id

    def set(self, **attributes: Any) -> None:
        """Set attributes that become known after the span has started."""
        self.attributes.update(attributes)


class SpanSink(Protocol):
    """Receives the finished spans of sampled traces."""

    def export(self, span: Span) -> None:
        """Accept one finished span; must not block."""

    def close(self) -> None:
        """Export the buffered spans."""


EXPORTERS: Registry[Callable[[], SpanSink | None]] = Registry("trace exporter")


class Tracer:
    """Opens spans.

    Args:
        settings: Exporter and sampling ratio.
        rng: Random generator for the ids.
        wall: Wall clock, in seconds since the epoch.
        sink: Receives finished spans instead of the exporter in the settings.

    Raises:
        BadSettings: If the exporter is unknown or not installed.
    """

    def __init__(
        self,
        settings: TraceSettings,
        rng: random.Random | None = None,
        wall: Callable[[], float] = time.time,
        sink: SpanSink | None = None,
    ):
        self._rng = rng or random.SystemRandom()
        self._wall = wall
        self._sample_limit = round(settings.sample_ratio * 2**RATIO_BITS)
        self._sink = sink or _make_sink(settings.exporter)

    @contextmanager
    def span(self, name: str, parent: str = "", **attributes: Any) -> Iterator[Span]:
        """Open a span until the block ends.

        Args:
            name: Name of the hop.
            parent: ``traceparent`` header of the previous hop, if any.
            **attributes: Attributes of the span.
        """
        parent_context = parse_traceparent(parent) if parent else None
        if self._sink is None:
            yield Span(
                name, parent_context or self._new_context(None), attributes=attributes
            )
            return
        context = self._new_context(parent_context)
        parent_id = parent_context.span_id if parent_context else ""
        if not context.sampled:
            yield Span(name, context, parent_id, attributes)
            return
        span = Span(name, context, parent_id, attributes, start=self._wall())
        try:
            yield span
        except BaseException as exc:
            span.set(error=type(exc).__name__)
            if isinstance(exc, FlamingowayError):
                span.set(code=int(exc.code))
            raise
        finally:
            span.end = self._wall()
            self._sink.export(span)

    def close(self) -> None:
        """Export the buffered spans."""
        if self._sink is not None:
            self._sink.close()

    def _new_context(self, parent: SpanContext | None) -> SpanContext:
        # All-zero ids are invalid, so the lowest bit is always set.
        span_id = f"{self._rng.getrandbits(64) | 1:016x}"
        if parent is not None:
            return SpanContext(parent.trace_id, span_id, parent.sampled)
        number = self._rng.getrandbits(128) | 1
        sampled = self._sink is not None and number % 2**RATIO_BITS < self._sample_limit
        return SpanContext(f"{number:032x}", span_id, sampled)


def _make_sink(exporter: str) -> SpanSink | None:
    try:
        return EXPORTERS.get(exporter)()
    except KeyError:
        allowed = ", ".join(EXPORTERS.names)
        raise BadSettings(
            f"trace.exporter: found {exporter!r}; allowed: {allowed}",
            field="trace.exporter",
        ) from None


@EXPORTERS.register("none")
def _no_sink() -> None:
    return None


@EXPORTERS.register("log")
class LogSink:
    """Writes each finished span as a log line."""

    def export(self, span: Span) -> None:
        """Log one span."""
        fields = {
            "name": span.name,
            "span_id": span.context.span_id,
            "parent_id": span.parent_id,
            "start": span.start,
            "duration_ms": round((span.end - span.start) * 1000, 3),
            "attributes": span.attributes,
        }
        extra = {"trace_id": span.trace_id, "span": fields}
        logging.info("span %s", span.name, extra=extra)

    def close(self) -> None:
        """Do nothing; spans are not buffered."""


@EXPORTERS.register("otlp")
def _otlp_sink() -> SpanSink:
    try:
        from .tracesdk import make_otlp_sink

        return make_otlp_sink()
    except ImportError as exc:
        raise BadSettings(
            f"trace.exporter: found 'otlp', but {exc.name} is not installed; "
            "allowed without it: none, log",
            field="trace.exporter",
        ) from None
