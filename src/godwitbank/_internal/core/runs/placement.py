"""Choice of the agent that gets a run."""

from random import Random
from typing import NamedTuple

from godwitbank._internal.core.runs.deployment import DEFAULT_DEPLOYMENT
from godwitbank._internal.core.runs.fleet import AgentView
from godwitbank._internal.core.runs.jobs import Task
from godwitbank._internal.core.runs.policy import DEFAULT_POLICY, Policy
from godwitbank._internal.core.runs.progress import SLOW_FACTOR
from godwitbank._internal.core.runs.slack import TaskSlack

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


LATENESS_WEIGHT = 2.0
"""Weight of a task's probability to be late against the share of its run time that
other penalties stand for: a late result is worth less than any room it saves."""

MAX_LATENESS = 0.5
"""Probability to be late above which a task waits for a faster endpoint, as long as it
would still end in time there."""

FAST_ROOM_PENALTY = 0.3
"""Penalty for an endpoint of nominal speed, doubled at twice the speed. Fast endpoints
are left to tasks that would be late elsewhere. Above ``FULL_AGENT_PENALTY``, or slow
endpoints would only be used once the fast ones are full."""

RACK_PRESSURE_PENALTY = 0.5
"""Penalty for an agent in a rack that other tasks need, if its share of the demand is
as large as its share of the room. Above ``FAST_ROOM_PENALTY`` and
``FULL_AGENT_PENALTY``: where the data is matters more to those tasks than the
endpoint's speed does to this one."""

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
    """Chooses agents so that tasks end in time and leave fast endpoints to others.

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
        self.rack_pressure: dict[str, float] = {}
        """How much each rack is in demand by tasks with data there, from 0 to 1."""
        self._all_views: list[AgentView] = []
        self._slack = TaskSlack(0.0, 0.0, 0.0)
        self._lateness: dict[float, float] = {}
        self._can_wait: bool | None = None
        self._is_late = False

    def choose(
        self, task: Task, views: list[AgentView], all_views: list[AgentView]
    ) -> Placement | None:
        """Choose an agent for a task, or ``None`` if the task has to wait.

        :param views: the agents to choose from.
        :param all_views: the agents that the task may wait for.

        Waiting for free capacity costs less than a run that takes several times as
        long, so slow endpoints come last even if they are free.

        While all agents are full, this is called for the same waiting tasks again and
        again. It must return early then, or each new job would cost the entry more
        processor time the more tasks wait.
        """
        self._all_views = all_views
        self._slack = TaskSlack.from_task(task, self._now)
        self._lateness = {}
        self._can_wait = None
        self._is_late = self._estimate_lateness(1.0) > MAX_LATENESS
        if self._should_park(task):
            return self._choose_by_speed(views, task)
        cpu = task.step_spec.needs.cpu
        with_capacity = [view for view in views if view.free.cpu >= cpu]
        if not with_capacity:
            return None
        warmed_up = [view for view in with_capacity if not view.cold]
        if warmed_up and len(warmed_up) < len(with_capacity):
            placement = self._choose_by_speed(warmed_up, task)
            if placement is not None and not self._is_slow(placement.view, task):
                return placement
        if len(with_capacity) > SAMPLE_SIZE:
            candidates = self._rng.sample(with_capacity, SAMPLE_SIZE)
            placement = self._choose_by_speed(candidates, task)
            if placement is not None and not self._is_slow(placement.view, task):
                return placement
        return self._choose_by_speed(with_capacity, task)

    def _choose_by_speed(self, views: list[AgentView], task: Task) -> Placement | None:
        allowed = [view for view in views if is_allowed(view, task, self._now)]
        if not self._policy.slow_last:
            return self._choose_from(allowed, task)
        fast: list[AgentView] = []
        slow: list[AgentView] = []
        for view in allowed:
            (slow if self._is_slow(view, task) else fast).append(view)
        placement = self._choose_from(fast, task)
        if placement is not None:
            return placement
        if self._policy.wait_for_brisk and (fast or self._may_become_free(task)):
            slow = [view for view in slow if self._ends_in_time(view, task)]
        return self._choose_from(slow, task)

    def _is_slow(self, view: AgentView, task: Task) -> bool:
        """Return whether a task should only run at an agent if no other can be free.

        A task that is late anyway may run anywhere but at endpoints in trouble.
        """
        if view.slowness >= SLOW_FACTOR:
            return True
        if self._is_late:
            return False
        factor = estimate_run_time_factor(view, task, self._off_rack_factor)
        return self._estimate_lateness(factor) > MAX_LATENESS

    def _estimate_lateness(self, factor: float) -> float:
        """Estimate the probability that the task is late, once for each factor."""
        lateness = self._lateness.get(factor)
        if lateness is None:
            lateness = self._lateness[factor] = self._slack.estimate_lateness(factor)
        return lateness

    def _may_become_free(self, task: Task) -> bool:
        """Return whether a fast agent that is full now may get free for a task."""
        if self._can_wait is None:
            self._can_wait = any(
                is_allowed(view, task, self._now) and not self._is_slow(view, task)
                for view in self._all_views
            )
        return self._can_wait

    def _ends_in_time(self, view: AgentView, task: Task) -> bool:
        job = task.job
        factor = estimate_run_time_factor(view, task, self._off_rack_factor)
        end = self._now + factor * task.expected
        return end <= job.arrival + job.objective

    def _choose_from(self, allowed: list[AgentView], task: Task) -> Placement | None:
        preferred = [view for view in allowed if view.address not in task.avoid]
        needs = task.step_spec.needs
        for candidates in (preferred, allowed):
            with_capacity = [view for view in candidates if needs.fits(view.free)]
            if with_capacity:
                best = min(with_capacity, key=lambda view: self._score(view, task))
                return Placement(best, False)
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
        locality_factor = find_locality_factor(view, task, self._off_rack_factor)
        slowdown_factor = view.slowdown_factor
        lateness = self._estimate_lateness(slowdown_factor * locality_factor)
        score = LATENESS_WEIGHT * lateness + FAST_ROOM_PENALTY / view.speed_factor
        # Away from its data a task uses room for longer, which other tasks lack then.
        score += locality_factor + view.slowness
        if self._policy.fullness:
            used_share = 1 - view.free.cpu / max(view.capacity.cpu, 1)
            score += FULL_AGENT_PENALTY * used_share
        if self.rack_pressure:
            score += RACK_PRESSURE_PENALTY * self._find_pressure(view, task)
        if view.zone != self._zone:
            score += OTHER_ZONE_PENALTY
        # An agent that lacks processor time acts on the order late, however much
        # capacity its endpoint has.
        score += view.lag / max(task.expected, MIN_TASK_SECONDS)
        return score + 0.02 * self._rng.random()

    def _find_pressure(self, view: AgentView, task: Task) -> float:
        """Return how much others want the agent's rack that have their data there."""
        if task.step_spec.rack in view.labels:
            return 0.0
        return sum(self.rack_pressure.get(label, 0.0) for label in view.labels)

    def _score_for_parking(self, view: AgentView) -> float:
        parked = view.own_parked + view.parked_by_others + self._rng.random()
        return parked * view.slowdown_factor / max(view.capacity.cpu, 1)


def find_locality_factor(view: AgentView, task: Task, off_rack_factor: float) -> float:
    """Return the factor by which a task takes longer at an agent away from its data."""
    rack = task.step_spec.rack
    return off_rack_factor if rack and rack not in view.labels else 1.0


def estimate_run_time_factor(
    view: AgentView, task: Task, off_rack_factor: float
) -> float:
    """Return a task's run time at an agent as a multiple of the predicted one."""
    return view.slowdown_factor * find_locality_factor(view, task, off_rack_factor)


def is_allowed(view: AgentView, task: Task, now: float) -> bool:
    """Return whether a task may run at an agent, whether or not it has room now."""
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
