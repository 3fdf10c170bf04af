"""Runs that an agent holds, and the room they take."""

import heapq
from collections import Counter
from enum import Enum, auto

from godwitbank._internal.core.runs.progress import RunProgress
from godwitbank._internal.models.resources import Resources
from godwitbank._internal.models.run_messages import StartRun


class RunState(Enum):
    """Where a run stands at its agent."""

    PARKED = auto()
    ORDERED = auto()
    UNCONFIRMED = auto()
    RUNNING = auto()
    STOPPING = auto()


class HeldRun:
    """One run at one agent."""

    __slots__ = (
        "order",
        "owner",
        "needs",
        "rank",
        "state",
        "arrived_at",
        "ordered_at",
        "token",
        "progress",
        "passed_over",
        "stop_reason",
        "stopped_at",
        "confirmed_at",
    )

    def __init__(self, order: StartRun, owner: str, now: float) -> None:
        self.order = order
        self.owner = owner
        self.needs = Resources(order.cpu, order.memory, order.gpu)
        self.rank = now + order.rank_in
        self.state = RunState.PARKED
        self.arrived_at = now
        self.ordered_at = now
        self.token = 0
        self.progress = RunProgress(now)
        self.passed_over = 0
        self.stop_reason = ""
        self.stopped_at = 0.0
        self.confirmed_at = float("inf")

    @property
    def job(self) -> str:
        """Id of the task's job: the task's name up to the first dot."""
        return self.order.task.partition(".")[0]

    @property
    def step(self) -> str:
        """Name of the task's step: the task's name without its index."""
        return self.order.task.rpartition(".")[0]


MAX_PASSED_OVER = 4
"""Smaller runs that may go before a parked one that doesn't fit yet.

Without a bound a large task starves behind small ones; with none at all room
stays idle while work waits.
"""


TYPICAL_CPU_WEIGHT = 0.05
"""Weight of the newest run in the size of a usual one; some twenty runs count."""


def _count_down(counter: Counter[str], owner: str) -> None:
    counter[owner] -= 1
    if not counter[owner]:
        del counter[owner]


class HeldRuns:
    """Runs at one agent: those that wait, by rank, and those that take room."""

    def __init__(self) -> None:
        self.runs: dict[str, HeldRun] = {}
        self.owners: Counter[str] = Counter()
        self.placed_owners: Counter[str] = Counter()
        self.capacity = Resources()
        self.typical_cpu = 0.0
        """Thousandths of a core of a usual run here; 0 while there was none."""
        self.used = Resources()
        self.parked_needs = Resources()
        self._waiting: list[tuple[float, int, HeldRun]] = []
        self._sequence = 0
        self.parked = 0

    @property
    def free(self) -> Resources:
        """Capacity that nothing takes."""
        return self.capacity - self.used

    def park(self, held: HeldRun) -> None:
        """Add a run that waits for room."""
        self.runs[held.order.task] = held
        self.owners[held.owner] += 1
        self._sequence += 1
        heapq.heappush(self._waiting, (held.rank, self._sequence, held))
        self.parked_needs += held.needs
        self.parked += 1

    def place(self, held: HeldRun) -> None:
        """Take the room for a parked run."""
        self._unpark(held)
        self.used += held.needs
        before = self.typical_cpu or held.needs.cpu
        self.typical_cpu = before + TYPICAL_CPU_WEIGHT * (held.needs.cpu - before)
        self.placed_owners[held.owner] += 1
        held.state = RunState.ORDERED

    def remove(self, held: HeldRun) -> None:
        """Forget a run and free what it took."""
        if self.runs.get(held.order.task) is not held:
            return
        del self.runs[held.order.task]
        _count_down(self.owners, held.owner)
        if held.state is RunState.PARKED:
            self._unpark(held)
        else:
            self.used -= held.needs
            _count_down(self.placed_owners, held.owner)

    def _unpark(self, held: HeldRun) -> None:
        self.parked -= 1
        self.parked_needs -= held.needs

    def _count_step(self, step: str) -> int:
        return sum(
            held.step == step and held.state is not RunState.PARKED
            for held in self.runs.values()
        )

    def _may_run(self, held: HeldRun) -> bool:
        if not held.needs.fits(self.free):
            return False
        spread = held.order.spread
        return not spread or self._count_step(held.step) < spread

    def choose_next(self) -> HeldRun | None:
        """Choose the next run to start: by rank, smaller ones past a large one."""
        skipped = []
        chosen = None
        while self._waiting:
            entry = heapq.heappop(self._waiting)
            held = entry[2]
            gone = self.runs.get(held.order.task) is not held
            if gone or held.state is not RunState.PARKED:
                continue
            if self._may_run(held):
                chosen = held
                break
            skipped.append(entry)
            if held.passed_over >= MAX_PASSED_OVER:
                break
        for entry in skipped:
            if chosen is not None:
                entry[2].passed_over += 1
            heapq.heappush(self._waiting, entry)
        return chosen

    def list_parked(self) -> list[HeldRun]:
        """List the runs that wait for room."""
        return [held for held in self.runs.values() if held.state is RunState.PARKED]

    def list_placed(self) -> list[HeldRun]:
        """List the runs that take room."""
        return [
            held for held in self.runs.values() if held.state is not RunState.PARKED
        ]
