"""Whether enough cores are idle to accept a job whatever waits.

Entries know of each other's backlogs with a delay, and may be connected to different
agents. A job must not be refused for a backlog that doesn't compete for the capacity
that is idle here.
"""

from collections.abc import Iterable

from godwitbank._internal.core.runs.fleet import AgentView

MIN_IDLE_SHARE = 0.1
"""Share of all cores that must be idle. Under overload some cores are always idle for
the length of a status update, and the tasks that wait at other entries take them."""


def has_idle_capacity(views: Iterable[AgentView], cores: float) -> bool:
    """Return whether a noticeable share of a service's cores is idle.

    :param views: the agents that accept runs of the service.
    :param cores: cores of all its endpoints, as ``Fleet.measure_capacity`` counts them.
    """
    idle = sum(max(view.free.cpu, 0) for view in views) / 1000
    return idle >= MIN_IDLE_SHARE * cores
