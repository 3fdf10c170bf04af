"""State of one service at one entry: document, queue, agents and statistics."""

from random import Random
from typing import NamedTuple

from godwitbank._internal.core.catalog import InstalledDocument
from godwitbank._internal.core.pool import AnnouncedDemand, Pool
from godwitbank._internal.core.queue import ServiceQueue
from godwitbank._internal.core.quota import Quota
from godwitbank._internal.core.work import ClassStatistics, TaskState
from godwitbank._internal.models.document import ServiceDocument
from godwitbank._internal.models.outcomes import Reason
from godwitbank._internal.models.tasks import Submission

PEER_BACKLOG_LAPSE_SECONDS = 3.0
"""Seconds after which a peer's reported backlog is ignored."""

USABLE_DEADLINE_SHARE = 0.9
"""Share of the time to a deadline that admission may plan with."""


class PeerBacklog(NamedTuple):
    """Waiting work that another entry reported, in seconds of run time."""

    seconds: float
    received_at: float


class Refusal(NamedTuple):
    """Reason for which a submission is not admitted.

    :param retry_after: seconds after which the caller may retry, or ``None`` if
        waiting won't help.
    """

    reason: Reason
    detail: str
    retry_after: float | None


class Service:
    """State of one service at one entry."""

    def __init__(
        self,
        installed: InstalledDocument,
        rng: Random,
        zone: str,
        window: float,
        now: float,
    ) -> None:
        self.queue = ServiceQueue()
        self.pool = Pool(rng, zone, window)
        self.statistics: dict[str, ClassStatistics] = {}
        self.peer_backlogs: dict[str, PeerBacklog] = {}
        self.announced_demand = AnnouncedDemand()
        self.without_agents_since: float | None = None
        quota = installed.document.quota
        self.quota = Quota(quota.starts_per_second, quota.burst, now)
        self.document: ServiceDocument = installed.document
        self.configure(installed)

    def configure(self, installed: InstalledDocument) -> None:
        """Apply a document: quota, classes and weights."""
        self.document = installed.document
        quota = installed.document.quota
        self.quota.configure(quota.starts_per_second, quota.burst)
        for name, class_table in installed.document.classes.items():
            if name not in self.statistics:
                self.statistics[name] = ClassStatistics(class_table)
            self.queue.set_class(name, class_table.weight, self.statistics[name].mean)

    def observe_run_time(self, class_name: str, run_time: float) -> None:
        """Record a run time of a class, in seconds."""
        statistics = self.statistics.get(class_name)
        if statistics is not None:
            statistics.observe_run_time(run_time)
            self.queue.set_mean(class_name, statistics.mean)

    def estimate_ideal(self, submission: Submission, now: float) -> float:
        """Estimate a submission's response time on an idle system, in seconds."""
        means = [self.statistics[task.class_name].mean for task in submission.tasks]
        slots = self.pool.count_slots(now) or 1
        return max(max(means), sum(means) / slots)

    def compute_rank(self, submission: Submission, now: float) -> float:
        """Compute a submission's rank: the time by which waiting work is ordered.

        Work that arrives after this time can't overtake the submission.
        """
        stretch = self.document.policy.stretch
        return now + stretch * self.estimate_ideal(submission, now)

    def estimate_wait(self, rank: float, now: float) -> float:
        """Estimate how long work of a given rank would wait, in seconds.

        Other entries' work runs in the same slots, so the work ahead of the rank
        is scaled up in the proportion of their backlogs to this entry's.
        """
        own = self.queue.measure_backlog()
        ahead = self.queue.measure_ahead(rank)
        others = sum(
            peer.seconds
            for peer in self.peer_backlogs.values()
            if now - peer.received_at < PEER_BACKLOG_LAPSE_SECONDS
        )
        if own > 0:
            ahead += others * ahead / own
        return ahead / (self.pool.count_slots(now) or 1)

    def check_admission(self, submission: Submission, now: float) -> Refusal | None:
        """Return why a submission can't be admitted, or ``None`` if it can."""
        refusal = self._check_tasks(submission)
        if refusal is not None:
            return refusal
        if self.pool.count_usable(now) == 0 and self._has_no_lost_agent(now):
            return Refusal(Reason.NO_ENDPOINT, "no endpoint announced itself", 2.0)
        refusal = self._check_queue_limits(submission)
        if refusal is not None:
            return refusal
        ideal = self.estimate_ideal(submission, now)
        wait = self.estimate_wait(self.compute_rank(submission, now), now)
        remaining = submission.deadline - now
        if wait > 0 and wait + ideal > remaining * USABLE_DEADLINE_SHARE:
            return Refusal(
                Reason.DEADLINE_UNREACHABLE,
                f"{wait:.1f} s of work wait before it",
                max(wait + ideal - remaining * USABLE_DEADLINE_SHARE, 0.1),
            )
        delay = self.quota.take_tokens(len(submission.tasks), now)
        if delay > 0:
            return Refusal(Reason.QUOTA, "the team's quota is used up", delay)
        return None

    def _check_tasks(self, submission: Submission) -> Refusal | None:
        for index, task in enumerate(submission.tasks):
            class_table = self.document.classes.get(task.class_name)
            if class_table is None:
                known = ", ".join(sorted(self.document.classes))
                detail = f"task {index}: class {task.class_name!r} is not of: {known}"
                return Refusal(Reason.UNKNOWN_CLASS, detail, None)
            if not class_table.idempotent and not task.request_id:
                detail = f"task {index}: class {task.class_name!r} needs a request id"
                return Refusal(Reason.MISSING_REQUEST_ID, detail, None)
        return None

    def _check_queue_limits(self, submission: Submission) -> Refusal | None:
        for name in {task.class_name for task in submission.tasks}:
            class_table = self.document.classes[name]
            if self.queue.count(name) >= class_table.queue_tasks:
                waiting = self.queue.count(name)
                wait = waiting * self.statistics[name].mean
                return Refusal(
                    Reason.QUEUE_FULL, f"{waiting} tasks of {name!r} wait", wait
                )
        return None

    def _has_no_lost_agent(self, now: float) -> bool:
        return not any(view.lost_at is not None for view in self.pool.views)

    def drop_waiting(self, tasks: list) -> None:
        """Remove a failed job's waiting tasks from the queue."""
        for task in tasks:
            if task.state is TaskState.WAITING:
                task.state = TaskState.DROPPED
                self.queue.drop(task)
