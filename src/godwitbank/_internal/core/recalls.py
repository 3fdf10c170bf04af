"""Questions to agents about requests that were claimed before."""

from collections.abc import Iterator
from typing import NamedTuple

from godwitbank._internal.core.work import Job, Task, TaskState
from godwitbank._internal.models.messages import Verdict

ANSWER_TIMEOUT_SECONDS = 1.0
"""Seconds agents have to answer."""


class PendingRecall:
    """One task's question, open until every asked agent has answered."""

    __slots__ = ("task", "unanswered", "running", "expires")

    def __init__(self, task: Task, asked: int, expires: float) -> None:
        self.task = task
        self.unanswered = asked
        self.running = False
        self.expires = expires


class RecallProgress(NamedTuple):
    """What an agent's answer means for one task.

    :param settled: whether no further answer will come.
    """

    task: Task
    running: bool
    resolved: bool


class Recalls:
    """Open questions by claim key."""

    def __init__(self) -> None:
        self._open: dict[str, list[PendingRecall]] = {}

    def request(self, key: str, task: Task, asked: int, now: float) -> float:
        """Open a question; returns the time at which it expires."""
        question = PendingRecall(task, asked, now + ANSWER_TIMEOUT_SECONDS)
        self._open.setdefault(key, []).append(question)
        return question.expires

    def handle_answer(self, key: str, verdict: str) -> Iterator[RecallProgress]:
        """Count one agent's answer for every task that asked."""
        for question in self._open.pop(key, []):
            question.unanswered -= 1
            question.running = question.running or verdict == Verdict.RUNNING
            settled = question.unanswered <= 0
            if not settled and verdict != Verdict.FINISHED:
                self._open.setdefault(key, []).append(question)
            yield RecallProgress(question.task, question.running, settled)

    def take_expired(self, job: Job, now: float) -> list[Task]:
        """Close a job's questions that agents did not answer in time."""
        expired = []
        for key in list(self._open):
            kept = []
            for question in self._open[key]:
                over = question.expires <= now and question.task.job is job
                if over and question.task.state is TaskState.RECALLING:
                    expired.append(question.task)
                elif question.task.state is TaskState.RECALLING:
                    kept.append(question)
            if kept:
                self._open[key] = kept
            else:
                del self._open[key]
        return expired
