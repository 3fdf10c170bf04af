"""Core of an agent: its streams to entries, its endpoint, and status updates.

The runs that the agent holds are handled by ``runner``.
"""

import math
import sys
from collections.abc import Callable
from typing import NamedTuple

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.events import (
    CloseStream,
    Dial,
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
from godwitbank._internal.core.runs.lives import EndpointLife
from godwitbank._internal.core.runs.moves import StreamMoves
from godwitbank._internal.core.runs.report_keeper import ReportKeeper
from godwitbank._internal.core.runs.reservations import (
    AnnouncedReservation,
)
from godwitbank._internal.core.runs.runner import Runner
from godwitbank._internal.core.runs.speeds import LearntSpeed
from godwitbank._internal.core.runs.status_updates import StatusUpdates
from godwitbank._internal.models.jobs import EndpointReport, RunEnd
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
    Reserve,
    Room,
    RunOutcome,
    StartRun,
    StopRun,
)

SLOWNESS_UPDATE_STEP = 0.3
"""Change of an endpoint's slowness that is sent to entries before the next periodic
heartbeat. Endpoints count as slow from 2.0; healthy ones differ by less than this."""


LAG_UPDATE_STEP_SECONDS = 0.03
"""Change in seconds of this process's event loop lag that is sent to entries before the
next periodic heartbeat. With that much more lag here, another agent with free capacity
serves a short task sooner."""


LEAST_URGENT = sys.maxsize
"""Priority less urgent than that of any queue."""


class AnnouncedState(NamedTuple):
    """State from which status updates are made.

    While it is unchanged, entries need not be checked for updates.
    """

    news: EndpointNews
    free: Resources
    parked: int
    reservations: list[AnnouncedReservation]


class RunAgentCore:
    """Makes all decisions of one agent; turns events into actions.

    :param now: current time in seconds.
    :param entries: number of entries the agent connects to.
    """

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
            self.endpoint,
            self.links,
            self.counts,
            now,
            self._handle_endpoint_loss,
            self._handle_endpoint_restart,
        )
        self.held_runs = self.runner.held_runs
        self.pressure = Pressure()
        self._status_updates = StatusUpdates()
        self._report_keeper = ReportKeeper()
        self._announced: AnnouncedState | None = None
        self._owners: set[str] = set()
        self._links_changed = True
        self._shutdown_reported = False
        self._moves = StreamMoves(self.links, now)
        self._actions: list[RunAction] = []
        self._now = now
        self._handlers: dict[type, Callable] = {
            AddressesRead: self._handle_addresses,
            StreamOpened: self._handle_stream_opened,
            StreamClosed: self._handle_stream_closed,
            Received: self._handle_message,
            ReportReceived: self._handle_report,
            StoredReportRead: self._handle_stored_report,
            EndpointExiting: self._handle_exit,
            StartAnswered: self.runner.handle_start_answer,
            RenewalAnswered: self.runner.handle_renewal_answer,
            RenewalFailed: self.runner.handle_renewal_failure,
            StopRequested: self._handle_stop_request,
            LagMeasured: self._handle_lag,
            MessageDropped: self._handle_dropped_message,
            Tick: self._handle_tick,
        }
        self._message_handlers: dict[type, Callable] = {
            StartRun: self.runner.handle_start_order,
            StopRun: self.runner.handle_stop_order,
            Reserve: self.runner.handle_reservation,
            Claim: self.runner.handle_claim,
            Peers: self._handle_peers,
            Alive: self._handle_alive,
            Evacuated: self._handle_evacuated,
            Probe: self._handle_probe,
        }

    def handle(self, event: object, now: float) -> list[RunAction]:
        """Handle one event and return the actions to carry out.

        :param now: current time in seconds.
        """
        self._now = now
        self._actions = []
        self.runner.begin_event(now, self._actions)
        if self.links.begin_event(now):
            for link in self.links:
                self._drop_link(link.stream, "stood_still")
        self._handlers[type(event)](event)
        self.runner.start_parked()
        self._actions += self.endpoint.list_renewals(
            now, bool(self.held_runs.placed_owners), self.runner.find_lease_end()
        )
        self._send_status_updates()
        self._store_report()
        self.runner.answer_claims()
        self._check_shutdown()
        self.links.record_sent(self._actions, now)
        return self._actions

    @property
    def next_wakeup(self) -> float:
        """Time at which a ``Tick`` is next needed."""
        return min(
            self.links.next_wakeup(),
            self.endpoint.next_wakeup(),
            self._status_updates.next_wakeup(),
            self.runner.reservations.next_wakeup(),
        )

    @property
    def open(self) -> bool:
        """Whether new runs are accepted."""
        return self.runner.open

    @property
    def evacuated(self) -> bool:
        """Whether the endpoint's availability zone is evacuated: no new runs."""
        return self.runner.evacuated

    @property
    def stopping(self) -> bool:
        """Whether this process was asked to stop."""
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

    def _log_decision(self, event: str, request: str = "", **fields: object) -> None:
        self._actions.append(LogDecision(event, request, fields))

    def _send(self, stream: int, message: Message) -> None:
        self._actions.append(Send(stream, message))

    # Streams

    def _handle_addresses(self, event: AddressesRead) -> None:
        self.links.addresses.add(event.addresses, self._now)
        self._dial()

    def _handle_peers(self, link: Link, peers: Peers) -> None:
        del link
        self.links.addresses.add(peers.entries, self._now)
        self._dial()

    def _dial(self) -> None:
        self._actions += [
            Dial(address) for address in self.links.addresses.list_due(self._now)
        ]

    def _handle_stream_opened(self, event: StreamOpened) -> None:
        hello = event.greeting
        entry = isinstance(hello, Hello) and hello.role == Role.ENTRY
        if not entry or hello.version != PROTOCOL_VERSION:
            self.counts.add("streams_refused", "greeting")
            self._actions.append(CloseStream(event.stream, "not an entry's greeting"))
            return
        assert isinstance(hello, Hello)
        link = self.links.add_stream(event.stream, hello, event.address, self._now)
        if link is None:
            self._actions.append(CloseStream(event.stream, "self"))
            return
        if not event.address:
            self._send(event.stream, make_hello(self.identity, Role.AGENT))
        self._links_changed = True
        self._log_decision("entry_connected", entry=hello.process)
        for outcome in self.runner.outbox.take(hello.incarnation, self._now):
            self._send(event.stream, outcome)
        tasks = self.runner.list_tasks_of(hello.incarnation)
        self._send(event.stream, Holding(tasks, self._now))

    def _handle_stream_closed(self, event: StreamClosed) -> None:
        link = self.links.remove_stream(event.stream, event.address, self._now)
        self._status_updates.remove_stream(event.stream)
        if link is None:
            return
        self.counts.add("streams_lost", Role.ENTRY)
        self._log_decision("entry_lost", entry=link.hello.process)
        if self.links.find(link.hello.incarnation) is None:
            self.runner.stop_runs_of(link.hello.incarnation)
            self.runner.prune_liveness()

    def _handle_message(self, event: Received) -> None:
        link = self.links.record_frame(event.stream, self._now)
        if link is None:
            self._drop_link(event.stream, "silence")
            return
        handler = self._message_handlers.get(type(event.message))
        if handler is None:
            self._drop_link(event.stream, "unexpected message")
            return
        handler(link, event.message)

    def _handle_dropped_message(self, event: MessageDropped) -> None:
        name = type(event.message).__name__
        self._log_decision("message_dropped", message=name, reason=event.reason)

    def _drop_link(self, stream: int, reason: str) -> None:
        self.counts.add("streams_closed", reason)
        self._actions.append(CloseStream(stream, reason))
        self._handle_stream_closed(StreamClosed(stream))

    def _handle_alive(self, link: Link, message: Alive) -> None:
        self.runner.record_liveness(link, message.clock)

    def _handle_evacuated(self, link: Link, message: Evacuated) -> None:
        evacuation = decode_evacuation(message)
        if self.evacuations.install(evacuation) is None:
            return
        evacuated = self.evacuations.covers(self.identity.zone)
        if evacuated == self.evacuated:
            return
        source = link.hello.process
        self._log_decision(
            "evacuation",
            evacuated=evacuated,
            revision=evacuation.revision,
            source=source,
        )
        self.runner.set_evacuated(evacuated)

    # Reports about the endpoint

    def _handle_report(self, event: ReportReceived) -> None:
        report = event.report
        if self.endpoint.needs_verification(report):
            self._keep_report(report)
            return
        if self.endpoint.apply_report(report, self._now):
            self._log_decision(
                "endpoint_reported",
                instance=report.instance,
                born=report.born,
                open=self.endpoint.open,
                draining=report.draining,
            )
        self.held_runs.capacity = self.endpoint.capacity
        if not self.endpoint.open:
            self.runner.return_parked()
        self.runner.check_notices()

    def _keep_report(self, report: EndpointReport) -> None:
        self.counts.add("reports_kept")
        self._log_decision(
            "report_kept",
            instance=report.instance,
            service=report.service,
            current=self.endpoint.instance,
            unanswered=self.endpoint.unanswered,
        )
        self.endpoint.keep_for_verification(report, self._now)

    def _handle_stored_report(self, event: StoredReportRead) -> None:
        self._report_keeper.recall(event.report)
        if self.endpoint.restore_report(event.report, self._now):
            self._log_decision("endpoint_recalled", instance=event.report.instance)
            self.held_runs.capacity = self.endpoint.capacity

    def _store_report(self) -> None:
        report = self.endpoint.confirmed_report
        if report is not None and self._report_keeper.must_store(report):
            self._actions.append(StoreReport(report))

    def _handle_exit(self, event: EndpointExiting) -> None:
        life = EndpointLife(event.instance, event.born)
        announced = self.endpoint.announce_exit(life, self._now)
        decision = "exit_announced" if announced else "exit_doubted"
        self.counts.add("exits", decision)
        self._log_decision(
            decision,
            instance=event.instance,
            born=event.born,
            current=self.endpoint.instance,
            current_born=self.endpoint.born,
            placed=len(self.held_runs.list_placed()),
        )
        if announced:
            self.runner.return_parked()

    def _handle_endpoint_loss(self, reason: str) -> None:
        self.counts.add("endpoints_lost", reason)
        self._log_decision(
            "endpoint_lost", instance=self.endpoint.instance, reason=reason
        )
        report = self.endpoint.take_unverified_report()
        self.endpoint.reset()
        self.runner.reset_speed()
        self.runner.end_all(RunEnd.LOST)
        if report is not None:
            self._handle_report(ReportReceived(report))

    def _handle_endpoint_restart(self, report: EndpointReport | None) -> None:
        if report is not None:
            self._handle_report(ReportReceived(report))
        if not self.endpoint.open:
            self.runner.return_parked()

    # Time

    def _handle_lag(self, event: LagMeasured) -> None:
        change = self.pressure.observe(event.seconds, self._now)
        if change is not None:
            self.counts.add("pressure_changes", change.event)
            self._log_decision(change.event, lag=change.lag, s=change.seconds)

    def _handle_tick(self, event: Tick) -> None:
        del event
        self._close_timed_out_streams()
        self._dial()
        self._send_heartbeats()
        self._leave_surplus_entry()
        if self.endpoint.has_lapsed(self._now) and self.held_runs.list_placed():
            # No renewal reached the endpoint before its last lease ended, so it has
            # ended all runs by itself, even if it is still alive.
            self._log_decision("lease_lapsed", instance=self.endpoint.instance)
            self.runner.end_all(RunEnd.LOST)
        if self.endpoint.expire(self._now):
            self._log_decision("endpoint_silent", instance=self.endpoint.instance)
            self.runner.return_parked()

    def _close_timed_out_streams(self) -> None:
        timed_out = self.links.list_timed_out(self._now)
        for link in timed_out:
            self._drop_link(link.stream, "silence")
        if timed_out:
            self._probe_idle_streams()

    def _probe_idle_streams(self) -> None:
        for link in self.links.start_probes(self._now):
            self.counts.add("streams_probed")
            self._send(link.stream, Probe(self._now))

    def _send_heartbeats(self) -> None:
        if self._now < self.links.next_check_at:
            return
        heartbeat = self._make_heartbeat()
        due_links = self.links.list_due_heartbeats(self._now)
        for link in self.links:
            changed = (
                abs(heartbeat.slowness - link.announced_slowness)
                >= SLOWNESS_UPDATE_STEP
            )
            changed = (
                changed
                or abs(heartbeat.lag - link.announced_lag) >= LAG_UPDATE_STEP_SECONDS
            )
            speed = self.runner.speed.learnt
            changed = changed or speed.differs_from(link.announced_speed)
            if changed or link in due_links:
                self._send_heartbeat(link, heartbeat)

    def _make_heartbeat(self) -> Pulse:
        slowness = round(self.runner.slowness.estimate(self._now), 1)
        lag = round(self.pressure.mean, 3)
        speed = self.runner.speed.learnt
        return Pulse(slowness, self._now, lag, round(speed.factor, 2), speed.runs)

    def _send_heartbeat(self, link: Link, heartbeat: Pulse) -> None:
        link.announced_slowness = heartbeat.slowness
        link.announced_lag = heartbeat.lag
        link.announced_speed = LearntSpeed(heartbeat.speed_factor, heartbeat.speed_runs)
        self._send(link.stream, heartbeat)

    def _handle_probe(self, link: Link, message: Probe) -> None:
        del message
        self._send_heartbeat(link, self._make_heartbeat())

    def _leave_surplus_entry(self) -> None:
        closable = self._moves.find_closable(self.held_runs.owners, self._now)
        if closable is not None:
            self._drop_link(closable.stream, "not_needed")
        if self._moves.start_leaving(self._now):
            self._links_changed = True

    def _handle_stop_request(self, event: StopRequested) -> None:
        del event
        self.runner.stopping = True
        self._log_decision("stopping", running=len(self.held_runs.list_placed()))
        self.runner.return_parked()
        report = self.endpoint.confirmed_report
        if report is not None and self._report_keeper.must_store_last(report):
            self._actions.append(StoreReport(report))

    def _check_shutdown(self) -> None:
        if self.stopping and not self._shutdown_reported and not self.held_runs.runs:
            self._shutdown_reported = True
            self._actions.append(ShutdownComplete())

    # Status updates to entries

    def _update_busy_links(self) -> None:
        """Update which streams carry runs; their entries must send heartbeats often."""
        owners = set(self.held_runs.owners)
        if owners == self._owners and not self._links_changed:
            return
        self._owners = owners
        missed_heartbeat = False
        for link in self.links:
            if link.hello.incarnation not in owners:
                missed_heartbeat = link.mark_idle(self._now) or missed_heartbeat
            elif link.busy_since == math.inf:
                link.busy_since = self._now
        if missed_heartbeat:
            self._probe_idle_streams()

    def _send_status_updates(self) -> None:
        news = EndpointNews(
            self.endpoint.instance,
            self.endpoint.service,
            *self.endpoint.capacity,
            list(self.endpoint.labels),
            self.open,
            self.endpoint.reconciled,
            self.endpoint.is_cold(self._now),
            self.endpoint.born,
        )
        free = self.held_runs.free - self.held_runs.parked_needs
        self._update_busy_links()
        streams_with_outcomes = {
            action.stream
            for action in self._actions
            if isinstance(action, Send) and isinstance(action.message, RunOutcome)
        }
        reservations = self.runner.reservations
        offered = reservations.offer(free, self._now)
        state = AnnouncedState(
            news, free, self.held_runs.parked, reservations.list_announced()
        )
        is_throttled = self._now < self._status_updates.next_wakeup()
        if (
            state == self._announced
            and is_throttled
            and not streams_with_outcomes
            and not self._links_changed
        ):
            return
        self._announced = state
        self._links_changed = False
        typical_cpu = self.held_runs.typical_cpu
        for link in self._status_updates.begin_round(
            self.links, typical_cpu, self._now
        ):
            owner = link.hello.incarnation
            kept = reservations.measure_kept(owner, LEAST_URGENT)
            room = Room(*(free - kept), self.held_runs.parked, link.received)
            link_news = news._replace(accepts_runs=False) if link.leaving else news
            immediate = link.stream in streams_with_outcomes or owner in offered
            for due in self._status_updates.list_due(link, link_news, room, immediate):
                self._send(link.stream, due)
