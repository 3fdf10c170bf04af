"""Jobs in flight at one entry, and the tasks they consist of."""

import math
from enum import Enum, auto

from godwitbank._internal.models.jobs import JobSpec, QueueRules, StepSpec


class TaskState(Enum):
    """State of a task at its entry.

    - ``BLOCKED``: an earlier step of the job isn't done.
    - ``WAITING``: queued for an agent with free capacity.
    - ``SENT``: a start order for the current run was sent to an agent.
    - ``ORPHANED``: the agent can't be reached; the run there may still be alive.
    - ``DONE``: no run of it is alive and none will be started.
    """

    BLOCKED = auto()
    WAITING = auto()
    SENT = auto()
    ORPHANED = auto()
    DONE = auto()


class Task:
    """One task of a job in flight.

    :ivar step: index of the task's step in the job.
    :ivar run: number of the current run, or of the last one.
    :ivar failures: runs that failed so far.
    :ivar agent: address of the agent that has the run; empty while there is none.
    :ivar avoid: addresses of agents to use only if no other has free capacity.
    :ivar checkpoint: last checkpoint that a run reported, passed on to the next run.
    :ivar expected: predicted run time, in seconds.
    :ivar parked: whether the run waits at its agent for free capacity.
    :ivar lapses_at: time at which an orphaned run has certainly lost its lease.
    :ivar sent_at: time at which the current run was sent.
    :ivar moves: times a run was moved because its endpoint was slow.
    :ivar passed_over: number of tasks that were behind this one in the queue, but were
        placed while it found no agent.
    :ivar preempted: whether a run of it was stopped to start a more urgent one.
    """

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
        "preempted",
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
        self.preempted = False

    @property
    def step_spec(self) -> StepSpec:
        """The submitted specification of the task's step."""
        return self.job.spec.steps[self.step]

    @property
    def core_seconds(self) -> float:
        """Expected processor time of the task, in core-seconds."""
        return self.expected * self.step_spec.needs.cpu / 1000


class Job:
    """A job in flight and the callers that wait for it.

    :ivar callers: request numbers of the callers; negative for the callers of other
        entries.
    :ivar arrival: time at which the job was submitted here.
    :ivar deadline: time until which the callers wait.
    :ivar objective: seconds from arrival in which the job should be done.
    :ivar rank: latest time to start the job so that it meets its objective.
    :ivar tasks: the tasks of each step.
    :ivar tasks_left: number of tasks not done yet, for each step.
    :ivar ran: whether any run of it was ever sent.
    :ivar ending: whether its result is out; runs of it may still be alive.
    :ivar contested: whether agents must first be asked to stop other entries' runs of
        it.
    :ivar acquired: whether the entry that had the right to start it has passed it on
        to this one.
    :ivar ended: whether its result is out and no run of it can be alive.
    :ivar refused_at: time in seconds at which this entry first refused the job, if its
        caller has returned since; infinite for newcomers.
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
        "acquired",
        "ended",
        "refused_at",
    )

    def __init__(
        self,
        spec: JobSpec,
        queue: QueueRules,
        caller: int,
        now: float,
        timeout_seconds: float,
    ) -> None:
        self.spec = spec
        self.queue = queue
        self.callers = [caller]
        self.arrival = now
        self.deadline = now + timeout_seconds
        self.objective = 0.0
        self.rank = 0.0
        self.tasks: list[list[Task]] = []
        self.tasks_left: list[int] = [step.width for step in spec.steps]
        self.ran = False
        self.ending = False
        self.contested = False
        self.acquired = False
        self.ended = False
        self.refused_at = math.inf

    def create_tasks(self, expected: list[float]) -> None:
        """Create the tasks, and compute the job's objective and rank.

        :param expected: predicted run time for each step, in seconds.
        """
        for position, step in enumerate(self.spec.steps):
            seconds = expected[position]
            self.tasks.append(
                [Task(self, position, index, seconds) for index in range(step.width)]
            )
        critical_path = self._measure_critical_path(expected)
        self.objective = self.queue.stretch * critical_path + self.queue.allowance
        self.rank = self.arrival + max(0.0, self.objective - critical_path)

    def _measure_critical_path(self, expected: list[float]) -> float:
        ends: list[float] = []
        for position, step in enumerate(self.spec.steps):
            start = max((ends[each] for each in step.after), default=0.0)
            ends.append(start + expected[position])
        return max(ends)

    def estimate_duration(self) -> float:
        """Return the duration of the job in seconds, by its caller's estimates."""
        return self._measure_critical_path([step.estimate for step in self.spec.steps])

    @property
    def has_remote_caller(self) -> bool:
        """Whether a caller of another entry waits; those have negative numbers."""
        return any(caller < 0 for caller in self.callers)

    @property
    def core_seconds(self) -> float:
        """Expected processor time of the whole job, in core-seconds."""
        return sum(task.core_seconds for step in self.tasks for task in step)

    def list_ready_tasks(self) -> list[Task]:
        """List the blocked tasks of which all preceding steps are done."""
        ready = []
        for position, step in enumerate(self.spec.steps):
            if any(self.tasks_left[each] for each in step.after):
                continue
            ready += [
                task for task in self.tasks[position] if task.state is TaskState.BLOCKED
            ]
        return ready

    def list_active_tasks(self) -> list[Task]:
        """List the tasks that may have a live run."""
        alive = (TaskState.SENT, TaskState.ORPHANED)
        return [task for step in self.tasks for task in step if task.state in alive]
