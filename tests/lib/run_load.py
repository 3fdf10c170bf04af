"""Load for ``RunsWorld``: three queues like the users', and what callers got.

The queues differ as the users' do: many short tasks that are urgent, a few long
ones, and many middling ones that weigh little each.
"""

from random import Random
from typing import NamedTuple

from godwitbank._internal.models.jobs import (
    Configuration,
    JobSpec,
    QueueRules,
    StepSpec,
)
from godwitbank._internal.models.resources import Resources
from tests.lib.run_cluster import RunCluster


class QueueLoad(NamedTuple):
    """One queue's load.

    :param share: jobs of this kind among all.
    :param width: mean number of tasks of a job.
    :param seconds: mean run time of a task.
    :param worth: what a mean job is worth to its caller.
    """

    queue: QueueRules
    share: float
    width: int
    seconds: float
    worth: float


def _make_queue(name: str, priority: int) -> QueueRules:
    return QueueRules(name, "desk", f"/{name}/", "desk", priority, 3, 1.6, 0.06)


QUEUE_LOADS = (
    QueueLoad(_make_queue("short", 0), 0.245, 8, 0.12, 0.0291),
    QueueLoad(_make_queue("long", 2), 0.045, 4, 1.8, 0.16),
    QueueLoad(_make_queue("middling", 1), 0.71, 2, 0.4, 0.01),
)
TASK_CPU = 1600
LOGNORMAL_SIGMA = 0.4


class LoadResult(NamedTuple):
    """What callers got.

    :param worth: share of the worth of all jobs that was earned.
    :param by_kind: the same for each kind.
    :param late: share of jobs done after their objective.
    :param refused: share of jobs refused or given up.
    """

    worth: float
    by_queue: tuple[float, ...]
    late: float
    refused: float


class _Sent(NamedTuple):
    kind: int
    at: float
    objective: float
    worth: float


class LoadGenerator:
    """Submits jobs at a rate and watches what becomes of them."""

    def __init__(self, seed: int, entries: int = 3, agents: int = 11) -> None:
        self.rng = Random(seed)
        queues = tuple(kind.queue for kind in QUEUE_LOADS)
        self.world = RunCluster(seed, Configuration(1, queues, 10**6))
        self.world.checking = False
        self._entries = [f"entry-{number}" for number in range(entries)]
        for name in self._entries:
            self.world.add_entry(name)
        for number in range(agents):
            cpu = 24000 if number % 3 == 2 else 16000
            self.world.add_agent(f"agent-{number}", Resources(cpu, 65536, 0))
        self.world.run(2.0)
        self._sent: dict[str, _Sent] = {}
        self._number = 0

    def submit_jobs(self, per_second: float, seconds: float) -> None:
        """Submit jobs for a while."""
        until = self.world.now + seconds
        while self.world.now < until:
            self.world.run(self.rng.expovariate(per_second))
            self._submit()

    def _submit(self) -> None:
        weights = [kind.share for kind in QUEUE_LOADS]
        position = self.rng.choices(range(len(QUEUE_LOADS)), weights)[0]
        kind = QUEUE_LOADS[position]
        self._number += 1
        width = min(4 * kind.width, max(1, round(kind.width * self._draw())))
        mean = kind.seconds * self._draw()
        runs = [mean * self.rng.uniform(0.85, 1.15) for _ in range(width)]
        guess = mean * self.rng.lognormvariate(0, 0.4)
        name = f"job{self._number}"
        needs = Resources(TASK_CPU, 64, 0)
        step = StepSpec(width, needs, guess)
        spec = JobSpec(name, kind.queue.name, ",".join(map(str, runs)), (step,))
        work = sum(runs) / (kind.width * kind.seconds)
        objective = kind.queue.stretch * max(runs) + kind.queue.allowance
        worth = kind.worth * min(4.0, 0.3 + 0.7 * work)
        self._sent[name] = _Sent(position, self.world.now, objective, worth)
        self.world.submit(self.rng.choice(self._entries), spec)

    def _draw(self) -> float:
        return self.rng.lognormvariate(-(LOGNORMAL_SIGMA**2) / 2, LOGNORMAL_SIGMA)

    def list_submit_times(self) -> dict[str, float]:
        """Tell when each job was submitted."""
        return {name: sent.at for name, sent in self._sent.items()}

    def finish(self) -> LoadResult:
        """Let everything end, and sum up."""
        self.world.run(12.0)
        earned = [0.0] * len(QUEUE_LOADS)
        owed = [0.0] * len(QUEUE_LOADS)
        late = refused = 0
        for name, sent in self._sent.items():
            owed[sent.kind] += sent.worth
            took = self._measure(name, sent)
            if took is None:
                refused += 1
            elif took <= sent.objective:
                earned[sent.kind] += sent.worth
            else:
                late += 1
                if took <= 3 * sent.objective:
                    earned[sent.kind] += 0.2 * sent.worth
        shares = tuple(
            got / max(due, 1e-9) for got, due in zip(earned, owed, strict=True)
        )
        jobs = len(self._sent)
        worth = sum(earned) / sum(owed)
        return LoadResult(worth, shares, late / jobs, refused / jobs)

    def _measure(self, name: str, sent: _Sent) -> float | None:
        for result, at in self.world.timed_results.get(name, ()):
            if result.end == "completed":
                return at - sent.at
        return None
