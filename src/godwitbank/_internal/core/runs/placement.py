"""Choice of the agent that gets a run."""

from random import Random
from typing import NamedTuple

from godwitbank._internal.core.runs.deployment import DEFAULT_DEPLOYMENT
from godwitbank._internal.core.runs.fleet import AgentView
from godwitbank._internal.core.runs.jobs import Task
from godwitbank._internal.core.runs.policy import DEFAULT_POLICY, Policy
from godwitbank._internal.core.runs.progress import SLOW_FACTOR

MAX_PARKED_PER_AGENT = 1
"""Runs that an entry may park at one agent. Everything that becomes free there is kept
for these runs."""

MAX_PASSED_OVER = 8
"""Smaller tasks that may overtake one that fits no agent. After that it is parked at an
agent, which keeps for it what becomes free there. Otherwise a large task would starve.

All other tasks wait at the entry, which costs each start the latency between entry and
agent. A parked task is bound to its agent: if all were parked, the last task of a job
would wait for the slowest agent, and capacity too small for a parked task would stay
idle."""

FULL_AGENT_PENALTY = 0.15
"""Penalty for a nearly full agent against an empty one, as a share of the run time.
Other entries may be placing runs there concurrently, and the run would have to wait."""

OTHER_ZONE_PENALTY = 0.01
"""Penalty for an agent in another availability zone, as a share of the run time. It
only breaks ties, because traffic between zones is billed."""


MIN_TASK_SECONDS = 0.05
"""Lower bound of the run time that an agent's lag is compared with, in seconds."""

SAMPLE_SIZE = 8
"""Agents that are compared first if more have free capacity. The best of this many is
hardly worse than the best of all, and entries that choose at the same time choose
different ones."""


class Placement(NamedTuple):
    """The agent for a run, and whether the run is parked there until it fits."""

    view: AgentView
    parked: bool


class AgentChooser:
    """Chooses the agent where a run is expected to end first.

    :param zone: availability zone of this entry.
    :param now: time of the choice, in seconds.
    :param off_rack_factor: factor by which a task takes longer away from its data.
    """

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
        """Choose an agent for a task, or ``None`` if the task has to wait.

        Waiting for free capacity costs less than a run that takes several times as
        long, so slow endpoints come last even if they are free.

        While all agents are full, this is called for the same waiting tasks again and
        again. It must return early then, or each new job would cost the entry more
        processor time the more tasks wait.
        """
        if self._should_park(task):
            return self._choose_by_speed(views, task)
        cpu = task.step_spec.needs.cpu
        with_capacity = [view for view in views if view.free.cpu >= cpu]
        if not with_capacity:
            return None
        warmed_up = [view for view in with_capacity if not view.cold]
        if warmed_up and len(warmed_up) < len(with_capacity):
            placement = self._choose_by_speed(warmed_up, task)
            if placement is not None and not _is_slow(placement.view):
                return placement
        if len(with_capacity) > SAMPLE_SIZE:
            candidates = self._rng.sample(with_capacity, SAMPLE_SIZE)
            placement = self._choose_by_speed(candidates, task)
            if placement is not None and not _is_slow(placement.view):
                return placement
        placement = self._choose_by_speed(with_capacity, task)
        if placement is None or not _is_slow(placement.view):
            return placement
        # Only slow agents are free. Whether to wait for a fast one depends on the full
        # agents, too.
        return self._choose_by_speed(views, task)

    def _choose_by_speed(self, views: list[AgentView], task: Task) -> Placement | None:
        allowed = [view for view in views if _is_allowed(view, task, self._now)]
        if not self._policy.slow_last:
            return self._choose_from(allowed, task)
        fast = [view for view in allowed if not _is_slow(view)]
        slow = [view for view in allowed if _is_slow(view)]
        placement = self._choose_from(fast, task)
        if placement is not None:
            return placement
        if fast and self._policy.wait_for_brisk:
            slow = [view for view in slow if self._ends_in_time(view, task)]
        return self._choose_from(slow, task)

    def _ends_in_time(self, view: AgentView, task: Task) -> bool:
        job = task.job
        end = self._now + view.slowdown_factor * task.expected
        return end <= job.arrival + job.objective

    def _choose_from(self, allowed: list[AgentView], task: Task) -> Placement | None:
        preferred = [view for view in allowed if view.address not in task.avoid]
        needs = task.step_spec.needs
        for candidates in (preferred, allowed):
            with_capacity = [view for view in candidates if needs.fits(view.free)]
            if with_capacity:
                return Placement(
                    min(with_capacity, key=lambda view: self._score(view, task)), False
                )
        if not self._should_park(task):
            return None
        for candidates in (preferred, allowed):
            parkable = [view for view in candidates if _may_park(view, task)]
            if parkable:
                return Placement(min(parkable, key=self._score_for_parking), True)
        return None

    def _should_park(self, task: Task) -> bool:
        return task.passed_over >= MAX_PASSED_OVER and self._policy.parking

    def _score(self, view: AgentView, task: Task) -> float:
        factor = view.slowdown_factor
        rack = task.step_spec.rack
        if rack and rack not in view.labels:
            factor *= self._off_rack_factor
        if self._policy.fullness:
            used_share = 1 - view.free.cpu / max(view.capacity.cpu, 1)
            factor *= 1 + FULL_AGENT_PENALTY * used_share
        if view.zone != self._zone:
            factor *= 1 + OTHER_ZONE_PENALTY
        # An agent that lacks processor time acts on the order late, however much
        # capacity its endpoint has.
        factor += view.lag / max(task.expected, MIN_TASK_SECONDS)
        return factor * (1 + 0.02 * self._rng.random())

    def _score_for_parking(self, view: AgentView) -> float:
        parked = view.own_parked + view.parked_by_others + self._rng.random()
        return parked * view.slowdown_factor / max(view.capacity.cpu, 1)


def _is_slow(view: AgentView) -> bool:
    return view.slowdown_factor >= SLOW_FACTOR


def _is_allowed(view: AgentView, task: Task, now: float) -> bool:
    step_spec = task.step_spec
    if task.name in view.tasks or not step_spec.needs.fits(view.capacity):
        return False
    if view.link.is_overdue(now):
        return False
    if step_spec.label and step_spec.label not in view.labels:
        return False
    if step_spec.spread and view.count_runs_of_step(task) >= step_spec.spread:
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
