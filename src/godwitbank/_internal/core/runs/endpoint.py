"""Tracks the agent's own endpoint and builds the orders that are sent to it."""

import math
from typing import NamedTuple

from godwitbank._internal.core.runs.deployment import DEFAULT_DEPLOYMENT, Deployment
from godwitbank._internal.core.runs.events import OrderStart, OrderStop, RenewLease
from godwitbank._internal.core.runs.lease import (
    LAPSE_SLACK_SECONDS,
    MAX_CLOCK_SKEW,
    EndpointClock,
)
from godwitbank._internal.core.runs.lives import EndpointLife
from godwitbank._internal.models.jobs import EndpointReport
from godwitbank._internal.models.resources import Resources
from godwitbank._internal.models.run_messages import StartRun

RENEWAL_WAIT_SECONDS = 0.12
"""Seconds an endpoint may hold back the answer to a renewal until a run ends.

If the answer that reports an end is lost, the next one reports it this much later,
which is about the run time of a short task (0.1 s). Several consecutive renewals may be
lost within the longest lease.
"""

MIN_ANSWER_TIMEOUT_SECONDS = 0.06
MAX_ANSWER_TIMEOUT_SECONDS = 0.3
"""Bounds in seconds of the time to wait for the answer to an order. An order without an
answer keeps its capacity in use until the endpoint is certain to reject it. The upper
bound leaves time for three attempts within one lease."""

ANSWER_TIMEOUT_FACTOR = 6.0
"""Answer timeout as a multiple of the average answer time. On a VM that is slowed down
five times, orders must not all time out and become unconfirmed."""

ANSWER_TIME_WEIGHT = 0.1
"""Weight of the newest answer time in the moving average."""

RENEWAL_RETRY_SECONDS = 0.03
"""Seconds to wait before a failed renewal is retried."""

MAX_UNANSWERED_RENEWALS = 2
"""Consecutive unanswered renewals after which the endpoint gets no new runs."""

IDLE_RETRY_SECONDS = 0.25
"""Seconds between renewals of an endpoint that doesn't answer and has no runs left.

Only an answered renewal makes it get runs again, or shows which life is there. No run
waits for the answer, so there is no need to retry as soon as on a busy endpoint.
"""


MAX_VERIFICATIONS = 8
"""Unanswered renewals for one report after which they aren't counted any more; the time
between two is as long as it gets by then."""

MAX_TOKEN_STEP_BITS = 40
"""Binary logarithm of the largest step by which a rejected token is raised. A few steps
exceed any clock in milliseconds."""


class UnknownRun(NamedTuple):
    """A run listed by the endpoint that this agent process did not start."""

    task: str
    run: int


class Endpoint:
    """Identity, clock, lease and fencing token of one endpoint.

    :param now: current time in seconds.
    :ivar instance: id of the endpoint; empty while it is unknown.
    :ivar born: Unix time of its start in milliseconds; 0 while it is unknown.
    :ivar token: newest fencing token over all lives; 0 until one was chosen.
    :ivar reconciled: whether the endpoint's last list of runs had none that this agent
        process didn't start.
    :ivar reporting: whether the endpoint's reports arrive in time.
    :ivar unanswered: number of renewals without an answer since the last answered one.
    :ivar leaves_at: earliest time in seconds at which the draining endpoint leaves;
        infinite while it doesn't drain or doesn't tell.
    """

    def __init__(self, now: float, deployment: Deployment = DEFAULT_DEPLOYMENT) -> None:
        self._deployment = deployment
        self.instance = ""
        self.born = 0
        self.service = ""
        self.capacity = Resources()
        self.labels: tuple[str, ...] = ()
        self.draining = False
        self.clock = EndpointClock(deployment.granted_lease_seconds)
        self.token = 0
        self.reconciled = False
        self.reporting = False
        self._has_answered = False
        self._last_report: EndpointReport | None = None
        self.leaves_at = math.inf
        self._reported_at = now
        self._cold_until = now
        self._sequence = 0
        self._is_life_proven = False
        self._chooses_token = True
        self._first_token = 0
        self._rejected_tokens = 0
        self._may_have_unknown_runs = True
        self.unanswered = 0
        self._answer_seconds = 0.0
        self._last_end_seen = 0
        self._renewals: dict[int, Renewal] = {}
        self._next_renewal = 0
        self._renew_at = now
        self._renewed_at = now
        self._confirmed_token = 0
        self._now = now
        self._unverified_report: EndpointReport | None = None
        self._kept_at = now
        self._verification: int | None = None
        self._verifications = 0

    @property
    def open(self) -> bool:
        """Whether the endpoint may get new runs."""
        ready = self.reconciled and self.reporting and not self._is_unresponsive
        return bool(self.instance) and ready and not self.draining

    @property
    def life(self) -> EndpointLife:
        """The current life of the endpoint."""
        return EndpointLife(self.instance, self.born)

    @property
    def confirmed_report(self) -> EndpointReport | None:
        """The newest report of the current life, if that life has answered a renewal.

        Before, the report may be a foreign writer's.
        """
        return self._last_report if self._has_answered else None

    @property
    def _is_unresponsive(self) -> bool:
        return self.unanswered >= MAX_UNANSWERED_RENEWALS

    def apply_report(self, report: EndpointReport, now: float) -> bool:
        """Apply a report, unless it is outdated or can't be of the current life.

        :param report: a report that needs no verification.
        :return: whether the endpoint is new or its draining state changed.
        """
        if self._is_refused(report):
            return False
        if report.instance == self.instance and not self._is_newer(report):
            return False
        first = not self.instance or not self.reporting
        changed = first or report.draining != self.draining
        self._last_report = report
        self.instance = report.instance
        self.born = self.born or report.born
        self.service = report.service
        self.capacity = report.capacity
        self.labels = report.labels
        self.draining = report.draining
        self._sequence = report.sequence
        self._reported_at = now
        self._cold_until = now + report.cold_left
        stays = math.inf if report.remaining is None else report.remaining
        self.leaves_at = now + stays
        self.reporting = True
        self.clock.update(report.clock, now)
        if self._chooses_token:
            self._chooses_token = False
            self.raise_token(now)
            self._first_token = self.token
        return changed

    def _is_refused(self, report: EndpointReport) -> bool:
        return self._is_of_earlier_life(report) or self._lacks_known_start(report)

    def _is_of_earlier_life(self, report: EndpointReport) -> bool:
        return _get_life(report).precedes(self.life)

    def _lacks_known_start(self, report: EndpointReport) -> bool:
        # An endpoint that tells when it started does so in all that it says. Without
        # it, the report is a foreign writer's.
        return (
            report.instance == self.instance
            and self._is_life_proven
            and report.born == 0
        )

    def is_cold(self, now: float) -> bool:
        """Return whether the endpoint started so recently that runs take longer."""
        return bool(self.instance) and now < self._cold_until

    def _is_newer(self, report: EndpointReport) -> bool:
        # The service never changes within a life. A report with another service comes
        # from a foreign writer; if it were accepted, its sequence number could make the
        # endpoint's own later reports look outdated.
        same_service = self.service in ("", report.service)
        return report.sequence > self._sequence and same_service

    def needs_verification(self, report: EndpointReport) -> bool:
        """Return whether a report is of another life than the current one.

        Such a report may come from a foreign writer. If it were applied immediately,
        all runs of a live endpoint would count as lost and start again elsewhere while
        they go on. So the current life is asked with a renewal. All lives have the same
        address: if the current one answers, the report is dropped, and it is applied
        if the answer comes from another life. A missing answer shows neither.
        """
        if not self.instance or self._is_refused(report):
            return False
        return report.instance != self.instance or self._is_of_later_life(report)

    def keep_for_verification(self, report: EndpointReport, now: float) -> None:
        """Keep a report until a renewal shows which life is there.

        :param report: a report that needs verification.
        """
        kept = self._unverified_report
        if kept is None or _get_life(kept) != _get_life(report):
            self._verification = None
            self._verifications = 0
        self._unverified_report = report
        self._kept_at = now

    def _is_of_later_life(self, report: EndpointReport) -> bool:
        return self.life.precedes(_get_life(report))

    def retry_verification(self, renewal: int) -> None:
        """Ask again if a renewal didn't show which life is there.

        :param renewal: number of the renewal.
        """
        if renewal == self._verification:
            self._verification = None

    @property
    def awaits_later_life(self) -> bool:
        """Whether the report to verify is of a later life under the same id."""
        report = self._unverified_report
        return report is not None and report.instance == self.instance

    def is_earlier_life(self, born: int) -> bool:
        """Return whether an answer comes from an earlier life than the current one.

        :param born: start of the life that answered; 0 if it is unknown.
        """
        answering = EndpointLife(self.instance, born)
        return self._is_life_proven and answering.precedes(self.life)

    def is_other_life(self, born: int) -> bool:
        """Return whether an answer shows that another life has begun.

        :param born: start of the life that answered; 0 if it is unknown.
        """
        return not self.life.may_be(EndpointLife(self.instance, born))

    def confirm_life(self, born: int) -> None:
        """Record which life answered.

        :param born: start of the life that answered; 0 if it is unknown.
        """
        self.born = self.born or born
        self._is_life_proven = self._is_life_proven or born != 0

    def announce_exit(self, life: EndpointLife, now: float) -> bool:
        """Close the endpoint until it answers, if the exit may be of its current life.

        An announcement ends no life: it may be another writer's, or that of an earlier
        life, delayed. The runs go on until their lease ends if nobody answers.

        :param life: the life whose exit was announced.
        :return: whether it may be the current one.
        """
        if not life.may_be(self.life):
            return False
        self.unanswered = max(self.unanswered, MAX_UNANSWERED_RENEWALS)
        self._renew_at = now
        return True

    def begin_life(self, born: int, now: float) -> EndpointReport | None:
        """Begin another life under the same id, which has answered a renewal.

        Orders to the earlier life may be carried out by the new one, which may take
        their leases for longer ones. So these count as running for as long as any
        endpoint allows, and the fencing token is raised above theirs.

        :param born: start of the new life.
        :return: the report of the new life that waited for verification, if any.
        """
        longest = self._deployment.max_lease_seconds / (1 - MAX_CLOCK_SKEW)
        lapsed_at = now + longest + LAPSE_SLACK_SECONDS
        instance, token = self.instance, self.token
        report = self.take_unverified_report()
        self.reset()
        self.clock.restart(lapsed_at)
        self.instance = instance
        self.born = born
        self.service = ""
        self.token = self._first_token = token + 1
        self._chooses_token = False
        self._sequence = -1
        self._renew_at = now
        if report is None or _get_life(report) != self.life:
            return None
        return report

    def update_clock(self, clock: int | None, token: int, now: float) -> None:
        """Update the clock from the answer to an order, unless an earlier life gave it.

        :param clock: reading of the endpoint's clock in milliseconds, if there is one.
        :param token: fencing token of the order.
        """
        if token >= self._first_token:
            self.clock.update(clock, now)

    def take_unverified_report(self) -> EndpointReport | None:
        """Return the report that waits for verification, and stop waiting."""
        report, self._unverified_report = self._unverified_report, None
        return report

    def is_verification(self, renewal: int) -> bool:
        """Return whether a renewal was sent to verify a report.

        :param renewal: number of the renewal.
        """
        return self._unverified_report is not None and renewal == self._verification

    def restore_report(self, report: EndpointReport, now: float) -> bool:
        """Apply a report stored by a previous agent, unless a newer one has arrived.

        This saves waiting for the next report. If the endpoint has restarted since, it
        refuses orders that name the boot in the stored report.

        :return: whether the report was applied.
        """
        if self.instance:
            return False
        stored = report._replace(sequence=0, clock=0, cold_left=0.0, remaining=None)
        self.apply_report(stored, now)
        # A stored clock is outdated; it must come from the endpoint itself.
        self.clock.reset()
        return True

    def reset(self) -> None:
        """Discard the state of a life of the endpoint that has ended."""
        self.instance = ""
        self.born = 0
        self._is_life_proven = False
        self._has_answered = False
        self._last_report = None
        self.draining = False
        self.clock.reset()
        # The token isn't lowered: a later life under the same id may still carry out
        # the orders to this one, and must reject them once it knows a newer token.
        self._chooses_token = True
        self._rejected_tokens = 0
        self.reconciled = False
        self.reporting = False
        self.leaves_at = math.inf
        self._may_have_unknown_runs = True
        self.unanswered = 0
        self._sequence = 0
        self._last_end_seen = 0
        self._renewals.clear()
        self._unverified_report = None
        self._verification = None
        self._confirmed_token = 0

    def expire(self, now: float) -> bool:
        """Mark the endpoint as not reporting if its reports have stopped.

        A report that waits for verification is dropped once it is as old, so that an
        endpoint that is gone isn't asked for good.

        :return: whether it was marked now.
        """
        timeout = self._deployment.report_timeout_seconds
        expired = self.reporting and now - self._reported_at > timeout
        if now - self._kept_at > timeout:
            self._unverified_report = None
        if expired:
            self.reporting = False
        return expired

    def raise_token(self, now: float) -> None:
        """Choose a fencing token higher than all earlier ones.

        A restarted agent doesn't know the earlier tokens. The endpoint's clock never
        goes back within a boot, so a token read from it is higher than any token that
        was read from it before.
        """
        self.token = max(self.token + 1, self.clock.read(now))
        self._renew_at = now

    def replace_rejected_token(self, now: float) -> None:
        """Raise a token that the endpoint has rejected, further with each rejection.

        The endpoint may know a much higher token: one of a previous agent process,
        taken from the clock of an earlier life.
        """
        self._rejected_tokens = min(self._rejected_tokens + 1, MAX_TOKEN_STEP_BITS)
        self.raise_token(now)
        self.token += (1 << self._rejected_tokens) - 2

    def record_answer_time(self, seconds: float) -> None:
        """Update the average answer time to orders."""
        self._answer_seconds += ANSWER_TIME_WEIGHT * (seconds - self._answer_seconds)

    @property
    def answer_timeout_seconds(self) -> float:
        """Seconds to wait for the answer to an order, from the average answer time."""
        timeout = ANSWER_TIMEOUT_FACTOR * self._answer_seconds
        return min(MAX_ANSWER_TIMEOUT_SECONDS, max(MIN_ANSWER_TIMEOUT_SECONDS, timeout))

    # Orders

    def make_start(self, order: StartRun, now: float, ends_by: float) -> OrderStart:
        """Build the order to start a run.

        :param ends_by: latest end of the lease, on the agent's clock in seconds.
        """
        return OrderStart(
            self.instance,
            order.task,
            order.run,
            order.payload,
            self.clock.grant(now, ends_by),
            self.token,
            order.checkpoint,
            self.answer_timeout_seconds,
        )

    def make_stop(self, task: str, run: int) -> OrderStop:
        """Build the order to stop a run."""
        return OrderStop(self.instance, task, run, self.token)

    def list_renewals(self, now: float, busy: bool, ends_by: float) -> list[RenewLease]:
        """List the lease renewals to send now.

        While something runs, one renewal is always held at the endpoint, waiting for a
        run to end. A raised token is sent immediately in a second renewal that doesn't
        wait. While nothing runs, renewals are sent only to find out whether an
        unresponsive endpoint answers again.

        :param busy: whether runs use capacity of the endpoint.
        :param ends_by: latest end of the lease, on the agent's clock in seconds.
        """
        self._now = now
        if not self.instance:
            return []
        if self._must_verify(now, busy):
            verification = self._renew(now, 0, ends_by)
            self._verification = verification.renewal
            self._verifications = min(self._verifications + 1, MAX_VERIFICATIONS)
            return [verification]
        if now < self._renew_at:
            return []
        urgent = self.token > self._confirmed_token
        if urgent:
            if any(each.token == self.token for each in self._renewals.values()):
                return []
            return [self._renew(now, 0, ends_by)]
        if self._renewals:
            return []
        if busy:
            return [self._renew(now, int(RENEWAL_WAIT_SECONDS * 1000), ends_by)]
        if self._must_retry_idle(now):
            return [self._renew(now, 0, ends_by)]
        return []

    def _must_verify(self, now: float, busy: bool) -> bool:
        if self._unverified_report is None or self._verification is not None:
            return False
        if not self._verifications:
            return True
        return now >= self._renew_at if busy else now >= self._verify_at

    @property
    def _verify_at(self) -> float:
        # A boot may report shortly before it answers; one that is gone never will.
        delay = RENEWAL_RETRY_SECONDS * 2**self._verifications
        return self._renewed_at + min(delay, IDLE_RETRY_SECONDS)

    def _must_retry_idle(self, now: float) -> bool:
        is_due = self._is_idle_retry_due(now)
        return self.reporting and self._is_unresponsive and is_due

    def _is_idle_retry_due(self, now: float) -> bool:
        return now - self._renewed_at >= IDLE_RETRY_SECONDS

    def _renew(self, now: float, wait_ms: int, ends_by: float) -> RenewLease:
        self._next_renewal += 1
        number = self._next_renewal
        # Runs started by a previous agent process must not be kept alive by this
        # agent's lease. An endpoint that doesn't answer gets no extension either,
        # because its runs only count as lost once the last lease has ended.
        extends_lease = not self._may_have_unknown_runs and not self._is_unresponsive
        until = (
            self.clock.grant(now, ends_by) if extends_lease and ends_by > now else None
        )
        self._renewals[number] = Renewal(self.token, now)
        self._renewed_at = now
        return RenewLease(
            number,
            self.instance,
            until,
            self.token,
            self._choose_acknowledged_end(),
            wait_ms,
            self.answer_timeout_seconds,
        )

    def _choose_acknowledged_end(self) -> int:
        # If another life answers, it would forget its own ends up to this number.
        is_doubtful = self.unanswered or self._unverified_report is not None
        return 0 if self.born and is_doubtful else self._last_end_seen

    def pop_renewal(self, number: int) -> "Renewal | None":
        """Remove and return a renewal in flight; ``None`` if it is not known."""
        return self._renewals.pop(number, None)

    def postpone_renewal(self, now: float) -> None:
        """Count a failed renewal and delay the next one."""
        self.unanswered += 1
        self._renew_at = now + RENEWAL_RETRY_SECONDS

    def confirm_renewal(self, renewal: "Renewal") -> None:
        """Record that the endpoint answered a renewal and so knows its token."""
        self._has_answered = True
        self.unanswered = 0
        self._rejected_tokens = 0
        self._confirmed_token = max(self._confirmed_token, renewal.token)

    def record_end(self, number: int) -> bool:
        """Record the end of a run; return ``False`` if it was handled before.

        :param number: the endpoint's sequence number of the end.
        """
        if number <= self._last_end_seen:
            return False
        self._last_end_seen = number
        return True

    def stop_unknown_runs(
        self, unknown_runs: list[UnknownRun], now: float
    ) -> list[OrderStop]:
        """Build stop orders for runs started by a previous agent process.

        The endpoint is reconciled once it lists no such run.
        """
        self.reconciled = not unknown_runs
        if not unknown_runs:
            self._may_have_unknown_runs = False
            return []
        self._renew_at = now + RENEWAL_RETRY_SECONDS
        self._confirmed_token = 0
        return [self.make_stop(each.task, each.run) for each in unknown_runs]

    def has_lapsed(self, now: float) -> bool:
        """Return whether every lease granted so far has ended."""
        return self.clock.known and now > self.clock.lapsed_at

    def next_wakeup(self) -> float:
        """Return the time at which a renewal or a check of the leases is due."""
        if self.instance and self._renew_at > self._now:
            return self._renew_at
        check_at = self._now + self._deployment.granted_lease_seconds / 4
        if self._unverified_report is None or self._verification is not None:
            return check_at
        return min(check_at, self._verify_at)


class Renewal(NamedTuple):
    """A renewal in flight.

    :param token: fencing token it carries.
    :param issued_at: time it was sent, in seconds.
    """

    token: int
    issued_at: float


def _get_life(report: EndpointReport) -> EndpointLife:
    return EndpointLife(report.instance, report.born)
