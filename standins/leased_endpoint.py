"""An endpoint that runs leased tasks; the caller passes in the time.

It doesn't prevent overload or duplicate runs: it starts runs beyond its capacity, and
a later run of a task while an earlier one is active. It records starts and ends, so
that tests can detect orders that should not have been given.
"""

from typing import NamedTuple

from godwitbank._internal.core.runs.events import (
    OrderStart,
    OrderStop,
    RenewalAnswered,
    RenewalFailed,
    RenewLease,
    StartAnswered,
)
from godwitbank._internal.core.runs.verdicts import RenewalVerdict, StartVerdict
from godwitbank._internal.models.jobs import (
    EndpointReport,
    ListedEnd,
    ListedRun,
    RunEnd,
)
from godwitbank._internal.models.resources import Resources

STOP_GRACE_SECONDS = 0.05
"""Seconds from an order to stop a run until the run ends."""

WARM_UP_FACTOR = 3.0
"""Factor on the run times of runs that start while the endpoint is warming up."""


class Behaviour(NamedTuple):
    """How the endpoint runs tasks.

    :param speed: factor on run times; 2.0 makes runs take twice as long.
    :param fails: whether tasks fail; those started meanwhile fail after 0.02 s.
    :param hangs: whether tasks make no progress and never complete.
    :param unhealthy: whether starts are refused.
    """

    speed: float = 1.0
    fails: bool = False
    hangs: bool = False
    unhealthy: bool = False


class ActiveRun:
    """A run in progress."""

    def __init__(self, task: str, run: int, began: float, seconds: float) -> None:
        self.task = task
        self.run = run
        self.began = began
        self.seconds = seconds
        self.stop_at: float | None = None


class EndedRun(NamedTuple):
    """A run that has ended.

    :param began: start, in seconds on the caller's clock.
    :param ended: actual end, in seconds on the caller's clock; the endpoint may
        detect the end later.
    """

    task: str
    run: int
    began: float
    ended: float
    end: str


class FakeEndpoint:
    """An endpoint from one boot to the next.

    Its own clock runs at ``clock_rate`` times the speed of the caller's clock.

    :param instance: id of this boot.
    :param clock_base_ms: reading of its own clock when the caller's clock is at 0.
    :param max_lease_seconds: longest lease that the endpoint accepts; it shortens
        longer ones.
    :param born: Unix time of its start in milliseconds; 0 if it doesn't tell.
    """

    def __init__(
        self,
        instance: str,
        service: str,
        capacity: Resources,
        clock_base_ms: int = 10**6,
        max_lease_seconds: float = 1.0,
        born: int = 0,
    ) -> None:
        self.born = born
        self._max_lease_seconds = max_lease_seconds
        self.instance = instance
        self.service = service
        self.capacity = capacity
        self.behaviour = Behaviour()
        self.active_runs: dict[str, ActiveRun] = {}
        self.unacknowledged_ends: list[ListedEnd] = []
        self.highest_runs: dict[str, int] = {}
        self.token = 0
        self.lease_until = 0
        self.clock_rate = 0.98
        self.draining = False
        self.labels = ("a", "rack-1")
        self.remaining: float | None = None
        self.warming_up_until = 0.0
        self.started: list[tuple[float, str, int]] = []
        self.ended_runs: list[EndedRun] = []
        self._clock_base_ms = clock_base_ms
        self._last_end_number = 0
        self._sequence = 0

    def clock(self, now: float) -> int:
        """Read the endpoint's own clock, in milliseconds.

        :param now: time on the caller's clock, in seconds.
        """
        return self._clock_base_ms + int(now * 1000 * self.clock_rate)

    def make_report(self, now: float) -> EndpointReport:
        """Make the next report, with the next sequence number."""
        self._sequence += 1
        return EndpointReport(
            self.instance,
            self.service,
            self.capacity,
            self.labels,
            self.draining,
            self.clock(now),
            self._sequence,
            "endpoint:1",
            max(0.0, self.warming_up_until - now),
            self.born,
            self.remaining if self.draining else None,
        )

    def advance(self, now: float) -> None:
        """End the runs that were stopped, lost their lease or have completed by now."""
        lapsed = self.clock(now) >= self.lease_until
        for run in list(self.active_runs.values()):
            done_at = run.began + run.seconds
            if run.stop_at is not None and now >= run.stop_at:
                self._end(run, RunEnd.STOPPED, run.stop_at)
            elif lapsed:
                self._end(run, RunEnd.LOST, self._compute_lapse_time())
            elif now >= done_at and not self.behaviour.hangs:
                failed = self.behaviour.fails
                self._end(run, RunEnd.FAILED if failed else RunEnd.DONE, done_at)

    def _compute_lapse_time(self) -> float:
        return (self.lease_until - self._clock_base_ms) / 1000 / self.clock_rate

    def _end(self, run: ActiveRun, end: RunEnd, at: float) -> None:
        del self.active_runs[run.task]
        self.ended_runs.append(EndedRun(run.task, run.run, run.began, at, end))
        self._last_end_number += 1
        self.unacknowledged_ends.append(
            ListedEnd(self._last_end_number, run.task, run.run, end, "")
        )

    def _extend(self, until: int | None, now: float) -> None:
        if until is not None:
            latest = self.clock(now) + int(self._max_lease_seconds * 1000)
            self.lease_until = max(self.lease_until, min(until, latest))

    def start(self, order: OrderStart, now: float, seconds: float) -> StartAnswered:
        """Handle an order to start a run.

        :param seconds: run time at normal speed, in seconds.
        """
        self.advance(now)

        def answer(verdict: StartVerdict) -> StartAnswered:
            clock = self.clock(now)
            return StartAnswered(order.task, order.run, verdict, order.token, clock)

        if order.instance != self.instance:
            return answer(StartVerdict.OTHER_INSTANCE)
        if self.behaviour.unhealthy:
            return answer(StartVerdict.UNHEALTHY)
        if order.token < self.token:
            return answer(StartVerdict.FENCED)
        self.token = order.token
        if self.clock(now) >= order.lease_until:
            return answer(StartVerdict.LAPSED)
        current = self.active_runs.get(order.task)
        if current is not None and current.run == order.run:
            return answer(StartVerdict.STARTED)
        if order.run <= self.highest_runs.get(order.task, 0):
            return answer(StartVerdict.SUPERSEDED)
        self._extend(order.lease_until, now)
        self.highest_runs[order.task] = order.run
        warm_up_factor = WARM_UP_FACTOR if now < self.warming_up_until else 1.0
        seconds *= self.behaviour.speed * warm_up_factor
        seconds = 0.02 if self.behaviour.fails else seconds
        self.active_runs[order.task] = ActiveRun(order.task, order.run, now, seconds)
        self.started.append((now, order.task, order.run))
        return answer(StartVerdict.STARTED)

    def stop(self, order: OrderStop, now: float) -> None:
        """Handle an order to stop a run."""
        self.advance(now)
        if order.instance != self.instance or order.token < self.token:
            return
        self.token = order.token
        run = self.active_runs.get(order.task)
        if run is not None and run.run == order.run and run.stop_at is None:
            run.stop_at = now + STOP_GRACE_SECONDS
        self.highest_runs[order.task] = max(
            self.highest_runs.get(order.task, 0), order.run
        )

    def renew_lease(
        self, order: RenewLease, now: float
    ) -> RenewalAnswered | RenewalFailed:
        """Handle a lease renewal; answer with the active and the ended runs."""
        self.advance(now)
        clock = self.clock(now)
        if order.instance != self.instance:
            return RenewalFailed(order.renewal, RenewalVerdict.OTHER_INSTANCE, clock)
        if order.token < self.token:
            return RenewalFailed(order.renewal, RenewalVerdict.FENCED, clock)
        self.token = order.token
        self._extend(order.lease_until, now)
        self.unacknowledged_ends = [
            end for end in self.unacknowledged_ends if end.number > order.seen
        ]
        return self.list_runs(order, now)

    def list_runs(self, order: RenewLease, now: float) -> RenewalAnswered:
        """List the active runs, and the ends with a number above ``order.seen``."""
        self.advance(now)
        running = tuple(
            ListedRun(run.task, run.run, "", self._compute_progress(run, now))
            for run in self.active_runs.values()
        )
        ended = tuple(
            end for end in self.unacknowledged_ends if end.number > order.seen
        )
        clock = self.clock(now)
        return RenewalAnswered(
            order.renewal, running, ended, clock, self.instance, self.born
        )

    def _compute_progress(self, run: ActiveRun, now: float) -> int:
        if self.behaviour.hangs:
            return 0
        return min(99, int(100 * (now - run.began) / run.seconds))
