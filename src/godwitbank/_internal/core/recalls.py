"""Queries to agents for the results of requests that were claimed before."""

from collections.abc import Iterator
from typing import NamedTuple

from godwitbank._internal.core.work import Job, Task, TaskState
from godwitbank._internal.models.messages import Verdict

ANSWER_TIMEOUT_SECONDS = 1.0
"""Seconds that agents have to answer."""


class PendingRecall:
    """A task's query, pending until every queried agent has answered.

    :ivar unanswered: agents that have yet to answer.
    :ivar running: whether an agent answered that the request is running.
    :ivar expires: time at which the query times out.
    """

    __slots__ = ("task", "unanswered", "running", "expires")

    def __init__(self, task: Task, agent_count: int, expires: float) -> None:
        self.task = task
        self.unanswered = agent_count
        self.running = False
        self.expires = expires


class RecallProgress(NamedTuple):
    """State of a task's query after an agent's answer.

    :param running: whether any agent has answered that the request is running.
    :param resolved: whether all queried agents have answered.
    """

    task: Task
    running: bool
    resolved: bool


class Recalls:
    """Pending queries by claim key."""

    def __init__(self) -> None:
        self._pending: dict[str, list[PendingRecall]] = {}

    def request(self, key: str, task: Task, agent_count: int, now: float) -> float:
        """Add a query to a number of agents.

        :return: time at which it expires.
        """
        recall = PendingRecall(task, agent_count, now + ANSWER_TIMEOUT_SECONDS)
        self._pending.setdefault(key, []).append(recall)
        return recall.expires

    def handle_answer(self, key: str, verdict: str) -> Iterator[RecallProgress]:
        """Count one agent's answer for every task whose query has this key."""
        for recall in self._pending.pop(key, []):
            recall.unanswered -= 1
            recall.running = recall.running or verdict == Verdict.RUNNING
            resolved = recall.unanswered <= 0
            if not resolved and verdict != Verdict.FINISHED:
                self._pending.setdefault(key, []).append(recall)
            yield RecallProgress(recall.task, recall.running, resolved)

    def take_expired(self, job: Job, now: float) -> list[Task]:
        """Remove the expired queries of a job and return their tasks.

        Queries whose task is no longer ``RECALLING`` are removed as well.
        """
        expired = []
        for key in list(self._pending):
            open_recalls = []
            for recall in self._pending[key]:
                has_expired = recall.expires <= now and recall.task.job is job
                if has_expired and recall.task.state is TaskState.RECALLING:
                    expired.append(recall.task)
                elif recall.task.state is TaskState.RECALLING:
                    open_recalls.append(recall)
            if open_recalls:
                self._pending[key] = open_recalls
            else:
                del self._pending[key]
        return expired
