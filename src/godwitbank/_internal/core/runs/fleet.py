"""The agents that one entry is connected to, with their capacity and health."""

import math
from collections import deque
from typing import NamedTuple

from godwitbank._internal.core.runs.health import EndpointHealth
from godwitbank._internal.core.runs.jobs import Job, Task
from godwitbank._internal.core.runs.links import Link
from godwitbank._internal.core.runs.lives import EndpointLife
from godwitbank._internal.core.runs.racks import RackDemand
from godwitbank._internal.core.runs.speeds import KindSpeeds, LearntSpeed
from godwitbank._internal.models.jobs import StepSpec
from godwitbank._internal.models.resources import Resources
from godwitbank._internal.models.run_messages import EndpointNews, Room

CAPACITY_CACHE_SECONDS = 0.05
"""Seconds for which the total capacity of a service is cached. Endpoints that appear or
disappear invalidate it at once; changes of slowness, which agents report five times a
second, take effect within this time."""

LOST_AGENT_SECONDS = 12.0
"""Seconds for which a disconnected agent counts as lost. Longer than callers wait
(10 s), so that no run of a job is alive there when the job is submitted again."""

MIN_ARRIVAL_WAIT_SECONDS = 0.5
"""Seconds that a job must be able to wait to be accepted while no endpoint is available
yet. After a power loss of all VMs endpoints start later than entries; a job that can't
wait for them would be late and use capacity that timely jobs need."""


class CachedCapacity(NamedTuple):
    """Total cores of a service's endpoints, and the time they were summed up."""

    cores: float
    at: float


class CachedPressure(NamedTuple):
    """How much each rack of a service is in demand, and the time it was measured."""

    by_rack: dict[str, float]
    at: float


class AgentView:
    """The state of a connected agent as known to one entry.

    :ivar link: the stream to the agent.
    :ivar opened_at: time at which the stream was opened.
    :ivar health: the endpoint's record; it outlives the stream.
    :ivar news: the endpoint's state as last announced by the agent, if any.
    :ivar cold: whether the endpoint started recently and its runs still take longer.
    :ivar capacity: all resources of the endpoint.
    :ivar tasks: tasks of this entry with a run at the agent, by name.
    :ivar parked_by_others: runs of other entries that are parked at the agent.
    :ivar evacuated: whether its zone is evacuated, so that it gets no new runs.
    :ivar slowness: factor by which runs take longer than is usual at the endpoint, as
        last reported.
    :ivar speed_factor: run time that is usual at the endpoint as a multiple of the
        predicted one.
    :ivar lag: how late the agent acts on orders, in seconds, as last reported.
    :ivar own_parked: runs of this entry that are parked at the agent.
    :ivar free: free resources as last reported, less the starts that the report doesn't
        include yet. Stored instead of computed, because every placement reads it for
        every agent, much more often than it changes.
    """

    def __init__(
        self,
        link: Link,
        health: EndpointHealth,
        now: float,
    ) -> None:
        self.link = link
        self.stream = link.stream
        self.opened_at = now
        self.address = link.hello.address
        self.incarnation = link.hello.incarnation
        self.zone = link.hello.zone
        self.health = health
        self.news: EndpointNews | None = None
        self.cold = False
        self.capacity = Resources()
        self.labels: frozenset[str] = frozenset()
        self.tasks: dict[str, Task] = {}
        self.parked_by_others = 0
        self.evacuated = False
        self.slowness = 1.0
        self.speed_factor = 1.0
        self.lag = 0.0
        self.own_parked = 0
        self.free = Resources()
        self._reported_free = Resources()
        self._sent = 0
        self._unacknowledged: deque[Resources] = deque()
        self._unacknowledged_sum = Resources()

    @property
    def accepts_runs(self) -> bool:
        """Whether the agent accepts new runs."""
        return self.news is not None and self.news.accepts_runs and not self.evacuated

    def can_run(self, step_spec: StepSpec) -> bool:
        """Return whether a step's task would fit the endpoint if it were idle."""
        has_label = not step_spec.label or step_spec.label in self.labels
        return has_label and step_spec.needs.fits(self.capacity)

    @property
    def service(self) -> str:
        """Service of the endpoint; empty until one has reported."""
        return self.news.service if self.news else ""

    @property
    def slowdown_factor(self) -> float:
        """Factor by which runs take longer here at present than predicted."""
        return self.speed_factor * self.slowness

    def update_endpoint(self, news: EndpointNews) -> None:
        """Record the announced state of the agent's endpoint."""
        self.news = news
        self.cold = news.cold
        self.capacity = Resources(news.cpu, news.memory, news.gpu)
        self.labels = frozenset(news.labels)

    def update_free_capacity(self, room: Room) -> None:
        """Record the reported free resources and which starts they include already."""
        self._reported_free = Resources(room.cpu, room.memory, room.gpu)
        self.parked_by_others = max(0, room.parked - self.own_parked)
        while len(self._unacknowledged) > self._sent - room.starts_received:
            self._unacknowledged_sum -= self._unacknowledged.popleft()
        self.free = self._reported_free - self._unacknowledged_sum

    def add_run(self, task: Task, now: float) -> None:
        """Record a run in flight.

        While there is one, the agent must send heartbeats more often.
        """
        if not self.tasks:
            self.link.busy_since = now
        self.tasks[task.name] = task

    def record_start(self, task: Task, parked: bool, now: float) -> None:
        """Record a start order that is sent now, and reserve its resources."""
        self.add_run(task, now)
        self._sent += 1
        self._unacknowledged.append(task.step_spec.needs)
        self._unacknowledged_sum += task.step_spec.needs
        self.free = self._reported_free - self._unacknowledged_sum
        task.parked = parked
        self.own_parked += parked

    def take_back_start(self, needs: Resources) -> None:
        """Release the resources of a start order that wasn't sent after all."""
        self._sent -= 1
        if needs in self._unacknowledged:
            self._unacknowledged.remove(needs)
            self._unacknowledged_sum -= needs
        self.free = self._reported_free - self._unacknowledged_sum

    def mark_begun(self, task: Task) -> None:
        """Record that a run is not parked any more."""
        if task.parked:
            task.parked = False
            self.own_parked -= 1

    def remove_run(self, task: Task) -> None:
        """Record that a run is over."""
        self.mark_begun(task)
        self.tasks.pop(task.name, None)
        if not self.tasks:
            self.link.busy_since = math.inf

    def count_runs_of_step(self, task: Task) -> int:
        """Count the runs here that belong to the same step as a task."""
        return sum(
            other.job is task.job and other.step == task.step
            for other in self.tasks.values()
        )


def _is_replaced(before: EndpointNews, news: EndpointNews) -> bool:
    life = EndpointLife(news.instance, news.born)
    return not life.may_be(EndpointLife(before.instance, before.born))


class Fleet:
    """All agents that the entry is connected to.

    The health of an endpoint is kept while its agent is disconnected.

    :param agent_startup_seconds: seconds within which a new agent learns of its
        endpoint.
    :ivar views: the connected agents, by stream.
    """

    def __init__(self, agent_startup_seconds: float) -> None:
        self._agent_startup_seconds = agent_startup_seconds
        self.views: dict[int, AgentView] = {}
        self._by_address: dict[str, AgentView] = {}
        self._accepting: dict[str, list[AgentView]] = {}
        self._capacity: dict[str, CachedCapacity] = {}
        self._health: dict[str, EndpointHealth] = {}
        self._lost_at: dict[str, float] = {}
        self._kind_speeds = KindSpeeds()
        self._rack_demand: dict[str, RackDemand] = {}
        self._rack_pressure: dict[str, CachedPressure] = {}
        self.has_evacuated_zones = False
        """Whether any zone is evacuated."""

    def add(self, link: Link, now: float) -> AgentView:
        """Record an agent's new stream."""
        health = self._health.setdefault(link.hello.address, EndpointHealth())
        view = self.views[link.stream] = AgentView(link, health, now)
        self._by_address[view.address] = view
        self._lost_at.pop(view.address, None)
        self._accepting.clear()
        return view

    def has_lost_agents(self, now: float) -> bool:
        """Return whether an agent was lost recently and hasn't reconnected."""
        cutoff = now - LOST_AGENT_SECONDS
        self._lost_at = {each: at for each, at in self._lost_at.items() if at > cutoff}
        return bool(self._lost_at)

    def remove(self, view: AgentView, now: float) -> None:
        """Remove an agent whose stream was lost."""
        self._lost_at[view.address] = now
        self._kind_speeds.forget(view.address)
        self.views.pop(view.stream, None)
        self._accepting.clear()
        self._capacity.clear()
        if self._by_address.get(view.address) is view:
            del self._by_address[view.address]

    def update_endpoint(self, view: AgentView, news: EndpointNews) -> None:
        """Record the announced state of an agent's endpoint."""
        if view.news is not None and _is_replaced(view.news, news):
            self._forget_speed(view)
        view.update_endpoint(news)
        self._kind_speeds.relabel(view.address, view.labels)
        view.speed_factor = self._kind_speeds.estimate(view.address)
        self._accepting.clear()
        self._capacity.clear()

    def record_speed(self, view: AgentView, speed: LearntSpeed) -> None:
        """Record what an agent has learnt of its endpoint's speed."""
        self._kind_speeds.record(view.address, speed, view.labels)
        view.speed_factor = self._kind_speeds.estimate(view.address)

    @property
    def mean_speed_factor(self) -> float:
        """Mean factor by which runs take longer than predicted at usual speed."""
        return self._kind_speeds.mean_factor

    def _forget_speed(self, view: AgentView) -> None:
        self._kind_speeds.forget(view.address)
        view.slowness = 1.0
        view.speed_factor = 1.0

    def record_demand(self, job: Job, now: float) -> None:
        """Record the racks that hold the data of an accepted job."""
        demand = self._rack_demand.setdefault(job.queue.service, RackDemand())
        for step, tasks in zip(job.spec.steps, job.tasks, strict=True):
            core_seconds = sum(task.core_seconds for task in tasks)
            demand.record(step.rack, core_seconds, now)

    def find_rack_pressure(self, service: str, now: float) -> dict[str, float]:
        """Return how much each rack is in demand, from 0 to 1."""
        demand = self._rack_demand.get(service)
        if demand is None or not demand.wants_racks:
            return {}
        cached = self._rack_pressure.get(service)
        if cached is None or now - cached.at > CAPACITY_CACHE_SECONDS:
            pressure = demand.measure_pressure(self._measure_room_shares(service))
            cached = self._rack_pressure[service] = CachedPressure(pressure, now)
        return cached.by_rack

    def _measure_room_shares(self, service: str) -> dict[str, float]:
        shares: dict[str, float] = {}
        total = 0.0
        for view in self.list_accepting_agents(service):
            total += view.capacity.cpu
            for label in view.labels:
                shares[label] = shares.get(label, 0.0) + view.capacity.cpu
        return {label: cpu / total for label, cpu in shares.items() if cpu}

    def list_accepting_agents(self, service: str) -> list[AgentView]:
        """List the agents that accept runs of a service."""
        views = self._accepting.get(service)
        if views is None:
            views = self._accepting[service] = [
                view
                for view in self.views.values()
                if view.accepts_runs and view.service == service
            ]
        return views

    def evacuate(self, zones: frozenset[str], changed: frozenset[str]) -> None:
        """Exclude the agents of evacuated zones from placement.

        Health and slowness of the endpoints in changed zones are reset, because the
        endpoints may have been restarted in the meantime.

        :param zones: the zones that are evacuated now.
        :param changed: the zones that were evacuated or opened again by this change.
        """
        self.has_evacuated_zones = bool(zones)
        for view in self.views.values():
            view.evacuated = view.zone in zones
            if view.zone in changed:
                view.health.clear()
                self._forget_speed(view)
        self._accepting.clear()
        self._capacity.clear()

    def fits_any_agent(self, service: str, step_spec: StepSpec) -> bool:
        """Return whether any endpoint that accepts runs is large enough for a task."""
        return any(
            view.can_run(step_spec) for view in self.list_accepting_agents(service)
        )

    def fits_evacuated_agent(self, service: str, step_spec: StepSpec) -> bool:
        """Return whether a task would fit an endpoint in an evacuated zone."""
        return any(
            view.evacuated and view.service == service and view.can_run(step_spec)
            for view in self.views.values()
        )

    @property
    def has_accepting_agent(self) -> bool:
        """Whether any agent accepts runs."""
        return any(view.accepts_runs for view in self.views.values())

    def awaits_endpoint(self, now: float) -> bool:
        """Return whether a new agent hasn't learnt of its endpoint yet.

        An agent that hasn't learnt of one within its startup time is taken to have
        none, so that no job waits for it.
        """
        return any(
            now - view.opened_at < self._agent_startup_seconds
            and not view.evacuated
            and (view.news is None or not view.news.reconciled)
            for view in self.views.values()
        )

    def find(self, address: str) -> AgentView | None:
        """Return the agent with an address, if it is connected."""
        return self._by_address.get(address)

    def measure_capacity(self, service: str, now: float) -> float:
        """Return the total cores of all endpoints that accept runs of a service.

        Cores are counted by the work that they do: those of an endpoint where runs take
        longer are divided by its slowdown factor.
        """
        cached = self._capacity.get(service)
        if cached is None or now - cached.at > CAPACITY_CACHE_SECONDS:
            views = self.list_accepting_agents(service)
            cores = (
                sum(view.capacity.cpu / view.slowdown_factor for view in views) / 1000
            )
            cached = self._capacity[service] = CachedCapacity(cores, now)
        return cached.cores
