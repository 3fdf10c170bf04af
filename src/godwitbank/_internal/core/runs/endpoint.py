"""What an agent believes of the endpoint beside it, and the orders it gives."""

from typing import NamedTuple

from godwitbank._internal.core.runs.deployment import DEFAULT_DEPLOYMENT, Deployment
from godwitbank._internal.core.runs.events import OrderStart, OrderStop, RenewLease
from godwitbank._internal.core.runs.lease import EndpointClock
from godwitbank._internal.models.jobs import EndpointReport
from godwitbank._internal.models.resources import Resources
from godwitbank._internal.models.run_messages import StartRun

RENEWAL_WAIT_SECONDS = 0.12
"""Seconds an endpoint may hold a renewal back to answer with an end.

An end whose renewal's answer is lost is told this much later; short tasks run
for 0.1 s. Several renewals in a row may get lost within the longest lease.
"""

MIN_ANSWER_TIMEOUT_SECONDS = 0.06
MAX_ANSWER_TIMEOUT_SECONDS = 0.3
"""Seconds to wait for the answer to an order. One that doesn't come holds its room
until it is certain that the order is void. The upper bound leaves time for three tries
within a lease."""

ANSWER_TIMEOUT_FACTOR = 6.0
"""Multiple of the usual answer time: a VM that is slowed five times must not
make the agent doubt every order."""

ANSWER_TIME_WEIGHT = 0.1
"""Weight of the newest answer time in the usual one."""

RENEWAL_RETRY_SECONDS = 0.03
"""Seconds before a renewal that failed is tried again."""

MAX_UNANSWERED_RENEWALS = 2
"""Renewals without an answer after which an endpoint gets nothing new."""


class UnknownRun(NamedTuple):
    """A run that the endpoint has and this agent didn't start."""

    task: str
    run: int


class ReportChange(NamedTuple):
    """What a report changed.

    :param replaced: another boot of the endpoint reports now.
    """

    changed: bool
    replaced: bool


class Endpoint:
    """Identity, clock, lease and fencing token of one endpoint."""

    def __init__(self, now: float, deployment: Deployment = DEFAULT_DEPLOYMENT) -> None:
        self._deployment = deployment
        self.instance = ""
        self.service = ""
        self.capacity = Resources()
        self.labels: tuple[str, ...] = ()
        self.draining = False
        self.clock = EndpointClock(deployment.granted_lease_seconds)
        self.token = 0
        self.reconciled = False
        self.reporting = False
        self._reported_at = now
        self._cold_until = now
        self._sequence = 0
        self._former: set[str] = set()
        self._inherits = True
        self._unanswered = 0
        self._answer_time = 0.0
        self._seen = 0
        self._renewals: dict[int, Renewal] = {}
        self._next_renewal = 0
        self._renew_at = now
        self._confirmed_token = 0
        self._now = now
        self._successor: EndpointReport | None = None
        self._probe: int | None = None

    @property
    def open(self) -> bool:
        """Whether it may get new runs."""
        ready = (
            self.reconciled
            and self.reporting
            and self._unanswered < MAX_UNANSWERED_RENEWALS
        )
        return bool(self.instance) and ready and not self.draining

    def apply_report(self, report: EndpointReport, now: float) -> ReportChange:
        """Take a report; one of an earlier boot that was delayed is ignored."""
        if report.instance in self._former:
            return ReportChange(False, False)
        replaced = self.instance not in ("", report.instance)
        if replaced:
            self.reset()
        if report.instance == self.instance and not self._is_news(report):
            return ReportChange(False, False)
        first = not self.instance or not self.reporting
        changes = first or report.draining != self.draining
        self.instance = report.instance
        self.service = report.service
        self.capacity = report.capacity
        self.labels = report.labels
        self.draining = report.draining
        self._sequence = report.sequence
        self._reported_at = now
        self._cold_until = now + report.cold_left
        self.reporting = True
        self.clock.update(report.clock, now)
        if not self.token:
            self.raise_token(now)
        return ReportChange(changes, replaced)

    def is_cold(self, now: float) -> bool:
        """Tell whether runs still take longer here after the endpoint's start."""
        return bool(self.instance) and now < self._cold_until

    def _is_news(self, report: EndpointReport) -> bool:
        # The service never changes within a boot; another one was written by
        # somebody else, and its sequence must not hide the endpoint's own reports.
        return report.sequence > self._sequence and report.service == self.service

    def needs_verification(self, report: EndpointReport) -> bool:
        """Tell whether a report of another boot has to be proved first.

        Somebody else may have sent it. Believed at once, it would end all runs of a
        sound endpoint, which would then count as a former boot for ever. The present
        boot is asked: what answers in its place says that it is another.
        """
        if not self.reconciled or report.instance in (self.instance, *self._former):
            return False
        if self._successor is None:
            self._probe = None
        self._successor = report
        return True

    def take_unverified_report(self) -> EndpointReport | None:
        """Take the report that waits for proof."""
        successor, self._successor = self._successor, None
        return successor

    def is_verification(self, renewal: int) -> bool:
        """Tell whether a renewal was sent to prove a report."""
        return self._successor is not None and renewal == self._probe

    def restore_report(self, report: EndpointReport, now: float) -> bool:
        """Take a report that a former agent kept, unless a newer one came.

        Saves the wait for the next report. If the endpoint was booted anew, it
        turns orders away that name the boot recalled.
        """
        if self.instance:
            return False
        recalled = report._replace(sequence=0, clock=0, cold_left=0.0)
        self.apply_report(recalled, now)
        # Its clock must come from the endpoint itself.
        self.clock.reset()
        return True

    def reset(self) -> None:
        """Forget a boot of the endpoint that has ended."""
        if self.instance:
            self._former.add(self.instance)
        self.instance = ""
        self.draining = False
        self.clock.reset()
        self.token = 0
        self.reconciled = False
        self.reporting = False
        self._inherits = True
        self._unanswered = 0
        self._sequence = 0
        self._seen = 0
        self._renewals.clear()
        self._confirmed_token = 0

    def expire(self, now: float) -> bool:
        """Stop offering an endpoint that has not reported for long."""
        if (
            self.reporting
            and now - self._reported_at > self._deployment.report_timeout_seconds
        ):
            self.reporting = False
            return True
        return False

    def raise_token(self, now: float) -> None:
        """Choose a token above all before it.

        A restarted agent knows no former token; the endpoint's clock rises
        within its boot, so a token taken from it is above any taken earlier.
        """
        self.token = max(self.token + 1, self.clock.read(now))
        self._renew_at = now

    def record_answer_time(self, seconds: float) -> None:
        """Note how long an answer to an order took."""
        self._answer_time += ANSWER_TIME_WEIGHT * (seconds - self._answer_time)

    @property
    def answer_timeout_seconds(self) -> float:
        """Seconds to wait for the answer to an order."""
        usual = ANSWER_TIMEOUT_FACTOR * self._answer_time
        return min(MAX_ANSWER_TIMEOUT_SECONDS, max(MIN_ANSWER_TIMEOUT_SECONDS, usual))

    # Orders

    def make_start(self, order: StartRun, now: float, ends_by: float) -> OrderStart:
        """Make the order to start a run.

        :param ends_by: when everything here must be over unless it is renewed.
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
        """Make the order to stop a run."""
        return OrderStop(self.instance, task, run, self.token)

    def list_renewals(self, now: float, busy: bool, ends_by: float) -> list[RenewLease]:
        """List the lease renewals to send now.

        One waits at the endpoint for an end at any time while something runs;
        a raised token is made known at once by a second that doesn't wait.

        :param ends_by: when everything here must be over unless it is renewed again.
        """
        self._now = now
        if not self.instance:
            return []
        if self._successor is not None and self._probe is None:
            probe = self._renew(now, 0, ends_by)
            self._probe = probe.renewal
            return [probe]
        if now < self._renew_at:
            return []
        urgent = self.token > self._confirmed_token
        if urgent:
            if any(each.token == self.token for each in self._renewals.values()):
                return []
            return [self._renew(now, 0, ends_by)]
        if not busy or self._renewals:
            return []
        return [self._renew(now, int(RENEWAL_WAIT_SECONDS * 1000), ends_by)]

    def _renew(self, now: float, wait: int, ends_by: float) -> RenewLease:
        self._next_renewal += 1
        number = self._next_renewal
        # What a former agent started must not live on by this agent's lease. And
        # an endpoint that doesn't answer gets no longer lease: the last one must
        # run out before its runs count as lost.
        grants = not self._inherits and self._unanswered < MAX_UNANSWERED_RENEWALS
        until = self.clock.grant(now, ends_by) if grants and ends_by > now else None
        self._renewals[number] = Renewal(self.token, now)
        return RenewLease(
            number,
            self.instance,
            until,
            self.token,
            self._seen,
            wait,
            self.answer_timeout_seconds,
        )

    def pop_renewal(self, number: int) -> "Renewal | None":
        """Take a renewal off those under way."""
        return self._renewals.pop(number, None)

    def postpone_renewal(self, now: float) -> None:
        """Wait a little after a failure."""
        self._unanswered += 1
        self._renew_at = now + RENEWAL_RETRY_SECONDS

    def confirm_renewal(self, renewal: "Renewal") -> None:
        """Note that the endpoint answered a renewal."""
        self._unanswered = 0
        self._confirmed_token = max(self._confirmed_token, renewal.token)

    def record_end(self, number: int) -> bool:
        """Note an end; ``False`` if it was dealt with before."""
        if number <= self._seen:
            return False
        self._seen = number
        return True

    def stop_unknown_runs(
        self, strangers: list[UnknownRun], now: float
    ) -> list[OrderStop]:
        """Stop what a former agent started; without any, the endpoint is settled."""
        self.reconciled = not strangers
        if not strangers:
            self._inherits = False
            return []
        self._renew_at = now + RENEWAL_RETRY_SECONDS
        self._confirmed_token = 0
        return [self.make_stop(each.task, each.run) for each in strangers]

    def has_lapsed(self, now: float) -> bool:
        """Tell whether every lease ever granted has run out."""
        return self.clock.known and now > self.clock.lapsed_at

    def next_wakeup(self) -> float:
        """Tell when something here is due."""
        if self.instance and self._renew_at > self._now:
            return self._renew_at
        return self._now + self._deployment.granted_lease_seconds / 4


class Renewal(NamedTuple):
    """A renewal under way: the token it carried and when it was sent."""

    token: int
    issued_at: float
