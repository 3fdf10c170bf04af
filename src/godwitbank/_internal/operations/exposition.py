"""Renders counters and percentiles in the Prometheus text exposition format."""

from collections.abc import Iterable, Iterator, Mapping
from itertools import groupby
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


class QueueGauge(NamedTuple):
    """A current figure of one queue."""

    name: str
    queue: str
    value: float


class _Collector:
    """Collector that yields a process's metrics to a Prometheus registry."""

    def __init__(
        self,
        counts: Counts,
        times: Mapping[str, list[Percentile]],
        gauges: Iterable[QueueGauge],
    ) -> None:
        self._counts = counts
        self._times = times
        self._gauges = gauges

    def collect(self) -> Iterator[Metric]:
        """Yield the current metrics."""
        yield from self._collect_counts()
        yield self._collect_times()
        yield from self._collect_gauges()

    def _collect_counts(self) -> Iterator[Metric]:
        for name, counters in groupby(
            self._counts.list_all(), lambda each: each[0].name
        ):
            values = list(counters)
            by_queue = any(key.queue for key, _ in values)
            labels = ["reason", "queue"] if by_queue else ["reason"]
            family = CounterMetricFamily(
                METRIC_PREFIX + name, f"Count of {name}", labels=labels
            )
            for key, value in values:
                texts = [str(key.reason), key.queue]
                family.add_metric(texts[: len(labels)], value)
            yield family

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

    def _collect_gauges(self) -> Iterator[Metric]:
        families: dict[str, GaugeMetricFamily] = {}
        for name, queue, value in self._gauges:
            family = families.get(name)
            if family is None:
                family = families[name] = GaugeMetricFamily(
                    METRIC_PREFIX + name, f"Current {name}", labels=["queue"]
                )
            family.add_metric([queue], value)
        yield from families.values()


def render_metrics(
    counts: Counts,
    times: Mapping[str, list[Percentile]],
    gauges: Iterable[QueueGauge] = (),
) -> bytes:
    """Render a process's metrics in the text exposition format.

    :param times: percentiles of response times, by kind.
    """
    registry = CollectorRegistry()
    registry.register(_Collector(counts, times, gauges))  # type: ignore[arg-type]
    return generate_latest(registry)
