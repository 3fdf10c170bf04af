"""Runs that an entry ordered at agents it has lost contact to."""

from godwitbank._internal.core.runs.jobs import Task, TaskState
from godwitbank._internal.core.runs.lease import LAPSE_SECONDS


class OrphanedRuns:
    """Tasks whose run may still be in progress at an agent that was lost."""

    def __init__(self) -> None:
        self._tasks: list[Task] = []

    def add(self, task: Task, now: float) -> None:
        """Add the run of a task, which ends within ``LAPSE_SECONDS``.

        :param now: time in seconds at which its agent was lost.
        """
        task.state = TaskState.ORPHANED
        task.lapses_at = now + LAPSE_SECONDS
        self._tasks.append(task)

    def remove(self, task: Task) -> None:
        """Remove a task, if it is there."""
        if task in self._tasks:
            self._tasks.remove(task)

    def find(self, name: str, agent: str) -> Task | None:
        """Return the newest task with a name whose run was ordered at an agent.

        An earlier submission of the same job may have left one, too.
        """
        for task in reversed(self._tasks):
            if task.name == name and task.agent == agent:
                return task
        return None

    def list_at(self, agent: str) -> list[Task]:
        """List the tasks whose runs were ordered at an agent."""
        return [task for task in self._tasks if task.agent == agent]

    def list_lapsed(self, now: float) -> list[Task]:
        """List the tasks whose runs have ended by now."""
        return [task for task in self._tasks if task.lapses_at <= now]
