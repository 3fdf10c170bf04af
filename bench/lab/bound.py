"""What a scheduler that knows everything could have earned, from above.

Each job's work may be cut into pieces of any size, done by any number of endpoints at
once and at no cost of telling anybody, at any moment between its arrival and its
objective, in the room that was really there. Pieces are taken in the order of worth a
core-second, each at the latest free moment: with pieces all alike the sets that can be
done in time form a matroid, so this greedy choice is the best one. What isn't done in
time may still earn what a late result earns. Real tasks can't be cut, so no scheduler
can do better; how much worse the best real one is isn't known.
"""

from typing import NamedTuple

SLOT = 0.02
"""Seconds of one slot; short against the shortest task."""


class Piece(NamedTuple):
    """A job's work for the bound, in core-seconds."""

    arrival: float
    due: float
    work: float
    worth: float


def bound_worth(
    jobs: list[Piece], room: list[float], begin: float, late_share: float
) -> float:
    """Bound the share of the worth that any scheduler could earn.

    :param room: cores that were there, for each slot from ``begin``.
    :param late_share: what a late result earns of a timely one.

    >>> bound_worth([Piece(0.0, 1.0, 1.0, 1.0)], [1.0] * 50, 0.0, 0.2)
    1.0
    >>> bound_worth([Piece(0.0, 1.0, 2.0, 1.0)], [1.0] * 50, 0.0, 0.0)
    0.5
    """
    left = [cores * SLOT for cores in room]
    # For each slot the next earlier one with room, to skip what is full.
    before = list(range(-1, len(left) - 1))
    timely = 0.0
    owed = sum(job.worth for job in jobs)
    for job in sorted(jobs, key=lambda each: each.worth / each.work, reverse=True):
        done = _fill(job, left, before, begin)
        timely += job.worth * done / job.work
    return round((timely + late_share * (owed - timely)) / max(owed, 1e-9), 4)


def _fill(job: Piece, left: list[float], before: list[int], begin: float) -> float:
    first = int((job.arrival - begin) / SLOT)
    # Whole slots: a little more than there is, as befits a bound from above.
    slot = min(int((job.due - begin) / SLOT + 0.999) - 1, len(left) - 1)
    need = job.work
    while need > 1e-12 and slot >= first and slot >= 0:
        slot = _find_room(slot, left, before)
        if slot < first or slot < 0:
            break
        taken = min(need, left[slot])
        left[slot] -= taken
        need -= taken
    return job.work - max(need, 0.0)


def _find_room(slot: int, left: list[float], before: list[int]) -> int:
    path = []
    while slot >= 0 and left[slot] <= 1e-12:
        path.append(slot)
        slot = before[slot]
    for each in path:
        before[each] = slot
    return slot
