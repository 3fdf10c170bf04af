"""Jobs in flight at one entry, their tasks, and run times of classes."""

from enum import Enum, auto

from godwitbank._internal.models.document import ClassTable
from godwitbank._internal.models.outcomes import TaskAnswer
from godwitbank._internal.models.tasks import Submission, TaskKey, TaskSpec


class TaskState(Enum):
    """State of a task at its entry.

    - ``NEW``: neither queued nor claimed yet.
    - ``CLAIMING``: the claim of its request id is being written.
    - ``RECALLING``: its request id was claimed before; agents are queried for the
      result.
    - ``WAITING``: queued for a free slot.
    - ``SENT``: a start was sent to an agent.
    - ``ANSWERED``: its answer has arrived.
    - ``DROPPED``: its job failed before the task was answered.
    """

    NEW = auto()
    CLAIMING = auto()
    RECALLING = auto()
    WAITING = auto()
    SENT = auto()
    ANSWERED = auto()
    DROPPED = auto()


class Task:
    """One task of a job in flight.

    :ivar key: key of the latest attempt.
    :ivar refusals: times that an agent refused to start the task.
    :ivar claim: token of the task's claim; empty if it has none.
    """

    __slots__ = ("job", "index", "spec", "state", "attempt", "key", "refusals", "claim")

    def __init__(self, job: "Job", index: int, spec: TaskSpec) -> None:
        self.job = job
        self.index = index
        self.spec = spec
        self.state = TaskState.NEW
        self.attempt = 0
        self.key = TaskKey(job.submission, index, 0)
        self.refusals = 0
        self.claim = ""

    def begin_attempt(self) -> TaskKey:
        """Begin the next attempt and return its key; no key is sent twice."""
        self.attempt += 1
        self.key = TaskKey(self.job.submission, self.index, self.attempt)
        self.state = TaskState.SENT
        return self.key


class Job:
    """A submission in flight.

    :ivar answers: answer of each task, ``None`` while it is missing.
    :ivar unanswered: number of tasks without an answer.
    :ivar started: number of tasks that were sent to an agent and not requeued.
    :ivar rank: time by which waiting jobs are ordered.
    """

    __slots__ = (
        "submission",
        "service",
        "arrival",
        "deadline",
        "tasks",
        "answers",
        "unanswered",
        "started",
        "rank",
    )

    def __init__(self, submission: Submission, now: float, rank: float) -> None:
        self.submission = submission.submission
        self.service = submission.service
        self.arrival = now
        self.deadline = submission.deadline
        self.rank = rank
        self.tasks = [
            Task(self, index, spec) for index, spec in enumerate(submission.tasks)
        ]
        self.answers: list[TaskAnswer | None] = [None] * len(self.tasks)
        self.unanswered = len(self.tasks)
        self.started = 0

    def add_answer(self, task: Task, answer: TaskAnswer) -> bool:
        """Add the answer of one task.

        :return: whether the job is complete.
        """
        task.state = TaskState.ANSWERED
        self.answers[task.index] = answer
        self.unanswered -= 1
        return self.unanswered == 0


class ClassStatistics:
    """Mean of observed run times of one class; declared ones are off by ten times.

    The mean covers many runs on purpose. Entries order work by multiples of it, and
    a mean over few runs differs so much between entries that small jobs of one entry
    waited seconds behind those of another (see the note on ranks in ``docs/design``).

    :ivar mean: mean run time, in seconds.
    """

    __slots__ = ("mean", "_samples")

    # Number of observed runs that the declared run time counts for.
    DECLARED_SAMPLES = 10
    MAX_SAMPLES = 1000

    def __init__(self, table: ClassTable) -> None:
        self.mean = table.expected_seconds
        self._samples = self.DECLARED_SAMPLES

    def observe_run_time(self, run_time: float) -> None:
        """Record one run time, in seconds."""
        self._samples = min(self._samples + 1, self.MAX_SAMPLES)
        self.mean += (run_time - self.mean) / self._samples
