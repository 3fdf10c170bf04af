"""Core of an entry for leased runs: its streams, configuration and shutdown.

The core does no I/O. It gets events from the I/O layer, passes those that concern jobs
to its components, and returns the actions to perform.
"""

import math
from collections.abc import Callable
from random import Random

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.events import (
    CloseStream,
    MessageDropped,
    Received,
    Send,
    StopRequested,
    StreamClosed,
    StreamOpened,
    Tick,
)
from godwitbank._internal.core.identity import Identity, make_hello
from godwitbank._internal.core.pressure import Pressure
from godwitbank._internal.core.runs.addresses import ENTRIES_PER_AGENT
from godwitbank._internal.core.runs.deployment import DEFAULT_DEPLOYMENT, Deployment
from godwitbank._internal.core.runs.dispatcher import Dispatcher
from godwitbank._internal.core.runs.entry_discovery import EntryDiscovery
from godwitbank._internal.core.runs.evacuations import Evacuations
from godwitbank._internal.core.runs.events import (
    AddressesRead,
    CallerDisconnected,
    ConfigurationRead,
    EvacuationRead,
    JobCancelled,
    JobSubmitted,
    LagMeasured,
    LogDecision,
    RunAction,
    ShutdownComplete,
)
from godwitbank._internal.core.runs.fleet import AgentView
from godwitbank._internal.core.runs.forwarding import Forwarding
from godwitbank._internal.core.runs.handover import Handover
from godwitbank._internal.core.runs.intake import Intake
from godwitbank._internal.core.runs.links import Link, Links
from godwitbank._internal.core.runs.lives import EndpointLife
from godwitbank._internal.core.runs.load_reports import LoadReports
from godwitbank._internal.core.runs.operator_settings import OperatorSettings
from godwitbank._internal.core.runs.policy import DEFAULT_POLICY, Policy
from godwitbank._internal.core.runs.queue_status import (
    QueueFigures,
    QueueReader,
    describe_change,
)
from godwitbank._internal.core.runs.routes import RouteTable
from godwitbank._internal.core.runs.speeds import LearntSpeed
from godwitbank._internal.core.runs.unsent import get_request, refuse_forward
from godwitbank._internal.models.jobs import QueueRules
from godwitbank._internal.models.messages import (
    PROTOCOL_VERSION,
    Goodbye,
    Hello,
    Message,
    Peers,
    Role,
)
from godwitbank._internal.models.run_messages import (
    Acquire,
    Acquired,
    Alive,
    Claimed,
    EndpointNews,
    EntryPulse,
    Evacuated,
    Forward,
    Forwarded,
    Holding,
    Join,
    Locate,
    Located,
    Probe,
    Pulse,
    Release,
    Room,
    Rules,
    RunBegun,
    RunDoomed,
    RunOutcome,
    RunSlow,
    StartRun,
    Took,
    Withdraw,
    Yield,
    Yielded,
)

DEADLINE_CHECK_SECONDS = 0.05
"""Seconds between checks of deadlines while jobs are in flight."""


UNREADY_SECONDS = 2.5
"""Seconds after SIGTERM in which callers may still arrive.

The load balancer checks readiness once a second, and stops sending callers after two
failed checks.
"""

STOP_SECONDS = 5.2
"""Seconds after SIGTERM at which the last jobs are given up.

The process is killed after 6 s; the answers must be sent before.
"""


class RunEntryCore:
    """Decision logic of one entry: handles events and returns actions."""

    def __init__(
        self,
        identity: Identity,
        rng: Random,
        now: float,
        counts: Counts | None = None,
        policy: Policy = DEFAULT_POLICY,
        entries_per_agent: int = ENTRIES_PER_AGENT,
        deployment: Deployment = DEFAULT_DEPLOYMENT,
    ) -> None:
        self.identity = identity
        self._entries_per_agent = entries_per_agent
        self.counts = Counts() if counts is None else counts
        self.links = Links(identity.address, identity.incarnation, now, None)
        self._discovery = EntryDiscovery(self.links, now)
        self.pressure = Pressure()
        self.dispatcher = Dispatcher(
            identity.zone, rng, self.counts, now, self.pressure, policy, deployment
        )
        self._queue_reader = QueueReader(self.dispatcher, self.counts)
        self._load_reports = LoadReports(self.dispatcher.loads, now)
        self.settings = OperatorSettings(
            self.links, self.counts, self.dispatcher.evacuate
        )
        self.stopping = False
        self._stopped_at = 0.0
        self.handover = Handover(
            self.dispatcher, self.links, self.counts, now, rng, entries_per_agent
        )
        self.dispatcher.queues.find_configuration = lambda: (
            self.settings.routes.configuration
        )
        self.forwarding = Forwarding(
            self.links,
            self.pressure,
            self.dispatcher.loads,
            self.dispatcher.retry_times,
            self.counts,
            rng,
            identity.zone,
        )
        self.dispatcher.try_forward = self.forwarding.try_forward_for_capacity
        self.forwarding.find_home = self.handover.find_home
        self.forwarding.acquire = self.handover.try_acquire
        self.forwarding.resubmit = self.handover.submit_contested
        self.forwarding.on_job_finished = self.dispatcher.on_job_removed
        self.forwarding.on_job_unresolved = self.handover.record_forwarded
        self.handover.join = self.forwarding.join_at
        self.handover.has_transferred = self.forwarding.has_transferred
        self.intake = Intake(
            self.settings.routes,
            self.dispatcher,
            self.handover,
            self.forwarding,
            self.pressure,
            self.counts,
        )
        self._next_check_at = now
        self._shutdown_complete = False
        self._actions: list[RunAction] = []
        self._now = now
        self._endpoint_lives: dict[str, EndpointLife] = {}
        self._handlers: dict[type, Callable] = {
            AddressesRead: self._discovery.handle_addresses,
            ConfigurationRead: self.settings.handle_configuration,
            EvacuationRead: self.settings.handle_evacuation,
            JobSubmitted: self.intake.submit,
            CallerDisconnected: self.intake.handle_caller_loss,
            JobCancelled: self.intake.cancel,
            StreamOpened: self._handle_stream_opened,
            StreamClosed: self._handle_stream_closed,
            Received: self._handle_message,
            StopRequested: self._handle_stop_request,
            LagMeasured: self._handle_lag,
            MessageDropped: self._handle_dropped_message,
            Tick: self._handle_tick,
        }
        self._agent_handlers: dict[type, Callable] = {
            RunOutcome: self.dispatcher.handle_run_outcome,
            RunBegun: self.dispatcher.handle_run_begun,
            RunSlow: self.dispatcher.handle_run_slow,
            RunDoomed: self.dispatcher.handle_run_doomed,
            Room: self._handle_room,
            EndpointNews: self._handle_endpoint_news,
            Holding: self._handle_holding,
            Claimed: self.handover.handle_claimed,
            Pulse: self._handle_agent_heartbeat,
            Probe: self._handle_probe,
        }
        self._peer_handlers: dict[type, Callable] = {
            EntryPulse: self._handle_peer_heartbeat,
            Rules: self.settings.handle_rules,
            Evacuated: self.settings.handle_evacuated,
            Peers: self._discovery.handle_peers,
            Took: self.handover.handle_took,
            Yield: self.handover.handle_yield,
            Yielded: self.intake.handle_yielded,
            Acquire: self.handover.handle_acquire,
            Acquired: self.handover.handle_acquired,
            Release: self.handover.handle_release,
            Join: self.intake.handle_join,
            Locate: self.handover.reachability.handle_locate,
            Located: self.handover.reachability.handle_located,
            Goodbye: self._handle_goodbye,
            Forward: self.intake.handle_forward,
            Forwarded: self.forwarding.handle_result,
            Withdraw: self.intake.handle_withdraw,
        }

    def handle(self, event: object, now: float) -> list[RunAction]:
        """Handle one event and return the actions to perform."""
        self._now = now
        self._actions = []
        self.dispatcher.begin_event(now, self._actions.append)
        self.handover.begin_event(now, self._actions.append)
        self.intake.begin_event(now, self._actions.append)
        self.settings.begin_event(self._actions.append)
        self._discovery.begin_event(now, self._actions.append)
        if self.links.begin_event(now):
            self._resume_after_pause()
        self._handlers[type(event)](event)
        self.handover.process_due()
        self._check_shutdown()
        actions = self.intake.route_answers(self._actions)
        self.links.record_sent(actions, now)
        return actions

    @property
    def routes(self) -> RouteTable:
        """Queues of the configuration in force."""
        return self.settings.routes

    @property
    def evacuations(self) -> Evacuations:
        """Zones that are evacuated."""
        return self.settings.evacuations

    @property
    def next_wakeup(self) -> float:
        """Time at which a ``Tick`` is next needed."""
        busy = self.intake.busy or self.stopping
        return min(self.links.next_wakeup(), self._next_check_at if busy else math.inf)

    @property
    def sheds_load(self) -> bool:
        """Whether callers must be refused before their requests are read."""
        return self.forwarding.sheds_load

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send callers to this entry."""
        return bool(self.routes.version) and self.handover.synced and not self.stopping

    def find_queue(self, host: str, path: str) -> QueueRules | None:
        """Return the queue that a request belongs to, or ``None``."""
        return self.routes.find(host, path)

    def count_waiting(self, queue: str) -> int:
        """Count a queue's jobs at this entry of which no run was sent to an agent."""
        return sum(
            job.queue.name == queue and not job.ran
            for job in self.dispatcher.jobs.values()
        )

    def describe(self) -> dict[str, object]:
        """Return this entry's state for the status page."""
        return {
            "entry": self.identity.process,
            "version": self.routes.version,
            "evacuated": sorted(self.evacuations.newest.zones),
            "jobs": len(self.dispatcher.jobs),
            "lag": round(self.pressure.lag, 3),
            "agents": [
                {
                    "agent": view.address,
                    "open": view.accepts_runs,
                    "free": list(view.free),
                }
                for view in self.dispatcher.fleet.views.values()
            ],
            "peers": [link.hello.process for link in self.links.list_peers()],
            "queues": self._queue_reader.describe_all(
                self.routes.list_all(), self._now
            ),
        }

    def measure_queues(self) -> dict[str, QueueFigures]:
        """Return the current load of each queue of the configuration."""
        return self._queue_reader.measure_all(self.routes.list_all(), self._now)

    def _log_decision(self, event: str, request: str = "", **fields: object) -> None:
        self._actions.append(LogDecision(event, request, fields))

    def _send(self, stream: int, message: Message) -> None:
        self._actions.append(Send(stream, message))

    # Streams

    def _handle_stream_opened(self, event: StreamOpened) -> None:
        hello = event.greeting
        if not isinstance(hello, Hello) or hello.version != PROTOCOL_VERSION:
            self.counts.add("streams_refused", "greeting")
            self._actions.append(CloseStream(event.stream, "unknown greeting"))
            return
        link = self.links.add_stream(event.stream, hello, event.address, self._now)
        if link is None:
            self._actions.append(CloseStream(event.stream, "self"))
            return
        if not event.address:
            self._send(event.stream, make_hello(self.identity, Role.ENTRY))
        self._log_decision("stream_opened", role=hello.role, process=hello.process)
        if hello.role == Role.AGENT:
            self._add_agent(link)
            return
        self._discovery.add([hello.address])
        self._discovery.announce_all(event.stream)
        self.handover.handle_peer_connected(link)
        self._update_entry_count()
        self.settings.send_all(event.stream)

    def _update_entry_count(self) -> None:
        entries = len(self.links.list_peers()) + 1
        overlap = min(1.0, self._entries_per_agent / entries)
        self.dispatcher.loads.agent_overlap = overlap

    def _add_agent(self, link: Link) -> None:
        hello = link.hello
        fleet = self.dispatcher.fleet
        old = fleet.find(hello.address)
        if old is not None:
            self._actions.append(CloseStream(old.stream, "replaced"))
            self._handle_stream_closed(StreamClosed(old.stream))
        view = fleet.add(link, self._now)
        view.evacuated = self.evacuations.covers(view.zone)
        self.settings.send_evacuation(link.stream)
        self._discovery.announce_all(link.stream)
        self.handover.handle_agent_connected(link.stream)

    def _handle_stream_closed(self, event: StreamClosed) -> None:
        link = self.links.remove_stream(event.stream, event.address, self._now)
        if link is None:
            return
        self.counts.add("streams_lost", link.hello.role)
        self._log_decision(
            "stream_lost",
            role=link.hello.role,
            process=link.hello.process,
            others=self.links.count_streams(link.hello.incarnation),
        )
        view = self.dispatcher.fleet.views.get(event.stream)
        if view is not None:
            self.dispatcher.handle_agent_loss(view)
            return
        self.handover.reachability.handle_stream_loss(event.stream)
        remaining = self.links.find(link.hello.incarnation)
        if remaining is None:
            self.handover.handle_peer_loss(link)
            self._update_entry_count()
            self.dispatcher.loads.forget_peer(link.hello.incarnation)
        else:
            # What was last sent on the lost stream may be lost, too.
            self.settings.send_all(remaining.stream)
        self.intake.handle_stream_loss(event.stream)
        self.handover.handle_stream_loss(event.stream)

    def _resume_after_pause(self) -> None:
        """Close all streams and end all jobs after a pause of this process.

        The process was paused for longer than other processes wait for it.
        """
        self.handover.resume_after_pause()
        for link in self.links:
            self._drop_link(link.stream, "stood_still")
        for job in list(self.dispatcher.jobs.values()):
            self.dispatcher.give_up(job, "stood_still")

    def _drop_link(self, stream: int, reason: str) -> None:
        self.counts.add("streams_closed", reason)
        self._actions.append(CloseStream(stream, reason))
        self._handle_stream_closed(StreamClosed(stream))

    def _handle_message(self, event: Received) -> None:
        had_pending_probe = self.links.has_pending_probe(event.stream)
        link = self.links.record_frame(event.stream, self._now)
        if link is None:
            self._drop_link(event.stream, "silence")
            return
        view = self.dispatcher.fleet.views.get(event.stream)
        handlers = self._agent_handlers if view else self._peer_handlers
        handler = handlers.get(type(event.message))
        if handler is None:
            self._drop_link(event.stream, "unexpected message")
            return
        if view is None:
            self.handover.reachability.handle_peer_alive(link)
        handler(view or link, event.message)
        if had_pending_probe and view is not None:
            self.dispatcher.dispatch(view.service, view)

    def _handle_dropped_message(self, event: MessageDropped) -> None:
        """Log a message that can't be encoded; a request is refused at once."""
        message = event.message
        name = type(message).__name__
        request = get_request(message)
        self._log_decision(
            "message_dropped", request, message=name, reason=event.reason
        )
        view = self.dispatcher.fleet.views.get(event.stream)
        link = self.links.get(event.stream)
        if isinstance(message, StartRun) and view is not None:
            self.dispatcher.handle_unsent_start(view, message)
        elif isinstance(message, Forward) and link is not None:
            self.forwarding.handle_result(link, refuse_forward(message))

    # Agents

    def _handle_room(self, view: AgentView, room: Room) -> None:
        view.update_free_capacity(room)
        self.dispatcher.dispatch(view.service, view)

    def _handle_endpoint_news(self, view: AgentView, news: EndpointNews) -> None:
        life = EndpointLife(news.instance, news.born)
        if not life.may_be(self._endpoint_lives.get(view.address, life)):
            view.health.clear()
        self._endpoint_lives[view.address] = life
        self.dispatcher.fleet.update_endpoint(view, news)
        self._log_decision("endpoint_news", agent=view.address, open=news.accepts_runs)
        if news.reconciled:
            self.dispatcher.release_orphaned_runs(view)
        self.dispatcher.dispatch(view.service)

    def _handle_agent_heartbeat(self, view: AgentView, pulse: Pulse) -> None:
        view.slowness = pulse.slowness
        speed = LearntSpeed(pulse.speed_factor, pulse.speed_runs)
        self.dispatcher.fleet.record_speed(view, speed)
        view.lag = pulse.lag
        view.link.update_clock(pulse.clock, self._now)

    def _handle_probe(self, view: AgentView, probe: Probe) -> None:
        view.link.update_clock(probe.clock, self._now)
        self._send(view.link.stream, Alive(view.link.estimate_clock(self._now)))

    def _handle_holding(self, view: AgentView, holding: Holding) -> None:
        view.link.update_clock(holding.clock, self._now)
        self.dispatcher.reconcile(view, holding.tasks)

    # Peers

    def _handle_peer_heartbeat(self, link: Link, pulse: EntryPulse) -> None:
        link.lag = pulse.lag
        self._load_reports.read_pulse(link.hello.incarnation, pulse, self._now)

    def _handle_goodbye(self, link: Link, message: Goodbye) -> None:
        del message
        link.leaving = True

    # Time

    def _handle_lag(self, event: LagMeasured) -> None:
        change = self.pressure.observe(event.seconds, self._now)
        if change is not None:
            self.counts.add("pressure_changes", change.event)
            self._log_decision(change.event, lag=change.lag, s=change.seconds)

    def _handle_tick(self, event: Tick) -> None:
        del event
        self._close_timed_out_streams()
        self._discovery.dial()
        self._discovery.announce_new()
        for link in self.links.list_due_heartbeats(self._now):
            self._send(link.stream, Alive(link.estimate_clock(self._now)))
        peers = self.links.list_due_peer_heartbeats(self._now)
        if peers:
            self._send_peer_heartbeats(peers)
        self._log_shortages()
        if self._now >= self._next_check_at:
            self._next_check_at = self._now + DEADLINE_CHECK_SECONDS
            self.forwarding.give_up_expired()
            self.handover.give_up_expired()
            self.handover.start_delayed()
            self.dispatcher.check_deadlines()

    def _log_shortages(self) -> None:
        changes = self.dispatcher.monitor.update_shortages(self._now)
        figures = self.measure_queues() if changes else {}
        for change in changes:
            if change.queue in figures:
                event = "queue_short" if change.short else "queue_recovered"
                fields = describe_change(change, figures[change.queue])
                self._actions.append(LogDecision(event, "", fields))

    def _close_timed_out_streams(self) -> None:
        timed_out = self.links.list_timed_out(self._now)
        for link in timed_out:
            self._drop_link(link.stream, "silence")
        for link in self.links.start_probes(self._now) if timed_out else ():
            self.counts.add("streams_probed")
            self._send(link.stream, Probe(self._now))

    def _send_peer_heartbeats(self, peers: list[Link]) -> None:
        serves = self.ready and self.dispatcher.fleet.has_accepting_agent
        lag = self.pressure.mean if serves else math.inf
        waiting = self.dispatcher.measure_waiting()
        pulse = self._load_reports.make_pulse(waiting, lag, self._now)
        self.handover.announce_changes()
        for link in peers:
            self._send(link.stream, pulse)

    def _handle_stop_request(self, event: StopRequested) -> None:
        del event
        self.stopping = True
        self._stopped_at = self._now
        self.dispatcher.shutdown_at = self._now + STOP_SECONDS
        self._log_decision("stopping", jobs=len(self.dispatcher.jobs))

    def _end_all_jobs(self) -> None:
        # Callers that are not answered now would see their connections cut.
        self.handover.refuse_all("stopping")
        self.forwarding.give_up_all("stopping")
        for job in list(self.dispatcher.jobs.values()):
            self.dispatcher.give_up(job, "stopping")

    def _check_shutdown(self) -> None:
        if not self.stopping or self._shutdown_complete:
            return
        if self._now >= self.dispatcher.shutdown_at:
            self._end_all_jobs()
            self._shutdown_complete = True
        elif self._now >= self._stopped_at + UNREADY_SECONDS:
            self._shutdown_complete = not self.intake.busy
        if self._shutdown_complete:
            self.handover.leave()
            for link in self.links.list_peers():
                # No run of this entry's jobs is left, so that other entries need not
                # search for any when this process ends.
                self._send(link.stream, Goodbye("stopping"))
            # Refuses jobs that still arrive, as they would be cut off.
            self.dispatcher.shutdown_at = self._now
            self._actions.append(ShutdownComplete())
