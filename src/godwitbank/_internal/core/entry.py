"""The entry's decisions: membership, configuration, and the dispatcher."""

from collections.abc import Callable
from random import Random

from godwitbank._internal.core.catalog import Catalog
from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.dispatch import Dispatcher
from godwitbank._internal.core.events import (
    Action,
    CallerDisconnected,
    ClaimsFailed,
    ClaimsWritten,
    CloseStream,
    DocumentRead,
    DrainRequested,
    Received,
    Send,
    StreamClosed,
    StreamOpened,
    Submitted,
    TableRead,
    Tick,
)
from godwitbank._internal.core.identity import Identity, Timing, make_hello
from godwitbank._internal.core.membership import FORGET_SECONDS, Membership
from godwitbank._internal.core.peers import PeerView
from godwitbank._internal.core.pool import AgentView, AnnouncedDemand
from godwitbank._internal.core.service import PeerBacklog
from godwitbank._internal.models.messages import (
    PROTOCOL_VERSION,
    Document,
    Drain,
    EndpointState,
    Finished,
    Goodbye,
    Heartbeat,
    Hello,
    Load,
    Message,
    PeerLoad,
    Peers,
    Recalled,
    Refused,
    Resolve,
    Resolved,
    Revisions,
    Role,
    Welcome,
)

RECONNECT_TIMEOUT_SECONDS = 6.0
"""Seconds an unreachable agent has to come back before its tasks are lost."""

BOOT_LISTEN_SECONDS = 1.0
"""Seconds a booting entry listens for newer revisions before it serves."""


class EntryCore:
    """Decides for one entry; driven by events, answers with actions."""

    def __init__(
        self,
        identity: Identity,
        timing: Timing,
        rng: Random,
        now: float,
        balancer: str = "",
    ) -> None:
        self.identity = identity
        self.timing = timing
        self.counts = Counts()
        self.catalog = Catalog()
        self.dispatcher = Dispatcher(
            self.catalog, self.counts, timing, rng, identity.zone
        )
        self.membership = Membership(identity, balancer, self.counts, now)
        self._inbound: dict[int, Hello] = {}
        self._booted_at = now
        self._table_seen = False
        self._informed = False
        self._next_heartbeat = now
        self._out: list[Action] = []
        self._now = now
        self._handlers: dict[type, Callable] = {
            Received: self._receive,
            Submitted: lambda event: self.dispatcher.submit(event.submission),
            CallerDisconnected: lambda event: self.dispatcher.cancel(event.submission),
            ClaimsWritten: lambda event: self.dispatcher.resolve_claims(event),
            ClaimsFailed: lambda event: self.dispatcher.handle_claims_failure(event),
            StreamOpened: self._open,
            StreamClosed: self._close,
            DocumentRead: self._read_document,
            TableRead: self._see_table,
            DrainRequested: self._drain,
            Tick: self._tick,
        }
        self._agent_receivers: dict[type, Callable] = {
            Finished: self.dispatcher.handle_finished,
            Refused: self.dispatcher.handle_refused,
            Resolved: self.dispatcher.handle_resolved,
            Load: self._hear_load,
            Heartbeat: self._hear_agent,
            EndpointState: self._hear_endpoint,
            Recalled: lambda view, message: self.dispatcher.handle_recalled(message),
            Revisions: self._compare,
            Document: self._hear_document,
            Peers: self._hear_peers,
            Goodbye: self._hear_goodbye,
        }
        self._peer_receivers: dict[type, Callable] = {
            Heartbeat: self._hear_peer,
            PeerLoad: self._hear_peer_load,
            Revisions: self._compare,
            Document: self._hear_document,
            Peers: self._hear_peers,
            Goodbye: self._hear_goodbye,
        }

    def handle(self, event: object, now: float) -> list[Action]:
        """Take one event and return what has to be done."""
        self._now = now
        self._out = []
        self.dispatcher.begin_event(now, self._out.append)
        self.membership.begin_event(now, self._out.append)
        self._handlers[type(event)](event)
        return self._out

    @property
    def next_wakeup(self) -> float:
        """Time at which a ``Tick`` is next needed."""
        return min(self._next_heartbeat, self.dispatcher.next_wakeup)

    @property
    def ready(self) -> bool:
        """Whether this entry knows enough to serve.

        It must have heard the table, another entry or an agent, and have
        listened long enough that a newer revision known to any of them has
        arrived: serving on an old document would revert an accepted one.
        """
        informed = self._table_seen or self._informed
        return informed and self._now - self._booted_at >= BOOT_LISTEN_SECONDS

    # Streams

    def _open(self, event: StreamOpened) -> None:
        greeting = event.greeting
        if greeting.version != PROTOCOL_VERSION:
            self.counts.add("streams_refused", "version")
            self._out.append(CloseStream(event.stream, "unknown protocol version"))
        elif isinstance(greeting, Welcome):
            self._open_agent(event, greeting)
        elif event.address:
            self._open_peer(event.stream, event.address, greeting)
        else:
            self._accept(event.stream, greeting)

    def _accept(self, stream: int, hello: Hello) -> None:
        self._inbound[stream] = hello
        self._send(stream, make_hello(self.identity, Role.ENTRY))
        if hello.role == Role.AGENT:
            self.membership.record_agent(hello.address)
            self._send(stream, Peers(self.membership.list_entries(), []))
            return
        if hello.address != self.identity.address:
            self.membership.record_peer(hello.address)
        known = [view.address for view in self.membership.agents.values()]
        self._send(stream, Peers(self.membership.list_entries(), known))
        self._send(stream, Revisions(self._list_held()))

    def _open_agent(self, event: StreamOpened, welcome: Welcome) -> None:
        view = self.membership.agents.get(event.address)
        if view is None:
            self._out.append(CloseStream(event.stream, "forgotten"))
            return
        if view.stream is not None:
            self._out.append(CloseStream(view.stream, "replaced"))
            self.membership.agent_streams.pop(view.stream, None)
        same = view.incarnation == welcome.incarnation
        view.process = welcome.process
        view.zone = welcome.zone
        view.connect(event.stream, welcome.incarnation, welcome.clock, self._now)
        self.membership.agent_streams[event.stream] = view
        self.counts.add("streams_opened", Role.AGENT)
        if same:
            self._resolve(view)
        else:
            self._lose_outstanding(view, "the agent was restarted")
        self._send(event.stream, Revisions(self._list_held()))

    def _resolve(self, view: AgentView) -> None:
        for key, sent in view.outstanding.items():
            self.counts.add("resolves_sent")
            question = Resolve(key, sent.incarnation, sent.start_by)
            self._send(view.stream or 0, question)

    def _lose_outstanding(self, view: AgentView, detail: str) -> None:
        outstanding = list(view.outstanding.values())
        view.outstanding.clear()
        for sent in outstanding:
            self.dispatcher.mark_outcome_unknown(sent, detail)

    def _open_peer(self, stream: int, address: str, hello: Hello) -> None:
        if hello.incarnation == self.identity.incarnation:
            # The balancer led back to this very process.
            self._out.append(CloseStream(stream, "self"))
            return
        if self.membership.is_balancer(address):
            self.membership.record_peer(hello.address)
            self._out.append(CloseStream(stream, "found"))
            return
        peer = self.membership.peers.setdefault(address, PeerView(address, self._now))
        peer.connect(stream, hello.process, self._now)
        self.membership.peer_streams[stream] = peer
        self.counts.add("streams_opened", Role.ENTRY)
        self._send(stream, Revisions(self._list_held()))

    def _close(self, event: StreamClosed) -> None:
        self._inbound.pop(event.stream, None)
        view = self.membership.agent_streams.pop(event.stream, None)
        if view is not None and view.stream == event.stream:
            view.disconnect(self._now)
            self.counts.add("streams_lost", Role.AGENT)
            self.membership.dial_agents()
            return
        peer = self.membership.peer_streams.pop(event.stream, None)
        if peer is not None:
            peer.disconnect(self._now)
            self.counts.add("streams_lost", Role.ENTRY)
            return
        if event.stream:
            return
        self.membership.record_failed_dial(event.address)

    def _receive(self, event: Received) -> None:
        message = event.message
        view = self.membership.agent_streams.get(event.stream)
        if view is not None:
            view.heard_at = self._now
            receiver = self._agent_receivers.get(type(message))
            if receiver is None:
                self._reject(event.stream)
                return
            receiver(view, message)
            return
        peer = self.membership.peer_streams.get(event.stream)
        if peer is not None:
            peer.heard_at = self._now
            receiver = self._peer_receivers.get(type(message))
            if receiver is None:
                self._reject(event.stream)
                return
            receiver(peer, message)
            return
        self._receive_inbound(event)

    def _receive_inbound(self, event: Received) -> None:
        hello = self._inbound.get(event.stream)
        message = event.message
        if hello is None:
            return
        if isinstance(message, Document):
            self._take_document(message)
        elif isinstance(message, Revisions):
            self._send_newer(event.stream, message)
        elif isinstance(message, PeerLoad):
            self._note_peer_load(hello.process, message)
        elif isinstance(message, Heartbeat):
            self._answer_digest(event.stream, message)
        elif not isinstance(message, Peers | Goodbye):
            self._reject(event.stream)

    def _reject(self, stream: int) -> None:
        self.counts.add("streams_closed", "unexpected_message")
        self._out.append(CloseStream(stream, "unexpected message"))
        self._close(StreamClosed(stream))

    # Membership

    def _hear_peers(self, view: AgentView | PeerView, message: Peers) -> None:
        del view
        for address in message.entries:
            self.membership.record_peer(str(address))
        for address in message.agents:
            self.membership.record_agent(str(address))

    def _hear_endpoint(self, view: AgentView, state: EndpointState) -> None:
        if view.service != state.service:
            old = self.dispatcher.services.get(view.service)
            if old is not None and view in old.pool.views:
                old.pool.views.remove(view)
        view.service = state.service
        view.slots = state.slots
        view.leaving = state.leaving
        self._join_pool(view)

    def _join_pool(self, view: AgentView) -> None:
        service = self.dispatcher.services.get(view.service)
        if service is None:
            return
        if view not in service.pool.views:
            service.pool.views.append(view)
        service.announced_demand = AnnouncedDemand()
        self.dispatcher.dispatch(service)

    def _hear_load(self, view: AgentView, load: Load) -> None:
        view.update_free_slots(load.free_slots, load.starts_received)
        service = self.dispatcher.services.get(view.service)
        if service is not None:
            self.dispatcher.dispatch(service)

    def _hear_agent(self, view: AgentView, heartbeat: Heartbeat) -> None:
        view.set_clock(heartbeat.clock, self._now)
        view.update_free_slots(heartbeat.free_slots, heartbeat.starts_received)
        view.reported_failure_rate = heartbeat.failure_rate
        self._informed = True
        if view.stream is not None:
            self._answer_digest(view.stream, heartbeat)
        service = self.dispatcher.services.get(view.service)
        if service is not None:
            self.dispatcher.eject_if_unhealthy(view, service)
            self.dispatcher.dispatch(service)

    def _hear_goodbye(self, view: AgentView | PeerView, message: Goodbye) -> None:
        del message
        if isinstance(view, AgentView):
            view.leaving = True

    def _hear_peer(self, peer: PeerView, heartbeat: Heartbeat) -> None:
        if peer.stream is not None:
            self._answer_digest(peer.stream, heartbeat)

    def _hear_peer_load(self, peer: PeerView, load: PeerLoad) -> None:
        self._note_peer_load(peer.process, load)

    def _note_peer_load(self, process: str, load: PeerLoad) -> None:
        service = self.dispatcher.services.get(load.service)
        if service is not None:
            backlog = PeerBacklog(load.backlog_seconds, self._now)
            service.peer_backlogs[process] = backlog
            service.quota.update_peer_demand(process, load.demand, self._now)

    def _drain(self, event: DrainRequested) -> None:
        for view in self.membership.agents.values():
            if view.process == event.agent and view.stream is not None:
                self._send(view.stream, Drain(event.operator))

    # Configuration

    def _list_held(self) -> list[list[str | int]]:
        held = self.catalog.list_revisions().items()
        return [[service, revision] for service, revision in held]

    def _read_document(self, event: DocumentRead) -> None:
        self._install(event.service, event.revision, event.text)

    def _see_table(self, event: TableRead) -> None:
        del event
        self._table_seen = True

    def _hear_document(self, view: AgentView | PeerView, document: Document) -> None:
        del view
        self._take_document(document)

    def _take_document(self, document: Document) -> None:
        self._informed = True
        self._install(document.service, document.revision, document.text)

    def _install(self, service: str, revision: int, text: str) -> None:
        if not self.catalog.install(service, revision, text):
            self.counts.add("documents_ignored", "not_newer")
            return
        self.counts.add("documents_installed")
        self.dispatcher.configure(service)
        for view in self.membership.agents.values():
            if view.service == service:
                self._join_pool(view)
        document = Document(service, revision, text)
        for stream in [*self.membership.agent_streams, *self.membership.peer_streams]:
            self._send(stream, document)

    def _compare(self, view: AgentView | PeerView, revisions: Revisions) -> None:
        self._informed = True
        view.revisions = {str(pair[0]): int(pair[1]) for pair in revisions.held}
        if view.stream is not None:
            self._send_newer(view.stream, revisions)

    def _send_newer(self, stream: int, revisions: Revisions) -> None:
        theirs = {str(pair[0]): int(pair[1]) for pair in revisions.held}
        for service, held in self.catalog.list_newer(theirs):
            self._send(stream, Document(service, held.revision, held.text))

    def list_revisions_of(self, view: AgentView | PeerView) -> dict[str, int]:
        """List what another process holds, as far as it has said."""
        if view.digest == self.catalog.digest:
            return self.catalog.list_revisions()
        return view.revisions

    def _answer_digest(self, stream: int, heartbeat: Heartbeat) -> None:
        view = self.membership.find_by_stream(stream)
        if view is not None:
            view.digest = heartbeat.digest
        if heartbeat.digest != self.catalog.digest:
            self._send(stream, Revisions(self._list_held()))

    # Time

    def _tick(self, event: Tick) -> None:
        del event
        self.dispatcher.entry_count = len(self.membership.list_entries())
        self.dispatcher.check_timers()
        if self._now < self._next_heartbeat:
            return
        self._next_heartbeat = self._now + self.timing.heartbeat
        self._check_silence()
        self._forget()
        self.membership.dial_agents()
        self.membership.dial_peers()
        self.membership.discover_entries()
        self._send_heartbeats()
        self.dispatcher.dispatch_all()

    def _check_silence(self) -> None:
        views: list[AgentView | PeerView] = list(self.membership.agent_streams.values())
        views += self.membership.peer_streams.values()
        for view in views:
            if self._now - view.heard_at > self.timing.silence:
                stream = view.stream or 0
                self.counts.add("streams_closed", "silence")
                self._out.append(CloseStream(stream, "silence"))
                self._close(StreamClosed(stream))

    def _forget(self) -> None:
        for view in list(self.membership.agents.values()):
            lost_for = self._now - (view.lost_at or view.heard_at)
            if view.stream is not None:
                continue
            if lost_for > RECONNECT_TIMEOUT_SECONDS and view.outstanding:
                self._lose_outstanding(view, "the agent can't be reached")
            if lost_for > FORGET_SECONDS:
                service = self.dispatcher.services.get(view.service)
                if service is not None and view in service.pool.views:
                    service.pool.views.remove(view)
                del self.membership.agents[view.address]
        self.membership.forget_peers()

    def _send_heartbeats(self) -> None:
        for stream, view in self.membership.agent_streams.items():
            self._send(stream, self._make_heartbeat(view.acknowledged))
            view.acknowledged = 0
        for stream in self.membership.peer_streams:
            self._send(stream, self._make_heartbeat(0))
            for name, service in self.dispatcher.services.items():
                backlog = service.queue.measure_backlog()
                self._send(stream, PeerLoad(name, backlog, service.quota.demand))
        for stream, hello in self._inbound.items():
            if hello.role == Role.ENTRY:
                self._send(stream, self._make_heartbeat(0))

    def _make_heartbeat(self, acknowledged: int) -> Heartbeat:
        return Heartbeat(self._now, self.catalog.digest, acknowledged, 0.0, 0, 0)

    def _send(self, stream: int, message: Message) -> None:
        self._out.append(Send(stream, message))
