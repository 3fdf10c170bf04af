"""Tests of observed run times, and of announcements of waiting work to agents."""

from random import Random

from godwitbank._internal.core.pool import (
    MIN_ANNOUNCEMENT_INTERVAL_SECONDS,
    AnnouncedDemand,
)
from godwitbank._internal.core.work import ClassStatistics
from godwitbank._internal.models.document import ClassTable


def test_mean_run_times_of_two_entries_stay_close() -> None:
    """Guards against requests at one entry that wait seconds behind another's.

    The entries observe different runs of the same class. With a mean over the last
    twenty runs, a few long tasks at one entry double its mean, and the ranks of all
    its work move by sixteen means.
    """
    entries = [ClassStatistics(ClassTable(expected_seconds=0.6)) for _ in range(2)]
    rng = Random(5)
    worst = 0.0
    for step in range(3000):
        long = rng.random() < 0.02
        run = rng.uniform(3, 8) if long else rng.uniform(0.05, 1)
        entries[step % 2].observe_run_time(run)
        if step > 1000:
            worst = max(worst, abs(entries[0].mean - entries[1].mean))
    assert worst < 0.12


def test_more_urgent_work_is_announced_at_once_and_other_changes_later() -> None:
    """Guards against a request that waits for another entry's whole job.

    A request arrives while a large job waits. Its rank is more urgent than the one
    last announced to agents, but the number of waiting tasks hardly changes; if
    only a change of that number by half is announced, agents don't learn the rank.
    """
    announced = AnnouncedDemand()
    assert announced.is_stale(300, rank=50.0, now=1.0)
    announced.record(300, 50.0, 1.0)
    assert announced.is_stale(301, rank=20.0, now=1.001)
    announced.record(301, 20.0, 1.001)
    assert not announced.is_stale(300, rank=50.0, now=1.002)
    assert announced.is_stale(
        300, rank=50.0, now=1.001 + MIN_ANNOUNCEMENT_INTERVAL_SECONDS
    )
