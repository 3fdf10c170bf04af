"""Events that the I/O layer passes to the cores, and the actions cores return."""

from typing import NamedTuple

from godwitbank._internal.models.messages import Hello, Message, Welcome
from godwitbank._internal.models.outcomes import Outcome
from godwitbank._internal.models.tasks import Submission, TaskKey


class StreamOpened(NamedTuple):
    """The remote side of a stream sent its greeting.

    :param stream: number that the I/O layer gave the stream; never reused.
    :param greeting: ``Welcome`` from an agent that was dialled, else ``Hello``.
    :param address: address that was dialled; empty for an inbound stream.
    """

    stream: int
    greeting: Hello | Welcome
    address: str = ""


class StreamClosed(NamedTuple):
    """A stream ended or could not be opened.

    :param stream: number of the stream; 0 when a dial failed.
    :param address: address that was dialled, when a dial failed.
    """

    stream: int
    address: str = ""


class Received(NamedTuple):
    """A message arrived on an open stream."""

    stream: int
    message: Message


class MessageDropped(NamedTuple):
    """A message wasn't sent, as it can't be encoded.

    :param reason: why, for the log.
    """

    stream: int
    message: Message
    reason: str


class Tick(NamedTuple):
    """Time has passed; timers that are due are handled."""


class Submitted(NamedTuple):
    """A caller submitted a job or a request."""

    submission: Submission


class CallerDisconnected(NamedTuple):
    """A caller disconnected before its answer was sent."""

    submission: str


class ClaimsWritten(NamedTuple):
    """The table committed a batch of claims.

    :param batch: number of the batch.
    :param lost: keys that are held by other tasks, with the token that holds each.
    :param written: token of each claim in the batch, with its key.
    """

    batch: int
    lost: dict[str, str]
    written: dict[str, str]


class ClaimsFailed(NamedTuple):
    """The table didn't answer a batch of claims; it may have committed it."""

    batch: int


class DocumentRead(NamedTuple):
    """A service document was read from the table or accepted by it."""

    service: str
    revision: int
    text: str


class TableRead(NamedTuple):
    """All document revisions in the table were read successfully."""


class StopRequested(NamedTuple):
    """A graceful shutdown of the process was requested."""


class DrainRequested(NamedTuple):
    """An operator requested that an agent drain.

    :param agent: name of the agent's process.
    :param operator: name of the operator, passed on to the agent.
    """

    agent: str
    operator: str


class EndpointAnnounced(NamedTuple):
    """The endpoint announced itself or renewed its lease.

    :param slots: tasks that the endpoint runs at once.
    :param lease: seconds after which the endpoint counts as gone unless it renews.
    :param instance: name that the endpoint chose for this run of its process.
    """

    service: str
    slots: int
    lease: float
    instance: str = "endpoint"


class EndpointLeft(NamedTuple):
    """The endpoint announced that it is leaving."""


class RunEnded(NamedTuple):
    """The call to the endpoint for a started task ended.

    :param ending: value of ``Ending``.
    :param status: HTTP status of the endpoint's response.
    :param run_time: seconds that the call took.
    """

    key: TaskKey
    ending: str
    status: int
    content_type: str
    body: bytes
    run_time: float


class Send(NamedTuple):
    """Send a message on a stream."""

    stream: int
    message: Message


class CloseStream(NamedTuple):
    """Close a stream."""

    stream: int
    reason: str


class Dial(NamedTuple):
    """Open a stream to an address."""

    address: str


class Reply(NamedTuple):
    """Send a submission's outcome to its caller."""

    outcome: Outcome


class WriteClaims(NamedTuple):
    """Write claims to the table in one transaction.

    :param batch: number of the batch, returned with its result.
    :param claims: token to write for each key.
    :param supersedes: for some of the keys, a token that may be replaced.
    """

    batch: int
    claims: dict[str, str]
    supersedes: dict[str, str]


class ReleaseClaims(NamedTuple):
    """Delete the claims that still hold these tokens; best effort."""

    claims: dict[str, str]


class RunTask(NamedTuple):
    """Call the endpoint for a task that was just started.

    :param timeout: seconds until the call is given up.
    """

    key: TaskKey
    class_name: str
    request_id: str
    payload: bytes
    timeout: float


class Drained(NamedTuple):
    """All work and acknowledgements are complete; the process may exit."""


Action = (
    Send | CloseStream | Dial | Reply | WriteClaims | ReleaseClaims | RunTask | Drained
)
