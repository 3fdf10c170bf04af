"""The agent's decisions about its entries and its endpoint, and what it tells.

The runs it holds are the concern of ``runner``.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

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
from godwitbank._internal.core.runs.endpoint import Endpoint
from godwitbank._internal.core.runs.evacuations import Evacuations, decode_evacuation
from godwitbank._internal.core.runs.events import (
    AddressesRead,
    EndpointExiting,
    LagMeasured,
    LogDecision,
    RenewalAnswered,
    RenewalFailed,
    ReportReceived,
    RunAction,
    ShutdownComplete,
    StartAnswered,
    StoredReportRead,
    StoreReport,
)
from godwitbank._internal.core.runs.links import Link, Links
from godwitbank._internal.core.runs.moves import StreamMoves
from godwitbank._internal.core.runs.runner import Runner
from godwitbank._internal.core.runs.status_updates import StatusUpdates
from godwitbank._internal.models.jobs import RunEnd
from godwitbank._internal.models.messages import (
    PROTOCOL_VERSION,
    Hello,
    Message,
    Peers,
    Role,
)
from godwitbank._internal.models.resources import Resources
from godwitbank._internal.models.run_messages import (
    Alive,
    Claim,
    EndpointNews,
    Evacuated,
    Holding,
    Probe,
    Pulse,
    Room,
    RunOutcome,
    StartRun,
    StopRun,
)

SLOWNESS_UPDATE_STEP = 0.3
"""Change of an endpoint's slowness that entries are told before the next proof of life.
Endpoints count as slow from 2.0, and sound ones differ by less than this."""


LAG_UPDATE_STEP_SECONDS = 0.03
"""Change in seconds of this process's lateness that entries are told before the next
proof of life: from there on another agent with room serves a short task sooner."""


class AnnouncedState(NamedTuple):
    """What all entries are told from: while it is the same they need no look."""

    news: EndpointNews
    free: Resources
    parked: int


class RunAgentCore:
    """Decides for one agent; driven by events, answers with actions."""

    def __init__(
        self,
        identity: Identity,
        now: float,
        counts: Counts | None = None,
        entries: int = ENTRIES_PER_AGENT,
        deployment: Deployment = DEFAULT_DEPLOYMENT,
    ) -> None:
        self.identity = identity
        self.counts = Counts() if counts is None else counts
        self.links = Links(identity.address, identity.incarnation, now, entries)
        self.endpoint = Endpoint(now, deployment)
        self.evacuations = Evacuations()
        self.runner = Runner(
            self.endpoint, self.links, self.counts, now, self._lose_endpoint
        )
        self.held_runs = self.runner.held_runs
        self.pressure = Pressure()
        self._bulletins = StatusUpdates()
        self._told: AnnouncedState | None = None
        self._owners: set[str] = set()
        self._linked_anew = True
        self._quiet = False
        self._moves = StreamMoves(self.links, now)
        self._out: list[RunAction] = []
        self._now = now
        self._handlers: dict[type, Callable] = {
            AddressesRead: self._learn,
            StreamOpened: self._open,
            StreamClosed: self._close,
            Received: self._receive,
            ReportReceived: self._report,
            StoredReportRead: self._recall,
            EndpointExiting: self._depart,
            StartAnswered: self.runner.handle_start_answer,
            RenewalAnswered: self.runner.handle_renewal_answer,
            RenewalFailed: self.runner.handle_renewal_failure,
            StopRequested: self._stop,
            LagMeasured: self._note_lag,
            Tick: self._tick,
        }
        self._receivers: dict[type, Callable] = {
            StartRun: self.runner.handle_start_order,
            StopRun: self.runner.handle_stop_order,
            Claim: self.runner.handle_claim,
            Peers: self._hear_peers,
            Alive: self._hear_alive,
            Evacuated: self._hear_evacuated,
            Probe: self._hear_probe,
        }

    def handle(self, event: object, now: float) -> list[RunAction]:
        """Take one event and return what has to be done."""
        self._now = now
        self._out = []
        self.runner.begin_event(now, self._out)
        if self.links.begin_event(now):
            for link in self.links:
                self._drop_link(link.stream, "stood_still")
        self._handlers[type(event)](event)
        self.runner.start_parked()
        self._out += self.endpoint.list_renewals(
            now, bool(self.held_runs.placed_owners), self.runner.find_lease_end()
        )
        self._tell_all()
        self.runner.answer_claims()
        self._check_quiet()
        self.links.record_sent(self._out, now)
        return self._out

    @property
    def next_wakeup(self) -> float:
        """Time at which a ``Tick`` is next needed."""
        return min(
            self.links.next_wakeup(),
            self.endpoint.next_wakeup(),
            self._bulletins.next_wakeup(),
        )

    @property
    def open(self) -> bool:
        """Whether new runs are taken."""
        return self.runner.open

    @property
    def evacuated(self) -> bool:
        """Whether the endpoint's zone is to get no new runs."""
        return self.runner.evacuated

    @property
    def stopping(self) -> bool:
        """Whether this process was asked to end."""
        return self.runner.stopping

    def describe(self) -> dict[str, object]:
        """Describe this agent's state for a status page."""
        return {
            "agent": self.identity.process,
            "instance": self.endpoint.instance,
            "service": self.endpoint.service,
            "open": self.open,
            "evacuated": self.evacuated,
            "free": list(self.held_runs.free),
            "placed": len(self.held_runs.list_placed()),
            "lag": round(self.pressure.lag, 3),
            "parked": self.held_runs.parked,
            "entries": [link.hello.process for link in self.links],
        }

    def _note(self, event: str, request: str = "", **fields: object) -> None:
        self._out.append(LogDecision(event, request, fields))

    def _send(self, stream: int, message: Message) -> None:
        self._out.append(Send(stream, message))

    # Streams

    def _learn(self, event: AddressesRead) -> None:
        self.links.addresses.add(event.addresses, self._now)
        self._dial()

    def _hear_peers(self, link: Link, peers: Peers) -> None:
        del link
        self.links.addresses.add(peers.entries, self._now)
        self._dial()

    def _dial(self) -> None:
        self._out += [
            Dial(address) for address in self.links.addresses.list_due(self._now)
        ]

    def _open(self, event: StreamOpened) -> None:
        hello = event.greeting
        entry = isinstance(hello, Hello) and hello.role == Role.ENTRY
        if not entry or hello.version != PROTOCOL_VERSION:
            self.counts.add("streams_refused", "greeting")
            self._out.append(CloseStream(event.stream, "not an entry's greeting"))
            return
        assert isinstance(hello, Hello)
        link = self.links.add_stream(event.stream, hello, event.address, self._now)
        if link is None:
            self._out.append(CloseStream(event.stream, "self"))
            return
        if not event.address:
            self._send(event.stream, make_hello(self.identity, Role.AGENT))
        self._linked_anew = True
        self._note("entry_connected", entry=hello.process)
        for outcome in self.runner.outbox.take(hello.incarnation, self._now):
            self._send(event.stream, outcome)
        owned = self.runner.list_tasks_of(hello.incarnation)
        self._send(event.stream, Holding(owned, self._now))

    def _close(self, event: StreamClosed) -> None:
        link = self.links.remove_stream(event.stream, event.address, self._now)
        self._bulletins.remove_stream(event.stream)
        if link is None:
            return
        self.counts.add("streams_lost", Role.ENTRY)
        self._note("entry_lost", entry=link.hello.process)
        if self.links.find(link.hello.incarnation) is None:
            self.runner.stop_runs_of(link.hello.incarnation)
            self.runner.prune_liveness()

    def _receive(self, event: Received) -> None:
        link = self.links.record_frame(event.stream, self._now)
        if link is None:
            self._drop_link(event.stream, "silence")
            return
        receiver = self._receivers.get(type(event.message))
        if receiver is None:
            self._drop_link(event.stream, "unexpected message")
            return
        receiver(link, event.message)

    def _drop_link(self, stream: int, reason: str) -> None:
        self.counts.add("streams_closed", reason)
        self._out.append(CloseStream(stream, reason))
        self._close(StreamClosed(stream))

    def _hear_alive(self, link: Link, message: Alive) -> None:
        self.runner.record_liveness(link, message.clock)

    def _hear_evacuated(self, link: Link, message: Evacuated) -> None:
        told = decode_evacuation(message)
        if self.evacuations.install(told) is None:
            return
        evacuated = self.evacuations.covers(self.identity.zone)
        if evacuated == self.evacuated:
            return
        source = link.hello.process
        self._note(
            "evacuation", evacuated=evacuated, revision=told.revision, source=source
        )
        self.runner.set_evacuated(evacuated)

    # The endpoint itself

    def _report(self, event: ReportReceived) -> None:
        report = event.report
        if self.endpoint.needs_verification(report):
            return
        change = self.endpoint.apply_report(report, self._now)
        if change.replaced:
            self.runner.end_all(RunEnd.LOST)
        if change.changed:
            self._note(
                "endpoint_reported",
                instance=report.instance,
                open=self.endpoint.open,
                draining=report.draining,
            )
            self._out.append(StoreReport(report))
        self.held_runs.capacity = self.endpoint.capacity
        if not self.endpoint.open:
            self.runner.return_parked()

    def _recall(self, event: StoredReportRead) -> None:
        if self.endpoint.restore_report(event.report, self._now):
            self._note("endpoint_recalled", instance=event.report.instance)
            self.held_runs.capacity = self.endpoint.capacity

    def _depart(self, event: EndpointExiting) -> None:
        if event.instance == self.endpoint.instance:
            self._lose_endpoint("left")

    def _lose_endpoint(self, reason: str) -> None:
        self.counts.add("endpoints_lost", reason)
        self._note("endpoint_lost", instance=self.endpoint.instance, reason=reason)
        successor = self.endpoint.take_unverified_report()
        self.endpoint.reset()
        self.runner.end_all(RunEnd.LOST)
        if successor is not None:
            self._report(ReportReceived(successor))

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
        self._prove_life()
        self._move_streams()
        if self.endpoint.has_lapsed(self._now) and self.held_runs.list_placed():
            # No renewal reached the endpoint within the longest lease: it has
            # ended everything by itself, whether it lives or not.
            self._note("lease_lapsed", instance=self.endpoint.instance)
            self.runner.end_all(RunEnd.LOST)
        if self.endpoint.expire(self._now):
            self._note("endpoint_silent", instance=self.endpoint.instance)
            self.runner.return_parked()

    def _end_silent(self) -> None:
        silent = self.links.list_timed_out(self._now)
        for link in silent:
            self._drop_link(link.stream, "silence")
        if silent:
            self._probe_idle()

    def _probe_idle(self) -> None:
        for link in self.links.start_probes(self._now):
            self.counts.add("streams_probed")
            self._send(link.stream, Probe(self._now))

    def _prove_life(self) -> None:
        if self._now < self.links.next_check_at:
            return
        pulse = self._make_pulse()
        unproved = self.links.list_due_heartbeats(self._now)
        for link in self.links:
            changed = (
                abs(pulse.slowness - link.announced_slowness) >= SLOWNESS_UPDATE_STEP
            )
            changed = (
                changed
                or abs(pulse.lag - link.announced_lag) >= LAG_UPDATE_STEP_SECONDS
            )
            if changed or link in unproved:
                self._send_pulse(link, pulse)

    def _make_pulse(self) -> Pulse:
        slowness = round(self.runner.slowness.estimate(self._now), 1)
        return Pulse([], slowness, self._now, round(self.pressure.mean, 3))

    def _send_pulse(self, link: Link, pulse: Pulse) -> None:
        link.announced_slowness = pulse.slowness
        link.announced_lag = pulse.lag
        self._send(link.stream, pulse)

    def _hear_probe(self, link: Link, message: Probe) -> None:
        del message
        self._send_pulse(link, self._make_pulse())

    def _move_streams(self) -> None:
        left = self._moves.find_closable(self.held_runs.owners, self._now)
        if left is not None:
            self._drop_link(left.stream, "not_needed")
        if self._moves.start_leaving(self._now):
            self._linked_anew = True

    def _stop(self, event: StopRequested) -> None:
        del event
        self.runner.stopping = True
        self._note("stopping", running=len(self.held_runs.list_placed()))
        self.runner.return_parked()

    def _check_quiet(self) -> None:
        if self.stopping and not self._quiet and not self.held_runs.runs:
            self._quiet = True
            self._out.append(ShutdownComplete())

    # What entries are told

    def _note_owners(self) -> None:
        """Note which streams carry runs; their other ends must be heard often."""
        owners = set(self.held_runs.owners)
        if owners == self._owners and not self._linked_anew:
            return
        self._owners = owners
        silent = False
        for link in self.links:
            if link.hello.incarnation not in owners:
                silent = link.mark_idle(self._now) or silent
            elif link.busy_since == math.inf:
                link.busy_since = self._now
        if silent:
            self._probe_idle()

    def _tell_all(self) -> None:
        news = EndpointNews(
            self.endpoint.instance,
            self.endpoint.service,
            *self.endpoint.capacity,
            list(self.endpoint.labels),
            self.open,
            self.endpoint.reconciled,
            self.endpoint.is_cold(self._now),
        )
        free = self.held_runs.free - self.held_runs.parked_needs
        self._note_owners()
        concerned = {
            action.stream
            for action in self._out
            if isinstance(action, Send) and isinstance(action.message, RunOutcome)
        }
        told = AnnouncedState(news, free, self.held_runs.parked)
        waits = self._now < self._bulletins.next_wakeup()
        if told == self._told and waits and not concerned and not self._linked_anew:
            return
        self._told = told
        self._linked_anew = False
        typical_cpu = self.held_runs.typical_cpu
        for link in self._bulletins.begin_round(self.links, typical_cpu, self._now):
            room = Room(*free, self.held_runs.parked, link.received)
            own_news = news._replace(accepts_runs=False) if link.leaving else news
            at_once = link.stream in concerned
            for due in self._bulletins.list_due(link, own_news, room, at_once):
                self._send(link.stream, due)
