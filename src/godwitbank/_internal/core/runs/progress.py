"""Progress of runs: stalled runs, slow endpoints, and runs worth moving."""

import math
from collections import defaultdict
from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

STALL_SECONDS = 0.5
"""Seconds without progress after which a run may count as stalled.

Progress is reported in whole percent with each lease renewal, every 0.12 s. A run that
takes a few seconds in all advances several times within this span.
"""

STALL_EXPECTED_PERCENT = 10.0
"""Percent of the predicted run time that is added to ``STALL_SECONDS``: ten times as
long as one percent of progress, the smallest reported step, is expected to take."""

RATE_WINDOW_SECONDS = 0.25
"""Seconds over which a progress rate is measured: two renewals. Over shorter windows
the rounding to whole percent distorts the rate; longer ones detect a slow endpoint
late."""

MIN_SAMPLED_JOBS = 3
"""Jobs that must have runs at an endpoint before it can be found slow. The run time
predicted for a single job is wrong by 40 % and more, alike for all its runs; the median
over three jobs is rarely wrong by ``SLOW_FACTOR``."""

SLOWNESS_DECAY_SECONDS = 2.0
"""Seconds in which a slowness that no run confirms decays to about a third. If it was
dropped at once, a slow endpoint would get new runs after each move, and they would be
late. If it was kept for long, an endpoint would stay idle after it has recovered."""

SLOW_FACTOR = 2.0
"""Slowness from which runs are moved. Healthy endpoints of different kinds differ by
less."""

MOVE_COST_SECONDS = 0.2
"""Estimated cost of a move in seconds: stopping the run, reaching the other agent, and
waiting there."""


class RunProgress:
    """Progress of one run, as reported by lease renewals.

    :ivar percent: last reported progress.
    :ivar last_progress_at: time at which the progress last changed.
    """

    __slots__ = (
        "percent",
        "last_progress_at",
        "rate",
        "_window_percent",
        "_window_start",
        "_reported_at",
    )

    def __init__(self, now: float) -> None:
        self.percent = 0
        self.last_progress_at = now
        self.rate: float | None = None
        """Share of the whole run that is done per second; ``None`` until measured."""
        self._window_percent = 0
        self._window_start = now
        self._reported_at = -math.inf

    def restart(self, now: float) -> None:
        """Restart the measurement when the run is ordered at the endpoint."""
        self.last_progress_at = self._window_start = now

    def update(self, percent: int, now: float) -> None:
        """Record the progress reported by a renewal."""
        if percent != self.percent:
            self.percent = percent
            self.last_progress_at = now
        if now - self._window_start >= RATE_WINDOW_SECONDS:
            self.rate = (
                (percent - self._window_percent) / 100 / (now - self._window_start)
            )
            self._window_percent = percent
            self._window_start = now

    def is_stalled(self, expected: float, now: float) -> bool:
        """Return whether the run has stalled.

        :param expected: predicted run time, in seconds.
        """
        return (
            now - self.last_progress_at
            > STALL_SECONDS + STALL_EXPECTED_PERCENT * expected / 100
        )

    def should_report_slow(self, slowness: float, now: float) -> bool:
        """Return whether to report the run as slow, at most once in a window.

        Its entry may then move it to another agent.

        :param slowness: factor by which runs take longer at this endpoint.
        """
        if now - self._reported_at < RATE_WINDOW_SECONDS or not self._is_worth_moving(
            slowness
        ):
            return False
        self._reported_at = now
        return True

    def _is_worth_moving(self, slowness: float) -> bool:
        if not self.rate or slowness < SLOW_FACTOR:
            return False
        seconds_here = (1 - self.percent / 100) / self.rate
        seconds_elsewhere = 1 / self.rate / slowness
        return seconds_here > seconds_elsewhere + MOVE_COST_SECONDS


class ProgressSample(NamedTuple):
    """Progress of one run, with the job it belongs to and its predicted run time."""

    job: str
    progress: RunProgress
    expected: float


class Slowness:
    """Factor by which runs at one endpoint take longer than predicted.

    It is measured by the progress of current runs at the endpoint's agent. The results
    of slow runs come late, and entries that relied on them would keep sending runs.
    """

    def __init__(self, now: float) -> None:
        self._measured = 1.0
        self._measured_at = now

    def update(self, samples: Iterable[ProgressSample], now: float) -> None:
        """Update the slowness from the progress of the current runs."""
        ratios: dict[str, list[float]] = defaultdict(list)
        for job, progress, expected in samples:
            if progress.rate:
                ratios[job].append(1 / progress.rate / max(expected, 1e-3))
        # A slow endpoint gets few runs, so a single job is enough to show that it has
        # recovered.
        min_jobs = MIN_SAMPLED_JOBS if self._measured < SLOW_FACTOR else 1
        if len(ratios) >= min_jobs:
            self._measured = median(median(each) for each in ratios.values())
            self._measured_at = now

    def estimate(self, now: float) -> float:
        """Return the slowness, or 1 if the endpoint isn't clearly slow.

        The value decays towards 1 over time, because a slow endpoint gets hardly any
        runs that could show that it has recovered.
        """
        if self._measured < SLOW_FACTOR:
            return 1.0
        remaining = math.exp((self._measured_at - now) / SLOWNESS_DECAY_SECONDS)
        return 1.0 + (self._measured - 1.0) * remaining
