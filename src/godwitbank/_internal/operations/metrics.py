"""Counters and percentiles in the text format that monitoring scrapes."""

from collections.abc import Iterator

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from godwitbank._internal.core.counters import Counts

HIGHEST_MICROSECONDS = 3_600_000_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
PREFIX = "godwitbank_"


class Latency:
    """Response times of one kind, in a high dynamic range histogram."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, HIGHEST_MICROSECONDS, 3)

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
    """Turns a core's counts and the shell's histograms into text."""

    def __init__(self, counts: Counts) -> None:
        self._counts = counts
        self._latencies: dict[str, Latency] = {}
        self._registry = CollectorRegistry()
        self._registry.register(self)  # type: ignore[arg-type]

    def record(self, kind: str, seconds: float) -> None:
        """Record a response time of a kind."""
        latency = self._latencies.get(kind)
        if latency is None:
            latency = self._latencies[kind] = Latency()
        latency.record(seconds)

    def collect(self) -> Iterator[Metric]:
        """Yield metrics for the library's registry."""
        families: dict[str, CounterMetricFamily] = {}
        for key, value in self._counts.list_all():
            family = families.get(key.name)
            if family is None:
                family = families[key.name] = CounterMetricFamily(
                    PREFIX + key.name, f"Count of {key.name}", labels=["reason"]
                )
            family.add_metric([str(key.reason)], value)
        yield from families.values()
        times = GaugeMetricFamily(
            PREFIX + "response_seconds",
            "Response times by kind and percentile",
            labels=["kind", "percentile"],
        )
        for kind, latency in self._latencies.items():
            for percentile, seconds in latency.list_percentiles():
                times.add_metric([kind, f"{percentile:g}"], seconds)
        yield times

    def render(self) -> bytes:
        """Render everything as text."""
        return generate_latest(self._registry)
