"""Export of spans through the OpenTelemetry SDK.

Imported only when an exporter needs it, because the SDK is large and not a required
dependency.
"""

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan
from opentelemetry.sdk.trace.export import BatchSpanProcessor, SpanExporter
from opentelemetry.trace import SpanContext, SpanKind, TraceFlags
from opentelemetry.trace.status import Status, StatusCode

from .trace import Span

NS_PER_S = 1_000_000_000


class SdkSink:
    """Exports finished spans in batches through an exporter of the SDK.

    Args:
        exporter: Exporter that receives the spans.
    """

    def __init__(self, exporter: SpanExporter):
        self._processor = BatchSpanProcessor(exporter)
        self._resource = Resource.create({"service.name": "flamingoway"})

    def export(self, span: Span) -> None:
        """Queue one span; the SDK drops it if its queue is full."""
        self._processor.on_end(self._to_sdk(span))

    def close(self) -> None:
        """Export the queued spans and stop."""
        self._processor.shutdown()

    def _to_sdk(self, span: Span) -> ReadableSpan:
        failed = "error" in span.attributes
        parent = _context(span.trace_id, span.parent_id) if span.parent_id else None
        return ReadableSpan(
            name=span.name,
            context=_context(span.trace_id, span.context.span_id),
            parent=parent,
            resource=self._resource,
            attributes=dict(span.attributes),
            kind=SpanKind.INTERNAL,
            status=Status(StatusCode.ERROR if failed else StatusCode.UNSET),
            start_time=round(span.start * NS_PER_S),
            end_time=round(span.end * NS_PER_S),
        )


def make_otlp_sink() -> SdkSink:
    """Return a sink for OTLP over gRPC.

    The endpoint comes from the standard variables ``OTEL_EXPORTER_OTLP_*``.

    Raises:
        ImportError: If the exporter's package is not installed.
    """
    from opentelemetry.exporter.otlp.proto.grpc import trace_exporter

    return SdkSink(trace_exporter.OTLPSpanExporter())


def _context(trace_id: str, span_id: str) -> SpanContext:
    return SpanContext(
        int(trace_id, 16),
        int(span_id, 16),
        is_remote=False,
        trace_flags=TraceFlags(TraceFlags.SAMPLED),
    )
