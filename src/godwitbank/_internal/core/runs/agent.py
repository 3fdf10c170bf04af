"""The agent's decisions about leased runs: the last gate before an endpoint.

Only the agent knows what room an endpoint has: what it started, what it stopped
and has not seen end, and what an unanswered order may still start.
"""

from collections import OrderedDict
from collections.abc import Callable

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
from godwitbank._internal.core.runs.bulletins import Bulletins
from godwitbank._internal.core.runs.claims import Claims
from godwitbank._internal.core.runs.endpoint import Endpoint, Unknown
from godwitbank._internal.core.runs.events import (
    AddressesRead,
    Departed,
    Held,
    HoldFailed,
    KeepReport,
    Note,
    Quiet,
    Reported,
    ReportRecalled,
    RunAction,
    StartAnswered,
)
from godwitbank._internal.core.runs.held import HeldRun, RunState, Shelf
from godwitbank._internal.core.runs.lease import CLOCK_SKEW, LAPSE_SLACK, MAX_LEASE
from godwitbank._internal.core.runs.links import PULSE, Link, Links
from godwitbank._internal.core.runs.outbox import Outbox
from godwitbank._internal.core.runs.policy import DEFAULT, Policy
from godwitbank._internal.core.runs.progress import Sample, Slowness
from godwitbank._internal.core.runs.verdicts import HoldVerdict, StartVerdict
from godwitbank._internal.models.jobs import ListedEnd, ListedRun, RunEnd
from godwitbank._internal.models.messages import (
    PROTOCOL_VERSION,
    Hello,
    Message,
    Peers,
    Role,
)
from godwitbank._internal.models.run_messages import (
    Claim,
    Claimed,
    EndpointNews,
    Holding,
    Pulse,
    Room,
    RunBegun,
    RunOutcome,
    RunSlow,
    StartRun,
    StopRun,
)

REMEMBERED_RUNS = 512
"""Ended runs that are remembered: answers to renewals may overtake each other,
and an older one still lists as running what a newer one told as ended."""

STOP_RETRY = 0.3
"""Seconds after which a stop whose end wasn't listed is ordered again."""

_UNSTARTED = {
    StartVerdict.SUPERSEDED: RunEnd.SUPERSEDED,
    StartVerdict.NO_ROOM: RunEnd.NOT_STARTED,
    StartVerdict.INVALID: RunEnd.INVALID,
    StartVerdict.UNHEALTHY: RunEnd.UNHEALTHY,
    StartVerdict.UNREACHABLE: RunEnd.UNHEALTHY,
}


class RunAgentCore:
    """Decides for one agent; driven by events, answers with actions."""

    def __init__(
        self,
        identity: Identity,
        now: float,
        counts: Counts | None = None,
        policy: Policy = DEFAULT,
    ) -> None:
        self._policy = policy
        self.identity = identity
        self.counts = Counts() if counts is None else counts
        self.links = Links(identity.address, identity.incarnation, now)
        self.shelf = Shelf()
        self.endpoint = Endpoint(now)
        self.stopping = False
        self._booted_at = now
        self._outbox = Outbox()
        self._bulletins = Bulletins()
        self._claims = Claims()
        self._slowness = Slowness(now)
        self._settled: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._quiet = False
        self._out: list[RunAction] = []
        self._now = now
        self._handlers: dict[type, Callable] = {
            AddressesRead: self._learn,
            StreamOpened: self._open,
            StreamClosed: self._close,
            Received: self._receive,
            Reported: self._report,
            ReportRecalled: self._recall,
            Departed: self._depart,
            StartAnswered: self._hear_start,
            Held: self._hear_hold,
            HoldFailed: self._hear_hold_failed,
            StopRequested: self._stop,
            Tick: self._tick,
        }
        self._receivers: dict[type, Callable] = {
            StartRun: self._start,
            StopRun: self._stop_run,
            Claim: self._claim,
            Peers: self._hear_peers,
            Pulse: self._ignore,
        }

    def handle(self, event: object, now: float) -> list[RunAction]:
        """Take one event and return what has to be done."""
        self._now = now
        self._out = []
        self._handlers[type(event)](event)
        self._start_parked()
        self._out += self.endpoint.list_renewals(now, bool(self.shelf.list_placed()))
        self._tell_all()
        self._answer_claims()
        self._check_quiet()
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
        return self.endpoint.open and not self.stopping

    def describe(self) -> dict[str, object]:
        """Describe this agent's state for a status page."""
        return {
            "agent": self.identity.process,
            "instance": self.endpoint.instance,
            "service": self.endpoint.service,
            "open": self.open,
            "free": list(self.shelf.free),
            "placed": len(self.shelf.list_placed()),
            "parked": self.shelf.parked,
            "entries": [link.hello.process for link in self.links],
        }

    def _note(self, event: str, request: str = "", **fields: object) -> None:
        self._out.append(Note(event, request, fields))

    def _send(self, stream: int, message: Message) -> None:
        self._out.append(Send(stream, message))

    # Streams

    def _learn(self, event: AddressesRead) -> None:
        self.links.learn(event.addresses, self._now)
        self._dial()

    def _hear_peers(self, link: Link, peers: Peers) -> None:
        del link
        self.links.learn(peers.entries, self._now)
        self._dial()

    def _dial(self) -> None:
        self._out += [Dial(address) for address in self.links.list_due(self._now)]

    def _open(self, event: StreamOpened) -> None:
        hello = event.greeting
        entry = isinstance(hello, Hello) and hello.role == Role.ENTRY
        if not entry or hello.version != PROTOCOL_VERSION:
            self.counts.add("streams_refused", "greeting")
            self._out.append(CloseStream(event.stream, "not an entry's greeting"))
            return
        assert isinstance(hello, Hello)
        link = self.links.open(event.stream, hello, event.address, self._now)
        if link is None:
            self._out.append(CloseStream(event.stream, "self"))
            return
        if not event.address:
            self._send(event.stream, make_hello(self.identity, Role.AGENT))
        self._note("entry_connected", entry=hello.process)
        for outcome in self._outbox.take(hello.incarnation, self._now):
            self._send(event.stream, outcome)
        owned = [
            held.order.task
            for held in self.shelf.runs.values()
            if held.owner == hello.incarnation
        ]
        self._send(event.stream, Holding(owned))

    def _close(self, event: StreamClosed) -> None:
        link = self.links.close(event.stream, event.address, self._now)
        self._bulletins.forget(event.stream)
        if link is None:
            return
        self.counts.add("streams_lost", Role.ENTRY)
        self._note("entry_lost", entry=link.hello.process)
        if self.links.find(link.hello.incarnation) is None:
            self._stop_owned(link.hello.incarnation)

    def _stop_owned(self, owner: str) -> None:
        # The entry may be dead, and its callers submit again elsewhere: what
        # still ran here would run twice at the same time.
        for held in list(self.shelf.runs.values()):
            if held.owner == owner:
                self._end_by_order(held, "entry_lost")

    def _end_by_order(self, held: HeldRun, reason: str) -> None:
        if held.state is RunState.PARKED:
            taken = reason == RunEnd.TAKEN_OVER
            self._settle(held, RunEnd.TAKEN_OVER if taken else RunEnd.NOT_STARTED)
            return
        if held.stop_reason:
            return
        held.stop_reason = reason
        held.stopped_at = self._now
        self.counts.add("stops_ordered", reason)
        self._note("stop_ordered", held.order.task, run=held.order.run, reason=reason)
        if held.state is RunState.RUNNING:
            held.state = RunState.STOPPING
        self._out.append(self.endpoint.make_stop(held.order.task, held.order.run))

    def _receive(self, event: Received) -> None:
        link = self.links.hear(event.stream, self._now)
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

    def _ignore(self, link: Link, message: Message) -> None:
        del link, message

    # Runs

    def _start(self, link: Link, order: StartRun) -> None:
        link.received += 1
        held = HeldRun(order, link.hello.incarnation, self._now)
        present = self.shelf.runs.get(order.task)
        if present is not None:
            if present.order.run != order.run or present.owner != held.owner:
                # Another run of the task may still be alive here.
                self._tell_outcome(held, RunEnd.NOT_STARTED)
            return
        if not self._claims.allows(held.job, held.owner):
            self._tell_outcome(held, RunEnd.TAKEN_OVER)
            return
        if not self.open:
            self._tell_outcome(held, RunEnd.CLOSED)
            return
        if not held.needs.fits(self.shelf.capacity):
            self._tell_outcome(held, RunEnd.INVALID)
            return
        if not order.parks and not self._has_room(held):
            # Two entries chose this agent for the same room.
            self._tell_outcome(held, RunEnd.NOT_STARTED)
            return
        self.shelf.park(held)

    def _has_room(self, held: HeldRun) -> bool:
        return held.needs.fits(self.shelf.free - self.shelf.parked_needs)

    def _start_parked(self) -> None:
        if not self.open:
            return
        while self.shelf.parked:
            held = self.shelf.choose()
            if held is None:
                return
            self.shelf.occupy(held)
            self._order(held)

    def _order(self, held: HeldRun) -> None:
        held.state = RunState.ORDERED
        held.ordered_at = self._now
        held.progress.restart(self._now)
        action = self.endpoint.make_start(held.order, self._now)
        held.token = action.token
        self.counts.add("starts_ordered")
        waited = round(self._now - held.arrived_at, 4)
        link = self.links.find(held.owner)
        if link is not None and waited > 0:
            self._send(link.stream, RunBegun(held.order.task, held.order.run))
        self._note("start_ordered", held.order.task, run=held.order.run, waited=waited)
        self._out.append(action)

    def _stop_run(self, link: Link, stop: StopRun) -> None:
        held = self.shelf.runs.get(stop.task)
        if held is None or held.order.run != stop.run:
            return
        if held.owner == link.hello.incarnation:
            self._end_by_order(held, "entry")

    def _claim(self, link: Link, claim: Claim) -> None:
        self._claims.add(claim.job, link.hello.incarnation, link.stream, self._now)
        for held in self._list_others(claim.job):
            self._end_by_order(held, RunEnd.TAKEN_OVER)

    def _list_others(self, job: str) -> list[HeldRun]:
        return [
            held
            for held in self.shelf.runs.values()
            if held.job == job and not self._claims.allows(job, held.owner)
        ]

    def _answer_claims(self) -> None:
        longest = MAX_LEASE / (1 - CLOCK_SKEW) + LAPSE_SLACK
        lapsed = self._now - self._booted_at > longest
        if not self.endpoint.settled and not lapsed:
            # What a former agent started may still run.
            return
        for job in self._claims.list_unanswered():
            if not self._list_others(job):
                self._send(self._claims.answer(job), Claimed(job))

    def _hear_start(self, event: StartAnswered) -> None:
        self.endpoint.clock.hear(event.clock, self._now)
        held = self.shelf.runs.get(event.task)
        if held is None or held.order.run != event.run or held.token != event.token:
            return
        if held.state is not RunState.ORDERED:
            return
        self.counts.add("starts_answered", event.verdict)
        self.endpoint.hear_answer(self._now - held.ordered_at)
        verdict = StartVerdict(event.verdict)
        if verdict is StartVerdict.STARTED:
            held.state = RunState.STOPPING if held.stop_reason else RunState.RUNNING
            held.confirmed_at = self._now
        elif verdict is StartVerdict.NO_ANSWER:
            self._doubt(held)
        elif verdict is StartVerdict.OTHER_INSTANCE:
            self._lose_endpoint("other_instance")
        elif verdict in (StartVerdict.FENCED, StartVerdict.LAPSED):
            self._order_again(held, verdict)
        else:
            self._note("start_refused", held.order.task, verdict=event.verdict)
            self._settle(held, _UNSTARTED[verdict])

    def _order_again(self, held: HeldRun, verdict: StartVerdict) -> None:
        if held.stop_reason:
            self._settle(held, RunEnd.NOT_STARTED)
            return
        if verdict is StartVerdict.FENCED and held.token >= self.endpoint.token:
            self.endpoint.raise_token(self._now)
        self._order(held)

    def _doubt(self, held: HeldRun) -> None:
        # The order may be carried out seconds later. With a higher token known
        # to the endpoint it can't be any more; until then its room stays taken.
        held.state = RunState.DOUBTFUL
        if held.token >= self.endpoint.token:
            self.endpoint.raise_token(self._now)
        self._note("start_unanswered", held.order.task, run=held.order.run)

    # What the endpoint lists

    def _hear_hold(self, event: Held) -> None:
        renewal = self.endpoint.take_renewal(event.renewal)
        if renewal is None or event.instance not in ("", self.endpoint.instance):
            return
        self.endpoint.clock.hear(event.clock, self._now)
        self._disprove_successor(event.renewal)
        self.endpoint.hear_hold(renewal)
        for end in event.ended:
            self._hear_end(end)
        listed = {each.task: each for each in event.running}
        self._hear_progress(listed)
        for held in self.shelf.list_placed():
            row = listed.pop(held.order.task, None)
            if row is not None and row.run == held.order.run:
                self._see_running(held)
            elif self._is_gone(held, renewal.token, renewal.issued_at):
                self._settle_absent(held)
        strangers = [
            Unknown(row.task, row.run)
            for row in listed.values()
            if (row.task, row.run) not in self._settled
        ]
        self._out += self.endpoint.deal_with_strangers(strangers, self._now)

    def _hear_progress(self, listed: dict[str, ListedRun]) -> None:
        samples = []
        for held in self.shelf.list_placed():
            row = listed.get(held.order.task)
            if row is not None and row.run == held.order.run:
                held.progress.hear(row.percent, self._now)
                expected = held.order.expected
                samples.append(Sample(held.job, held.progress, expected))
        self._slowness.hear(samples, self._now)

    def _is_gone(self, held: HeldRun, token: int, issued_at: float) -> bool:
        if held.state is RunState.DOUBTFUL:
            return token > held.token
        return held.confirmed_at < issued_at

    def _settle_absent(self, held: HeldRun) -> None:
        started = held.state is not RunState.DOUBTFUL
        self._note("run_absent", held.order.task, run=held.order.run, started=started)
        self._settle(held, RunEnd.LOST if started else RunEnd.NOT_STARTED)

    def _see_running(self, held: HeldRun) -> None:
        if held.state in (RunState.ORDERED, RunState.DOUBTFUL):
            held.state = RunState.STOPPING if held.stop_reason else RunState.RUNNING
            held.confirmed_at = min(held.confirmed_at, self._now)
        if held.stop_reason and self._now - held.stopped_at > STOP_RETRY:
            held.stopped_at = self._now
            self._out.append(self.endpoint.make_stop(held.order.task, held.order.run))
        elif not held.stop_reason:
            self._stop_if_hopeless(held)

    def _stop_if_hopeless(self, held: HeldRun) -> None:
        slowness = self._slowness.read(self._now)
        if held.progress.is_stalled(held.order.expected, self._now):
            self._end_by_order(held, RunEnd.STALLED)
        elif held.progress.should_tell_slow(slowness, self._now):
            link = self.links.find(held.owner)
            if link is not None:
                self._send(link.stream, RunSlow(held.order.task, held.order.run))

    def _hear_end(self, end: ListedEnd) -> None:
        if not self.endpoint.see_end(end.number):
            return
        held = self.shelf.runs.get(end.task)
        if held is None or held.order.run != end.run:
            return
        if held.state is RunState.PARKED:
            return
        result = end.end
        told = (RunEnd.STALLED, RunEnd.TAKEN_OVER)
        if result is RunEnd.STOPPED and held.stop_reason in told:
            result = RunEnd(held.stop_reason)
        self._settle(held, result, end.checkpoint)

    def _settle(self, held: HeldRun, end: RunEnd, checkpoint: str = "") -> None:
        self.shelf.remove(held)
        self._settled[(held.order.task, held.order.run)] = None
        if len(self._settled) > REMEMBERED_RUNS:
            self._settled.popitem(last=False)
        self._tell_outcome(held, end, checkpoint)

    def _tell_outcome(self, held: HeldRun, end: RunEnd, checkpoint: str = "") -> None:
        elapsed = self._now - held.ordered_at
        waited = held.ordered_at - held.arrived_at
        order = held.order
        self.counts.add("runs_ended", end)
        self._note("run_ended", order.task, run=order.run, end=end, s=round(elapsed, 4))
        outcome = RunOutcome(order.task, order.run, end, elapsed, waited, checkpoint)
        link = self.links.find(held.owner)
        if link is None:
            self._outbox.put(held.owner, outcome, self._now)
        else:
            self._send(link.stream, outcome)

    def _hear_hold_failed(self, event: HoldFailed) -> None:
        renewal = self.endpoint.take_renewal(event.renewal)
        if renewal is None:
            return
        self.counts.add("renewals_failed", event.verdict)
        self.endpoint.clock.hear(event.clock, self._now)
        if event.verdict == HoldVerdict.OTHER_INSTANCE:
            self._lose_endpoint("other_instance")
        elif event.verdict == HoldVerdict.FENCED:
            self._disprove_successor(event.renewal)
            if renewal.token >= self.endpoint.token:
                self.endpoint.raise_token(self._now)
        elif self.endpoint.is_probe(event.renewal):
            self._lose_endpoint("replaced")
        else:
            self.endpoint.postpone_renewal(self._now)

    # The endpoint itself

    def _disprove_successor(self, renewal: int) -> None:
        if not self.endpoint.is_probe(renewal):
            return
        successor = self.endpoint.take_successor()
        if successor is not None:
            self.counts.add("reports_disproved")
            self._note("report_disproved", instance=successor.instance)

    def _report(self, event: Reported) -> None:
        report = event.report
        if self.endpoint.suspect(report):
            return
        change = self.endpoint.hear_report(report, self._now)
        if change.replaced:
            self._lose_all(RunEnd.LOST)
        if change.any:
            self._note(
                "endpoint_reported",
                instance=report.instance,
                open=self.endpoint.open,
                draining=report.draining,
            )
            self._out.append(KeepReport(report))
        self.shelf.capacity = self.endpoint.capacity
        if not self.endpoint.open:
            self._return_parked()

    def _recall(self, event: ReportRecalled) -> None:
        if self.endpoint.recall(event.report, self._now):
            self._note("endpoint_recalled", instance=event.report.instance)
            self.shelf.capacity = self.endpoint.capacity

    def _depart(self, event: Departed) -> None:
        if event.instance == self.endpoint.instance:
            self._lose_endpoint("left")

    def _lose_endpoint(self, reason: str) -> None:
        self.counts.add("endpoints_lost", reason)
        self._note("endpoint_lost", instance=self.endpoint.instance, reason=reason)
        successor = self.endpoint.take_successor()
        self.endpoint.forget()
        self._lose_all(RunEnd.LOST)
        if successor is not None:
            self._report(Reported(successor))

    def _lose_all(self, end: RunEnd) -> None:
        for held in list(self.shelf.runs.values()):
            parked = held.state is RunState.PARKED
            self._settle(held, RunEnd.NOT_STARTED if parked else end)

    def _return_parked(self) -> None:
        for held in self.shelf.list_parked():
            self._settle(held, RunEnd.CLOSED)

    # Time

    def _tick(self, event: Tick) -> None:
        del event
        for link in self.links.list_silent(self._now):
            self._drop_link(link.stream, "silence")
        self._dial()
        if self._now >= self.links.pulse_at:
            self.links.pulse_at = self._now + PULSE
            slowness = round(self._slowness.read(self._now), 1)
            for link in self.links:
                self._send(link.stream, Pulse([], slowness))
        if self.endpoint.has_lapsed(self._now) and self.shelf.list_placed():
            # No renewal reached the endpoint within the longest lease: it has
            # ended everything by itself, whether it lives or not.
            self._note("lease_lapsed", instance=self.endpoint.instance)
            self._lose_all(RunEnd.LOST)
        if self.endpoint.expire(self._now):
            self._note("endpoint_silent", instance=self.endpoint.instance)
            self._return_parked()

    def _stop(self, event: StopRequested) -> None:
        del event
        self.stopping = True
        self._note("stopping", running=len(self.shelf.list_placed()))
        self._return_parked()

    def _check_quiet(self) -> None:
        if self.stopping and not self._quiet and not self.shelf.runs:
            self._quiet = True
            self._out.append(Quiet())

    # What entries are told

    def _tell_all(self) -> None:
        news = EndpointNews(
            self.endpoint.instance,
            self.endpoint.service,
            *self.endpoint.capacity,
            list(self.endpoint.labels),
            self.open,
            self.endpoint.settled,
        )
        free = self.shelf.free - self.shelf.parked_needs
        links = list(self.links)
        self._bulletins.begin(len(links), self._now)
        for link in links:
            room = Room(*free, self.shelf.parked, link.received)
            for due in self._bulletins.list_due(link, news, room):
                self._send(link.stream, due)
