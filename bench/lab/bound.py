"""Upper bound on the worth that a scheduler with complete knowledge could earn.

Each job's work can be divided into pieces of any size and done by any number of
endpoints at once, without communication cost, at any time between the job's arrival
and its objective, within the capacity that was available. Pieces are scheduled by
descending worth per core-second, each in the latest free slot. If all pieces have the
same size, the sets that can be done in time form a matroid, so this greedy choice is
optimal. Work not done in time may still earn the worth of a late result.

Real tasks can't be divided, so no scheduler can exceed the bound; how close the best
real scheduler comes to it isn't known.
"""

from typing import NamedTuple

SLOT_SECONDS = 0.02
"""Length of a time slot; much shorter than the shortest task."""


class DivisibleJob(NamedTuple):
    """A job whose work can be divided into pieces of any size.

    :param arrival: time of submission, in seconds.
    :param due: time until which a result earns the whole worth, in seconds.
    :param work: core-seconds of all its tasks.
    :param worth: what a result in time is worth to the caller.
    """

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
    """Compute an upper bound on the share of the worth that a scheduler can earn.

    :param available_cores: number of available cores in each slot from ``start``.
    :param start: time at which the first slot begins, in seconds.
    :param late_share: worth of a late result as a share of that of a timely one.

    >>> compute_worth_bound([DivisibleJob(0.0, 1.0, 1.0, 1.0)], [1.0] * 50, 0.0, 0.2)
    1.0
    >>> compute_worth_bound([DivisibleJob(0.0, 1.0, 2.0, 1.0)], [1.0] * 50, 0.0, 0.0)
    0.5
    """
    free_core_seconds = [cores * SLOT_SECONDS for cores in available_cores]
    # The nearest earlier slot that may have capacity, to skip full slots.
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
    """Schedule as much of a job as fits; returns the scheduled core-seconds."""
    first_slot = int((job.arrival - start) / SLOT_SECONDS)
    # Counts partly usable slots as whole ones. This slightly overestimates the
    # capacity, so the result remains an upper bound.
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
    """Find the latest slot with capacity, from ``slot`` back; negative if none."""
    visited = []
    while slot >= 0 and free_core_seconds[slot] <= 1e-12:
        visited.append(slot)
        slot = previous_slots[slot]
    for each in visited:
        previous_slots[each] = slot
    return slot
