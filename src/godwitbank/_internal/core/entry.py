"""State machine of an entry: membership, configuration and dispatching."""

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
    MessageDropped,
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
"""Seconds a disconnected agent has to reconnect before its tasks count as lost."""

BOOT_LISTEN_SECONDS = 1.0
"""Seconds a booting entry waits for newer revisions from others before it serves."""


class EntryCore:
    """State machine of one entry: takes events, returns actions, does no I/O."""

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
        self._table_read = False
        self._has_contact = False
        self._next_heartbeat = now
        self._actions: list[Action] = []
        self._now = now
        self._handlers: dict[type, Callable] = {
            Received: self._handle_message,
            Submitted: lambda event: self.dispatcher.submit(event.submission),
            CallerDisconnected: lambda event: self.dispatcher.cancel(event.submission),
            ClaimsWritten: lambda event: self.dispatcher.resolve_claims(event),
            ClaimsFailed: lambda event: self.dispatcher.handle_claims_failure(event),
            StreamOpened: self._handle_stream_opened,
            StreamClosed: self._handle_stream_closed,
            DocumentRead: self._handle_document_read,
            TableRead: self._mark_table_read,
            DrainRequested: self._handle_drain_request,
            MessageDropped: self._ignore_dropped_message,
            Tick: self._handle_tick,
        }
        self._agent_message_handlers: dict[type, Callable] = {
            Finished: self.dispatcher.handle_finished,
            Refused: self.dispatcher.handle_refused,
            Resolved: self.dispatcher.handle_resolved,
            Load: self._handle_load,
            Heartbeat: self._handle_agent_heartbeat,
            EndpointState: self._handle_endpoint_state,
            Recalled: lambda view, message: self.dispatcher.handle_recalled(message),
            Revisions: self._handle_revisions,
            Document: self._handle_document,
            Peers: self._handle_peers,
            Goodbye: self._handle_goodbye,
        }
        self._peer_message_handlers: dict[type, Callable] = {
            Heartbeat: self._handle_peer_heartbeat,
            PeerLoad: self._handle_peer_load,
            Revisions: self._handle_revisions,
            Document: self._handle_document,
            Peers: self._handle_peers,
            Goodbye: self._handle_goodbye,
        }

    def handle(self, event: object, now: float) -> list[Action]:
        """Handle one event and return the actions to perform."""
        self._now = now
        self._actions = []
        self.dispatcher.begin_event(now, self._actions.append)
        self.membership.begin_event(now, self._actions.append)
        self._handlers[type(event)](event)
        return self._actions

    def _ignore_dropped_message(self, event: MessageDropped) -> None:
        # The stream has logged and counted it; a start ends with its deadline.
        del event

    @property
    def next_wakeup(self) -> float:
        """Time at which the next ``Tick`` is due."""
        return min(self._next_heartbeat, self.dispatcher.next_wakeup)

    @property
    def ready(self) -> bool:
        """Whether this entry may serve.

        It must have read the table or received from another entry or an agent,
        and have waited long enough for a newer revision that any of them holds
        to arrive. Serving with an old document would revert an accepted change.
        """
        has_source = self._table_read or self._has_contact
        return has_source and self._now - self._booted_at >= BOOT_LISTEN_SECONDS

    # Streams

    def _handle_stream_opened(self, event: StreamOpened) -> None:
        greeting = event.greeting
        if greeting.version != PROTOCOL_VERSION:
            self.counts.add("streams_refused", "version")
            self._actions.append(CloseStream(event.stream, "unknown protocol version"))
        elif isinstance(greeting, Welcome):
            self._open_agent(event, greeting)
        elif event.address:
            self._open_peer(event.stream, event.address, greeting)
        else:
            self._accept_stream(event.stream, greeting)

    def _accept_stream(self, stream: int, hello: Hello) -> None:
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
        self._send(stream, Revisions(self._list_revisions()))

    def _open_agent(self, event: StreamOpened, welcome: Welcome) -> None:
        view = self.membership.agents.get(event.address)
        if view is None:
            self._actions.append(CloseStream(event.stream, "forgotten"))
            return
        if view.stream is not None:
            self._actions.append(CloseStream(view.stream, "replaced"))
            self.membership.agent_streams.pop(view.stream, None)
        same_incarnation = view.incarnation == welcome.incarnation
        view.process = welcome.process
        view.zone = welcome.zone
        view.connect(event.stream, welcome.incarnation, welcome.clock, self._now)
        self.membership.agent_streams[event.stream] = view
        self.counts.add("streams_opened", Role.AGENT)
        if same_incarnation:
            self._query_outstanding(view)
        else:
            self._mark_outstanding_unknown(view, "the agent was restarted")
        self._send(event.stream, Revisions(self._list_revisions()))

    def _query_outstanding(self, view: AgentView) -> None:
        for key, sent in view.outstanding.items():
            self.counts.add("resolves_sent")
            query = Resolve(key, sent.incarnation, sent.start_by)
            self._send(view.stream or 0, query)

    def _mark_outstanding_unknown(self, view: AgentView, detail: str) -> None:
        outstanding = list(view.outstanding.values())
        view.outstanding.clear()
        for sent in outstanding:
            self.dispatcher.mark_outcome_unknown(sent, detail)

    def _open_peer(self, stream: int, address: str, hello: Hello) -> None:
        if hello.incarnation == self.identity.incarnation:
            # The balancer routed the connection back to this process.
            self._actions.append(CloseStream(stream, "self"))
            return
        if self.membership.is_balancer(address):
            self.membership.record_peer(hello.address)
            self._actions.append(CloseStream(stream, "found"))
            return
        peer = self.membership.peers.setdefault(address, PeerView(address, self._now))
        peer.connect(stream, hello.process, self._now)
        self.membership.peer_streams[stream] = peer
        self.counts.add("streams_opened", Role.ENTRY)
        self._send(stream, Revisions(self._list_revisions()))

    def _handle_stream_closed(self, event: StreamClosed) -> None:
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

    def _handle_message(self, event: Received) -> None:
        message = event.message
        view = self.membership.agent_streams.get(event.stream)
        if view is not None:
            view.last_received_at = self._now
            handler = self._agent_message_handlers.get(type(message))
            if handler is None:
                self._reject_message(event.stream)
                return
            handler(view, message)
            return
        peer = self.membership.peer_streams.get(event.stream)
        if peer is not None:
            peer.last_received_at = self._now
            handler = self._peer_message_handlers.get(type(message))
            if handler is None:
                self._reject_message(event.stream)
                return
            handler(peer, message)
            return
        self._handle_inbound_message(event)

    def _handle_inbound_message(self, event: Received) -> None:
        hello = self._inbound.get(event.stream)
        message = event.message
        if hello is None:
            return
        if isinstance(message, Document):
            self._accept_document(message)
        elif isinstance(message, Revisions):
            self._send_newer_documents(event.stream, message)
        elif isinstance(message, PeerLoad):
            self._update_peer_load(hello.process, message)
        elif isinstance(message, Heartbeat):
            self._check_digest(event.stream, message)
        elif not isinstance(message, Peers | Goodbye):
            self._reject_message(event.stream)

    def _reject_message(self, stream: int) -> None:
        self.counts.add("streams_closed", "unexpected_message")
        self._actions.append(CloseStream(stream, "unexpected message"))
        self._handle_stream_closed(StreamClosed(stream))

    # Membership

    def _handle_peers(self, view: AgentView | PeerView, message: Peers) -> None:
        del view
        for address in message.entries:
            self.membership.record_peer(str(address))
        for address in message.agents:
            self.membership.record_agent(str(address))

    def _handle_endpoint_state(self, view: AgentView, state: EndpointState) -> None:
        if view.service != state.service:
            previous = self.dispatcher.services.get(view.service)
            if previous is not None and view in previous.pool.views:
                previous.pool.views.remove(view)
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

    def _handle_load(self, view: AgentView, load: Load) -> None:
        view.update_free_slots(load.free_slots, load.starts_received)
        service = self.dispatcher.services.get(view.service)
        if service is not None:
            self.dispatcher.dispatch(service)

    def _handle_agent_heartbeat(self, view: AgentView, heartbeat: Heartbeat) -> None:
        view.set_clock(heartbeat.clock, self._now)
        view.update_free_slots(heartbeat.free_slots, heartbeat.starts_received)
        view.reported_failure_rate = heartbeat.failure_rate
        self._has_contact = True
        if view.stream is not None:
            self._check_digest(view.stream, heartbeat)
        service = self.dispatcher.services.get(view.service)
        if service is not None:
            self.dispatcher.eject_if_unhealthy(view, service)
            self.dispatcher.dispatch(service)

    def _handle_goodbye(self, view: AgentView | PeerView, message: Goodbye) -> None:
        del message
        if isinstance(view, AgentView):
            view.leaving = True

    def _handle_peer_heartbeat(self, peer: PeerView, heartbeat: Heartbeat) -> None:
        if peer.stream is not None:
            self._check_digest(peer.stream, heartbeat)

    def _handle_peer_load(self, peer: PeerView, load: PeerLoad) -> None:
        self._update_peer_load(peer.process, load)

    def _update_peer_load(self, process: str, load: PeerLoad) -> None:
        service = self.dispatcher.services.get(load.service)
        if service is not None:
            backlog = PeerBacklog(load.backlog_seconds, self._now)
            service.peer_backlogs[process] = backlog
            service.quota.update_peer_demand(process, load.demand, self._now)

    def _handle_drain_request(self, event: DrainRequested) -> None:
        for view in self.membership.agents.values():
            if view.process == event.agent and view.stream is not None:
                self._send(view.stream, Drain(event.operator))

    # Configuration

    def _list_revisions(self) -> list[list[str | int]]:
        installed = self.catalog.list_revisions().items()
        return [[service, revision] for service, revision in installed]

    def _handle_document_read(self, event: DocumentRead) -> None:
        self._install_document(event.service, event.revision, event.text)

    def _mark_table_read(self, event: TableRead) -> None:
        del event
        self._table_read = True

    def _handle_document(self, view: AgentView | PeerView, document: Document) -> None:
        del view
        self._accept_document(document)

    def _accept_document(self, document: Document) -> None:
        self._has_contact = True
        self._install_document(document.service, document.revision, document.text)

    def _install_document(self, service: str, revision: int, text: str) -> None:
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

    def _handle_revisions(
        self, view: AgentView | PeerView, revisions: Revisions
    ) -> None:
        self._has_contact = True
        view.revisions = {str(pair[0]): int(pair[1]) for pair in revisions.held}
        if view.stream is not None:
            self._send_newer_documents(view.stream, revisions)

    def _send_newer_documents(self, stream: int, revisions: Revisions) -> None:
        theirs = {str(pair[0]): int(pair[1]) for pair in revisions.held}
        for service, installed in self.catalog.list_newer(theirs):
            self._send(stream, Document(service, installed.revision, installed.text))

    def list_revisions_of(self, view: AgentView | PeerView) -> dict[str, int]:
        """List the revisions that another process last reported to hold.

        :return: revision for each service name.
        """
        if view.digest == self.catalog.digest:
            return self.catalog.list_revisions()
        return view.revisions

    def _check_digest(self, stream: int, heartbeat: Heartbeat) -> None:
        view = self.membership.find_by_stream(stream)
        if view is not None:
            view.digest = heartbeat.digest
        if heartbeat.digest != self.catalog.digest:
            self._send(stream, Revisions(self._list_revisions()))

    # Time

    def _handle_tick(self, event: Tick) -> None:
        del event
        self.dispatcher.entry_count = len(self.membership.list_entries())
        self.dispatcher.check_timers()
        if self._now < self._next_heartbeat:
            return
        self._next_heartbeat = self._now + self.timing.heartbeat
        self._close_timed_out_streams()
        self._expire_unreachable()
        self.membership.dial_agents()
        self.membership.dial_peers()
        self.membership.discover_entries()
        self._send_heartbeats()
        self.dispatcher.dispatch_all()

    def _close_timed_out_streams(self) -> None:
        views: list[AgentView | PeerView] = list(self.membership.agent_streams.values())
        views += self.membership.peer_streams.values()
        for view in views:
            if self._now - view.last_received_at > self.timing.silence:
                stream = view.stream or 0
                self.counts.add("streams_closed", "silence")
                self._actions.append(CloseStream(stream, "silence"))
                self._handle_stream_closed(StreamClosed(stream))

    def _expire_unreachable(self) -> None:
        for view in list(self.membership.agents.values()):
            lost_for = self._now - (view.lost_at or view.last_received_at)
            if view.stream is not None:
                continue
            if lost_for > RECONNECT_TIMEOUT_SECONDS and view.outstanding:
                self._mark_outstanding_unknown(view, "the agent can't be reached")
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
        self._actions.append(Send(stream, message))
