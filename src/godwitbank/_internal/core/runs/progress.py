"""How fast runs get on at an endpoint, and which would end sooner elsewhere."""

import math
from collections import defaultdict
from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

STALL_SECONDS = 0.5
"""Seconds without progress after which a run counts as standing still.

Progress is told in whole percent with every renewal (0.12 s apart); a run of some
seconds moves several times in this span.
"""

STALL_EXPECTED_PERCENT = 10.0
"""Expected seconds for one percent of progress that must have passed, too."""

RATE_WINDOW_SECONDS = 0.25
"""Seconds over which a rate is taken: two renewals. Shorter ones are blurred by the
whole percents, longer ones notice a slow endpoint late."""

MIN_SAMPLED_JOBS = 3
"""Jobs whose runs it takes to call an endpoint slow. What is expected of one job is
wrong by 40 % and more, for all its runs alike; the median of three is rarely wrong by
``SLOW_FACTOR``."""

SLOWNESS_DECAY_SECONDS = 2.0
"""Seconds in which a slowness that nothing confirms fades to a third. An endpoint that
is forgotten at once gets new work after each move, which is then late; one that is
remembered for long stays idle after it is well."""

SLOW_FACTOR = 2.0
"""Slowness from which runs are moved; above what sound kinds of endpoint differ by."""

MOVE_COST_SECONDS = 0.2
"""Seconds a move costs: until the run has stopped, the way to another agent, and some
waiting there."""


class RunProgress:
    """How far one run is, as told by renewals."""

    __slots__ = ("percent", "last_progress_at", "rate", "_mark", "_mark_at", "_told_at")

    def __init__(self, now: float) -> None:
        self.percent = 0
        self.last_progress_at = now
        self.rate: float | None = None
        """Share of the whole run done in a second; ``None`` before it is known."""
        self._mark = 0
        self._mark_at = now
        self._told_at = -math.inf

    def restart(self, now: float) -> None:
        """Count from now: the run is ordered at the endpoint."""
        self.last_progress_at = self._mark_at = now

    def update(self, percent: int, now: float) -> None:
        """Note what a renewal told."""
        if percent != self.percent:
            self.percent = percent
            self.last_progress_at = now
        if now - self._mark_at >= RATE_WINDOW_SECONDS:
            self.rate = (percent - self._mark) / 100 / (now - self._mark_at)
            self._mark = percent
            self._mark_at = now

    def is_stalled(self, expected: float, now: float) -> bool:
        """Tell whether a run stands still.

        :param expected: run time expected, in seconds.
        """
        return (
            now - self.last_progress_at
            > STALL_SECONDS + STALL_EXPECTED_PERCENT * expected / 100
        )

    def should_report_slow(self, slowness: float, now: float) -> bool:
        """Tell whether a run is to be offered for a move, once in a window.

        :param slowness: how many times as long runs take at this endpoint.
        """
        if now - self._told_at < RATE_WINDOW_SECONDS or not self._is_slow(slowness):
            return False
        self._told_at = now
        return True

    def _is_slow(self, slowness: float) -> bool:
        if not self.rate or slowness < SLOW_FACTOR:
            return False
        left_here = (1 - self.percent / 100) / self.rate
        anew_elsewhere = 1 / self.rate / slowness
        return left_here > anew_elsewhere + MOVE_COST_SECONDS


class ProgressSample(NamedTuple):
    """One run's progress and what was expected of it."""

    job: str
    progress: RunProgress
    expected: float


class Slowness:
    """How many times as long runs take at one endpoint as was expected of them.

    The endpoint alone shows it at once: results of slow runs come late, and entries
    that wait for them go on sending it work.
    """

    def __init__(self, now: float) -> None:
        self._measured = 1.0
        self._measured_at = now

    def update(self, samples: Iterable[ProgressSample], now: float) -> None:
        """Note the progress of what runs there."""
        ratios: dict[str, list[float]] = defaultdict(list)
        for job, progress, expected in samples:
            if progress.rate:
                ratios[job].append(1 / progress.rate / max(expected, 1e-3))
        # A single run shows that a slow endpoint is well again: few are sent there.
        enough = MIN_SAMPLED_JOBS if self._measured < SLOW_FACTOR else 1
        if len(ratios) >= enough:
            self._measured = median(median(each) for each in ratios.values())
            self._measured_at = now

    def estimate(self, now: float) -> float:
        """Tell the slowness; 1 unless it is beyond doubt.

        It fades: an endpoint that is known to be slow gets hardly any runs that
        could show that it is well again.
        """
        if self._measured < SLOW_FACTOR:
            return 1.0
        faded = math.exp((self._measured_at - now) / SLOWNESS_DECAY_SECONDS)
        return 1.0 + (self._measured - 1.0) * faded
