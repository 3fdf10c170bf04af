"""Jobs in flight at one entry."""

from enum import Enum, auto

from godwitbank._internal.models.document import ClassTable
from godwitbank._internal.models.outcomes import TaskAnswer
from godwitbank._internal.models.tasks import Submission, TaskKey, TaskSpec


class TaskState(Enum):
    """Where a task stands."""

    NEW = auto()
    CLAIMING = auto()
    RECALLING = auto()
    WAITING = auto()
    SENT = auto()
    ANSWERED = auto()
    DROPPED = auto()


class Task:
    """One task of a job in flight."""

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
        """Name the next attempt; a key is sent at most once."""
        self.attempt += 1
        self.key = TaskKey(self.job.submission, self.index, self.attempt)
        self.state = TaskState.SENT
        return self.key


class Job:
    """A submission in flight: every task, and what is known of it."""

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
        """Join one answer.

        :return: whether the job is now complete.
        """
        task.state = TaskState.ANSWERED
        self.answers[task.index] = answer
        self.unanswered -= 1
        return self.unanswered == 0


class ClassStatistics:
    """Observed run times of one class; declared ones are off by ten times.

    A long average on purpose: entries order work by multiples of this mean, and
    a quick one differs so much between them that one entry's small jobs waited
    seconds behind another's (see the note on ranks in ``docs/design``).
    """

    __slots__ = ("mean", "_samples")

    DECLARED_SAMPLES = 10
    MAX_SAMPLES = 1000

    def __init__(self, table: ClassTable) -> None:
        self.mean = table.expected_seconds
        self._samples = self.DECLARED_SAMPLES

    def observe_run_time(self, run_time: float) -> None:
        """Note one run time, in seconds."""
        self._samples = min(self._samples + 1, self.MAX_SAMPLES)
        self.mean += (run_time - self.mean) / self._samples
