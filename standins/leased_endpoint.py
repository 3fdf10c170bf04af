"""An endpoint that runs leased tasks, driven by the time it is told.

It guards nothing: it starts whatever it is told, over its capacity and twice,
and writes down what it should not have been told.
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

WARM_UP_FACTOR = 3.0
"""How many times as long a run takes on an endpoint that is cold."""


class Behaviour(NamedTuple):
    """How tasks run here.

    :param speed: factor on run times.
    :param fails: every task fails at once.
    :param hangs: no task moves.
    :param unhealthy: starts are turned away.
    """

    speed: float = 1.0
    fails: bool = False
    hangs: bool = False
    unhealthy: bool = False


class ActiveRun:
    """A run at work."""

    def __init__(self, task: str, run: int, began: float, seconds: float) -> None:
        self.task = task
        self.run = run
        self.began = began
        self.seconds = seconds
        self.stop_at: float | None = None


class EndedRun(NamedTuple):
    """A run that has ended, and when it really did.

    The endpoint may notice an end later than it came; times are those of the
    caller's clock.
    """

    task: str
    run: int
    began: float
    ended: float
    end: str


class FakeEndpoint:
    """One boot of an endpoint."""

    def __init__(
        self,
        instance: str,
        service: str,
        capacity: Resources,
        clock_base_ms: int = 10**6,
        max_lease_seconds: float = 1.0,
    ) -> None:
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
        self.warming_up_until = 0.0
        self.started: list[tuple[float, str, int]] = []
        self.ended_runs: list[EndedRun] = []
        self._clock_base_ms = clock_base_ms
        self._number = 0
        self._sequence = 0

    def clock(self, now: float) -> int:
        """Read the endpoint's own clock, in milliseconds."""
        return self._clock_base_ms + int(now * 1000 * self.clock_rate)

    def make_report(self, now: float) -> EndpointReport:
        """Make the next report."""
        self._sequence += 1
        return EndpointReport(
            self.instance,
            self.service,
            self.capacity,
            ("a", "rack-1"),
            self.draining,
            self.clock(now),
            self._sequence,
            "endpoint:1",
            max(0.0, self.warming_up_until - now),
        )

    def advance(self, now: float) -> None:
        """End what is due."""
        lapsed = self.clock(now) >= self.lease_until
        for run in list(self.active_runs.values()):
            done_at = run.began + run.seconds
            if run.stop_at is not None and now >= run.stop_at:
                self._end(run, RunEnd.STOPPED, run.stop_at)
            elif lapsed:
                self._end(run, RunEnd.LOST, self._read_lapse())
            elif now >= done_at and not self.behaviour.hangs:
                failed = self.behaviour.fails
                self._end(run, RunEnd.FAILED if failed else RunEnd.DONE, done_at)

    def _read_lapse(self) -> float:
        return (self.lease_until - self._clock_base_ms) / 1000 / self.clock_rate

    def _end(self, run: ActiveRun, end: RunEnd, at: float) -> None:
        del self.active_runs[run.task]
        self.ended_runs.append(EndedRun(run.task, run.run, run.began, at, end))
        self._number += 1
        self.unacknowledged_ends.append(
            ListedEnd(self._number, run.task, run.run, end, "")
        )

    def _extend(self, until: int | None, now: float) -> None:
        if until is not None:
            longest = self.clock(now) + int(self._max_lease_seconds * 1000)
            self.lease_until = max(self.lease_until, min(until, longest))

    def start(self, order: OrderStart, now: float, seconds: float) -> StartAnswered:
        """Take an order to start."""
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
        present = self.active_runs.get(order.task)
        if present is not None and present.run == order.run:
            return answer(StartVerdict.STARTED)
        if order.run <= self.highest_runs.get(order.task, 0):
            return answer(StartVerdict.SUPERSEDED)
        self._extend(order.lease_until, now)
        self.highest_runs[order.task] = order.run
        slow = WARM_UP_FACTOR if now < self.warming_up_until else 1.0
        seconds *= self.behaviour.speed * slow
        seconds = 0.02 if self.behaviour.fails else seconds
        self.active_runs[order.task] = ActiveRun(order.task, order.run, now, seconds)
        self.started.append((now, order.task, order.run))
        return answer(StartVerdict.STARTED)

    def stop(self, order: OrderStop, now: float) -> None:
        """Take an order to stop."""
        self.advance(now)
        if order.instance != self.instance or order.token < self.token:
            return
        self.token = order.token
        run = self.active_runs.get(order.task)
        if run is not None and run.run == order.run:
            run.stop_at = now + STOP_GRACE_SECONDS
        self.highest_runs[order.task] = max(
            self.highest_runs.get(order.task, 0), order.run
        )

    def renew_lease(
        self, order: RenewLease, now: float
    ) -> RenewalAnswered | RenewalFailed:
        """Take a lease renewal and answer with the lists."""
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
        """List what runs and what ended since the last that was seen."""
        self.advance(now)
        running = tuple(
            ListedRun(run.task, run.run, "", self._measure(run, now))
            for run in self.active_runs.values()
        )
        ended = tuple(
            end for end in self.unacknowledged_ends if end.number > order.seen
        )
        return RenewalAnswered(
            order.renewal, running, ended, self.clock(now), self.instance
        )

    def _measure(self, run: ActiveRun, now: float) -> int:
        if self.behaviour.hangs:
            return 0
        return min(99, int(100 * (now - run.began) / run.seconds))
