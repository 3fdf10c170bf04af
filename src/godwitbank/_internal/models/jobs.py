"""Jobs that run under leases: submissions, queues, results and endpoint reports."""

from enum import StrEnum
from typing import NamedTuple

from godwitbank._internal.models.resources import Resources


class StepSpec(NamedTuple):
    """Tasks of one kind within a job.

    :param width: number of tasks.
    :param needs: resources of each task.
    :param estimate: the caller's estimate of a task's run time, in seconds.
    :param after: positions of the steps whose tasks must all be done first.
    :param label: label that the endpoint must have, or an empty string.
    :param rack: label of the rack that holds the data, or an empty string.
    :param spread: most tasks of the step on one endpoint; 0 for no limit.
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
    :param payload: passed to the endpoint with each task.
    """

    job: str
    queue: str
    payload: str
    steps: tuple[StepSpec, ...]


class QueueRules(NamedTuple):
    """The operators' configuration of one queue.

    :param host: host name that callers use.
    :param prefix: path prefix that callers use; the longest match wins.
    :param service: service whose endpoints run the tasks.
    :param priority: 0 is the most urgent.
    :param max_attempts: failed runs of one task after which its job fails.
    :param stretch: target duration of a job, as a multiple of the run time of its
        longest chain of dependent tasks.
    :param allowance: seconds added to the target duration.
    :param floor: share of the service's capacity that is guaranteed to the queue
        against other priorities; 0 for the default.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    allowance: float
    floor: float = 0.0


class Configuration(NamedTuple):
    """One accepted version of the operators' configuration.

    :param max_body: size of the largest request body that callers may send, in
        bytes.
    """

    version: int
    queues: tuple[QueueRules, ...]
    max_body: int


class Evacuation(NamedTuple):
    """The availability zones whose endpoints must get no new runs.

    :param revision: the store's revision at which exactly these zones were
        evacuated.
    """

    zones: frozenset[str]
    revision: int


class JobEnd(StrEnum):
    """How a job ended, as its caller sees it."""

    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"
    GIVEN_UP = "given_up"


class JobResult(NamedTuple):
    """The result of a job, as returned to its caller.

    :param reason: why it ended so, for logs and for the caller.
    :param ran: whether any task may have started.
    :param retry_after: seconds after which a new submission may succeed, or
        ``None`` if waiting alone doesn't help.
    """

    job: str
    end: JobEnd
    reason: str
    ran: bool
    retry_after: float | None = None


class RunEnd(StrEnum):
    """How one run of a task ended.

    ``PREEMPTED``: it was stopped so that a more urgent run could start.
    ``NOT_STARTED`` and the members after it mean that the endpoint never ran it and
    never will.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"
    STALLED = "stalled"
    TAKEN_OVER = "taken_over"
    PREEMPTED = "preempted"
    NOT_STARTED = "not_started"
    CLOSED = "closed"
    SUPERSEDED = "superseded"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


class EndpointReport(NamedTuple):
    """The state that an endpoint reports about itself.

    :param instance: id of this boot of the endpoint.
    :param labels: its kind and its rack.
    :param draining: whether it accepts no new work.
    :param clock: its own monotonic clock, in milliseconds.
    :param sequence: increases with each report, so that an outdated one is detected.
    :param address: ``host:port`` at which the endpoint is called.
    :param cold_left: seconds for which it is still warming up after its start, so
        that runs take longer.
    :param born: Unix time of its start in milliseconds; 0 if it is unknown.
    :param remaining: seconds for which it stays at least while it drains; ``None`` if
        it doesn't tell.
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
    born: int = 0
    remaining: float | None = None


class ListedRun(NamedTuple):
    """A run in progress, as listed by its endpoint.

    :param percent: progress, 0 to 100.
    """

    task: str
    run: int
    checkpoint: str
    percent: int


class ListedEnd(NamedTuple):
    """A run that ended, as listed by its endpoint.

    :param number: increases by one with each ended run within one boot of the
        endpoint.
    """

    number: int
    task: str
    run: int
    end: RunEnd
    checkpoint: str
