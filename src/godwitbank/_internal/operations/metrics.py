"""Counts and response times that a process keeps for monitoring."""

from hdrh.histogram import HdrHistogram

from godwitbank._internal.core.counters import Counts

MAX_RESPONSE_MICROSECONDS = 3_600_000_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class LatencyHistogram:
    """Response times of one kind, in a high dynamic range histogram."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_RESPONSE_MICROSECONDS, 3)

    def record(self, seconds: float) -> None:
        """Record one response time."""
        self._histogram.record_value(max(1, int(seconds * 1e6)))

    def list_percentiles(self) -> list[tuple[float, float]]:
        """List percentiles with their values in seconds."""
        values = self._histogram.get_percentile_to_value_dict(list(PERCENTILES))
        return [(percentile, value / 1e6) for percentile, value in values.items()]

    @property
    def count(self) -> int:
        """Number of response times recorded."""
        total: int = self._histogram.get_total_count()
        return total


class Exporter:
    """A core's counts and the shell's histograms, for monitoring."""

    def __init__(self, counts: Counts) -> None:
        self._counts = counts
        self._latencies: dict[str, LatencyHistogram] = {}

    def record(self, kind: str, seconds: float) -> None:
        """Record a response time of a kind."""
        latency = self._latencies.get(kind)
        if latency is None:
            latency = self._latencies[kind] = LatencyHistogram()
        latency.record(seconds)

    def render(self) -> bytes:
        """Render everything as text."""
        # Imported when first asked for: a process's start is a wait for its callers.
        from godwitbank._internal.operations.exposition import (
            Percentile,
            render_metrics,
        )

        times = {
            kind: [Percentile(*each) for each in latency.list_percentiles()]
            for kind, latency in self._latencies.items()
        }
        return render_metrics(self._counts, times)
