"""Requests of an entry that agents keep capacity for its tasks.

An entry hears late of capacity that becomes free at agents where it has no runs, and
less urgent starts of other entries take it first. Therefore it asks agents to keep what
becomes free next for its urgent tasks, one agent for each task. The tasks aren't bound
to these agents.
"""

from random import Random
from typing import NamedTuple

from godwitbank._internal.core.runs.fleet import AgentView
from godwitbank._internal.core.runs.jobs import Task
from godwitbank._internal.core.runs.placement import is_allowed
from godwitbank._internal.core.runs.progress import SLOW_FACTOR
from godwitbank._internal.core.runs.reservations import RESERVATION_SECONDS


class CapacityRequest(NamedTuple):
    """A task, and the agent that is asked to keep capacity for it."""

    task: Task
    view: AgentView


class CapacityRequests:
    """Chooses the agents that are asked to keep capacity.

    :param rng: source of randomness.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._pending: dict[int, float] = {}
        """Time at which each reservation ends, by the stream to its agent."""

    def choose(
        self, tasks: list[Task], views: list[AgentView], now: float
    ) -> list[CapacityRequest]:
        """Choose an agent for each urgent task beyond the number of pending requests.

        :param tasks: urgent tasks that weren't placed, in the order in which they go.
        :param views: the agents that accept runs of their service.
        """
        self._pending = {
            stream: until for stream, until in self._pending.items() if until > now
        }
        missing = tasks[len(self._pending) :]
        if not missing:
            return []
        candidates = [view for view in views if view.stream not in self._pending]
        chosen = []
        for task in missing:
            able = [view for view in candidates if _can_serve(view, task, now)]
            if not able:
                continue
            view = self._rng.choice(able)
            candidates.remove(view)
            self._pending[view.stream] = now + RESERVATION_SECONDS
            chosen.append(CapacityRequest(task, view))
        return chosen

    def end(self, view: AgentView) -> None:
        """Record that a start that was sent to an agent ended the reservation there."""
        self._pending.pop(view.stream, None)


def _can_serve(view: AgentView, task: Task, now: float) -> bool:
    """Return whether a task would be started at an agent that has room for it."""
    return is_allowed(view, task, now) and view.slowness < SLOW_FACTOR
