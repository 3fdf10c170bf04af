"""The entry's decisions about jobs of leased runs: who is there, what is in force."""

import math
from collections.abc import Callable
from random import Random

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.events import (
    CloseStream,
    Dial,
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
from godwitbank._internal.core.runs.evacuations import (
    Evacuations,
    decode_evacuation,
    encode_evacuation,
)
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
from godwitbank._internal.core.runs.policy import DEFAULT_POLICY, Policy
from godwitbank._internal.core.runs.routes import RouteTable
from godwitbank._internal.models.jobs import (
    Configuration,
    Evacuation,
    QueueRules,
)
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
    RunOutcome,
    RunSlow,
    Took,
    Withdraw,
    Yield,
    Yielded,
)

ANNOUNCE_ENTRIES_SECONDS = 1.0
"""Seconds between two messages about entries newly known. Whoever opens a stream is
told of all at once; an agent has other entries meanwhile."""

DEADLINE_CHECK_SECONDS = 0.05
"""Seconds between looks at deadlines while jobs are in flight."""


UNREADY_SECONDS = 2.5
"""Seconds after SIGTERM in which callers may still arrive: the balancer looks
once a second and takes two misses."""

STOP_SECONDS = 5.2
"""Seconds after SIGTERM at which the last jobs are given up; the process is
killed at 6 s, and the answers must be out before."""


class RunEntryCore:
    """Decides for one entry; driven by events, answers with actions."""

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
        self.routes = RouteTable()
        self.evacuations = Evacuations()
        self.pressure = Pressure()
        self.dispatcher = Dispatcher(
            identity.zone, rng, self.counts, now, self.pressure, policy, deployment
        )
        self.stopping = False
        self._stopped_at = 0.0
        self.handover = Handover(
            self.dispatcher, self.links, self.counts, now, rng, entries_per_agent
        )
        self.forwarding = Forwarding(
            self.links,
            self.pressure,
            self.dispatcher.admission,
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
            self.routes,
            self.dispatcher,
            self.handover,
            self.forwarding,
            self.pressure,
            self.counts,
        )
        self._tick_at = now
        self._news: list[str] = []
        self._news_at = now
        self._quiet = False
        self._out: list[RunAction] = []
        self._now = now
        self._handlers: dict[type, Callable] = {
            AddressesRead: self._learn,
            ConfigurationRead: self._read_configuration,
            EvacuationRead: self._read_evacuation,
            JobSubmitted: self.intake.submit,
            CallerDisconnected: self.intake.handle_caller_loss,
            JobCancelled: self.intake.cancel,
            StreamOpened: self._open,
            StreamClosed: self._close,
            Received: self._receive,
            StopRequested: self._stop,
            LagMeasured: self._note_lag,
            Tick: self._tick,
        }
        self._agent_receivers: dict[type, Callable] = {
            RunOutcome: self.dispatcher.handle_run_outcome,
            RunBegun: self.dispatcher.handle_run_begun,
            RunSlow: self.dispatcher.handle_run_slow,
            Room: self._hear_room,
            EndpointNews: self._hear_news,
            Holding: self._hear_holding,
            Claimed: self.handover.handle_claimed,
            Pulse: self._hear_agents_pulse,
            Probe: self._hear_probe,
        }
        self._peer_receivers: dict[type, Callable] = {
            Pulse: self._hear_pulse,
            Rules: self._hear_rules,
            Evacuated: self._hear_evacuated,
            Peers: self._hear_peers,
            Took: self.handover.handle_took,
            Yield: self.handover.handle_yield,
            Yielded: self.intake.handle_yielded,
            Acquire: self.handover.handle_acquire,
            Acquired: self.handover.handle_acquired,
            Release: self.handover.handle_release,
            Join: self.intake.handle_join,
            Locate: self.handover.reachability.handle_locate,
            Located: self.handover.reachability.handle_located,
            Goodbye: self._hear_goodbye,
            Forward: self.intake.handle_forward,
            Forwarded: self.forwarding.handle_result,
            Withdraw: self.intake.handle_withdraw,
        }

    def handle(self, event: object, now: float) -> list[RunAction]:
        """Take one event and return what has to be done."""
        self._now = now
        self._out = []
        self.dispatcher.begin_event(now, self._out.append)
        self.handover.begin_event(now, self._out.append)
        self.intake.begin_event(now, self._out.append)
        if self.links.begin_event(now):
            self._wake()
        self._handlers[type(event)](event)
        self.handover.process_due()
        self._check_quiet()
        actions = self.intake.route_answers(self._out)
        self.links.record_sent(actions, now)
        return actions

    @property
    def next_wakeup(self) -> float:
        """Time at which a ``Tick`` is next needed."""
        busy = self.intake.busy or self.stopping
        return min(self.links.next_wakeup(), self._tick_at if busy else math.inf)

    @property
    def sheds_load(self) -> bool:
        """Whether callers are to be refused before their requests are read."""
        return self.forwarding.sheds_load

    @property
    def ready(self) -> bool:
        """Whether the balancer should send callers here."""
        return bool(self.routes.version) and self.handover.synced and not self.stopping

    def find_queue(self, host: str, path: str) -> QueueRules | None:
        """Find the queue of a request."""
        return self.routes.find(host, path)

    def count_waiting(self, queue: str) -> int:
        """Count a queue's jobs here of which nothing was sent to an agent."""
        return sum(
            job.queue.name == queue and not job.ran
            for job in self.dispatcher.jobs.values()
        )

    def describe(self) -> dict[str, object]:
        """Describe this entry's state for a status page."""
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
        }

    def _note(self, event: str, request: str = "", **fields: object) -> None:
        self._out.append(LogDecision(event, request, fields))

    def _send(self, stream: int, message: Message) -> None:
        self._out.append(Send(stream, message))

    # Streams

    def _learn(self, event: AddressesRead) -> None:
        self._news += self.links.addresses.add(event.addresses, self._now)
        self._dial()

    def _tell_news(self) -> None:
        """Tell what entries were learnt of since the last time.

        Told one by one while all entries start, with all that are known each time,
        such news grew with the cube of their number.
        """
        if not self._news or self._now < self._news_at:
            return
        self._news_at = self._now + ANNOUNCE_ENTRIES_SECONDS
        news, self._news = Peers(self._news, []), []
        for link in self.links:
            self._send(link.stream, news)

    def _dial(self) -> None:
        self._out += [
            Dial(address) for address in self.links.addresses.list_due(self._now)
        ]

    def _open(self, event: StreamOpened) -> None:
        hello = event.greeting
        if not isinstance(hello, Hello) or hello.version != PROTOCOL_VERSION:
            self.counts.add("streams_refused", "greeting")
            self._out.append(CloseStream(event.stream, "unknown greeting"))
            return
        link = self.links.add_stream(event.stream, hello, event.address, self._now)
        if link is None:
            self._out.append(CloseStream(event.stream, "self"))
            return
        if not event.address:
            self._send(event.stream, make_hello(self.identity, Role.ENTRY))
        self._note("stream_opened", role=hello.role, process=hello.process)
        if hello.role == Role.AGENT:
            self._open_agent(link)
            return
        self._news += self.links.addresses.add([hello.address], self._now)
        self._dial()
        self._send(event.stream, Peers(self.links.addresses.list_known(), []))
        self.handover.handle_peer_connected(link)
        self._count_entries()
        # Before the rules, which make the other end ready to place runs.
        self._send_evacuation(event.stream)
        self._send_rules(event.stream)

    def _count_entries(self) -> None:
        entries = len(self.links.list_peers()) + 1
        overlap = min(1.0, self._entries_per_agent / entries)
        self.dispatcher.admission.agent_overlap = overlap

    def _open_agent(self, link: Link) -> None:
        hello = link.hello
        fleet = self.dispatcher.fleet
        old = fleet.find(hello.address)
        if old is not None:
            self._out.append(CloseStream(old.stream, "replaced"))
            self._close(StreamClosed(old.stream))
        view = fleet.add(link, self._now)
        view.evacuated = self.evacuations.covers(view.zone)
        self._send_evacuation(link.stream)
        self._send(link.stream, Peers(self.links.addresses.list_known(), []))

    def _close(self, event: StreamClosed) -> None:
        link = self.links.remove_stream(event.stream, event.address, self._now)
        if link is None:
            return
        self.counts.add("streams_lost", link.hello.role)
        self._note("stream_lost", role=link.hello.role, process=link.hello.process)
        view = self.dispatcher.fleet.views.get(event.stream)
        if view is not None:
            self.dispatcher.handle_agent_loss(view)
            return
        self.handover.reachability.drop_stream(event.stream)
        if self.links.find(link.hello.incarnation) is None:
            self.handover.handle_peer_loss(link)
            self._count_entries()
            self.dispatcher.admission.forget_peer(link.hello.incarnation)
        self.intake.handle_stream_loss(event.stream)
        self.handover.drop_stream(event.stream)

    def _wake(self) -> None:
        """Begin anew after this process has stood still for longer than others wait."""
        self.handover.resume_after_pause()
        for link in self.links:
            self._drop_link(link.stream, "stood_still")
        for job in list(self.dispatcher.jobs.values()):
            self.dispatcher.give_up(job, "stood_still")

    def _drop_link(self, stream: int, reason: str) -> None:
        self.counts.add("streams_closed", reason)
        self._out.append(CloseStream(stream, reason))
        self._close(StreamClosed(stream))

    def _receive(self, event: Received) -> None:
        doubted = self.links.has_pending_probe(event.stream)
        link = self.links.record_frame(event.stream, self._now)
        if link is None:
            self._drop_link(event.stream, "silence")
            return
        view = self.dispatcher.fleet.views.get(event.stream)
        receivers = self._agent_receivers if view else self._peer_receivers
        receiver = receivers.get(type(event.message))
        if receiver is None:
            self._drop_link(event.stream, "unexpected message")
            return
        if view is None:
            self.handover.reachability.handle_peer_alive(link)
        receiver(view or link, event.message)
        if doubted and view is not None:
            self.dispatcher.dispatch(view.service, view)

    # Agents

    def _hear_room(self, view: AgentView, room: Room) -> None:
        view.update_free_capacity(room)
        self.dispatcher.dispatch(view.service, view)

    def _hear_news(self, view: AgentView, news: EndpointNews) -> None:
        if view.news is not None and view.news.instance != news.instance:
            view.health.clear()
        self.dispatcher.fleet.update_endpoint(view, news)
        self._note("endpoint_news", agent=view.address, open=news.accepts_runs)
        if news.reconciled:
            self.dispatcher.release_orphaned_runs(view)
        self.dispatcher.dispatch(view.service)

    def _hear_agents_pulse(self, view: AgentView, pulse: Pulse) -> None:
        view.slowness = pulse.slowness
        view.lag = pulse.lag
        view.link.update_clock(pulse.clock, self._now)

    def _hear_probe(self, view: AgentView, probe: Probe) -> None:
        view.link.update_clock(probe.clock, self._now)
        self._send(view.link.stream, Alive(view.link.estimate_clock(self._now)))

    def _hear_holding(self, view: AgentView, holding: Holding) -> None:
        view.link.update_clock(holding.clock, self._now)
        self.dispatcher.reconcile(view, holding.tasks)

    # Peers

    def _hear_peers(self, link: Link, peers: Peers) -> None:
        del link
        self._learn(AddressesRead(tuple(str(each) for each in peers.entries)))

    def _hear_pulse(self, link: Link, pulse: Pulse) -> None:
        link.lag = pulse.lag
        link.update_clock(pulse.clock, self._now)
        self.dispatcher.admission.update_peer_backlog(
            link.hello.incarnation, pulse.backlog
        )

    def _hear_goodbye(self, link: Link, message: Goodbye) -> None:
        del message
        link.leaving = True

    # Configuration

    def _read_configuration(self, event: ConfigurationRead) -> None:
        self._install(event.configuration, "store")

    def _hear_rules(self, link: Link, rules: Rules) -> None:
        queues = tuple(QueueRules(*fields) for fields in rules.queues)
        configuration = Configuration(rules.version, queues, rules.max_body)
        self._install(configuration, link.hello.process)

    def _install(self, configuration: Configuration, source: str) -> None:
        if not self.routes.install(configuration):
            return
        self.counts.add("configurations_installed")
        self._note("configuration", version=configuration.version, source=source)
        for link in self.links.list_peers():
            self._send_rules(link.stream)

    def _send_rules(self, stream: int) -> None:
        held = self.routes.configuration
        if held is not None:
            queues = [list(queue) for queue in held.queues]
            self._send(stream, Rules(held.version, queues, held.max_body))

    # Evacuated zones

    def _read_evacuation(self, event: EvacuationRead) -> None:
        self._install_evacuation(event.evacuation, "store")

    def _hear_evacuated(self, link: Link, message: Evacuated) -> None:
        told = decode_evacuation(message)
        if self.evacuations.is_outdated(told):
            self._send_evacuation(link.stream)
            return
        self._install_evacuation(told, link.hello.process)

    def _install_evacuation(self, told: Evacuation, source: str) -> None:
        changed = self.evacuations.install(told)
        if changed is None:
            return
        zones = sorted(told.zones)
        self._note("evacuation", zones=zones, revision=told.revision, source=source)
        for link in self.links:
            self._send_evacuation(link.stream)
        self.dispatcher.evacuate(told.zones, changed)

    def _send_evacuation(self, stream: int) -> None:
        if self.evacuations.known:
            self._send(stream, encode_evacuation(self.evacuations.newest))

    # Time

    def _note_lag(self, event: LagMeasured) -> None:
        change = self.pressure.observe(event.seconds, self._now)
        if change is not None:
            self.counts.add("pressure_changes", change.event)
            self._note(change.event, lag=change.lag, s=change.seconds)

    def _tick(self, event: Tick) -> None:
        del event
        self._end_silent()
        self._dial()
        self._tell_news()
        for link in self.links.list_due_heartbeats(self._now):
            self._send(link.stream, Alive(link.estimate_clock(self._now)))
        peers = self.links.list_due_peer_heartbeats(self._now)
        if peers:
            self._tell_peers(peers)
        if self._now >= self._tick_at:
            self._tick_at = self._now + DEADLINE_CHECK_SECONDS
            self.forwarding.give_up_expired()
            self.handover.give_up_expired()
            self.handover.start_delayed()
            self.dispatcher.check_deadlines()

    def _end_silent(self) -> None:
        silent = self.links.list_timed_out(self._now)
        for link in silent:
            self._drop_link(link.stream, "silence")
        for link in self.links.start_probes(self._now) if silent else ():
            self.counts.add("streams_probed")
            self._send(link.stream, Probe(self._now))

    def _tell_peers(self, peers: list[Link]) -> None:
        serves = self.ready and self.dispatcher.fleet.has_accepting_agent
        lag = self.pressure.mean if serves else math.inf
        pulse = Pulse(self.dispatcher.measure_backlog(), 1.0, self._now, lag)
        self.handover.announce_changes()
        for link in peers:
            self._send(link.stream, pulse)

    def _stop(self, event: StopRequested) -> None:
        del event
        self.stopping = True
        self._stopped_at = self._now
        self.dispatcher.shutdown_at = self._now + STOP_SECONDS
        self._note("stopping", jobs=len(self.dispatcher.jobs))

    def _end_jobs(self) -> None:
        # Whoever isn't answered now would see its connection cut.
        self.handover.refuse_all("stopping")
        self.forwarding.give_up_all("stopping")
        for job in list(self.dispatcher.jobs.values()):
            self.dispatcher.give_up(job, "stopping")

    def _check_quiet(self) -> None:
        if not self.stopping or self._quiet:
            return
        if self._now >= self.dispatcher.shutdown_at:
            self._end_jobs()
            self._quiet = True
        elif self._now >= self._stopped_at + UNREADY_SECONDS:
            self._quiet = not self.intake.busy
        if self._quiet:
            self.handover.leave()
            for link in self.links.list_peers():
                # Nothing of this entry's jobs is left; its end is no reason to
                # look for any.
                self._send(link.stream, Goodbye("stopping"))
            # What still arrives is refused, so that nothing is taken and cut.
            self.dispatcher.shutdown_at = self._now
            self._out.append(ShutdownComplete())
