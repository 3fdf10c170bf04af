"""Seeded traces of jobs and requests, and the best response any system could give."""

import heapq
from random import Random
from typing import NamedTuple

SHORT_RANGE = (0.05, 1.0)
LONG_RANGE = (3.0, 8.0)
LONG_SHARE = 0.02
MAX_TASKS = 460
SINGLE_SHARE = 0.3
"""Share of the work that arrives as single requests."""


class Arrival(NamedTuple):
    """A job or request that arrives.

    :param at: seconds from the start of the trace.
    :param runs: run time of each task, in seconds.
    """

    at: float
    single: bool
    runs: tuple[float, ...]


class Response(NamedTuple):
    """What became of an arrival in an ideal system."""

    arrival: Arrival
    seconds: float


def draw_run(chance: Random) -> float:
    """Draw one run time: 50 ms to 1 s, and 2 % of 3 to 8 s."""
    low, high = LONG_RANGE if chance.random() < LONG_SHARE else SHORT_RANGE
    return chance.uniform(low, high)


def mean_run() -> float:
    """Tell the mean of ``draw_run``, in seconds."""
    return (1 - LONG_SHARE) * sum(SHORT_RANGE) / 2 + LONG_SHARE * sum(LONG_RANGE) / 2


def draw_size(chance: Random) -> int:
    """Draw a job's size, 1 to 460, equally often in each factor of ten."""
    return max(1, min(MAX_TASKS, round(MAX_TASKS ** chance.random())))


def mean_size() -> float:
    """Tell the mean of ``draw_size``."""
    chance = Random(0)
    return sum(draw_size(chance) for _ in range(50_000)) / 50_000


def make_trace(seed: int, seconds: float, slots: int, load: float) -> list[Arrival]:
    """Make a trace whose work is ``load`` times what the slots can do."""
    chance = Random(seed)
    work = load * slots
    single_rate = work * SINGLE_SHARE / mean_run()
    job_rate = work * (1 - SINGLE_SHARE) / (mean_run() * mean_size())
    trace = []
    for single, rate in ((True, single_rate), (False, job_rate)):
        at = chance.expovariate(rate)
        while at < seconds:
            size = 1 if single else draw_size(chance)
            runs = tuple(draw_run(chance) for _ in range(size))
            trace.append(Arrival(at, single, runs))
            at += chance.expovariate(rate)
    return sorted(trace)


def find_ideal(arrival: Arrival, slots: int) -> float:
    """Tell the response on an idle system without delay, in seconds."""
    return max(max(arrival.runs), sum(arrival.runs) / slots)


def bound(trace: list[Arrival], slots: int, stretch: float) -> list[Response]:
    """Run a trace through one queue with no delay and all knowledge.

    :param stretch: 0 serves first come, first served; else by arrival plus
        ``stretch`` times the ideal, as the dispatcher orders jobs.
    """
    free = [0.0] * slots
    waiting: list[tuple[float, int, int]] = []
    left = [len(arrival.runs) for arrival in trace]
    done = [0.0] * len(trace)
    following = 0
    while following < len(trace) or waiting:
        at = heapq.heappop(free)
        if not waiting:
            at = max(at, trace[following].at)
        while following < len(trace) and trace[following].at <= at:
            arrival = trace[following]
            rank = arrival.at + stretch * find_ideal(arrival, slots)
            for position in range(len(arrival.runs)):
                heapq.heappush(waiting, (rank, following, position))
            following += 1
        _, number, position = heapq.heappop(waiting)
        end = at + trace[number].runs[position]
        heapq.heappush(free, end)
        left[number] -= 1
        done[number] = max(done[number], end)
    return [
        Response(arrival, done[number] - arrival.at)
        for number, arrival in enumerate(trace)
    ]
