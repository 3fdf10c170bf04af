"""Runs held by an agent and the endpoint capacity they use."""

import heapq
from collections import Counter
from enum import Enum, auto
from typing import NamedTuple

from godwitbank._internal.core.runs.progress import RunProgress
from godwitbank._internal.models.resources import Resources
from godwitbank._internal.models.run_messages import StartRun


class RunState(Enum):
    """State of a run at its agent.

    ``PARKED``: waits for free capacity. ``ORDERED``: the start order was sent.
    ``UNCONFIRMED``: the start order was not answered and may still be carried out.
    ``RUNNING``: the endpoint confirmed the start. ``STOPPING``: a stop was ordered.
    """

    PARKED = auto()
    ORDERED = auto()
    UNCONFIRMED = auto()
    RUNNING = auto()
    STOPPING = auto()


class HeldRun:
    """One run held by an agent.

    :param order: the start order from the entry.
    :param owner: incarnation of the entry that sent the order.
    :param now: current time in seconds.
    :ivar rank: time by which parked runs of one priority are ordered; the earliest
        starts first.
    :ivar ordered_at: when the endpoint was last ordered to start the run.
    :ivar token: fencing token of that order.
    :ivar passed_over: number of runs that started ahead of it while it didn't fit.
    :ivar stop_reason: why the run was ordered to stop; empty if it wasn't.
    :ivar stopped_at: when the endpoint was last ordered to stop the run.
    :ivar confirmed_at: when the endpoint confirmed the start; infinite until then.
    :ivar doomed_at: when the entry was last told that it can't end in time.
    """

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
        "doomed_at",
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
        self.doomed_at = -float("inf")

    @property
    def job(self) -> str:
        """Job id: the task name up to the first dot."""
        return self.order.task.partition(".")[0]

    @property
    def step(self) -> str:
        """Step name: the task name without its index."""
        return self.order.task.rpartition(".")[0]


class QueuedRun(NamedTuple):
    """A parked run in the queue; the sequence number keeps equal runs in order."""

    priority: int
    rank: float
    sequence: int
    run: HeldRun


LATE_RANK_SECONDS = 1000.0
"""Seconds added to the lateness of a late task to form its rank at an agent, so that it
sorts behind all timely tasks. The latest task sorts last, as its result is the least
likely to be of use."""

MAX_PASSED_OVER = 4
"""Number of smaller runs that may start ahead of a parked run that doesn't fit yet.

Without a limit, a steady flow of small tasks starves a large one. If no run could go
ahead, capacity would stay idle while runs wait.
"""


TYPICAL_CPU_WEIGHT = 0.05
"""Weight of the newest run in the moving average of the CPU need, which spans about
twenty runs."""


def _decrement(counter: Counter[str], owner: str) -> None:
    counter[owner] -= 1
    if not counter[owner]:
        del counter[owner]


class HeldRuns:
    """Runs of one agent: parked ones in their order, and placed ones that use capacity.

    :ivar runs: all runs, by task name.
    :ivar owners: number of runs of each entry, by the entry's incarnation.
    :ivar placed_owners: the same for the placed runs.
    :ivar capacity: resources of the endpoint.
    :ivar used: resources that the placed runs use.
    :ivar parked_needs: resources that the parked runs need.
    :ivar parked: number of parked runs.
    """

    def __init__(self) -> None:
        self.runs: dict[str, HeldRun] = {}
        self.owners: Counter[str] = Counter()
        self.placed_owners: Counter[str] = Counter()
        self.capacity = Resources()
        self.typical_cpu = 0.0
        """Average CPU need of a run in millicores; 0 before the first run."""
        self.used = Resources()
        self.parked_needs = Resources()
        self._queue: list[QueuedRun] = []
        self._sequence = 0
        self.parked = 0

    @property
    def free(self) -> Resources:
        """Capacity that no placed run uses."""
        return self.capacity - self.used

    def park(self, run: HeldRun) -> None:
        """Add a run that waits for free capacity."""
        self.runs[run.order.task] = run
        self.owners[run.owner] += 1
        self._sequence += 1
        entry = QueuedRun(run.order.priority, run.rank, self._sequence, run)
        heapq.heappush(self._queue, entry)
        self.parked_needs += run.needs
        self.parked += 1

    def place(self, run: HeldRun) -> None:
        """Reserve capacity for a parked run whose start is about to be ordered."""
        self._unpark(run)
        self.used += run.needs
        average = self.typical_cpu or run.needs.cpu
        self.typical_cpu = average + TYPICAL_CPU_WEIGHT * (run.needs.cpu - average)
        self.placed_owners[run.owner] += 1
        run.state = RunState.ORDERED

    def remove(self, run: HeldRun) -> None:
        """Remove a run and free its capacity."""
        if self.runs.get(run.order.task) is not run:
            return
        del self.runs[run.order.task]
        _decrement(self.owners, run.owner)
        if run.state is RunState.PARKED:
            self._unpark(run)
        else:
            self.used -= run.needs
            _decrement(self.placed_owners, run.owner)

    def _unpark(self, run: HeldRun) -> None:
        self.parked -= 1
        self.parked_needs -= run.needs

    def _count_placed_of_step(self, step: str) -> int:
        return sum(
            run.step == step and run.state is not RunState.PARKED
            for run in self.runs.values()
        )

    def _may_run(self, run: HeldRun) -> bool:
        if not run.needs.fits(self.free):
            return False
        spread = run.order.spread
        return not spread or self._count_placed_of_step(run.step) < spread

    def choose_next(self) -> HeldRun | None:
        """Choose the next parked run to start, or ``None`` if none may start.

        Runs are considered in order of priority and rank. One that doesn't fit is
        passed over until ``MAX_PASSED_OVER`` others have started ahead of it.
        """
        skipped = []
        chosen = None
        while self._queue:
            entry = heapq.heappop(self._queue)
            run = entry.run
            removed = self.runs.get(run.order.task) is not run
            if removed or run.state is not RunState.PARKED:
                continue
            if self._may_run(run):
                chosen = run
                break
            skipped.append(entry)
            if run.passed_over >= MAX_PASSED_OVER:
                break
        for entry in skipped:
            if chosen is not None:
                entry.run.passed_over += 1
            heapq.heappush(self._queue, entry)
        return chosen

    def has_capacity_for(self, run: HeldRun, kept: Resources) -> bool:
        """Return whether a new run fits beside the placed and parked ones.

        More urgent runs don't pass parked ones either, or these would starve.

        :param kept: resources that are kept for other runs.
        """
        return run.needs.fits(self.free - self.parked_needs - kept)

    def list_parked(self) -> list[HeldRun]:
        """List the runs that wait for free capacity."""
        return [run for run in self.runs.values() if run.state is RunState.PARKED]

    def list_placed(self) -> list[HeldRun]:
        """List the runs that use capacity."""
        return [run for run in self.runs.values() if run.state is not RunState.PARKED]
