"""Messages between godwitbank's own processes.

Every message is a flat ``NamedTuple`` of scalars and lists, so that the codec
needs no reflection per frame. The order of ``REGISTRY`` is part of the wire
protocol: add new messages at the end, and raise ``PROTOCOL_VERSION`` when the
meaning of a message changes.
"""

from enum import StrEnum
from typing import NamedTuple

from godwitbank._internal.models.run_messages import (
    Acquire,
    Acquired,
    Alive,
    Claim,
    Claimed,
    EndpointNews,
    EntryPulse,
    Evacuated,
    Forward,
    Forwarded,
    Holding,
    Join,
    Locate,
    Located,
    Probe,
    Pulse,
    Release,
    Reserve,
    Room,
    Rules,
    RunBegun,
    RunDoomed,
    RunOutcome,
    RunSlow,
    StartRun,
    StopRun,
    Took,
    Withdraw,
    Yield,
    Yielded,
)
from godwitbank._internal.models.tasks import TaskKey

PROTOCOL_VERSION = 7


class Refusal(StrEnum):
    """Why an agent refused a start: the attempt never started and is fenced."""

    BUSY = "busy"
    LEAVING = "leaving"
    STALE = "stale"
    LAPSED = "lapsed"
    NO_ENDPOINT = "no_endpoint"
    WRONG_INCARNATION = "wrong_incarnation"
    WRONG_SERVICE = "wrong_service"
    FENCED = "fenced"
    DUPLICATE = "duplicate"
    CANCELLED = "cancelled"


class Verdict(StrEnum):
    """What an agent reports about an earlier start."""

    FENCED = "fenced"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"


class Ending(StrEnum):
    """How a started task ended."""

    ANSWERED = "answered"
    ENDPOINT_FAILED = "endpoint_failed"
    TIMED_OUT = "timed_out"


class Role(StrEnum):
    """Kind of process at the other end of a stream."""

    ENTRY = "entry"
    AGENT = "agent"


class Hello(NamedTuple):
    """First frame from the side that opened the stream.

    :param address: ``host:port`` where the sender accepts streams.
    """

    version: int
    role: str
    process: str
    incarnation: str
    address: str
    zone: str


class Welcome(NamedTuple):
    """An agent's reply to an entry's ``Hello``.

    :param clock: the agent's monotonic clock, in seconds.
    """

    version: int
    process: str
    incarnation: str
    zone: str
    clock: float


class Start(NamedTuple):
    """Start one task once, no later than ``start_by`` on the agent's clock.

    :param timeout: seconds in which the endpoint must answer.
    """

    key: TaskKey
    incarnation: str
    service: str
    class_name: str
    request_id: str
    start_by: float
    timeout: float
    payload: bytes


class Finished(NamedTuple):
    """A started task ended.

    :param run_time: seconds that the endpoint took.
    :param free_slots: slots that the receiving entry may use now.
    :param starts_received: starts received on this stream so far.
    """

    key: TaskKey
    ending: str
    status: int
    content_type: str
    body: bytes
    run_time: float
    free_slots: int
    starts_received: int


class Refused(NamedTuple):
    """The attempt was not started and never will be."""

    key: TaskKey
    reason: str
    free_slots: int
    starts_received: int


class Cancel(NamedTuple):
    """Cancel this attempt if it hasn't started."""

    key: TaskKey


class Resolve(NamedTuple):
    """Ask for the state of a start that was sent on an earlier stream.

    :param start_by: the time limit of that start, on the agent's clock.
    """

    key: TaskKey
    incarnation: str
    start_by: float


class Resolved(NamedTuple):
    """Answer to ``Resolve``; after a ``FINISHED`` verdict, ``Finished`` follows."""

    key: TaskKey
    verdict: str


class Want(NamedTuple):
    """An entry's demand for this agent's service.

    :param waiting: number of waiting tasks.
    :param rank_in: seconds from now to the rank of the most urgent of them;
        smaller is more urgent.
    """

    waiting: int
    rank_in: float


class Load(NamedTuple):
    """How many slots the receiving entry may use now.

    :param starts_received: starts received on this stream so far, so that the
        entry can subtract those still in transit.
    """

    free_slots: int
    starts_received: int


class EndpointState(NamedTuple):
    """The state of an agent's endpoint.

    :param service: empty until an endpoint has announced itself.
    """

    service: str
    slots: int
    leaving: bool


class Heartbeat(NamedTuple):
    """Sent both ways on every stream, whether or not there is other traffic.

    :param clock: sender's monotonic clock, in seconds.
    :param digest: checksum of the service revisions that the sender has.
    :param acknowledged: count of ``Finished`` frames received on this stream.
    :param failure_rate: share of recent submissions that failed at the sender's
        endpoint, 0 to 1; only from agents.
    """

    clock: float
    digest: int
    acknowledged: int
    failure_rate: float
    free_slots: int
    starts_received: int


class Revisions(NamedTuple):
    """Every service revision that the sender has, as ``[service, revision]``."""

    held: list[list[str | int]]


class Document(NamedTuple):
    """An accepted service document."""

    service: str
    revision: int
    text: str


class Peers(NamedTuple):
    """Addresses of the entries and agents that the sender knows."""

    entries: list[str]
    agents: list[str]


class PeerLoad(NamedTuple):
    """An entry's load for one service, as sent to the other entries.

    :param backlog_seconds: seconds of work that is waiting.
    :param demand: starts per second, both admitted and refused.
    """

    service: str
    backlog_seconds: float
    demand: float


class Drain(NamedTuple):
    """An operator's request that the agent drain."""

    operator: str


class Recall(NamedTuple):
    """Ask whether an agent has a record of a non-idempotent request."""

    service: str
    request_id: str


class Recalled(NamedTuple):
    """Answer to ``Recall``; the other fields are set if ``verdict`` is finished."""

    service: str
    request_id: str
    verdict: str
    ending: str
    status: int
    content_type: str
    body: bytes


class Goodbye(NamedTuple):
    """The sender is about to close this stream deliberately."""

    reason: str


Message = (
    Hello
    | Welcome
    | Start
    | Finished
    | Refused
    | Cancel
    | Resolve
    | Resolved
    | Want
    | Load
    | EndpointState
    | Heartbeat
    | Revisions
    | Document
    | Peers
    | PeerLoad
    | Drain
    | Recall
    | Recalled
    | Goodbye
    | StartRun
    | StopRun
    | RunOutcome
    | Holding
    | EndpointNews
    | Room
    | Pulse
    | Alive
    | Rules
    | Took
    | Yield
    | Yielded
    | RunBegun
    | Claim
    | Claimed
    | RunSlow
    | Locate
    | Located
    | Forward
    | Forwarded
    | Withdraw
    | Evacuated
    | Probe
    | Acquire
    | Acquired
    | Release
    | Join
    | Reserve
    | EntryPulse
    | RunDoomed
)

REGISTRY: tuple[type[Message], ...] = (
    Hello,
    Welcome,
    Start,
    Finished,
    Refused,
    Cancel,
    Resolve,
    Resolved,
    Want,
    Load,
    EndpointState,
    Heartbeat,
    Revisions,
    Document,
    Peers,
    PeerLoad,
    Drain,
    Recall,
    Recalled,
    Goodbye,
    StartRun,
    StopRun,
    RunOutcome,
    Holding,
    EndpointNews,
    Room,
    Pulse,
    Rules,
    Took,
    Yield,
    Yielded,
    RunBegun,
    Claim,
    Claimed,
    RunSlow,
    Locate,
    Located,
    Forward,
    Forwarded,
    Withdraw,
    Alive,
    Evacuated,
    Probe,
    Acquire,
    Acquired,
    Release,
    Join,
    EntryPulse,
    Reserve,
    RunDoomed,
)
