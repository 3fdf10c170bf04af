"""Seeded traces of jobs and requests, and their response times in an ideal system."""

import heapq
from random import Random
from typing import NamedTuple

SHORT_RUN_SECONDS = (0.05, 1.0)
LONG_RUN_SECONDS = (3.0, 8.0)
LONG_RUN_SHARE = 0.02
MAX_TASKS = 460
SINGLE_WORK_SHARE = 0.3
"""Share of the work that arrives as single requests rather than jobs."""


class Arrival(NamedTuple):
    """The arrival of a job or request.

    :param at: seconds from the start of the trace.
    :param single: whether it is a request rather than a job.
    :param runs: run time of each task, in seconds.
    """

    at: float
    single: bool
    runs: tuple[float, ...]


class IdealResponse(NamedTuple):
    """The response time of an arrival in an ideal system, in seconds."""

    arrival: Arrival
    seconds: float


def draw_run_time(rng: Random) -> float:
    """Draw a run time: 3 to 8 s for 2 % of the tasks, else 50 ms to 1 s."""
    low, high = LONG_RUN_SECONDS if rng.random() < LONG_RUN_SHARE else SHORT_RUN_SECONDS
    return rng.uniform(low, high)


def compute_mean_run_time() -> float:
    """Compute the mean of ``draw_run_time``, in seconds."""
    return (1 - LONG_RUN_SHARE) * sum(SHORT_RUN_SECONDS) / 2 + LONG_RUN_SHARE * sum(
        LONG_RUN_SECONDS
    ) / 2


def draw_job_size(rng: Random) -> int:
    """Draw a number of tasks from 1 to 460, distributed log-uniformly."""
    return max(1, min(MAX_TASKS, round(MAX_TASKS ** rng.random())))


def compute_mean_job_size() -> float:
    """Estimate the mean of ``draw_job_size`` from samples."""
    rng = Random(0)
    return sum(draw_job_size(rng) for _ in range(50_000)) / 50_000


def make_trace(seed: int, seconds: float, slots: int, load: float) -> list[Arrival]:
    """Make a trace whose work is ``load`` times the capacity of the slots."""
    rng = Random(seed)
    work = load * slots
    single_rate = work * SINGLE_WORK_SHARE / compute_mean_run_time()
    job_rate = (
        work
        * (1 - SINGLE_WORK_SHARE)
        / (compute_mean_run_time() * compute_mean_job_size())
    )
    trace = []
    for single, rate in ((True, single_rate), (False, job_rate)):
        at = rng.expovariate(rate)
        while at < seconds:
            size = 1 if single else draw_job_size(rng)
            runs = tuple(draw_run_time(rng) for _ in range(size))
            trace.append(Arrival(at, single, runs))
            at += rng.expovariate(rate)
    return sorted(trace)


def compute_ideal_seconds(arrival: Arrival, slots: int) -> float:
    """Compute the response time of an idle system without delays, in seconds."""
    return max(max(arrival.runs), sum(arrival.runs) / slots)


def simulate_ideal(
    trace: list[Arrival], slots: int, stretch: float
) -> list[IdealResponse]:
    """Simulate a trace with a single queue, no delays and complete knowledge.

    :param stretch: 0 for first come, first served; else tasks are served in the order
        of arrival time plus ``stretch`` times the ideal response time, as by the
        dispatcher.
    """
    slots_free_at = [0.0] * slots
    waiting: list[tuple[float, int, int]] = []
    unfinished_tasks = [len(arrival.runs) for arrival in trace]
    ended_at = [0.0] * len(trace)
    next_arrival = 0
    while next_arrival < len(trace) or waiting:
        at = heapq.heappop(slots_free_at)
        if not waiting:
            at = max(at, trace[next_arrival].at)
        while next_arrival < len(trace) and trace[next_arrival].at <= at:
            arrival = trace[next_arrival]
            rank = arrival.at + stretch * compute_ideal_seconds(arrival, slots)
            for position in range(len(arrival.runs)):
                heapq.heappush(waiting, (rank, next_arrival, position))
            next_arrival += 1
        _, number, position = heapq.heappop(waiting)
        end = at + trace[number].runs[position]
        heapq.heappush(slots_free_at, end)
        unfinished_tasks[number] -= 1
        ended_at[number] = max(ended_at[number], end)
    return [
        IdealResponse(arrival, ended_at[number] - arrival.at)
        for number, arrival in enumerate(trace)
    ]
