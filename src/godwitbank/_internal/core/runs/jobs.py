"""Jobs of leased runs in flight at one entry."""

from enum import Enum, auto

from godwitbank._internal.models.jobs import JobSpec, QueueRules, StepSpec


class TaskState(Enum):
    """Where a task stands.

    ``ORPHANED``: its agent can't be reached; the run there may still be alive.
    """

    BLOCKED = auto()
    WAITING = auto()
    SENT = auto()
    ORPHANED = auto()
    DONE = auto()


class Task:
    """One task of a job in flight."""

    __slots__ = (
        "job",
        "step",
        "name",
        "state",
        "run",
        "failures",
        "agent",
        "avoid",
        "checkpoint",
        "expected",
        "parked",
        "lapses_at",
        "sent_at",
        "moves",
        "passed_over",
    )

    def __init__(self, job: "Job", step: int, index: int, expected: float) -> None:
        self.job = job
        self.step = step
        self.name = f"{job.spec.job}.0.{step}.{index}"
        self.state = TaskState.BLOCKED
        self.run = 0
        self.failures = 0
        self.agent = ""
        self.avoid: set[str] = set()
        self.checkpoint = ""
        self.expected = expected
        self.parked = False
        self.lapses_at = 0.0
        self.sent_at = 0.0
        self.moves = 0
        self.passed_over = 0

    @property
    def step_spec(self) -> StepSpec:
        """What was submitted for the task's step."""
        return self.job.spec.steps[self.step]

    @property
    def core_seconds(self) -> float:
        """Expected core-seconds of the task."""
        return self.expected * self.step_spec.needs.cpu / 1000


class Job:
    """A job in flight and who waits for it.

    :ivar contested: whether agents must be asked first to stop others' runs of it.
    """

    __slots__ = (
        "spec",
        "queue",
        "callers",
        "arrival",
        "deadline",
        "objective",
        "rank",
        "tasks",
        "tasks_left",
        "ran",
        "ending",
        "contested",
        "ended",
    )

    def __init__(
        self, spec: JobSpec, queue: QueueRules, caller: int, now: float, patience: float
    ) -> None:
        self.spec = spec
        self.queue = queue
        self.callers = [caller]
        self.arrival = now
        self.deadline = now + patience
        self.objective = 0.0
        self.rank = 0.0
        self.tasks: list[list[Task]] = []
        self.tasks_left: list[int] = [step.width for step in spec.steps]
        self.ran = False
        self.ending = False
        self.contested = False
        self.ended = False

    def create_tasks(self, expected: list[float]) -> None:
        """Make the tasks, and set when they should start at the latest.

        :param expected: seconds expected of a run, for each step.
        """
        for position, step in enumerate(self.spec.steps):
            seconds = expected[position]
            self.tasks.append(
                [Task(self, position, index, seconds) for index in range(step.width)]
            )
        chain = self._measure_chain(expected)
        self.objective = self.queue.stretch * chain + self.queue.allowance
        self.rank = self.arrival + max(0.0, self.objective - chain)

    def _measure_chain(self, expected: list[float]) -> float:
        ends: list[float] = []
        for position, step in enumerate(self.spec.steps):
            before = max((ends[each] for each in step.after), default=0.0)
            ends.append(before + expected[position])
        return max(ends)

    @property
    def has_remote_caller(self) -> bool:
        """Whether its caller came to another entry; such callers are below zero."""
        return any(caller < 0 for caller in self.callers)

    @property
    def core_seconds(self) -> float:
        """Expected core-seconds of the whole job."""
        return sum(task.core_seconds for step in self.tasks for task in step)

    def list_ready_tasks(self) -> list[Task]:
        """List the blocked tasks whose earlier steps are done."""
        ready = []
        for position, step in enumerate(self.spec.steps):
            if any(self.tasks_left[each] for each in step.after):
                continue
            ready += [
                task for task in self.tasks[position] if task.state is TaskState.BLOCKED
            ]
        return ready

    def list_active_tasks(self) -> list[Task]:
        """List the tasks of which a run may be alive."""
        alive = (TaskState.SENT, TaskState.ORPHANED)
        return [task for step in self.tasks for task in step if task.state in alive]
