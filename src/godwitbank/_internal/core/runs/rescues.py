"""Runs that are moved off endpoints which are about to leave.

An endpoint that leaves may report many runs at once that can't end in time. Each one
that is stopped must have free capacity of its own elsewhere, or its work is lost for
nothing: the endpoint may stay for longer than it announced.
"""

from collections.abc import Iterable
from typing import NamedTuple

from godwitbank._internal.core.runs.fleet import AgentView
from godwitbank._internal.core.runs.jobs import Task
from godwitbank._internal.core.runs.progress import MOVE_COST_SECONDS
from godwitbank._internal.models.resources import Resources

RESCUE_SECONDS = 0.5
"""Seconds for which capacity is counted as taken by a run that was stopped to be moved
there. Stopping it and starting it again takes a fifth of that."""

MIN_REMAINING_SHARE = 0.25
"""Least part of a run that must be left for it to be moved. A run that is nearly done
may end before the endpoint leaves, and would have to be repeated whole."""


class Rescue(NamedTuple):
    """A run that was stopped to be moved.

    :param agent: address of the agent with free capacity for it.
    :param needs: capacity that the run needs.
    :param until: time until which that capacity counts as taken, in seconds.
    """

    agent: str
    needs: Resources
    until: float


def is_worth_rescuing(
    task: Task, factor: float, seconds_left: float, now: float
) -> bool:
    """Return whether a task ends in time if its run is stopped and starts elsewhere.

    :param factor: run time at the other endpoint as a multiple of the predicted one.
    :param seconds_left: predicted remaining run time at the leaving endpoint.
    """
    seconds_elsewhere = factor * task.expected
    if seconds_left < MIN_REMAINING_SHARE * seconds_elsewhere:
        return False
    ends_at = now + seconds_elsewhere + MOVE_COST_SECONDS
    return ends_at <= task.job.arrival + task.job.objective


class Rescues:
    """The runs that one entry has stopped and not started again yet."""

    def __init__(self) -> None:
        self._by_task: dict[str, Rescue] = {}

    def add(self, task: Task, agent: str, now: float) -> None:
        """Record that a run is stopped to be moved to an agent."""
        needs = task.step_spec.needs
        self._by_task[task.name] = Rescue(agent, needs, now + RESCUE_SECONDS)

    def remove(self, task: Task) -> None:
        """Record that the run of a task has started again, or has ended."""
        self._by_task.pop(task.name, None)

    def list_free(
        self, task: Task, views: Iterable[AgentView], now: float
    ) -> list[AgentView]:
        """List the agents with free capacity for a task besides that of other rescues.

        :param views: the agents to choose from.
        """
        self._by_task = {
            name: each for name, each in self._by_task.items() if each.until > now
        }
        needs = task.step_spec.needs
        return [view for view in views if needs.fits(self._measure_free(view))]

    def _measure_free(self, view: AgentView) -> Resources:
        free = view.free
        for each in self._by_task.values():
            if each.agent == view.address:
                free -= each.needs
        return free
