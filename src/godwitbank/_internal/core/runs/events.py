"""Events and actions of the cores that deal with leased runs.

Streams, ticks and sending are shared with the other cores; see
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
    """A caller handed over a job.

    :param caller: the shell's number of the request.
    :param timeout_seconds: seconds the caller waits for the result.
    """

    caller: int
    spec: JobSpec
    timeout_seconds: float


class CallerDisconnected(NamedTuple):
    """A caller hung up before its result."""

    caller: int


class JobCancelled(NamedTuple):
    """A caller asked for a job to be cancelled."""

    job: str


class ConfigurationRead(NamedTuple):
    """A configuration was read from the store."""

    configuration: Configuration


class EvacuationRead(NamedTuple):
    """Which availability zones are evacuated was read from the store."""

    evacuation: Evacuation


class AddressesRead(NamedTuple):
    """Stream addresses of entries were read from the store or the settings."""

    addresses: tuple[str, ...]


class LagMeasured(NamedTuple):
    """The event loop of this process was late, by some seconds."""

    seconds: float


class ReportReceived(NamedTuple):
    """The endpoint reported about itself."""

    report: EndpointReport


class StoredReportRead(NamedTuple):
    """The endpoint's last report, as kept in the store by a former agent."""

    report: EndpointReport


class EndpointExiting(NamedTuple):
    """The endpoint said that it ends now."""

    instance: str


class StartAnswered(NamedTuple):
    """An endpoint's answer to an order to start, or that there was none.

    :param verdict: a ``StartVerdict``.
    :param token: fencing token the order carried.
    :param clock: the endpoint's clock in milliseconds, or ``None``.
    """

    task: str
    run: int
    verdict: str
    token: int
    clock: int | None


class RenewalAnswered(NamedTuple):
    """An endpoint's answer to a lease renewal.

    :param renewal: number of the ``RenewLease`` it answers.
    """

    renewal: int
    running: tuple[ListedRun, ...]
    ended: tuple[ListedEnd, ...]
    clock: int
    instance: str


class RenewalFailed(NamedTuple):
    """A lease renewal was refused or not answered.

    :param verdict: a ``HoldVerdict``.
    :param clock: the endpoint's clock in milliseconds, or ``None``.
    """

    renewal: int
    verdict: str
    clock: int | None


class OrderStart(NamedTuple):
    """Order the endpoint to start a run.

    :param lease_until: end of the lease in milliseconds of the endpoint's clock.
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
    """Order the endpoint to stop a run."""

    instance: str
    task: str
    run: int
    token: int


class RenewLease(NamedTuple):
    """Renew the lease of all that runs, and learn what runs and what ended.

    :param lease_until: as in ``OrderStart``; ``None`` renews nothing.
    :param seen: number of the last end that was dealt with.
    :param wait: milliseconds the endpoint may wait for an end.
    :param timeout_seconds: seconds to wait for the answer beyond that.
    """

    renewal: int
    instance: str
    lease_until: int | None
    token: int
    seen: int
    wait: int
    timeout_seconds: float


class StoreReport(NamedTuple):
    """Keep a report in the store, for an agent that is started anew."""

    report: EndpointReport


class AnswerCaller(NamedTuple):
    """Tell a caller the result of its job."""

    caller: int
    result: JobResult


class LogDecision(NamedTuple):
    """Write one decision to the log.

    :param request: the job or task it is about, or an empty string.
    """

    event: str
    request: str
    fields: dict[str, object]


class ShutdownComplete(NamedTuple):
    """Nothing is left to do; a stopping process may exit."""


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
