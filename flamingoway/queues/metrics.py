"""Metrics of the queues, in a registry of the process."""

import prometheus_client
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

# Upper bounds, fine enough around the store's answer time (4 ms) and the latency
# objective of urgent jobs (250 ms).
BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)


class QueueMetrics:
    """Counters and latency histograms of one process."""

    content_type = CONTENT_TYPE_LATEST

    def __init__(self):
        self._registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            "flamingoway_queue_requests_total",
            "Requests of callers by method and status",
            ["method", "status"],
            registry=self._registry,
        )
        self.request_seconds = self._histogram(
            "flamingoway_queue_request_seconds", "Time to answer a caller"
        )
        self.starts = prometheus_client.Counter(
            "flamingoway_queue_starts_total",
            "Orders to start a run by the reply",
            ["reply"],
            registry=self._registry,
        )
        self.polls = prometheus_client.Counter(
            "flamingoway_queue_looks_total",
            "Reports of workers taken in",
            registry=self._registry,
        )
        self.start_seconds = self._histogram(
            "flamingoway_queue_start_seconds", "Time of an order to start a run"
        )
        self.plan_seconds = self._histogram(
            "flamingoway_queue_plan_seconds", "Time of one pass of the planner"
        )
        self.flush_seconds = self._histogram(
            "flamingoway_queue_flush_seconds", "Time of one write of progress"
        )
        self.cancellations = prometheus_client.Counter(
            "flamingoway_queue_cancellations_total",
            "Answers to cancellations by what became of them",
            ["outcome"],
            registry=self._registry,
        )
        self.cancellation_seconds = self._histogram(
            "flamingoway_queue_cancellation_seconds",
            "Time from a cancellation until the leader learned of it, by two clocks",
        )
        self.cancelled_starts = prometheus_client.Counter(
            "flamingoway_queue_cancelled_starts_total",
            "Orders to start a run of a job that was known as cancelled",
            registry=self._registry,
        )
        self.start_copy_age_seconds = self._histogram(
            "flamingoway_queue_start_copy_age_seconds",
            "Age of the copy of the store at an order to start a run",
        )
        self.skipped_records = self._counter(
            "flamingoway_queue_skipped_records_total",
            "Records that are not valid and were skipped, by kind",
        )
        self.contained_errors = self._counter(
            "flamingoway_queue_contained_errors_total",
            "Unforeseen errors that were kept to one record, worker or job, by kind",
        )
        self.jobs_set_aside = prometheus_client.Gauge(
            "flamingoway_queue_jobs_set_aside",
            "Jobs that this leader does not run after an error or an invalid record",
            registry=self._registry,
        )
        self.dropped_lines = prometheus_client.Gauge(
            "flamingoway_queue_log_lines_dropped",
            "Log lines dropped so far",
            registry=self._registry,
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def _counter(self, name: str, help_text: str) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            name, help_text, ["kind"], registry=self._registry
        )

    def _histogram(self, name: str, help_text: str) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            name, help_text, registry=self._registry, buckets=BUCKETS_S
        )
