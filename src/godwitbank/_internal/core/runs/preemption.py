"""Choice of a run that gives way to a more urgent one.

Work that is stopped is lost. So it happens seldom: only for a task that would be late,
only to a run that has hardly begun, and only if the stopped task can start again in
time.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from godwitbank._internal.core.runs.held_runs import (
    LATE_RANK_SECONDS,
    HeldRun,
    RunState,
)
from godwitbank._internal.models.resources import Resources

STOP_SECONDS = 0.055
"""Seconds until a stopped run has released its capacity, and the entry that waits for
it has sent its start."""

MAX_WAIT_SECONDS = 0.1
"""Seconds until its latest start from which a task can wait for other capacity: its
entry asks again before then."""

MAX_PROGRESS = 0.25
"""Share of a run that may be lost."""

MIN_RESTART_SLACK_SECONDS = 0.2
"""Seconds that the stopped task's latest start must be away: it is stopped, goes back
to its entry and waits for capacity again."""

MIN_INTERVAL_SECONDS = 0.25
"""Seconds between two preemptions at one agent. It bounds the work that is lost if
estimates are wrong."""


class UrgentNeed(NamedTuple):
    """What an urgent task needs.

    :param start_in: seconds until it must start at the latest.
    """

    priority: int
    needs: Resources
    start_in: float


class Preemption:
    """Chooses the runs to stop at one agent."""

    def __init__(self) -> None:
        self._next_at = -math.inf

    def choose(
        self, need: UrgentNeed, free: Resources, placed: Iterable[HeldRun], now: float
    ) -> HeldRun | None:
        """Choose a run to stop, or ``None`` if none should give way.

        :param free: resources that no run uses.
        :param placed: the runs that use the others.
        """
        if not STOP_SECONDS <= need.start_in <= MAX_WAIT_SECONDS or now < self._next_at:
            return None
        if need.needs.fits(free):
            return None
        placed = list(placed)
        if any(_frees_in_time(run, need, free, now) for run in placed):
            return None
        candidates = [run for run in placed if _may_stop(run, need, free, now)]
        if not candidates:
            return None
        self._next_at = now + MIN_INTERVAL_SECONDS
        return min(candidates, key=lambda run: _measure_lost_work(run, now))


def _frees_in_time(run: HeldRun, need: UrgentNeed, free: Resources, now: float) -> bool:
    """Return whether a run ends, as expected or stopped, before the task must start."""
    if not need.needs.fits(free + run.needs):
        return False
    ends_at = run.ordered_at + run.order.expected
    return run.state is RunState.STOPPING or now < ends_at <= now + need.start_in


def _may_stop(run: HeldRun, need: UrgentNeed, free: Resources, now: float) -> bool:
    order = run.order
    if run.state is not RunState.RUNNING or run.stop_reason or not order.preemptible:
        return False
    if order.priority <= need.priority or not need.needs.fits(free + run.needs):
        return False
    is_late = order.rank_in >= LATE_RANK_SECONDS
    if is_late or run.rank - now < MIN_RESTART_SLACK_SECONDS:
        return False
    progress = max(
        run.progress.percent / 100, (now - run.ordered_at) / max(order.expected, 1e-3)
    )
    return progress <= MAX_PROGRESS


def _measure_lost_work(run: HeldRun, now: float) -> float:
    return (now - run.ordered_at) * run.needs.cpu
