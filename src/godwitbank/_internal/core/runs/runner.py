"""Tracks the runs held by one agent, from the start order to the reported outcome.

The agent is the only process that knows the free capacity of its endpoint. Capacity is
used by runs that were started, by runs that were told to stop but have not ended yet,
and by start orders without an answer that the endpoint may still carry out.
"""

import math
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
from godwitbank._internal.core.runs.notice import (
    REPEAT_SECONDS,
    RunForecast,
    ends_in_time,
)
from godwitbank._internal.core.runs.outbox import Outbox
from godwitbank._internal.core.runs.preemption import Preemption, UrgentNeed
from godwitbank._internal.core.runs.progress import (
    SLOW_FACTOR,
    ProgressSample,
    Slowness,
)
from godwitbank._internal.core.runs.reservations import Reservations
from godwitbank._internal.core.runs.speeds import EndpointSpeed
from godwitbank._internal.core.runs.verdicts import RenewalVerdict, StartVerdict
from godwitbank._internal.models.jobs import (
    EndpointReport,
    ListedEnd,
    ListedRun,
    RunEnd,
)
from godwitbank._internal.models.messages import Message
from godwitbank._internal.models.resources import Resources
from godwitbank._internal.models.run_messages import (
    Claim,
    Claimed,
    Reserve,
    RunBegun,
    RunDoomed,
    RunOutcome,
    RunSlow,
    StartRun,
    StopRun,
)

MAX_REMEMBERED_RUNS = 512
"""Number of ended runs to remember. Renewal answers can arrive out of order, so an
older answer may list a run as running after a newer one has reported its end."""

MAX_ORDER_AGE_SECONDS = 0.7
"""Seconds after which a start order is rejected as too old. The entry that sent it
treats the run as lost after this long without a frame from the agent, but an agent that
was suspended or cut off from the network may still receive the order after that."""

STOP_RETRY_SECONDS = 0.3
"""Seconds to wait for the end of a stopped run before the stop order is repeated."""

_REFUSED_START_ENDS = {
    StartVerdict.SUPERSEDED: RunEnd.SUPERSEDED,
    StartVerdict.NO_ROOM: RunEnd.NOT_STARTED,
    StartVerdict.INVALID: RunEnd.INVALID,
    StartVerdict.UNHEALTHY: RunEnd.UNHEALTHY,
    StartVerdict.UNREACHABLE: RunEnd.UNHEALTHY,
}


_RETRIED_STOPS = {RunEnd.PREEMPTED, RunEnd.STALLED}
"""Reasons to stop a run whose task its entry starts again."""


class Runner:
    """Starts, stops and reports the runs of one agent.

    :param now: current time in seconds.
    :param on_endpoint_lost: called with a reason when another instance has answered in
        place of the endpoint.
    :param on_endpoint_restarted: called when the endpoint turns out to have started
        again under its id, with the first report of its new life, if there is one.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        links: Links,
        counts: Counts,
        now: float,
        on_endpoint_lost: Callable[[str], None],
        on_endpoint_restarted: Callable[[EndpointReport | None], None],
    ) -> None:
        self.held_runs = HeldRuns()
        self.reservations = Reservations()
        self._preemption = Preemption()
        self.slowness = Slowness(now)
        self.speed = EndpointSpeed()
        self.outbox = Outbox()
        self.stopping = False
        self.evacuated = False
        """Whether the endpoint's availability zone is evacuated: no new runs."""
        self._endpoint = endpoint
        self._links = links
        self._counts = counts
        self._on_endpoint_lost = on_endpoint_lost
        self._on_endpoint_restarted = on_endpoint_restarted
        self._booted_at = now
        self._claims = Claims()
        self._owner_liveness = EntryLiveness()
        self._ended_runs: OrderedDict[tuple[str, int], float] = OrderedDict()
        self._now = now
        self._actions: list[RunAction] = []

    def begin_event(self, now: float, actions: list[RunAction]) -> None:
        """Prepare to handle one event.

        :param now: current time in seconds.
        :param actions: list to which the resulting actions are appended.
        """
        self._now = now
        self._actions = actions
        self.reservations.expire(now)

    @property
    def open(self) -> bool:
        """Whether new runs are accepted."""
        return self._endpoint.open and not self.stopping and not self.evacuated

    def set_evacuated(self, evacuated: bool) -> None:
        """Start or end the evacuation of the endpoint's availability zone.

        Running runs are left to finish; parked runs are returned to their entries.
        """
        self.evacuated = evacuated
        self.reset_speed()
        if evacuated:
            self.return_parked()

    def reset_speed(self) -> None:
        """Forget how fast runs are here; a new boot may be of another kind."""
        self.slowness = Slowness(self._now)
        self.speed = EndpointSpeed()

    def record_liveness(self, link: Link, at: float) -> None:
        """Record that an entry was alive at a given time.

        :param at: time in seconds on this agent's clock.
        """
        link.last_alive_at = max(link.last_alive_at, at)
        self._owner_liveness.record_alive(link.hello.incarnation, at)

    def prune_liveness(self) -> None:
        """Drop the liveness of entries that are neither connected nor own a run."""
        linked = {link.hello.incarnation for link in self._links}
        self._owner_liveness.retain(linked | set(self.held_runs.owners))

    def find_lease_end(self) -> float:
        """Return the time by which all leases must end if no owner is heard from again.

        The owner that was last known to be alive the longest ago sets the limit.
        """
        return self._owner_liveness.find_lease_end(self.held_runs.placed_owners)

    def list_tasks_of(self, owner: str) -> list[str]:
        """List the tasks that have a run here owned by an entry.

        :param owner: incarnation of the entry.
        """
        return [
            run.order.task for run in self.held_runs.runs.values() if run.owner == owner
        ]

    def _log_decision(self, event: str, request: str = "", **fields: object) -> None:
        self._actions.append(LogDecision(event, request, fields))

    def _send(self, stream: int, message: Message) -> None:
        self._actions.append(Send(stream, message))

    def stop_runs_of(self, owner: str) -> None:
        """Stop all runs of an entry that is no longer reachable.

        :param owner: incarnation of the entry.
        """
        self.reservations.remove(owner)
        # The entry may be dead and its callers may submit their jobs again at another
        # entry. A run left here would then run twice at the same time.
        for run in list(self.held_runs.runs.values()):
            if run.owner == owner:
                self._stop_run(run, "entry_lost")

    def _stop_run(self, run: HeldRun, reason: str) -> None:
        if run.state is RunState.PARKED:
            taken_over = reason == RunEnd.TAKEN_OVER
            self._end_run(run, RunEnd.TAKEN_OVER if taken_over else RunEnd.NOT_STARTED)
            return
        if run.stop_reason:
            if reason == RunEnd.TAKEN_OVER and run.stop_reason in _RETRIED_STOPS:
                run.stop_reason = reason
            return
        run.stop_reason = reason
        run.stopped_at = self._now
        self._counts.add("stops_ordered", reason)
        self._log_decision(
            "stop_ordered", run.order.task, run=run.order.run, reason=reason
        )
        if run.state is RunState.RUNNING:
            run.state = RunState.STOPPING
        self._actions.append(self._endpoint.make_stop(run.order.task, run.order.run))

    def handle_start_order(self, link: Link, order: StartRun) -> None:
        """Accept an order to start a run, or refuse it immediately with a reason."""
        link.received += 1
        self.record_liveness(link, order.sent_at)
        run = HeldRun(order, link.hello.incarnation, self._now)
        present = self.held_runs.runs.get(order.task)
        if present is not None:
            if present.order.run != order.run or present.owner != run.owner:
                # Another run of the same task may still be running here.
                self._refuse(run, RunEnd.NOT_STARTED, "present")
            return
        if self._now - order.sent_at > MAX_ORDER_AGE_SECONDS:
            self._refuse(run, RunEnd.NOT_STARTED, "too_old")
        elif not self._claims.allows(run.job, run.owner):
            self._refuse(run, RunEnd.TAKEN_OVER, "claimed")
        elif self.evacuated:
            self._refuse(run, RunEnd.CLOSED, "zone")
        elif not self.open or link.leaving:
            self._refuse(run, RunEnd.CLOSED, "closed")
        elif not run.needs.fits(self.held_runs.capacity):
            self._refuse(run, RunEnd.INVALID, "too_large")
        elif not order.may_park and not self._has_free_capacity(run):
            # Two entries chose this agent for the same free capacity.
            self._refuse(run, RunEnd.NOT_STARTED, "room")
        else:
            self.reservations.remove(run.owner)
            self.held_runs.park(run)

    def _refuse(self, run: HeldRun, end: RunEnd, reason: str) -> None:
        self._counts.add("orders_refused", reason)
        self._report_outcome(run, end, reason=reason)

    def _has_free_capacity(self, run: HeldRun) -> bool:
        kept = self.reservations.measure_kept(run.owner, run.order.priority)
        return self.held_runs.has_capacity_for(run, kept)

    def start_parked(self) -> None:
        """Send start orders for parked runs while there is free capacity."""
        if not self.open:
            return
        while self.held_runs.parked and self._may_grant_leases():
            run = self.held_runs.choose_next()
            if run is None:
                return
            self.held_runs.place(run)
            self._order_start(run)

    def _may_grant_leases(self) -> bool:
        # All runs here share one lease. While an entry that owns one of them sends no
        # heartbeats, the lease is about to end, and a new run would end with it.
        return self.find_lease_end() - self._now >= MIN_LEASE_SECONDS

    def _order_start(self, run: HeldRun) -> None:
        run.state = RunState.ORDERED
        run.ordered_at = self._now
        run.progress.restart(self._now)
        action = self._endpoint.make_start(run.order, self._now, self.find_lease_end())
        run.token = action.token
        self._counts.add("starts_ordered")
        waited = round(self._now - run.arrived_at, 4)
        link = self._links.find(run.owner)
        if link is not None and waited > 0:
            self._send(link.stream, RunBegun(run.order.task, run.order.run))
        self._log_decision(
            "start_ordered", run.order.task, run=run.order.run, waited=waited
        )
        self._actions.append(action)

    def handle_reservation(self, link: Link, message: Reserve) -> None:
        """Keep capacity for an entry's urgent work."""
        needs = Resources(message.cpu, message.memory, message.gpu)
        owner = link.hello.incarnation
        if not self.open or not needs.fits(self.held_runs.capacity):
            return
        self.reservations.add(owner, message.priority, needs, self._now)
        need = UrgentNeed(message.priority, needs, message.start_in)
        # Parked runs take what becomes free before the urgent task can start.
        free = self.held_runs.free - self.held_runs.parked_needs
        placed = self.held_runs.list_placed()
        run = self._preemption.choose(need, free, placed, self._now)
        if run is not None:
            self._stop_run(run, RunEnd.PREEMPTED)

    def handle_stop_order(self, link: Link, stop: StopRun) -> None:
        """Stop a run if the request comes from the entry that ordered it."""
        run = self.held_runs.runs.get(stop.task)
        if run is None or run.order.run != stop.run:
            return
        if run.owner == link.hello.incarnation:
            self._stop_run(run, "entry")

    def handle_claim(self, link: Link, claim: Claim) -> None:
        """Stop other entries' runs of a job whose caller is now at the sender."""
        claimant = link.hello.incarnation
        earlier = self._claims.find_winner(claim.job, claimant, self._now)
        if earlier and self._links.find(earlier) is not None:
            self._send(link.stream, Claimed(claim.job, False, True))
            return
        self._claims.add(claim.job, link.hello.incarnation, link.stream, self._now)
        for run in self._list_superseded_runs(claim.job):
            self._stop_run(run, RunEnd.TAKEN_OVER)

    def _list_superseded_runs(self, job: str) -> list[HeldRun]:
        return [
            run
            for run in self.held_runs.runs.values()
            if run.job == job and not self._claims.allows(job, run.owner)
        ]

    def answer_claims(self) -> None:
        """Answer pending claims, on the start of stopping and once no run is left."""
        max_lease = MAX_LEASE_SECONDS / (1 - MAX_CLOCK_SKEW) + LAPSE_SLACK_SECONDS
        all_leases_lapsed = self._now - self._booted_at > max_lease
        reconciled = self._endpoint.reconciled or all_leases_lapsed
        for job in self._claims.list_unanswered():
            if self._list_superseded_runs(job):
                # Sent once when the stop begins, so that the requester doesn't mistake
                # the time that stopping takes for the loss of this agent.
                stream = self._claims.begin_stop(job)
                if stream is not None:
                    self._send(stream, Claimed(job, False, False))
            elif reconciled:
                # Until the endpoint is reconciled, runs started by a previous agent
                # process may still be running.
                self._send(
                    self._claims.pop_answer_stream(job), Claimed(job, True, False)
                )

    def handle_start_answer(self, event: StartAnswered) -> None:
        """Handle the endpoint's answer to a start order, or the lack of one."""
        self._endpoint.update_clock(event.clock, event.token, self._now)
        run = self.held_runs.runs.get(event.task)
        if run is None or run.order.run != event.run or run.token != event.token:
            return
        if run.state is not RunState.ORDERED:
            return
        self._counts.add("starts_answered", event.verdict)
        self._endpoint.record_answer_time(self._now - run.ordered_at)
        verdict = StartVerdict(event.verdict)
        if verdict is StartVerdict.STARTED:
            run.state = RunState.STOPPING if run.stop_reason else RunState.RUNNING
            run.confirmed_at = self._now
        elif verdict is StartVerdict.NO_ANSWER:
            self._mark_unconfirmed(run)
        elif verdict is StartVerdict.OTHER_INSTANCE:
            self._on_endpoint_lost("other_instance")
        elif verdict in (StartVerdict.FENCED, StartVerdict.LAPSED):
            self._retry_start(run, verdict)
        else:
            self._log_decision("start_refused", run.order.task, verdict=event.verdict)
            self._end_run(run, _REFUSED_START_ENDS[verdict])

    def _retry_start(self, run: HeldRun, verdict: StartVerdict) -> None:
        if run.stop_reason or self.evacuated or not self._may_grant_leases():
            self._end_run(run, RunEnd.NOT_STARTED)
            return
        if verdict is StartVerdict.FENCED and run.token >= self._endpoint.token:
            self._endpoint.replace_rejected_token(self._now)
        self._order_start(run)

    def _mark_unconfirmed(self, run: HeldRun) -> None:
        # The endpoint may carry out the order seconds later. Once it knows a higher
        # fencing token it rejects the order; until then the capacity stays in use.
        run.state = RunState.UNCONFIRMED
        if run.token >= self._endpoint.token:
            self._endpoint.raise_token(self._now)
        self._log_decision("start_unanswered", run.order.task, run=run.order.run)

    def handle_renewal_answer(self, event: RenewalAnswered) -> None:
        """Handle the lists of running and ended runs in a renewal answer."""
        renewal = self._endpoint.pop_renewal(event.renewal)
        if renewal is None or event.instance not in ("", self._endpoint.instance):
            return
        if self._endpoint.is_earlier_life(event.born):
            self._endpoint.retry_verification(event.renewal)
            return
        if self._endpoint.is_other_life(event.born):
            self._begin_life(event.born)
        self._endpoint.confirm_life(event.born)
        self._endpoint.clock.update(event.clock, self._now)
        self._reject_unverified_report(event.renewal)
        self._endpoint.confirm_renewal(renewal)
        for end in event.ended:
            self._handle_end(end)
        listed = {each.task: each for each in event.running}
        self._update_progress(listed)
        for run in self.held_runs.list_placed():
            row = listed.pop(run.order.task, None)
            if row is not None and row.run == run.order.run:
                self._handle_listed_run(run)
            elif self._is_absence_final(run, renewal.token, renewal.issued_at):
                self._end_absent_run(run)
        unknown_runs = [
            UnknownRun(row.task, row.run)
            for row in listed.values()
            if not self._may_have_ended(row, renewal.issued_at)
        ]
        self._actions += self._endpoint.stop_unknown_runs(unknown_runs, self._now)

    def _may_have_ended(self, row: ListedRun, issued_at: float) -> bool:
        # A list requested before the end was known may be older than the end. One
        # requested afterwards shows a start that was carried out late.
        return self._ended_runs.get((row.task, row.run), -math.inf) >= issued_at

    def _begin_life(self, born: int) -> None:
        # The runs aren't all lost: the new life may have carried out orders to the
        # earlier one. Its list of runs shows which are left.
        self._counts.add("endpoints_lost", "restarted")
        self._log_decision(
            "endpoint_restarted",
            instance=self._endpoint.instance,
            born=born,
            before=self._endpoint.born,
            placed=len(self.held_runs.list_placed()),
        )
        report = self._endpoint.begin_life(born, self._now)
        self.reset_speed()
        self._ended_runs.clear()
        self._on_endpoint_restarted(report)

    def _update_progress(self, listed: dict[str, ListedRun]) -> None:
        samples = []
        for run in self.held_runs.list_placed():
            row = listed.get(run.order.task)
            if row is not None and row.run == run.order.run:
                run.progress.update(row.percent, self._now)
                expected = run.order.expected * self.speed.learnt.factor
                samples.append(ProgressSample(run.job, run.progress, expected))
        self._update_slowness(samples)
        if self.slowness.is_slow:
            # A slow phase says nothing about the endpoint's kind.
            self.speed.drop_delayed()
        self.speed.learn_delayed(self._now)

    def _update_slowness(self, samples: list[ProgressSample]) -> None:
        was_slow = self.slowness.is_slow
        self.slowness.update(samples, self._now)
        if self.slowness.is_slow is was_slow:
            return
        change = "endpoint_recovered" if was_slow else "endpoint_slow"
        self._counts.add("slowness_changes", change)
        self._log_decision(
            change,
            self._endpoint.instance,
            slowness=round(self.slowness.estimate(self._now), 2),
            speed=round(self.speed.learnt.factor, 2),
            runs=len(samples),
        )

    def _is_absence_final(self, run: HeldRun, token: int, issued_at: float) -> bool:
        if run.state is RunState.UNCONFIRMED:
            return token > run.token
        return run.confirmed_at < issued_at

    def _end_absent_run(self, run: HeldRun) -> None:
        started = run.state is not RunState.UNCONFIRMED
        self._log_decision(
            "run_absent", run.order.task, run=run.order.run, started=started
        )
        self._end_run(run, RunEnd.LOST if started else RunEnd.NOT_STARTED)

    def _handle_listed_run(self, run: HeldRun) -> None:
        if run.state in (RunState.ORDERED, RunState.UNCONFIRMED):
            run.state = RunState.STOPPING if run.stop_reason else RunState.RUNNING
            run.confirmed_at = min(run.confirmed_at, self._now)
        if run.stop_reason and self._now - run.stopped_at > STOP_RETRY_SECONDS:
            run.stopped_at = self._now
            self._actions.append(
                self._endpoint.make_stop(run.order.task, run.order.run)
            )
        elif not run.stop_reason:
            self._check_progress(run)
            self._check_notice(run)

    def check_notices(self) -> None:
        """Tell entries which runs can't end before the endpoint leaves."""
        for run in self.held_runs.list_placed():
            if not run.stop_reason:
                self._check_notice(run)

    def _check_notice(self, run: HeldRun) -> None:
        if math.isinf(self._endpoint.leaves_at):
            return
        if self._now - run.doomed_at < REPEAT_SECONDS:
            return
        expected = run.order.expected * self.speed.learnt.factor
        forecast = RunForecast(run.progress, expected, run.ordered_at)
        left = forecast.seconds_left(self.slowness.estimate(self._now), self._now)
        if ends_in_time(left, self._endpoint.leaves_at, self._now):
            return
        link = self._links.find(run.owner)
        if link is None:
            return
        run.doomed_at = self._now
        self._counts.add("runs_doomed")
        self._log_decision(
            "run_doomed",
            run.order.task,
            run=run.order.run,
            left=round(left, 3),
            remaining=round(self._endpoint.leaves_at - self._now, 3),
        )
        self._send(link.stream, RunDoomed(run.order.task, run.order.run, left))

    def _check_progress(self, run: HeldRun) -> None:
        slowness = self.slowness.estimate(self._now)
        if run.progress.is_stalled(run.order.expected, self._now):
            self._stop_run(run, RunEnd.STALLED)
        elif run.progress.should_report_slow(slowness, self._now):
            link = self._links.find(run.owner)
            if link is not None:
                self._send(link.stream, RunSlow(run.order.task, run.order.run))

    def _handle_end(self, end: ListedEnd) -> None:
        if not self._endpoint.record_end(end.number):
            return
        run = self.held_runs.runs.get(end.task)
        if run is None or run.order.run != end.run:
            return
        if run.state is RunState.PARKED:
            return
        actual_end = end.end
        requested_ends = (RunEnd.STALLED, RunEnd.TAKEN_OVER, RunEnd.PREEMPTED)
        if actual_end is RunEnd.STOPPED and run.stop_reason in requested_ends:
            actual_end = RunEnd(run.stop_reason)
        if actual_end is RunEnd.DONE:
            self._record_run_time(run)
        self._end_run(run, actual_end, end.checkpoint)

    def _record_run_time(self, run: HeldRun) -> None:
        if self._endpoint.is_cold(self._now) or run.order.checkpoint:
            return
        elapsed = self._now - run.ordered_at
        expected = run.order.expected
        here = expected * self.speed.learnt.factor
        self.slowness.record_end(run.job, elapsed, here, self._now)
        if self.slowness.estimate(self._now) < SLOW_FACTOR:
            self.speed.delay_run(elapsed, expected, self._now)

    def _end_run(self, run: HeldRun, end: RunEnd, checkpoint: str = "") -> None:
        self.held_runs.remove(run)
        self._ended_runs[(run.order.task, run.order.run)] = self._now
        if len(self._ended_runs) > MAX_REMEMBERED_RUNS:
            self._ended_runs.popitem(last=False)
        self._report_outcome(run, end, checkpoint)

    def _report_outcome(
        self, run: HeldRun, end: RunEnd, checkpoint: str = "", reason: str = ""
    ) -> None:
        elapsed = self._now - run.ordered_at
        waited = run.ordered_at - run.arrived_at
        order = run.order
        self._counts.add("runs_ended", end)
        fields: dict[str, object] = {"run": order.run, "end": end}
        fields["s"] = round(elapsed, 4)
        if reason:
            fields["reason"] = reason
        self._log_decision("run_ended", order.task, **fields)
        outcome = RunOutcome(order.task, order.run, end, elapsed, waited, checkpoint)
        link = self._links.find(run.owner)
        if link is None:
            self.outbox.put(run.owner, outcome, self._now)
        else:
            self._send(link.stream, outcome)

    def handle_renewal_failure(self, event: RenewalFailed) -> None:
        """Handle a renewal that was refused or not answered."""
        renewal = self._endpoint.pop_renewal(event.renewal)
        if renewal is None:
            return
        self._counts.add("renewals_failed", event.verdict)
        self._endpoint.clock.update(event.clock, self._now)
        if event.verdict == RenewalVerdict.OTHER_INSTANCE:
            self._on_endpoint_lost("other_instance")
        elif event.verdict == RenewalVerdict.FENCED:
            self._handle_fenced_renewal(event.renewal, renewal.token)
        else:
            # The call may have been lost, whoever is there.
            self._endpoint.retry_verification(event.renewal)
            self._endpoint.postpone_renewal(self._now)

    def _handle_fenced_renewal(self, number: int, token: int) -> None:
        if self._endpoint.awaits_later_life:
            # Both lives answer to the id, and neither names itself here.
            self._endpoint.retry_verification(number)
        else:
            self._reject_unverified_report(number)
        if token >= self._endpoint.token:
            self._endpoint.replace_rejected_token(self._now)

    def _reject_unverified_report(self, renewal: int) -> None:
        if not self._endpoint.is_verification(renewal):
            return
        report = self._endpoint.take_unverified_report()
        if report is not None:
            self._counts.add("reports_disproved")
            self._log_decision("report_disproved", instance=report.instance)

    def end_all(self, end: RunEnd) -> None:
        """End all runs without waiting for the endpoint.

        :param end: how runs that may have started are reported to their entries.
        """
        for run in list(self.held_runs.runs.values()):
            parked = run.state is RunState.PARKED
            self._end_run(run, RunEnd.NOT_STARTED if parked else end)

    def return_parked(self) -> None:
        """Return the parked runs to their entries."""
        for run in self.held_runs.list_parked():
            self._end_run(run, RunEnd.CLOSED)
