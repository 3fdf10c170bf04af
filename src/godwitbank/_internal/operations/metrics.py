"""Counters and response times that a process exports for monitoring."""

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from godwitbank._internal.core.counters import Counts

if TYPE_CHECKING:
    from godwitbank._internal.operations.exposition import QueueGauge

MAX_RESPONSE_MICROSECONDS = 3_600_000_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class LatencyHistogram:
    """Response times of one kind, in a high dynamic range (HDR) histogram."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_RESPONSE_MICROSECONDS, 3)

    def record(self, seconds: float) -> None:
        """Record one response time in seconds."""
        self._histogram.record_value(max(1, int(seconds * 1e6)))

    def list_percentiles(self) -> list[tuple[float, float]]:
        """Return pairs of a percentile rank and its response time in seconds."""
        values = self._histogram.get_percentile_to_value_dict(list(PERCENTILES))
        return [(percentile, value / 1e6) for percentile, value in values.items()]

    @property
    def count(self) -> int:
        """Number of recorded response times."""
        total: int = self._histogram.get_total_count()
        return total


class Exporter:
    """Exports the core's counters and the process's response time histograms.

    :param list_gauges: returns current figures of queues.
    """

    def __init__(
        self,
        counts: Counts,
        list_gauges: Callable[[], Iterable["QueueGauge"]] = lambda: (),
    ) -> None:
        self._counts = counts
        self._list_gauges = list_gauges
        self._latencies: dict[str, LatencyHistogram] = {}

    def record(self, kind: str, seconds: float) -> None:
        """Record one response time.

        :param kind: what was timed; the value of the metric's ``kind`` label.
        """
        latency = self._latencies.get(kind)
        if latency is None:
            latency = self._latencies[kind] = LatencyHistogram()
        latency.record(seconds)

    def render(self) -> bytes:
        """Render all metrics in the text exposition format."""
        # Imported at the first scrape, as callers wait while a process starts.
        from godwitbank._internal.operations.exposition import (
            Percentile,
            render_metrics,
        )

        times = {
            kind: [Percentile(*each) for each in latency.list_percentiles()]
            for kind, latency in self._latencies.items()
        }
        return render_metrics(self._counts, times, self._list_gauges())
