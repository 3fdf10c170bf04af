"""The runs that one agent holds: orders to the endpoint, what it lists, outcomes.

Only the agent knows what room an endpoint has: what it started, what it stopped
and has not seen end, and what an unanswered order may still start.
"""

from collections import OrderedDict
from collections.abc import Callable

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.events import Send
from godwitbank._internal.core.runs.claims import Claims
from godwitbank._internal.core.runs.deployment import MAX_LEASE_SECONDS
from godwitbank._internal.core.runs.endpoint import Endpoint, UnknownRun
from godwitbank._internal.core.runs.events import (
    LogDecision,
    RenewalAnswered,
    RenewalFailed,
    RunAction,
    StartAnswered,
)
from godwitbank._internal.core.runs.held_runs import HeldRun, HeldRuns, RunState
from godwitbank._internal.core.runs.lease import (
    LAPSE_SLACK_SECONDS,
    MAX_CLOCK_SKEW,
    MIN_LEASE_SECONDS,
)
from godwitbank._internal.core.runs.links import Link, Links
from godwitbank._internal.core.runs.liveness import EntryLiveness
from godwitbank._internal.core.runs.outbox import Outbox
from godwitbank._internal.core.runs.progress import ProgressSample, Slowness
from godwitbank._internal.core.runs.verdicts import RenewalVerdict, StartVerdict
from godwitbank._internal.models.jobs import ListedEnd, ListedRun, RunEnd
from godwitbank._internal.models.messages import Message
from godwitbank._internal.models.run_messages import (
    Claim,
    Claimed,
    RunBegun,
    RunOutcome,
    RunSlow,
    StartRun,
    StopRun,
)

MAX_REMEMBERED_RUNS = 512
"""Ended runs that are remembered: answers to renewals may overtake each other,
and an older one still lists as running what a newer one told as ended."""

MAX_ORDER_AGE_SECONDS = 0.7
"""Seconds after which an order to start that is still on its way is void. It is the
silence after which its entry counts the run as lost; an agent that was suspended, or
whose link was cut, may find the order later."""

STOP_RETRY_SECONDS = 0.3
"""Seconds after which a stop whose end wasn't listed is ordered again."""

_UNSTARTED = {
    StartVerdict.SUPERSEDED: RunEnd.SUPERSEDED,
    StartVerdict.NO_ROOM: RunEnd.NOT_STARTED,
    StartVerdict.INVALID: RunEnd.INVALID,
    StartVerdict.UNHEALTHY: RunEnd.UNHEALTHY,
    StartVerdict.UNREACHABLE: RunEnd.UNHEALTHY,
}


class Runner:
    """Decides about the runs of one agent."""

    def __init__(
        self,
        endpoint: Endpoint,
        links: Links,
        counts: Counts,
        now: float,
        lose_endpoint: Callable[[str], None],
    ) -> None:
        self.held_runs = HeldRuns()
        self.slowness = Slowness(now)
        self.outbox = Outbox()
        self.stopping = False
        self.evacuated = False
        """Whether the endpoint's zone is to get no new runs."""
        self._endpoint = endpoint
        self._links = links
        self._counts = counts
        self._lose_endpoint = lose_endpoint
        self._booted_at = now
        self._claims = Claims()
        self._lives = EntryLiveness()
        self._settled: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._now = now
        self._out: list[RunAction] = []

    def begin_event(self, now: float, out: list[RunAction]) -> None:
        """Prepare for one event."""
        self._now = now
        self._out = out

    @property
    def open(self) -> bool:
        """Whether new runs are taken."""
        return self._endpoint.open and not self.stopping and not self.evacuated

    def set_evacuated(self, evacuated: bool) -> None:
        """Begin or end the evacuation of the endpoint's zone.

        What runs there ends in peace; what waits goes back to its entries.
        """
        self.evacuated = evacuated
        self.slowness = Slowness(self._now)
        if evacuated:
            self.return_parked()

    def record_liveness(self, link: Link, at: float) -> None:
        """Note that an entry lived at a moment, on the clock of this agent."""
        link.last_alive_at = max(link.last_alive_at, at)
        self._lives.record_alive(link.hello.incarnation, at)

    def prune_liveness(self) -> None:
        """Forget the proofs of life on which nothing depends any more."""
        linked = {link.hello.incarnation for link in self._links}
        self._lives.retain(linked | set(self.held_runs.owners))

    def find_lease_end(self) -> float:
        """Tell when what runs here must be over, unless its entries are heard again."""
        return self._lives.find_lease_end(self.held_runs.placed_owners)

    def list_tasks_of(self, owner: str) -> list[str]:
        """List the tasks of which a run of an entry is held."""
        return [
            held.order.task
            for held in self.held_runs.runs.values()
            if held.owner == owner
        ]

    def _note(self, event: str, request: str = "", **fields: object) -> None:
        self._out.append(LogDecision(event, request, fields))

    def _send(self, stream: int, message: Message) -> None:
        self._out.append(Send(stream, message))

    def stop_runs_of(self, owner: str) -> None:
        """Stop the runs of an entry that can't be reached any more."""
        # The entry may be dead, and its callers submit again elsewhere: what
        # still ran here would run twice at the same time.
        for held in list(self.held_runs.runs.values()):
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
        self._counts.add("stops_ordered", reason)
        self._note("stop_ordered", held.order.task, run=held.order.run, reason=reason)
        if held.state is RunState.RUNNING:
            held.state = RunState.STOPPING
        self._out.append(self._endpoint.make_stop(held.order.task, held.order.run))

    def handle_start_order(self, link: Link, order: StartRun) -> None:
        """Take an order to start a run, or tell at once why not."""
        link.received += 1
        self.record_liveness(link, order.sent_at)
        held = HeldRun(order, link.hello.incarnation, self._now)
        present = self.held_runs.runs.get(order.task)
        if present is not None:
            if present.order.run != order.run or present.owner != held.owner:
                # Another run of the task may still be alive here.
                self._refuse(held, RunEnd.NOT_STARTED, "present")
            return
        if self._now - order.sent_at > MAX_ORDER_AGE_SECONDS:
            self._refuse(held, RunEnd.NOT_STARTED, "too_old")
        elif not self._claims.allows(held.job, held.owner):
            self._refuse(held, RunEnd.TAKEN_OVER, "claimed")
        elif self.evacuated:
            self._refuse(held, RunEnd.CLOSED, "zone")
        elif not self.open or link.leaving:
            self._refuse(held, RunEnd.CLOSED, "closed")
        elif not held.needs.fits(self.held_runs.capacity):
            self._refuse(held, RunEnd.INVALID, "too_large")
        elif not order.may_park and not self._has_room(held):
            # Two entries chose this agent for the same room.
            self._refuse(held, RunEnd.NOT_STARTED, "room")
        else:
            self.held_runs.park(held)

    def _refuse(self, held: HeldRun, end: RunEnd, reason: str) -> None:
        self._counts.add("orders_refused", reason)
        self._tell_outcome(held, end, reason=reason)

    def _has_room(self, held: HeldRun) -> bool:
        return held.needs.fits(self.held_runs.free - self.held_runs.parked_needs)

    def start_parked(self) -> None:
        """Order what waits here, as far as there is room."""
        if not self.open:
            return
        while self.held_runs.parked and self._may_grant_leases():
            held = self.held_runs.choose_next()
            if held is None:
                return
            self.held_runs.place(held)
            self._order(held)

    def _may_grant_leases(self) -> bool:
        # While an entry is silent whose runs are still here, a new run would lapse
        # with them.
        return self.find_lease_end() - self._now >= MIN_LEASE_SECONDS

    def _order(self, held: HeldRun) -> None:
        held.state = RunState.ORDERED
        held.ordered_at = self._now
        held.progress.restart(self._now)
        action = self._endpoint.make_start(held.order, self._now, self.find_lease_end())
        held.token = action.token
        self._counts.add("starts_ordered")
        waited = round(self._now - held.arrived_at, 4)
        link = self._links.find(held.owner)
        if link is not None and waited > 0:
            self._send(link.stream, RunBegun(held.order.task, held.order.run))
        self._note("start_ordered", held.order.task, run=held.order.run, waited=waited)
        self._out.append(action)

    def handle_stop_order(self, link: Link, stop: StopRun) -> None:
        """Stop a run for the entry that ordered it."""
        held = self.held_runs.runs.get(stop.task)
        if held is None or held.order.run != stop.run:
            return
        if held.owner == link.hello.incarnation:
            self._end_by_order(held, "entry")

    def handle_claim(self, link: Link, claim: Claim) -> None:
        """Stop others' runs of a job whose caller came to the sender."""
        own = link.hello.incarnation
        earlier = self._claims.find_winner(claim.job, own, self._now)
        if earlier and self._links.find(earlier) is not None:
            self._send(link.stream, Claimed(claim.job, False, True))
            return
        self._claims.add(claim.job, link.hello.incarnation, link.stream, self._now)
        for held in self._list_others(claim.job):
            self._end_by_order(held, RunEnd.TAKEN_OVER)

    def _list_others(self, job: str) -> list[HeldRun]:
        return [
            held
            for held in self.held_runs.runs.values()
            if held.job == job and not self._claims.allows(job, held.owner)
        ]

    def answer_claims(self) -> None:
        """Answer the claims of which nothing runs here any more."""
        longest = MAX_LEASE_SECONDS / (1 - MAX_CLOCK_SKEW) + LAPSE_SLACK_SECONDS
        lapsed = self._now - self._booted_at > longest
        settled = self._endpoint.reconciled or lapsed
        for job in self._claims.list_unanswered():
            if self._list_others(job):
                # Whoever asks must not take the time of the stop for an agent's end.
                stream = self._claims.begin_stop(job)
                if stream is not None:
                    self._send(stream, Claimed(job, False, False))
            elif settled:
                # Before, what a former agent started may still run.
                self._send(
                    self._claims.pop_answer_stream(job), Claimed(job, True, False)
                )

    def handle_start_answer(self, event: StartAnswered) -> None:
        """Take the endpoint's answer to an order to start."""
        self._endpoint.clock.update(event.clock, self._now)
        held = self.held_runs.runs.get(event.task)
        if held is None or held.order.run != event.run or held.token != event.token:
            return
        if held.state is not RunState.ORDERED:
            return
        self._counts.add("starts_answered", event.verdict)
        self._endpoint.record_answer_time(self._now - held.ordered_at)
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
        if held.stop_reason or self.evacuated or not self._may_grant_leases():
            self._settle(held, RunEnd.NOT_STARTED)
            return
        if verdict is StartVerdict.FENCED and held.token >= self._endpoint.token:
            self._endpoint.raise_token(self._now)
        self._order(held)

    def _doubt(self, held: HeldRun) -> None:
        # The order may be carried out seconds later. With a higher token known
        # to the endpoint it can't be any more; until then its room stays taken.
        held.state = RunState.UNCONFIRMED
        if held.token >= self._endpoint.token:
            self._endpoint.raise_token(self._now)
        self._note("start_unanswered", held.order.task, run=held.order.run)

    def handle_renewal_answer(self, event: RenewalAnswered) -> None:
        """Take what the endpoint lists."""
        renewal = self._endpoint.pop_renewal(event.renewal)
        if renewal is None or event.instance not in ("", self._endpoint.instance):
            return
        self._endpoint.clock.update(event.clock, self._now)
        self._disprove_successor(event.renewal)
        self._endpoint.confirm_renewal(renewal)
        for end in event.ended:
            self._hear_end(end)
        listed = {each.task: each for each in event.running}
        self._hear_progress(listed)
        for held in self.held_runs.list_placed():
            row = listed.pop(held.order.task, None)
            if row is not None and row.run == held.order.run:
                self._see_running(held)
            elif self._is_gone(held, renewal.token, renewal.issued_at):
                self._settle_absent(held)
        strangers = [
            UnknownRun(row.task, row.run)
            for row in listed.values()
            if (row.task, row.run) not in self._settled
        ]
        self._out += self._endpoint.stop_unknown_runs(strangers, self._now)

    def _hear_progress(self, listed: dict[str, ListedRun]) -> None:
        samples = []
        for held in self.held_runs.list_placed():
            row = listed.get(held.order.task)
            if row is not None and row.run == held.order.run:
                held.progress.update(row.percent, self._now)
                expected = held.order.expected
                samples.append(ProgressSample(held.job, held.progress, expected))
        self.slowness.update(samples, self._now)

    def _is_gone(self, held: HeldRun, token: int, issued_at: float) -> bool:
        if held.state is RunState.UNCONFIRMED:
            return token > held.token
        return held.confirmed_at < issued_at

    def _settle_absent(self, held: HeldRun) -> None:
        started = held.state is not RunState.UNCONFIRMED
        self._note("run_absent", held.order.task, run=held.order.run, started=started)
        self._settle(held, RunEnd.LOST if started else RunEnd.NOT_STARTED)

    def _see_running(self, held: HeldRun) -> None:
        if held.state in (RunState.ORDERED, RunState.UNCONFIRMED):
            held.state = RunState.STOPPING if held.stop_reason else RunState.RUNNING
            held.confirmed_at = min(held.confirmed_at, self._now)
        if held.stop_reason and self._now - held.stopped_at > STOP_RETRY_SECONDS:
            held.stopped_at = self._now
            self._out.append(self._endpoint.make_stop(held.order.task, held.order.run))
        elif not held.stop_reason:
            self._stop_if_hopeless(held)

    def _stop_if_hopeless(self, held: HeldRun) -> None:
        slowness = self.slowness.estimate(self._now)
        if held.progress.is_stalled(held.order.expected, self._now):
            self._end_by_order(held, RunEnd.STALLED)
        elif held.progress.should_report_slow(slowness, self._now):
            link = self._links.find(held.owner)
            if link is not None:
                self._send(link.stream, RunSlow(held.order.task, held.order.run))

    def _hear_end(self, end: ListedEnd) -> None:
        if not self._endpoint.record_end(end.number):
            return
        held = self.held_runs.runs.get(end.task)
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
        self.held_runs.remove(held)
        self._settled[(held.order.task, held.order.run)] = None
        if len(self._settled) > MAX_REMEMBERED_RUNS:
            self._settled.popitem(last=False)
        self._tell_outcome(held, end, checkpoint)

    def _tell_outcome(
        self, held: HeldRun, end: RunEnd, checkpoint: str = "", reason: str = ""
    ) -> None:
        elapsed = self._now - held.ordered_at
        waited = held.ordered_at - held.arrived_at
        order = held.order
        self._counts.add("runs_ended", end)
        fields: dict[str, object] = {"run": order.run, "end": end}
        fields["s"] = round(elapsed, 4)
        if reason:
            fields["reason"] = reason
        self._note("run_ended", order.task, **fields)
        outcome = RunOutcome(order.task, order.run, end, elapsed, waited, checkpoint)
        link = self._links.find(held.owner)
        if link is None:
            self.outbox.put(held.owner, outcome, self._now)
        else:
            self._send(link.stream, outcome)

    def handle_renewal_failure(self, event: RenewalFailed) -> None:
        """Act on a renewal that was refused or not answered."""
        renewal = self._endpoint.pop_renewal(event.renewal)
        if renewal is None:
            return
        self._counts.add("renewals_failed", event.verdict)
        self._endpoint.clock.update(event.clock, self._now)
        if event.verdict == RenewalVerdict.OTHER_INSTANCE:
            self._lose_endpoint("other_instance")
        elif event.verdict == RenewalVerdict.FENCED:
            self._disprove_successor(event.renewal)
            if renewal.token >= self._endpoint.token:
                self._endpoint.raise_token(self._now)
        elif self._endpoint.is_verification(event.renewal):
            self._lose_endpoint("replaced")
        else:
            self._endpoint.postpone_renewal(self._now)

    def _disprove_successor(self, renewal: int) -> None:
        if not self._endpoint.is_verification(renewal):
            return
        successor = self._endpoint.take_unverified_report()
        if successor is not None:
            self._counts.add("reports_disproved")
            self._note("report_disproved", instance=successor.instance)

    def end_all(self, end: RunEnd) -> None:
        """Count everything here as ended."""
        for held in list(self.held_runs.runs.values()):
            parked = held.state is RunState.PARKED
            self._settle(held, RunEnd.NOT_STARTED if parked else end)

    def return_parked(self) -> None:
        """Send back the runs that wait here."""
        for held in self.held_runs.list_parked():
            self._settle(held, RunEnd.CLOSED)
