"""Renders counters and percentiles in the Prometheus text exposition format."""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from godwitbank._internal.core.counters import Counts

METRIC_PREFIX = "godwitbank_"


class Percentile(NamedTuple):
    """A percentile of response times.

    :param percent: percentile rank, 0 to 100.
    :param seconds: response time at that percentile.
    """

    percent: float
    seconds: float


class _Collector:
    """Collector that yields a process's metrics to a Prometheus registry."""

    def __init__(self, counts: Counts, times: Mapping[str, list[Percentile]]) -> None:
        self._counts = counts
        self._times = times

    def collect(self) -> Iterator[Metric]:
        """Yield the current metrics."""
        yield from self._collect_counts()
        yield self._collect_times()

    def _collect_counts(self) -> Iterator[Metric]:
        families: dict[str, CounterMetricFamily] = {}
        for key, value in self._counts.list_all():
            family = families.get(key.name)
            if family is None:
                family = families[key.name] = CounterMetricFamily(
                    METRIC_PREFIX + key.name, f"Count of {key.name}", labels=["reason"]
                )
            family.add_metric([str(key.reason)], value)
        yield from families.values()

    def _collect_times(self) -> Metric:
        family = GaugeMetricFamily(
            METRIC_PREFIX + "response_seconds",
            "Response times by kind and percentile",
            labels=["kind", "percentile"],
        )
        for kind, percentiles in self._times.items():
            for percentile in percentiles:
                family.add_metric([kind, f"{percentile.percent:g}"], percentile.seconds)
        return family


def render_metrics(counts: Counts, times: Mapping[str, list[Percentile]]) -> bytes:
    """Render a process's metrics in the text exposition format.

    :param times: percentiles of response times, by kind.
    """
    registry = CollectorRegistry()
    registry.register(_Collector(counts, times))  # type: ignore[arg-type]
    return generate_latest(registry)
