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

SLOT_SECONDS = 0.02
"""Seconds of one slot; short against the shortest task."""


class DivisibleJob(NamedTuple):
    """A job's work for the bound, in core-seconds."""

    arrival: float
    due: float
    work: float
    worth: float


def compute_worth_bound(
    jobs: list[DivisibleJob],
    available_cores: list[float],
    start: float,
    late_share: float,
) -> float:
    """Bound the share of the worth that any scheduler could earn.

    :param room: cores that were there, for each slot from ``begin``.
    :param late_share: what a late result earns of a timely one.

    >>> bound_worth([Piece(0.0, 1.0, 1.0, 1.0)], [1.0] * 50, 0.0, 0.2)
    1.0
    >>> bound_worth([Piece(0.0, 1.0, 2.0, 1.0)], [1.0] * 50, 0.0, 0.0)
    0.5
    """
    free_core_seconds = [cores * SLOT_SECONDS for cores in available_cores]
    # For each slot the next earlier one with room, to skip what is full.
    previous_slots = list(range(-1, len(free_core_seconds) - 1))
    timely_worth = 0.0
    total_worth = sum(job.worth for job in jobs)
    for job in sorted(jobs, key=lambda each: each.worth / each.work, reverse=True):
        scheduled = _schedule_work(job, free_core_seconds, previous_slots, start)
        timely_worth += job.worth * scheduled / job.work
    return round(
        (timely_worth + late_share * (total_worth - timely_worth))
        / max(total_worth, 1e-9),
        4,
    )


def _schedule_work(
    job: DivisibleJob,
    free_core_seconds: list[float],
    previous_slots: list[int],
    start: float,
) -> float:
    first_slot = int((job.arrival - start) / SLOT_SECONDS)
    # Whole slots: a little more than there is, as befits a bound from above.
    slot = min(
        int((job.due - start) / SLOT_SECONDS + 0.999) - 1, len(free_core_seconds) - 1
    )
    unscheduled = job.work
    while unscheduled > 1e-12 and slot >= first_slot and slot >= 0:
        slot = _find_free_slot(slot, free_core_seconds, previous_slots)
        if slot < first_slot or slot < 0:
            break
        used = min(unscheduled, free_core_seconds[slot])
        free_core_seconds[slot] -= used
        unscheduled -= used
    return job.work - max(unscheduled, 0.0)


def _find_free_slot(
    slot: int, free_core_seconds: list[float], previous_slots: list[int]
) -> int:
    visited = []
    while slot >= 0 and free_core_seconds[slot] <= 1e-12:
        visited.append(slot)
        slot = previous_slots[slot]
    for each in visited:
        previous_slots[each] = slot
    return slot
