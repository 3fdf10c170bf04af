"""The agents that one entry knows: their room, and how well they serve."""

import math
from collections import deque
from typing import NamedTuple

from godwitbank._internal.core.runs.health import EndpointHealth
from godwitbank._internal.core.runs.jobs import Task
from godwitbank._internal.core.runs.links import Link
from godwitbank._internal.models.jobs import StepSpec
from godwitbank._internal.models.resources import Resources
from godwitbank._internal.models.run_messages import EndpointNews, Room

CAPACITY_CACHE_SECONDS = 0.05
"""Age that the sum of all endpoints' cores may reach. Endpoints that come or go change
it at once; slowness, which is told five times a second, within this time."""

LOST_AGENT_SECONDS = 12.0
"""Seconds for which an agent that was lost is missed; longer than callers wait (10 s),
so that nothing runs there any more of a job that comes again."""

MIN_ARRIVAL_WAIT_SECONDS = 0.5
"""Seconds a job must be able to wait to be taken while no endpoint is there yet. After
all VMs lost power endpoints come later than entries; what can't wait would be late, and
take room from what isn't."""


class CachedCapacity(NamedTuple):
    """Cores of a service's endpoints, and when they were summed up."""

    cores: float
    at: float


class AgentView:
    """An agent with an open stream, as one entry sees it.

    :ivar evacuated: its zone's endpoints are to get nothing new.
    :ivar lag: how late the agent acts on orders, in seconds, as last told.
    :ivar free: room as last told, less what is on its way there. Read for every agent
        at every choice, far oftener than it changes.
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
        self.capacity = Resources()
        self.labels: frozenset[str] = frozenset()
        self.tasks: dict[str, Task] = {}
        self.parked_by_others = 0
        self.evacuated = False
        self.slowness = 1.0
        self.lag = 0.0
        self.own_parked = 0
        self.free = Resources()
        self._room = Resources()
        self._sent = 0
        self._unseen: deque[Resources] = deque()
        self._unseen_sum = Resources()

    @property
    def accepts_runs(self) -> bool:
        """Whether the agent takes new runs."""
        return self.news is not None and self.news.accepts_runs and not self.evacuated

    @property
    def cold(self) -> bool:
        """Whether runs take longer here for a while after the endpoint's start."""
        return self.news is not None and self.news.cold

    def can_run(self, rules: StepSpec) -> bool:
        """Tell whether a step's task would fit here if nothing else were here."""
        labelled = not rules.label or rules.label in self.labels
        return labelled and rules.needs.fits(self.capacity)

    @property
    def service(self) -> str:
        """Service of the endpoint; empty while none has reported."""
        return self.news.service if self.news else ""

    @property
    def slowdown_factor(self) -> float:
        """How many times as long as elsewhere runs take here.

        The agent tells it at once, results of runs tell it when they come.
        """
        return max(self.health.slowdown_factor(), self.slowness)

    def update_endpoint(self, news: EndpointNews) -> None:
        """Note what stands behind the agent."""
        self.news = news
        self.capacity = Resources(news.cpu, news.memory, news.gpu)
        self.labels = frozenset(news.labels)

    def update_free_capacity(self, room: Room) -> None:
        """Note the agent's room and which starts it has counted in."""
        self._room = Resources(room.cpu, room.memory, room.gpu)
        self.parked_by_others = max(0, room.parked - self.own_parked)
        while len(self._unseen) > self._sent - room.starts_received:
            self._unseen_sum -= self._unseen.popleft()
        self.free = self._room - self._unseen_sum

    def add_run(self, task: Task, now: float) -> None:
        """Count a run that is in flight here; the agent must prove its life."""
        if not self.tasks:
            self.link.busy_since = now
        self.tasks[task.name] = task

    def record_start(self, task: Task, parked: bool, now: float) -> None:
        """Count a start that is sent now."""
        self.add_run(task, now)
        self._sent += 1
        self._unseen.append(task.step_spec.needs)
        self._unseen_sum += task.step_spec.needs
        self.free = self._room - self._unseen_sum
        task.parked = parked
        self.own_parked += parked

    def mark_begun(self, task: Task) -> None:
        """Note that a parked run has room now."""
        if task.parked:
            task.parked = False
            self.own_parked -= 1

    def remove_run(self, task: Task) -> None:
        """Note that a run is over."""
        self.mark_begun(task)
        self.tasks.pop(task.name, None)
        if not self.tasks:
            self.link.busy_since = math.inf

    def count_runs_of_step(self, task: Task) -> int:
        """Count the runs of a task's step here."""
        return sum(
            other.job is task.job and other.step == task.step
            for other in self.tasks.values()
        )


class Fleet:
    """All agents, by stream; health outlives a stream.

    :param agent_startup_seconds: seconds within which a new agent may still learn of
        its endpoint.
    """

    def __init__(self, agent_startup_seconds: float) -> None:
        self._agent_startup_seconds = agent_startup_seconds
        self.views: dict[int, AgentView] = {}
        self._by_address: dict[str, AgentView] = {}
        self._open: dict[str, list[AgentView]] = {}
        self._capacity: dict[str, CachedCapacity] = {}
        self._health: dict[str, EndpointHealth] = {}
        self._missing: dict[str, float] = {}
        self.has_evacuated_zones = False
        """Whether any zone is evacuated."""

    def add(self, link: Link, now: float) -> AgentView:
        """Note an agent's new stream."""
        health = self._health.setdefault(link.hello.address, EndpointHealth())
        view = self.views[link.stream] = AgentView(link, health, now)
        self._by_address[view.address] = view
        self._missing.pop(view.address, None)
        self._open.clear()
        return view

    def has_lost_agents(self, now: float) -> bool:
        """Tell whether an agent that was here lately can't be reached."""
        lately = now - LOST_AGENT_SECONDS
        self._missing = {each: at for each, at in self._missing.items() if at > lately}
        return bool(self._missing)

    def remove(self, view: AgentView, now: float) -> None:
        """Forget an agent's stream."""
        self._missing[view.address] = now
        self.views.pop(view.stream, None)
        self._open.clear()
        self._capacity.clear()
        if self._by_address.get(view.address) is view:
            del self._by_address[view.address]

    def update_endpoint(self, view: AgentView, news: EndpointNews) -> None:
        """Note what stands behind an agent."""
        view.update_endpoint(news)
        self._open.clear()
        self._capacity.clear()

    def list_accepting_agents(self, service: str) -> list[AgentView]:
        """List the agents that take runs of a service."""
        found = self._open.get(service)
        if found is None:
            found = self._open[service] = [
                view
                for view in self.views.values()
                if view.accepts_runs and view.service == service
            ]
        return found

    def evacuate(self, zones: frozenset[str], changed: frozenset[str]) -> None:
        """Offer nothing in evacuated zones.

        What was learnt of endpoints before their zone was evacuated or taken back is
        no longer true: they may have been started anew meanwhile.
        """
        self.has_evacuated_zones = bool(zones)
        for view in self.views.values():
            view.evacuated = view.zone in zones
            if view.zone in changed:
                view.health.clear()
                view.slowness = 1.0
        self._open.clear()
        self._capacity.clear()

    def fits_any_agent(self, service: str, rules: StepSpec) -> bool:
        """Tell whether any endpoint that takes runs is large enough for a task."""
        return any(view.can_run(rules) for view in self.list_accepting_agents(service))

    def fits_evacuated_agent(self, service: str, rules: StepSpec) -> bool:
        """Tell whether a task would have a place if no zone were evacuated."""
        return any(
            view.evacuated and view.service == service and view.can_run(rules)
            for view in self.views.values()
        )

    @property
    def has_accepting_agent(self) -> bool:
        """Whether any agent takes runs."""
        return any(view.accepts_runs for view in self.views.values())

    def awaits_endpoint(self, now: float) -> bool:
        """Tell whether a new agent doesn't know its endpoint yet.

        An agent without an endpoint for longer has none; its room won't come.
        """
        return any(
            now - view.opened_at < self._agent_startup_seconds
            and not view.evacuated
            and (view.news is None or not view.news.reconciled)
            for view in self.views.values()
        )

    def find(self, address: str) -> AgentView | None:
        """Find the agent with an address."""
        return self._by_address.get(address)

    def measure_capacity(self, service: str, now: float) -> float:
        """Tell the cores of all endpoints that take runs of a service.

        One that is slow counts for as much less.
        """
        known = self._capacity.get(service)
        if known is None or now - known.at > CAPACITY_CACHE_SECONDS:
            views = self.list_accepting_agents(service)
            cores = (
                sum(view.capacity.cpu / view.slowdown_factor for view in views) / 1000
            )
            known = self._capacity[service] = CachedCapacity(cores, now)
        return known.cores
