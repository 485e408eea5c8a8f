"""Metrics of one entry process, in a registry of its own.

Label values come from the settings and from fixed sets, so callers cannot increase the
number of series; any other value is recorded as ``other``.
"""

from collections.abc import Iterable

import prometheus_client
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from .status import Code

OTHER = "other"
WORK_CLASSES = ("check", "job", "urgent_job", "service")
RESOURCES = ("cores", "memory", "accelerators")
STORE_CALLS = (
    "get",
    "range",
    "txn",
    "grant_lease",
    "keep_alive",
    "revoke_lease",
    "watch",
)
STORE_RESULTS = ("ok", "failed_compare", "unavailable", "unknown", "error")

# Bucket bounds in seconds, fine enough around the two objectives: added latency below
# 5 ms and the start of urgent work within 2.9 s.
ADDED_BUCKETS_S = (0.0005, 0.001, 0.0015, 0.002, 0.003, 0.004, 0.005, 0.006, 0.008)
LONG_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 2.5, 2.9, 3.5, 5.0)
CHECK_BUCKETS_S = ADDED_BUCKETS_S + LONG_BUCKETS_S
WAIT_BUCKETS_S = (0.001, 0.005, *LONG_BUCKETS_S, 10.0, 30.0, 60.0, 300.0, 1800.0)


class Metrics:
    """Counters, gauges and histograms of one process.

    Args:
        environments: Names of the environments of the settings.
        shards: Names of the shards of the settings.
    """

    content_type = CONTENT_TYPE_LATEST

    def __init__(self, environments: Iterable[str], shards: Iterable[str]):
        self._environments = frozenset(environments)
        self._shards = frozenset(shards)
        self._registry = prometheus_client.CollectorRegistry()
        self._wait = self._histogram(
            "wait_seconds",
            "Time from acceptance to start of work",
            ["environment", "work"],
            WAIT_BUCKETS_S,
        )
        self._check = self._histogram(
            "check_seconds",
            "Time from the request to the answer of a check",
            ["environment"],
            CHECK_BUCKETS_S,
        )
        self._added = self._histogram(
            "check_added_seconds",
            "Part of a check's time that was not spent at the target",
            ["environment"],
            CHECK_BUCKETS_S,
        )
        self._packing = self._gauge(
            "packing_ratio",
            "Part of the workers' capacity that is assigned to tasks",
            ["shard", "resource"],
        )
        self._version = self._gauge(
            "document_version", "Version of the document in effect", ["environment"]
        )
        self._store_calls = self._counter(
            "store_calls", "Calls of the key-value service", ["call", "result"]
        )
        self._refusals = self._counter(
            "refusals", "Requests that ended with a code other than success", ["code"]
        )

    def observe_wait(self, environment: str, work: str, seconds: float) -> None:
        """Record the time that work waited before its start.

        Args:
            environment: Environment of the work.
            work: One of ``WORK_CLASSES``.
            seconds: Time from acceptance to start.
        """
        labels = (self._known_environment(environment), _or_other(work, WORK_CLASSES))
        self._wait.labels(*labels).observe(seconds)

    def observe_check(self, environment: str, seconds: float, added: float) -> None:
        """Record the total time of a check and the part added by this process."""
        label = self._known_environment(environment)
        self._check.labels(label).observe(seconds)
        self._added.labels(label).observe(added)

    def set_packing(self, shard: str, resource: str, ratio: float) -> None:
        """Set the fraction of a shard's capacity that is assigned, 0 to 1."""
        labels = (_or_other(shard, self._shards), _or_other(resource, RESOURCES))
        self._packing.labels(*labels).set(ratio)

    def remove_shard(self, shard: str) -> None:
        """Remove the gauges of a shard that this process no longer owns."""
        for resource in RESOURCES:
            try:
                self._packing.remove(_or_other(shard, self._shards), resource)
            except KeyError:
                continue

    def set_version(self, environment: str, number: int) -> None:
        """Set the version of the document in effect."""
        self._version.labels(self._known_environment(environment)).set(number)

    def count_store_call(self, call: str, result: str) -> None:
        """Count a store call; see ``STORE_CALLS`` and ``STORE_RESULTS``."""
        labels = (_or_other(call, STORE_CALLS), _or_other(result, STORE_RESULTS))
        self._store_calls.labels(*labels).inc()

    def count_refusal(self, code: int) -> None:
        """Count an unsuccessful response by its result code."""
        try:
            label = Code(code).name
        except ValueError:
            label = OTHER
        self._refusals.labels(label).inc()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def _known_environment(self, environment: str) -> str:
        return _or_other(environment, self._environments)

    def _histogram(self, name, text, labels, buckets) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            name,
            text,
            labels,
            namespace="flamingoway",
            buckets=buckets,
            registry=self._registry,
        )

    def _gauge(self, name, text, labels) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            name, text, labels, namespace="flamingoway", registry=self._registry
        )

    def _counter(self, name, text, labels) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            name, text, labels, namespace="flamingoway", registry=self._registry
        )


def _or_other(value: str, allowed: Iterable[str]) -> str:
    return value if value in allowed else OTHER
