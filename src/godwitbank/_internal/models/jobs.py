"""Jobs of leased runs: what callers submit and how it may end."""

from enum import StrEnum
from typing import NamedTuple

from godwitbank._internal.models.resources import Resources


class StepSpec(NamedTuple):
    """Tasks of one kind within a job.

    :param width: number of tasks.
    :param needs: resources of each task.
    :param estimate: caller's guess at a task's run time, in seconds.
    :param after: positions of the steps whose tasks must all be done first.
    :param label: label an endpoint must carry, or an empty string.
    :param rack: label of the rack where the data lies, or an empty string.
    :param spread: most tasks of the step on one endpoint; 0 for no bound.
    :param checkpoints: whether a run saves its progress.
    """

    width: int
    needs: Resources
    estimate: float
    after: tuple[int, ...] = ()
    label: str = ""
    rack: str = ""
    spread: int = 0
    checkpoints: bool = False


class JobSpec(NamedTuple):
    """A job as submitted.

    :param job: the caller's id, the same when the job is submitted again.
    :param queue: name of the queue, as in the configuration.
    :param payload: handed to the endpoint with each task.
    """

    job: str
    queue: str
    payload: str
    steps: tuple[StepSpec, ...]


class QueueRules(NamedTuple):
    """How the operators want one queue treated.

    :param host: host name callers use.
    :param prefix: path prefix callers use; the longest match wins.
    :param service: service whose endpoints run the tasks.
    :param priority: 0 is the most urgent.
    :param max_attempts: failed runs of one task after which its job fails.
    :param stretch: aimed job time as a multiple of its longest chain of runs.
    :param allowance: seconds added to the aimed job time.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    allowance: float


class Configuration(NamedTuple):
    """One accepted version of the operators' configuration.

    :param max_body: bytes of the largest body callers may send.
    """

    version: int
    queues: tuple[QueueRules, ...]
    max_body: int


class Evacuation(NamedTuple):
    """The availability zones whose endpoints are to get no new runs.

    :param revision: the store's revision as of which exactly these were evacuated.
    """

    zones: frozenset[str]
    revision: int


class JobEnd(StrEnum):
    """How a job ended for its caller."""

    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"
    GIVEN_UP = "given_up"


class JobResult(NamedTuple):
    """What the caller is told.

    :param reason: why, for logs and for the caller.
    :param ran: whether any task may have started.
    :param retry_after: seconds after which submitting again may help, or
        ``None`` where time alone doesn't.
    """

    job: str
    end: JobEnd
    reason: str
    ran: bool
    retry_after: float | None = None


class RunEnd(StrEnum):
    """How one run of a task ended.

    ``NOT_STARTED`` and after: the endpoint never ran it and never will.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"
    STALLED = "stalled"
    TAKEN_OVER = "taken_over"
    NOT_STARTED = "not_started"
    CLOSED = "closed"
    SUPERSEDED = "superseded"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


class EndpointReport(NamedTuple):
    """What an endpoint says of itself.

    :param instance: id of this boot of the endpoint.
    :param labels: its kind and its rack.
    :param draining: it wants no new work.
    :param clock: its own steady clock, in milliseconds.
    :param sequence: rises with each report, so that a late one is noticed.
    :param address: ``host:port`` of its calls.
    :param cold_left: seconds for which runs still take longer after its start.
    """

    instance: str
    service: str
    capacity: Resources
    labels: tuple[str, ...]
    draining: bool
    clock: int
    sequence: int
    address: str
    cold_left: float = 0.0


class ListedRun(NamedTuple):
    """A run the endpoint has, as listed by it.

    :param percent: progress, 0 to 100.
    """

    task: str
    run: int
    checkpoint: str
    percent: int


class ListedEnd(NamedTuple):
    """A run that ended at the endpoint, as listed by it.

    :param number: rises by one with each end within a boot of the endpoint.
    """

    number: int
    task: str
    run: int
    end: RunEnd
    checkpoint: str
