"""What the shells tell the cores, and what the cores ask of the shells."""

from typing import NamedTuple

from godwitbank._internal.models.messages import Hello, Message, Welcome
from godwitbank._internal.models.outcomes import Outcome
from godwitbank._internal.models.tasks import Submission, TaskKey


class StreamOpened(NamedTuple):
    """The other side of a stream introduced itself.

    :param stream: the shell's number for the stream, never used again.
    """

    stream: int
    greeting: Hello | Welcome
    address: str = ""


class StreamClosed(NamedTuple):
    """A stream ended or could not be opened."""

    stream: int
    address: str = ""


class Received(NamedTuple):
    """A message arrived on an open stream."""

    stream: int
    message: Message


class Tick(NamedTuple):
    """Time passed; due timers may act."""


class Submitted(NamedTuple):
    """A caller handed over a job or a request."""

    submission: Submission


class CallerDisconnected(NamedTuple):
    """A caller hung up before its answer."""

    submission: str


class ClaimsWritten(NamedTuple):
    """The table committed a batch of claims.

    :param lost: keys held by others, with the holder's token.
    :param written: the key of each token of the batch.
    """

    batch: int
    lost: dict[str, str]
    written: dict[str, str]


class ClaimsFailed(NamedTuple):
    """The table gave no answer to a batch of claims; it may have committed."""

    batch: int


class DocumentRead(NamedTuple):
    """A document was read from the table or accepted by it."""

    service: str
    revision: int
    text: str


class TableRead(NamedTuple):
    """A whole read of the table's revisions succeeded."""


class StopRequested(NamedTuple):
    """An orderly stop of the process was asked for."""


class DrainRequested(NamedTuple):
    """An operator wants an agent to leave.

    :param request: the shell's number for the request.
    """

    agent: str
    operator: str


class EndpointAnnounced(NamedTuple):
    """The endpoint announced itself or renewed.

    :param lease: seconds until it counts as gone without another renewal.
    :param instance: the endpoint's own name for this run of its process.
    """

    service: str
    slots: int
    lease: float
    instance: str = "endpoint"


class EndpointLeft(NamedTuple):
    """The endpoint said it is leaving."""


class RunEnded(NamedTuple):
    """The endpoint's call for a started task ended."""

    key: TaskKey
    ending: str
    status: int
    content_type: str
    body: bytes
    run_time: float


class Send(NamedTuple):
    """Write a message to a stream."""

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
    """Answer a caller."""

    outcome: Outcome


class WriteClaims(NamedTuple):
    """Commit claims in one transaction.

    :param supersedes: for some keys, the token that may be replaced.
    """

    batch: int
    claims: dict[str, str]
    supersedes: dict[str, str]


class ReleaseClaims(NamedTuple):
    """Delete claims that still hold these tokens; best effort."""

    claims: dict[str, str]


class RunTask(NamedTuple):
    """Call the endpoint for a task that has just been started."""

    key: TaskKey
    class_name: str
    request_id: str
    payload: bytes
    timeout: float


class Drained(NamedTuple):
    """Nothing is left to do; the process may exit."""


Action = (
    Send | CloseStream | Dial | Reply | WriteClaims | ReleaseClaims | RunTask | Drained
)
