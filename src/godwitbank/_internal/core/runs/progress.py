"""Progress of runs: stalled runs, slow endpoints, and runs worth moving."""

import math
from collections import defaultdict, deque
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

MIN_RATE_PERCENT = 3
"""Percent of progress from which a rate is measured. With fewer, the rounding to whole
percent alone could make a rate look as low as that of a slow endpoint."""

MAX_RATE_WINDOW_SECONDS = 1.0
"""Seconds after which a rate is measured even if it is based on little progress. Long
runs at a slow endpoint advance by less than ``MIN_RATE_PERCENT`` in that time."""

MIN_SAMPLED_JOBS = 3
"""Jobs that must have runs at an endpoint before it can be found slow. The run time
predicted for a single job is wrong by 40 % and more, alike for all its runs."""

AGREEING_SHARE = 0.75
"""Share of the jobs that must be behind for their endpoint to be found slow. Long runs
remain longer and so are overrepresented among the current runs of a healthy endpoint,
but they are rarely three of four."""

SOUND_SHARE = 1 / 3
"""Share of the jobs that may be behind while their endpoint counts as healthy, so that
a run that is behind is taken for a long one."""

PROVEN_SECONDS = 0.5
"""Seconds after which a normal rate counts as proven: two rate windows. By then many
jobs are behind at an endpoint that turned slow, and rates measured since are dropped.
"""

RECENT_END_SECONDS = 0.25
"""Seconds for which an ended run counts as evidence, like a current run. Short runs end
before their rate is measured, so only the long ones would count without this. An
endpoint that turns slow is found that much later."""

SLOWNESS_DECAY_SECONDS = 2.0
"""Seconds in which a slowness that no run confirms decays to about a third. If it was
dropped at once, a slow endpoint would get new runs after each move, and they would be
late. If it was kept for long, an endpoint would stay idle after it has recovered."""

SLOW_FACTOR = 2.0
"""Slowness from which runs are moved; less is hardly worth repeating their work."""

MOVE_COST_SECONDS = 0.2
"""Estimated cost of a move in seconds: stopping the run, reaching the other agent, and
waiting there."""


MIN_EXPECTED_SECONDS = 1e-3
"""Lower bound of expected run times, in seconds; it avoids divisions by zero."""


class RunProgress:
    """Progress of one run, as reported by lease renewals.

    :ivar percent: last reported progress.
    :ivar last_progress_at: time at which the progress last changed.
    :ivar rate: share of the whole run that is done per second; ``None`` until measured.
    :ivar normal_rate: rate that was measured while the endpoint was healthy; ``None``
        until then.
    :ivar normal_since: time at which the normal rate was recorded.
    """

    __slots__ = (
        "percent",
        "last_progress_at",
        "rate",
        "normal_rate",
        "normal_since",
        "_window_percent",
        "_window_start",
        "_reported_at",
    )

    def __init__(self, now: float) -> None:
        self.percent = 0
        self.last_progress_at = now
        self.rate: float | None = None
        self.normal_rate: float | None = None
        self.normal_since = math.inf
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
        seconds = now - self._window_start
        advanced = percent - self._window_percent
        if seconds < RATE_WINDOW_SECONDS:
            return
        if advanced < MIN_RATE_PERCENT and seconds < MAX_RATE_WINDOW_SECONDS:
            return
        self.rate = advanced / 100 / seconds
        self._window_percent = percent
        self._window_start = now

    def record_normal_rate(self, now: float) -> None:
        """Take the measured rate for the run's normal one, unless there is one."""
        if self.normal_rate is None and self.rate is not None:
            self.normal_rate = self.rate
            self.normal_since = now

    def drop_unproven_rate(self, now: float) -> None:
        """Drop a normal rate that may have been measured at a slow endpoint."""
        if not self._is_proven(now):
            self.normal_rate = None

    def measure_raw_slowdown(self, expected: float, now: float) -> float | None:
        """Return by which factor the run is behind if only proven rates are normal."""
        if self._is_proven(now):
            return self.measure_slowdown(expected)
        if not self.rate:
            return None
        return 1 / max(expected, MIN_EXPECTED_SECONDS) / self.rate

    def _is_proven(self, now: float) -> bool:
        return self.normal_rate is not None and (
            now - self.normal_since >= PROVEN_SECONDS
        )

    def measure_slowdown(self, expected: float) -> float | None:
        """Return by which factor the run is behind, or ``None`` if not measured.

        A run that was measured while its endpoint was healthy is compared with itself:
        it may just be longer than predicted.

        :param expected: run time that is expected at this endpoint, in seconds.
        """
        if not self.rate:
            return None
        normal_rate = self.normal_rate or 1 / max(expected, MIN_EXPECTED_SECONDS)
        return normal_rate / self.rate

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
    """Progress of one run, with its job and the run time expected at its endpoint."""

    job: str
    progress: RunProgress
    expected: float


class EndedRun(NamedTuple):
    """A run that ended lately.

    :param slowdown: its run time as a multiple of the expected one.
    :param at: time of its end, in seconds.
    """

    job: str
    slowdown: float
    at: float


class Slowness:
    """Factor by which runs at one endpoint take longer than is normal there.

    It is measured by the progress of current runs at the endpoint's agent. The results
    of slow runs come late, and entries that relied on them would keep sending runs.

    A run that takes several times as long as predicted is no evidence by itself. Most
    runs of several jobs must be behind at the same time.
    """

    def __init__(self, now: float) -> None:
        self._measured = 1.0
        self._measured_at = now
        self._ended: deque[EndedRun] = deque()

    @property
    def is_slow(self) -> bool:
        """Whether the endpoint was slow when it was last measured."""
        return self._measured >= SLOW_FACTOR

    def record_end(self, job: str, elapsed: float, expected: float, now: float) -> None:
        """Record a run that was completed.

        :param elapsed: run time, in seconds.
        :param expected: run time that is expected at this endpoint, in seconds.
        """
        slowdown = elapsed / max(expected, MIN_EXPECTED_SECONDS)
        self._ended.append(EndedRun(job, slowdown, now))

    def update(self, samples: Iterable[ProgressSample], now: float) -> None:
        """Update the slowness from the current runs and those that ended lately."""
        samples = list(samples)
        self._update_normal_rates(samples, now)
        factors = self._list_job_factors(
            (job, progress.measure_slowdown(expected))
            for job, progress, expected in samples
        )
        # A slow endpoint gets few runs, so a single job is enough to show that it has
        # recovered.
        min_jobs = 1 if self.is_slow else MIN_SAMPLED_JOBS
        if len(factors) < min_jobs:
            return
        self._measured = factors[int((1 - AGREEING_SHARE) * len(factors))]
        self._measured_at = now

    def _update_normal_rates(self, samples: list[ProgressSample], now: float) -> None:
        """Record normal rates, or drop unproven ones if too many jobs are behind."""
        while self._ended and now - self._ended[0].at > RECENT_END_SECONDS:
            self._ended.popleft()
        factors = self._list_job_factors(
            (job, progress.measure_raw_slowdown(expected, now))
            for job, progress, expected in samples
        )
        if len(factors) < MIN_SAMPLED_JOBS:
            return
        behind = sum(factor >= SLOW_FACTOR for factor in factors)
        is_sound = behind <= SOUND_SHARE * len(factors)
        for sample in samples:
            if is_sound:
                sample.progress.record_normal_rate(now)
            else:
                sample.progress.drop_unproven_rate(now)

    def _list_job_factors(
        self, slowdowns: Iterable[tuple[str, float | None]]
    ) -> list[float]:
        """List the median slowdown of each job's runs, in ascending order.

        :param slowdowns: the job and the slowdown of each current run.
        """
        by_job: dict[str, list[float]] = defaultdict(list)
        for ended in self._ended:
            by_job[ended.job].append(ended.slowdown)
        for job, slowdown in slowdowns:
            if slowdown is not None:
                by_job[job].append(slowdown)
        return sorted(median(each) for each in by_job.values())

    def estimate(self, now: float) -> float:
        """Return the slowness, or 1 if the endpoint isn't clearly slow.

        The value decays towards 1 over time, because a slow endpoint gets hardly any
        runs that could show that it has recovered.
        """
        if not self.is_slow:
            return 1.0
        remaining = math.exp((self._measured_at - now) / SLOWNESS_DECAY_SECONDS)
        return 1.0 + (self._measured - 1.0) * remaining
