"""Observed run times, and what agents are told of waiting work."""

from random import Random

from godwitbank._internal.core.pool import (
    MIN_ANNOUNCEMENT_INTERVAL_SECONDS,
    AnnouncedDemand,
)
from godwitbank._internal.core.work import ClassStatistics
from godwitbank._internal.models.document import ClassTable


def test_means_of_two_entries_stay_close() -> None:
    """Two entries see different samples of the same class.

    Symptom: requests at one entry wait seconds while another entry's go first.
    Sequence: one entry happens to see a few long tasks; its mean doubles; the
    ranks of all its work move by sixteen means.
    Cause: a mean that follows the last twenty runs.
    """
    entries = [ClassStatistics(ClassTable(expected_seconds=0.6)) for _ in range(2)]
    chance = Random(5)
    worst = 0.0
    for step in range(3000):
        long = chance.random() < 0.02
        run = chance.uniform(3, 8) if long else chance.uniform(0.05, 1)
        entries[step % 2].observe_run_time(run)
        if step > 1000:
            worst = max(worst, abs(entries[0].mean - entries[1].mean))
    assert worst < 0.12


def test_urgent_work_is_told_at_once_and_calm_work_later() -> None:
    """A request joins a queue in which a large job waits.

    Symptom: the request waits for another entry's whole job.
    Sequence: agents were told of the job's rank; the request's is more urgent,
    but the number of waiting tasks hardly changed.
    Cause: agents told again only when the number changed by half.
    """
    told = AnnouncedDemand()
    assert told.is_stale(300, rank=50.0, now=1.0)
    told.record(300, 50.0, 1.0)
    assert told.is_stale(301, rank=20.0, now=1.001)
    told.record(301, 20.0, 1.001)
    assert not told.is_stale(300, rank=50.0, now=1.002)
    assert told.is_stale(300, rank=50.0, now=1.001 + MIN_ANNOUNCEMENT_INTERVAL_SECONDS)
