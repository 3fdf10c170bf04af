"""Which agent gets a run."""

from random import Random
from typing import NamedTuple

from godwitbank._internal.core.runs.deployment import DEFAULT_DEPLOYMENT
from godwitbank._internal.core.runs.fleet import AgentView
from godwitbank._internal.core.runs.jobs import Task
from godwitbank._internal.core.runs.policy import DEFAULT_POLICY, Policy
from godwitbank._internal.core.runs.progress import SLOW_FACTOR

MAX_PARKED_PER_AGENT = 1
"""Runs an entry may leave waiting at one agent; all room there is kept for them."""

MAX_PASSED_OVER = 8
"""Smaller tasks that go before one that finds no room; then it waits at an agent, which
keeps for it what becomes free there. A large task would starve otherwise.

No other task waits at an agent: bound to one, a job's last task waits for the slowest,
and room that is too small for it stays idle. It costs the way from entry to agent for
each start."""

FULL_AGENT_PENALTY = 0.15
"""Share of the run time that a nearly full agent costs against an empty one:
other entries may be placing there at this moment, and the run would wait."""

OTHER_ZONE_PENALTY = 0.01
"""Share of the run time that another availability zone costs; breaks ties, as
bytes between zones are paid for."""


MIN_TASK_SECONDS = 0.05
"""Seconds that a task counts for at least against its agent's lateness."""

SAMPLE_SIZE = 8
"""Agents looked at first. Where there are more, the best of so many is hardly worse
than the best of all, and entries that choose at one moment choose different ones."""


class Placement(NamedTuple):
    """Where a run goes, and whether it must wait there for room."""

    view: AgentView
    parked: bool


class AgentChooser:
    """Chooses the agent where a run is expected to end first."""

    def __init__(
        self,
        zone: str,
        rng: Random,
        now: float,
        policy: Policy = DEFAULT_POLICY,
        off_rack_factor: float = DEFAULT_DEPLOYMENT.off_rack_factor,
    ) -> None:
        self._off_rack_factor = off_rack_factor
        self._zone = zone
        self._rng = rng
        self._now = now
        self._policy = policy

    def choose(self, task: Task, views: list[AgentView]) -> Placement | None:
        """Choose for one task.

        A wait for room costs less than a run that takes several times as long, so
        slow endpoints come last, room or not.

        While all are full, tasks that wait are looked at over and over: then this
        must cost next to nothing, or jobs take the longer the more tasks wait.
        """
        if self._should_park(task):
            return self._choose_of_all(views, task)
        cpu = task.step_spec.needs.cpu
        roomy = [view for view in views if view.free.cpu >= cpu]
        if not roomy:
            return None
        warm = [view for view in roomy if not view.cold]
        if warm and len(warm) < len(roomy):
            place = self._choose_of_all(warm, task)
            if place is not None and not _is_slow(place.view):
                return place
        if len(roomy) > SAMPLE_SIZE:
            sample = self._rng.sample(roomy, SAMPLE_SIZE)
            place = self._choose_of_all(sample, task)
            if place is not None and not _is_slow(place.view):
                return place
        place = self._choose_of_all(roomy, task)
        if place is None or not _is_slow(place.view):
            return place
        # Whether to wait for another one depends on those that are full, too.
        return self._choose_of_all(views, task)

    def _choose_of_all(self, views: list[AgentView], task: Task) -> Placement | None:
        allowed = [view for view in views if _is_allowed(view, task, self._now)]
        if not self._policy.slow_last:
            return self._choose_among(allowed, task)
        brisk = [view for view in allowed if not _is_slow(view)]
        slow = [view for view in allowed if _is_slow(view)]
        place = self._choose_among(brisk, task)
        if place is not None:
            return place
        if brisk and self._policy.wait_for_brisk:
            slow = [view for view in slow if self._ends_in_time(view, task)]
        return self._choose_among(slow, task)

    def _ends_in_time(self, view: AgentView, task: Task) -> bool:
        job = task.job
        end = self._now + view.slowdown_factor * task.expected
        return end <= job.arrival + job.objective

    def _choose_among(self, allowed: list[AgentView], task: Task) -> Placement | None:
        untried = [view for view in allowed if view.address not in task.avoid]
        needs = task.step_spec.needs
        for candidates in (untried, allowed):
            roomy = [view for view in candidates if needs.fits(view.free)]
            if roomy:
                return Placement(
                    min(roomy, key=lambda view: self._score(view, task)), False
                )
        if not self._should_park(task):
            return None
        for candidates in (untried, allowed):
            short = [view for view in candidates if _may_park(view, task)]
            if short:
                return Placement(min(short, key=self._score_parked), True)
        return None

    def _should_park(self, task: Task) -> bool:
        return task.passed_over >= MAX_PASSED_OVER and self._policy.parking

    def _score(self, view: AgentView, task: Task) -> float:
        factor = view.slowdown_factor
        rack = task.step_spec.rack
        if rack and rack not in view.labels:
            factor *= self._off_rack_factor
        if self._policy.fullness:
            used = 1 - view.free.cpu / max(view.capacity.cpu, 1)
            factor *= 1 + FULL_AGENT_PENALTY * used
        if view.zone != self._zone:
            factor *= 1 + OTHER_ZONE_PENALTY
        # An agent without processor time acts on the order late, whatever room it has.
        factor += view.lag / max(task.expected, MIN_TASK_SECONDS)
        return factor * (1 + 0.02 * self._rng.random())

    def _score_parked(self, view: AgentView) -> float:
        parked = view.own_parked + view.parked_by_others + self._rng.random()
        return parked * view.slowdown_factor / max(view.capacity.cpu, 1)


def _is_slow(view: AgentView) -> bool:
    return view.slowdown_factor >= SLOW_FACTOR


def _is_allowed(view: AgentView, task: Task, now: float) -> bool:
    rules = task.step_spec
    if task.name in view.tasks or not rules.needs.fits(view.capacity):
        return False
    if view.link.is_overdue(now):
        return False
    if rules.label and rules.label not in view.labels:
        return False
    if rules.spread and view.count_runs_of_step(task) >= rules.spread:
        return False
    return view.health.allows_run(len(view.tasks), now)


def _may_park(view: AgentView, task: Task) -> bool:
    if view.own_parked < MAX_PARKED_PER_AGENT:
        return True
    more_urgent = sum(
        other.parked and other.job.rank <= task.job.rank
        for other in view.tasks.values()
    )
    return more_urgent < MAX_PARKED_PER_AGENT
