"""Baseline policies for choosing an agent, runnable for comparison.

``python -m bench.baselines NAME --settings=FILE`` runs an entry that chooses agents by
the named policy. The baselines also send starts to full agents, where the starts wait,
so they need a service document with a large ``parked``.
"""

import sys
from collections.abc import Callable

from godwitbank._internal.cli.entrypoints import run_entry
from godwitbank._internal.core.dispatch import Dispatcher
from godwitbank._internal.core.pool import AgentView, Pool

ChooseAgent = Callable[[Pool, float, bool], AgentView | None]


def _list_available(pool: Pool, now: float) -> list[AgentView]:
    return [view for view in pool.views if pool.may_send_start(view, now)]


def choose_random(pool: Pool, now: float, same_zone: bool) -> AgentView | None:
    """Choose a random agent."""
    del same_zone
    views = _list_available(pool, now)
    return pool._rng.choice(views) if views else None


def choose_of_two(pool: Pool, now: float, same_zone: bool) -> AgentView | None:
    """Choose the less loaded of two random agents, by the entry's view of them."""
    del same_zone
    views = _list_available(pool, now)
    if len(views) < 2:
        return views[0] if views else None
    first, second = pool._rng.sample(views, 2)
    return first if _estimate_load(first) <= _estimate_load(second) else second


def choose_least(pool: Pool, now: float, same_zone: bool) -> AgentView | None:
    """Choose the least loaded agent, by the entry's view of all agents."""
    del same_zone
    views = _list_available(pool, now)
    if not views:
        return None
    return min(views, key=lambda view: (_estimate_load(view), pool._rng.random()))


def _estimate_load(view: AgentView) -> float:
    return max(len(view.outstanding), view.slots - view.free)


BASELINES: dict[str, ChooseAgent] = {
    "random": choose_random,
    "two": choose_of_two,
    "least": choose_least,
}


def install_baseline(name: str) -> None:
    """Replace the dispatcher's choice of agents in this process.

    Also disables demand announcements. Names that aren't baselines change nothing.
    """
    if name in BASELINES:
        Pool.choose = BASELINES[name]  # type: ignore
        Dispatcher._announce_demand = (  # type: ignore
            lambda self, service: None
        )


if __name__ == "__main__":
    install_baseline(sys.argv.pop(1))
    run_entry()
