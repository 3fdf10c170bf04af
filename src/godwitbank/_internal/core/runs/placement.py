"""Which agent gets a run."""

from random import Random
from typing import NamedTuple

from godwitbank._internal.core.runs.fleet import AgentView
from godwitbank._internal.core.runs.progress import SLOW_FACTOR
from godwitbank._internal.core.runs.work import Task

PARKED_PER_ENTRY = 1
"""Runs an entry may leave waiting at one agent.

One hides the round trip between a run's end and the next start; more would tie
work to an agent while another has room.
"""

AWAY_FACTOR = 1.5
"""How much longer a run takes away from its data (platform's figure)."""

FULL_PENALTY = 0.15
"""Share of the run time that a nearly full agent costs against an empty one:
other entries may be placing there at this moment, and the run would wait."""

FAR_PENALTY = 0.01
"""Share of the run time that another availability zone costs; breaks ties, as
bytes between zones are paid for."""


SAMPLE = 16
"""Agents looked at first. Where there are more, the best of so many is hardly worse
than the best of all, and entries that choose at one moment choose different ones."""


class Place(NamedTuple):
    """Where a run goes, and whether it must wait there for room."""

    view: AgentView
    parked: bool


def choose_place(
    task: Task, views: list[AgentView], zone: str, rng: Random, now: float
) -> Place | None:
    """Choose the agent where a run is expected to end first.

    A wait for room costs less than a run that takes several times as long, so slow
    endpoints come last, room or not.
    """
    if len(views) > SAMPLE:
        sample = rng.sample(views, SAMPLE)
        place = _choose_of_all(sample, task, zone, rng, now)
        if place is not None and not place.parked and place.view.factor < SLOW_FACTOR:
            return place
    return _choose_of_all(views, task, zone, rng, now)


def _choose_of_all(
    views: list[AgentView], task: Task, zone: str, rng: Random, now: float
) -> Place | None:
    allowed = [view for view in views if _is_allowed(view, task, now)]
    brisk = [view for view in allowed if view.factor < SLOW_FACTOR]
    slow = [view for view in allowed if view.factor >= SLOW_FACTOR]
    for candidates in (brisk, slow):
        place = _choose_among(candidates, task, zone, rng)
        if place is not None:
            return place
    return None


def _choose_among(
    allowed: list[AgentView], task: Task, zone: str, rng: Random
) -> Place | None:
    untried = [view for view in allowed if view.address not in task.avoid]
    needs = task.rules.needs
    for candidates in (untried, allowed):
        roomy = [view for view in candidates if needs.fits(view.free)]
        if roomy:
            best = min(roomy, key=lambda view: _score(view, task, zone, rng))
            return Place(best, False)
    for candidates in (untried, allowed):
        short = [view for view in candidates if _may_park(view, task)]
        if short:
            best = min(short, key=lambda view: _score_parked(view, rng))
            return Place(best, True)
    return None


def _is_allowed(view: AgentView, task: Task, now: float) -> bool:
    rules = task.rules
    if task.name in view.tasks or not rules.needs.fits(view.capacity):
        return False
    if rules.label and rules.label not in view.labels:
        return False
    if rules.spread and view.count_step(task) >= rules.spread:
        return False
    return view.health.allows(len(view.tasks), now)


def _score(view: AgentView, task: Task, zone: str, rng: Random) -> float:
    factor = view.factor
    rack = task.rules.rack
    if rack and rack not in view.labels:
        factor *= AWAY_FACTOR
    used = 1 - view.free.cpu / max(view.capacity.cpu, 1)
    factor *= 1 + FULL_PENALTY * used
    if view.zone != zone:
        factor *= 1 + FAR_PENALTY
    return factor * (1 + 0.02 * rng.random())


def _may_park(view: AgentView, task: Task) -> bool:
    if view.my_parked < PARKED_PER_ENTRY:
        return True
    more_urgent = sum(
        other.parked and other.job.rank <= task.job.rank
        for other in view.tasks.values()
    )
    return more_urgent < PARKED_PER_ENTRY


def _score_parked(view: AgentView, rng: Random) -> float:
    parked = view.my_parked + view.parked_by_others + rng.random()
    return parked * view.factor / max(view.capacity.cpu, 1)
