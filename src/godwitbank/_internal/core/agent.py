"""State machine of an agent: the only component that starts tasks."""

from collections import deque
from collections.abc import Callable

from godwitbank._internal.core.catalog import Catalog
from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.endpoint_lease import EndpointLease
from godwitbank._internal.core.events import (
    Action,
    CloseStream,
    Drained,
    EndpointAnnounced,
    EndpointLeft,
    MessageDropped,
    Received,
    RunEnded,
    RunTask,
    Send,
    StopRequested,
    StreamClosed,
    StreamOpened,
    Tick,
)
from godwitbank._internal.core.failure_rate import FailureRate
from godwitbank._internal.core.grants import Grants
from godwitbank._internal.core.identity import Identity, Timing
from godwitbank._internal.core.parking import Parking
from godwitbank._internal.core.task_history import RecordState, TaskHistory
from godwitbank._internal.models.messages import (
    PROTOCOL_VERSION,
    Cancel,
    Document,
    Drain,
    Ending,
    EndpointState,
    Finished,
    Goodbye,
    Heartbeat,
    Hello,
    Load,
    Message,
    Peers,
    Recall,
    Recalled,
    Refusal,
    Refused,
    Resolve,
    Resolved,
    Revisions,
    Start,
    Verdict,
    Want,
    Welcome,
)
from godwitbank._internal.models.tasks import TaskKey

DEFAULT_PARKED = 1
"""Starts that may be parked, waiting for a slot, while no document is installed."""

ACKNOWLEDGEMENT_TIMEOUT_SECONDS = 2.0
"""Seconds for which a stopping agent without running tasks waits for
acknowledgements of its last results."""


class EntryStream:
    """State of an entry's stream at the agent.

    :ivar unacknowledged: tasks whose results were sent and not acknowledged, oldest
        first.
    """

    __slots__ = ("stream", "hello", "last_received_at", "unacknowledged", "digest")

    def __init__(self, stream: int, hello: Hello, now: float) -> None:
        self.stream = stream
        self.hello = hello
        self.last_received_at = now
        self.unacknowledged: deque[TaskKey] = deque()
        self.digest = 0


class AgentCore:
    """State machine of one agent: takes events, returns actions, does no I/O."""

    def __init__(self, identity: Identity, timing: Timing, now: float) -> None:
        self.identity = identity
        self.timing = timing
        self.counts = Counts()
        self.catalog = Catalog()
        self.history = TaskHistory()
        self.running: dict[TaskKey, Start] = {}
        self._endpoint_lease = EndpointLease(now)
        self._drained = False
        self._idle_since: float | None = None
        self._streams: dict[int, EntryStream] = {}
        self._streams_by_incarnation: dict[str, int] = {}
        self._parking = Parking()
        self._grants = Grants()
        self._failures = FailureRate()
        self._next_heartbeat = now
        self._actions: list[Action] = []
        self._now = now
        self._handlers: dict[type, Callable] = {
            StreamOpened: self._handle_stream_opened,
            StreamClosed: self._handle_stream_closed,
            Received: self._handle_message,
            RunEnded: self._handle_run_ended,
            EndpointAnnounced: self._handle_announcement,
            EndpointLeft: self._handle_endpoint_left,
            StopRequested: self._handle_stop,
            MessageDropped: self._ignore_dropped_message,
            Tick: self._handle_tick,
        }
        self._message_handlers: dict[type, Callable] = {
            Start: self._handle_start,
            Cancel: self._handle_cancel,
            Resolve: self._handle_resolve,
            Want: self._handle_want,
            Heartbeat: self._handle_heartbeat,
            Document: self._install_document,
            Revisions: self._handle_revisions,
            Drain: self._handle_drain,
            Recall: self._handle_recall,
            Peers: self._ignore_message,
            Goodbye: self._ignore_message,
        }

    def handle(self, event: object, now: float) -> list[Action]:
        """Handle one event and return the actions to perform."""
        self._now = now
        self._actions = []
        self._handlers[type(event)](event)
        return self._actions

    @property
    def service(self) -> str:
        """Service of the endpoint; empty while there is no endpoint."""
        return self._endpoint_lease.service

    @property
    def leaving(self) -> bool:
        """Whether new starts are refused because the agent is leaving."""
        return self._endpoint_lease.leaving

    @property
    def slots(self) -> int:
        """Tasks that may run at once: the lower limit of endpoint and document."""
        installed = self.catalog.find(self.service)
        if installed is None:
            return self._endpoint_lease.slots
        return min(self._endpoint_lease.slots, installed.document.endpoint.slots)

    @property
    def next_wakeup(self) -> float:
        """Time at which the next ``Tick`` is due."""
        return self._next_heartbeat

    def list_entries(self) -> list[str]:
        """List the stream addresses of the connected entries."""
        return sorted(each.hello.address for each in self._streams.values())

    def describe(self) -> dict[str, object]:
        """Describe this agent's state for the status page."""
        return {
            "agent": self.identity.process,
            "service": self.service,
            "slots": self.slots,
            "running": len(self.running),
            "parked": len(self._parking),
            "leaving": self.leaving,
            "remembered": len(self.history),
            "entries": self.list_entries(),
            "revisions": self.catalog.list_revisions(),
        }

    # Streams

    def _handle_stream_opened(self, event: StreamOpened) -> None:
        hello = event.greeting
        if not isinstance(hello, Hello):
            self._actions.append(CloseStream(event.stream, "no hello"))
            return
        if hello.version != PROTOCOL_VERSION:
            self.counts.add("streams_refused", "version")
            self._actions.append(CloseStream(event.stream, "unknown protocol version"))
            return
        self._streams[event.stream] = EntryStream(event.stream, hello, self._now)
        self._streams_by_incarnation[hello.incarnation] = event.stream
        self._grants.add(event.stream)
        self._send(
            event.stream,
            Welcome(
                PROTOCOL_VERSION,
                self.identity.process,
                self.identity.incarnation,
                self.identity.zone,
                self._now,
            ),
        )
        self._send(event.stream, self._describe_endpoint())
        self._send(event.stream, self._make_heartbeat(event.stream))
        self._send(event.stream, Revisions(self._list_revisions()))
        self._send(event.stream, Peers(self.list_entries(), []))

    def _handle_stream_closed(self, event: StreamClosed) -> None:
        entry = self._streams.pop(event.stream, None)
        if entry is None:
            return
        self._grants.remove(event.stream)
        if self._streams_by_incarnation.get(entry.hello.incarnation) == event.stream:
            del self._streams_by_incarnation[entry.hello.incarnation]
        self._drop_parked(event.stream)
        self._announce_loads()

    def _drop_parked(self, stream: int) -> None:
        # If the entry has died, its caller will submit the job again. Starts of the
        # lost stream that are still parked must not run, or the work runs twice.
        for parked in self._parking.take_stream(stream):
            self._fence_start(parked.stream, parked.start)
            self.counts.add("parked_dropped", "stream_closed")

    def _fence_start(self, stream: int, start: Start) -> None:
        entry = self._streams.get(stream)
        incarnation = entry.hello.incarnation if entry else ""
        self.history.fence(start.key, start.start_by, incarnation)

    def _handle_message(self, event: Received) -> None:
        entry = self._streams.get(event.stream)
        if entry is None:
            return
        entry.last_received_at = self._now
        handler = self._message_handlers.get(type(event.message))
        if handler is None:
            self.counts.add("streams_closed", "unexpected_message")
            self._actions.append(CloseStream(event.stream, "unexpected message"))
            return
        handler(entry, event.message)

    # Starts

    def _handle_start(self, entry: EntryStream, start: Start) -> None:
        self._grants.record_start(entry.stream)
        record = self.history.find(start.key)
        if record is not None and record.state is not RecordState.FENCED:
            self._answer_duplicate(entry, start, record.attempt)
            return
        if start.key in self._parking:
            self.counts.add("starts_ignored", "duplicate")
            return
        if start.request_id and self.history.has_request(start.request_id):
            # The claim should have prevented this start. As a last check, don't run
            # the task.
            self.counts.add("starts_ignored", "request_seen")
            self._send(entry.stream, Resolved(start.key, Verdict.UNKNOWN))
            return
        refusal = self._find_refusal(start)
        if refusal is not None:
            self._refuse_start(entry.stream, start, refusal)
        elif len(self.running) < self.slots and not self._parking:
            self._run_task(entry.stream, start)
        elif len(self._parking) < self._parked_limit():
            self._parking.add(entry.stream, start)
            self.counts.add("starts_parked")
        else:
            self._refuse_start(entry.stream, start, Refusal.BUSY)
        self._announce_loads()

    def _answer_duplicate(self, entry: EntryStream, start: Start, attempt: int) -> None:
        self.counts.add("starts_ignored", "duplicate")
        if attempt != start.key.attempt:
            # Another attempt of the task has started here, so the entry's view of
            # the task is wrong, and it must not be told that the task never started.
            self._send(entry.stream, Resolved(start.key, Verdict.UNKNOWN))

    def _find_refusal(self, start: Start) -> Refusal | None:
        if start.incarnation != self.identity.incarnation:
            return Refusal.WRONG_INCARNATION
        if self.history.is_fenced(start.key):
            return Refusal.FENCED
        if self._now > start.start_by:
            # This process or its stream was paused; the entry may have given the
            # task up and answered its caller meanwhile.
            return Refusal.STALE
        if self.leaving:
            return Refusal.LEAVING
        if not self.service:
            return Refusal.NO_ENDPOINT
        if self._endpoint_lease.is_lapsed(self._now):
            return Refusal.LAPSED
        if start.service != self.service:
            return Refusal.WRONG_SERVICE
        return None

    def _parked_limit(self) -> int:
        installed = self.catalog.find(self.service)
        if installed is None:
            return DEFAULT_PARKED
        policy = installed.document.policy
        limit = installed.document.endpoint.parked
        return limit if policy.message_weight > 0 else 0

    def _refuse_start(self, stream: int, start: Start, reason: Refusal) -> None:
        self.counts.add("starts_refused", reason)
        self._fence_start(stream, start)
        free = self._grants.announce(stream, self._count_free())
        seen = self._grants.count_seen(stream)
        self._send(stream, Refused(start.key, reason, free, seen))

    def _run_task(self, stream: int, start: Start) -> None:
        entry = self._streams.get(stream)
        incarnation = entry.hello.incarnation if entry else ""
        self.history.record_start(
            start.key, start.start_by, incarnation, start.request_id, self._now
        )
        self.running[start.key] = start
        self.counts.add("starts")
        self._actions.append(
            RunTask(
                start.key,
                start.class_name,
                start.request_id,
                start.payload,
                start.timeout,
            )
        )

    def _handle_run_ended(self, event: RunEnded) -> None:
        start = self.running.pop(event.key, None)
        if start is None:
            return
        self.counts.add("runs_ended", event.ending)
        failed = event.ending != Ending.ANSWERED
        self._failures.add(event.key.submission, failed, self._now)
        record = self.history.record_end(event, start.request_id)
        self._start_parked()
        if record is not None:
            self._send_result(record.entry, event)
        self._announce_loads()
        self._check_drained()

    def _start_parked(self) -> None:
        while self._parking and len(self.running) < self.slots:
            parked = self._parking.pop()
            refusal = self._find_refusal(parked.start)
            if refusal is None:
                self._run_task(parked.stream, parked.start)
            else:
                self._refuse_start(parked.stream, parked.start, refusal)

    def _send_result(self, incarnation: str, event: RunEnded) -> None:
        stream = self._streams_by_incarnation.get(incarnation)
        if stream is None:
            # The result stays in the history; the entry queries it on its next
            # stream.
            self.counts.add("answers_held", "no_stream")
            return
        entry = self._streams[stream]
        entry.unacknowledged.append(event.key)
        free = self._grants.announce(stream, self._count_free())
        seen = self._grants.count_seen(stream)
        self._send(
            stream,
            Finished(
                event.key,
                event.ending,
                event.status,
                event.content_type,
                event.body,
                event.run_time,
                free,
                seen,
            ),
        )

    def _handle_cancel(self, entry: EntryStream, cancel: Cancel) -> None:
        parked = self._parking.take(cancel.key)
        if parked is not None:
            self._refuse_start(entry.stream, parked.start, Refusal.CANCELLED)
            self._announce_loads()
            return
        self.counts.add("cancels_late")

    def _handle_resolve(self, entry: EntryStream, query: Resolve) -> None:
        verdict = Verdict.UNKNOWN
        if query.incarnation == self.identity.incarnation:
            # A parked start has not begun: remove it, or it would run after the
            # entry was told that it never will.
            if self._parking.take(query.key) is not None:
                self._announce_loads()
            verdict = self.history.resolve(
                query.key, query.start_by, entry.hello.incarnation
            )
        self.counts.add("resolved", verdict)
        self._send(entry.stream, Resolved(query.key, verdict))
        if verdict is Verdict.FINISHED:
            record = self.history.find(query.key)
            if record is not None and record.ending is not None:
                self._send_result(entry.hello.incarnation, record.ending)

    # Load

    def _count_free(self) -> int:
        if not self._endpoint_lease.accepts_work(self._now):
            return 0
        return self.slots - len(self.running) - len(self._parking)

    def _handle_want(self, entry: EntryStream, want: Want) -> None:
        rank = self._now + want.rank_in
        self._grants.set_demand(entry.stream, want.waiting, rank)
        self._announce_loads()

    def _announce_loads(self) -> None:
        for stream, allowed in self._grants.list_changes(self._count_free()):
            seen = self._grants.count_seen(stream)
            self.counts.add("loads_told")
            self._send(stream, Load(allowed, seen))

    # Endpoint

    def _handle_announcement(self, event: EndpointAnnounced) -> None:
        if self._endpoint_lease.handle_announcement(event, self._now):
            self.counts.add("endpoint_announced")
            self._announce_endpoint()
        self._start_parked()
        self._announce_loads()

    def _handle_endpoint_left(self, event: EndpointLeft) -> None:
        del event
        self._endpoint_lease.record_departure()
        self._begin_leaving("endpoint")

    def _handle_drain(self, entry: EntryStream, drain: Drain) -> None:
        del entry, drain
        self._endpoint_lease.request_drain()
        self._begin_leaving("operator")

    def _handle_stop(self, event: StopRequested) -> None:
        del event
        self._endpoint_lease.stopping = True
        self._begin_leaving("stop")
        self._check_drained()

    def _begin_leaving(self, reason: str) -> None:
        if self.leaving:
            return
        self._endpoint_lease.leaving = True
        self.counts.add("leaving", reason)
        self._announce_endpoint()
        while self._parking:
            parked = self._parking.pop()
            self._refuse_start(parked.stream, parked.start, Refusal.LEAVING)
        self._announce_loads()

    def _describe_endpoint(self) -> EndpointState:
        service = "" if self._endpoint_lease.is_lapsed(self._now) else self.service
        return EndpointState(service, self.slots, self.leaving)

    def _announce_endpoint(self) -> None:
        for stream in self._streams:
            self._send(stream, self._describe_endpoint())

    def _check_drained(self) -> None:
        if not self._endpoint_lease.stopping or self.running or self._drained:
            return
        if self._idle_since is None:
            self._idle_since = self._now
        waiting = any(entry.unacknowledged for entry in self._streams.values())
        if waiting and self._now - self._idle_since < ACKNOWLEDGEMENT_TIMEOUT_SECONDS:
            return
        self._drained = True
        for stream in self._streams:
            self._send(stream, Goodbye("stopping"))
        self._actions.append(Drained())

    # Configuration

    def _list_revisions(self) -> list[list[str | int]]:
        installed = self.catalog.list_revisions().items()
        return [[service, revision] for service, revision in installed]

    def _install_document(self, entry: EntryStream, document: Document) -> None:
        del entry
        if self.catalog.install(document.service, document.revision, document.text):
            self.counts.add("documents_installed")
            self._announce_endpoint()
            for stream in self._streams:
                self._send(stream, self._make_heartbeat(stream))
            self._start_parked()
            self._announce_loads()

    def _handle_revisions(self, entry: EntryStream, revisions: Revisions) -> None:
        theirs = {str(pair[0]): int(pair[1]) for pair in revisions.held}
        for service, installed in self.catalog.list_newer(theirs):
            self._send(
                entry.stream, Document(service, installed.revision, installed.text)
            )

    # Heartbeats

    def _make_heartbeat(self, stream: int) -> Heartbeat:
        free = self._grants.announce(stream, self._count_free())
        return Heartbeat(
            self._now,
            self.catalog.digest,
            0,
            self._failures.measure(self._now),
            free,
            self._grants.count_seen(stream),
        )

    def _handle_heartbeat(self, entry: EntryStream, heartbeat: Heartbeat) -> None:
        remaining = heartbeat.acknowledged
        while entry.unacknowledged and remaining > 0:
            self.history.acknowledge(entry.unacknowledged.popleft())
            remaining -= 1
        if heartbeat.digest != self.catalog.digest:
            self._send(entry.stream, Revisions(self._list_revisions()))
        self._check_drained()

    def _handle_recall(self, entry: EntryStream, recall: Recall) -> None:
        verdict, ending = self.history.recall(recall.request_id)
        if ending is None:
            ending = RunEnded(TaskKey("", 0, 0), "", 0, "", b"", 0.0)
        self._send(
            entry.stream,
            Recalled(
                recall.service,
                recall.request_id,
                verdict,
                ending.ending,
                ending.status,
                ending.content_type,
                ending.body,
            ),
        )

    def _handle_tick(self, event: Tick) -> None:
        del event
        if self._endpoint_lease.end_if_lapsed(self._now):
            self.counts.add("endpoint_lapsed")
            self._announce_endpoint()
            self._announce_loads()
        for entry in list(self._streams.values()):
            if self._now - entry.last_received_at > self.timing.silence:
                self.counts.add("streams_closed", "silence")
                self._actions.append(CloseStream(entry.stream, "silence"))
                self._handle_stream_closed(StreamClosed(entry.stream))
        if self._now >= self._next_heartbeat:
            self._next_heartbeat = self._now + self.timing.heartbeat
            self.history.expire(self._now)
            for stream in self._streams:
                self._send(stream, self._make_heartbeat(stream))
        self._check_drained()

    def _ignore_message(self, entry: EntryStream, message: Message) -> None:
        del entry, message

    def _ignore_dropped_message(self, event: MessageDropped) -> None:
        # The stream has logged and counted it.
        del event

    def _send(self, stream: int, message: Message) -> None:
        self._actions.append(Send(stream, message))
