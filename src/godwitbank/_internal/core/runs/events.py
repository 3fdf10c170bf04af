"""Input events and output actions of the entry and agent cores for leased runs.

The I/O layer passes events to a core and performs the actions that the core returns.
Events and actions for streams and timers are shared with the other cores; see
``godwitbank._internal.core.events``.
"""

from typing import NamedTuple

from godwitbank._internal.core.events import CloseStream, Dial, Send
from godwitbank._internal.models.jobs import (
    Configuration,
    EndpointReport,
    Evacuation,
    JobResult,
    JobSpec,
    ListedEnd,
    ListedRun,
)


class JobSubmitted(NamedTuple):
    """A caller submitted a job.

    :param caller: number that the I/O layer assigned to the request.
    :param timeout_seconds: seconds the caller waits for the result.
    """

    caller: int
    spec: JobSpec
    timeout_seconds: float


class CallerDisconnected(NamedTuple):
    """A caller closed its connection before it got the result."""

    caller: int


class JobCancelled(NamedTuple):
    """A caller requested the cancellation of a job."""

    job: str


class ConfigurationRead(NamedTuple):
    """The I/O layer read a configuration from the store."""

    configuration: Configuration


class EvacuationRead(NamedTuple):
    """The I/O layer read the set of evacuated availability zones from the store."""

    evacuation: Evacuation


class AddressesRead(NamedTuple):
    """The I/O layer read stream addresses of entries from the store or the settings."""

    addresses: tuple[str, ...]


class LagMeasured(NamedTuple):
    """The I/O layer measured the lag of the event loop.

    :param seconds: how late the loop ran a scheduled callback.
    """

    seconds: float


class ReportReceived(NamedTuple):
    """The endpoint sent a report about its state."""

    report: EndpointReport


class StoredReportRead(NamedTuple):
    """The endpoint's last report was read back from the store.

    The agent's previous process stored it there.
    """

    report: EndpointReport


class EndpointExiting(NamedTuple):
    """The endpoint announced that its process exits now.

    :param born: Unix time of the endpoint's start in milliseconds; 0 if it is unknown.
    """

    instance: str
    born: int = 0


class StartAnswered(NamedTuple):
    """An endpoint answered an order to start a run, or the call failed.

    :param verdict: a ``StartVerdict``.
    :param token: fencing token of the order.
    :param clock: the endpoint's clock in milliseconds; ``None`` if it is unknown.
    """

    task: str
    run: int
    verdict: str
    token: int
    clock: int | None


class RenewalAnswered(NamedTuple):
    """An endpoint accepted a lease renewal and listed its runs.

    :param renewal: number of the ``RenewLease`` that this answers.
    :param running: runs that have not ended.
    :param ended: runs that have ended.
    :param clock: the endpoint's clock in milliseconds.
    :param born: Unix time of the endpoint's start in milliseconds; 0 if it is unknown.
    """

    renewal: int
    running: tuple[ListedRun, ...]
    ended: tuple[ListedEnd, ...]
    clock: int
    instance: str
    born: int = 0


class RenewalFailed(NamedTuple):
    """An endpoint refused a lease renewal, or the call failed.

    :param verdict: a ``RenewalVerdict``.
    :param clock: the endpoint's clock in milliseconds; ``None`` if it is unknown.
    """

    renewal: int
    verdict: str
    clock: int | None


class OrderStart(NamedTuple):
    """Orders the endpoint to start a run.

    :param lease_until: end of the lease, in milliseconds of the endpoint's clock.
    :param token: fencing token.
    :param timeout_seconds: seconds to wait for the answer.
    """

    instance: str
    task: str
    run: int
    payload: str
    lease_until: int
    token: int
    checkpoint: str
    timeout_seconds: float


class OrderStop(NamedTuple):
    """Orders the endpoint to stop a run."""

    instance: str
    task: str
    run: int
    token: int


class RenewLease(NamedTuple):
    """Renews the lease of all runs of the endpoint and requests their state.

    The endpoint's answer lists the runs in progress and those that have ended.

    :param lease_until: as in ``OrderStart``; ``None`` renews no lease.
    :param seen: number of the last ended run that the agent has processed.
    :param wait: milliseconds for which the endpoint may delay its answer until a run
        ends (long poll).
    :param timeout_seconds: seconds to wait for the answer, in addition to ``wait``.
    """

    renewal: int
    instance: str
    lease_until: int | None
    token: int
    seen: int
    wait: int
    timeout_seconds: float


class StoreReport(NamedTuple):
    """Stores the endpoint's report, so that a restarted agent can read it back."""

    report: EndpointReport


class AnswerCaller(NamedTuple):
    """Answers a caller with the result of its job."""

    caller: int
    result: JobResult


class LogDecision(NamedTuple):
    """Writes one decision to the decision log.

    :param request: the job or task concerned; empty if there is none.
    """

    event: str
    request: str
    fields: dict[str, object]


class ShutdownComplete(NamedTuple):
    """Tells the I/O layer that no work is left; a stopping process may exit."""


RunAction = (
    Send
    | CloseStream
    | Dial
    | OrderStart
    | OrderStop
    | RenewLease
    | StoreReport
    | AnswerCaller
    | LogDecision
    | ShutdownComplete
)
