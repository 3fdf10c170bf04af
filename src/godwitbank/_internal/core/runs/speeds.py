"""Speeds of endpoints: learnt by their agents, shared with entries, compared by kind.

Endpoints of different kinds take different times for the same task, and keep doing so.
An agent sees the runs of all entries at its endpoint, so it learns how much longer they
take than predicted, and tells the entries together with the number of runs behind it.
"""

import math
from collections import deque
from typing import NamedTuple

SPEED_WINDOW_RUNS = 24
"""Runs over which an endpoint's speed is averaged. A single run time is predicted wrong
by 40 % and more; the mean of so many by less than the difference between kinds."""

SPEED_UPDATE_SHARE = 0.12
"""Relative change of a speed that entries are told of at once; one run in a full window
changes it by less than a quarter of that in most cases."""

MAX_SPEED_FACTOR = 2.5
"""Highest factor, and inverse of the lowest one, that counts as the speed of a kind.
A slower endpoint isn't of a slow kind but in trouble."""

MAX_RUN_DEVIATION = math.log(2)
"""Largest deviation of a run from the average that counts, as a logarithm. A task that
takes several times as long as others of its queue says little about its endpoint."""

LEARN_DELAY_SECONDS = 1.0
"""Seconds until an ended run counts for the speed. An endpoint that turns slow is found
in less, and what its runs took says nothing about its kind."""

MIN_RUN_SECONDS = 1e-3
"""Lower bound of run times, in seconds; it avoids logarithms of zero."""

MIN_KIND_ENDPOINTS = 2
"""Endpoints of a label that must be known before it predicts the speed of another."""

RUN_LOG_VARIANCE = 0.16
"""Variance of the logarithm of one run's time around its prediction: 40 %."""

MIN_KIND_LOG_VARIANCE = 0.0025
"""Lower bound of the variance within a kind: endpoints of a kind differ by 5 %."""

UNKNOWN_KIND_LOG_VARIANCE = 0.1
"""Variance of the speeds of endpoints of which no kind is known."""


class LearntSpeed(NamedTuple):
    """What is known of an endpoint's speed.

    :param factor: run time here as a multiple of the predicted one.
    :param runs: number of runs that it was learnt from, at most ``SPEED_WINDOW_RUNS``.
    """

    factor: float = 1.0
    runs: int = 0

    def differs_from(self, told: "LearntSpeed") -> bool:
        """Return whether entries that were told another speed would decide otherwise.

        A speed that hardly changes is told once half and once all of its runs are done.
        """
        if abs(self.factor - told.factor) > SPEED_UPDATE_SHARE * told.factor:
            return True
        half = SPEED_WINDOW_RUNS // 2
        return self.runs // half > told.runs // half


class DelayedRun(NamedTuple):
    """A completed run that doesn't count yet.

    :param elapsed: run time, in seconds.
    :param expected: run time predicted for an ordinary endpoint, in seconds.
    :param at: time of its end, in seconds.
    """

    elapsed: float
    expected: float
    at: float


class EndpointSpeed:
    """Learns the speed of one endpoint from the runs that are completed there."""

    def __init__(self) -> None:
        self._log_factor = 0.0
        self._runs = 0
        self._delayed: deque[DelayedRun] = deque()

    @property
    def learnt(self) -> LearntSpeed:
        """The speed learnt so far."""
        return LearntSpeed(math.exp(self._log_factor), self._runs)

    def delay_run(self, elapsed: float, expected: float, now: float) -> None:
        """Record a run that was completed, to be learnt from a while later.

        Until a full window is known, runs count at once: otherwise an endpoint of a
        slow kind would pass for one that turned slow.
        """
        if self._runs < SPEED_WINDOW_RUNS:
            self.record_run(elapsed, expected)
            return
        self._delayed.append(DelayedRun(elapsed, expected, now))

    def learn_delayed(self, now: float) -> None:
        """Learn from the delayed runs that ended long enough ago."""
        while self._delayed and now - self._delayed[0].at >= LEARN_DELAY_SECONDS:
            run = self._delayed.popleft()
            self.record_run(run.elapsed, run.expected)

    def drop_delayed(self) -> None:
        """Drop the delayed runs, as their endpoint was slow."""
        self._delayed.clear()

    def record_run(self, elapsed: float, expected: float) -> None:
        """Learn from a run that was completed.

        :param elapsed: run time, in seconds.
        :param expected: run time predicted for an ordinary endpoint, in seconds.
        """
        ratio = max(elapsed, MIN_RUN_SECONDS) / max(expected, MIN_RUN_SECONDS)
        deviation = math.log(ratio) - self._log_factor
        deviation = max(-MAX_RUN_DEVIATION, min(MAX_RUN_DEVIATION, deviation))
        self._runs = min(self._runs + 1, SPEED_WINDOW_RUNS)
        limit = math.log(MAX_SPEED_FACTOR)
        log_factor = self._log_factor + deviation / self._runs
        self._log_factor = max(-limit, min(limit, log_factor))


class LabelSpeeds:
    """Speeds of the endpoints with one label: count, mean and variance."""

    __slots__ = ("endpoints", "_sum", "_sum_of_squares")

    def __init__(self) -> None:
        self.endpoints = 0
        self._sum = 0.0
        self._sum_of_squares = 0.0

    def add(self, log_factor: float) -> None:
        """Add an endpoint."""
        self.endpoints += 1
        self._sum += log_factor
        self._sum_of_squares += log_factor * log_factor

    def remove(self, log_factor: float) -> None:
        """Remove an endpoint that was added with the same speed."""
        self.endpoints -= 1
        self._sum -= log_factor
        self._sum_of_squares -= log_factor * log_factor

    @property
    def log_mean(self) -> float:
        """Mean logarithm of the run time factors."""
        return self._sum / self.endpoints

    @property
    def log_variance(self) -> float:
        """Variance of the logarithms of the run time factors."""
        variance = self._sum_of_squares / self.endpoints - self.log_mean**2
        return max(variance, MIN_KIND_LOG_VARIANCE)


class KnownEndpoint(NamedTuple):
    """What an entry was told of an endpoint's speed, and the labels it counts for."""

    speed: LearntSpeed
    labels: frozenset[str]


class KindSpeed(NamedTuple):
    """Logarithm of the run time factor expected of a kind, and its variance."""

    log_mean: float
    log_variance: float


class KindSpeeds:
    """Speeds of all endpoints that an entry knows, by endpoint and by label.

    Which of an endpoint's labels is its kind isn't known. It is the one whose endpoints
    differ least.
    """

    def __init__(self) -> None:
        self._known: dict[str, KnownEndpoint] = {}
        self._labels: dict[str, LabelSpeeds] = {}
        self._all = LabelSpeeds()

    def record(self, address: str, speed: LearntSpeed, labels: frozenset[str]) -> None:
        """Record what an endpoint's agent has learnt."""
        self.forget(address)
        self._known[address] = KnownEndpoint(speed, labels)
        if speed.runs < SPEED_WINDOW_RUNS:
            return
        self._all.add(math.log(speed.factor))
        for label in labels:
            self._labels.setdefault(label, LabelSpeeds()).add(math.log(speed.factor))

    def relabel(self, address: str, labels: frozenset[str]) -> None:
        """Record the labels of an endpoint, whose speed may be unknown yet."""
        known = self._known.get(address)
        self.record(address, known.speed if known else LearntSpeed(), labels)

    def forget(self, address: str) -> None:
        """Forget an endpoint that is gone or was started anew."""
        known = self._known.pop(address, None)
        if known is None or known.speed.runs < SPEED_WINDOW_RUNS:
            return
        self._all.remove(math.log(known.speed.factor))
        for label in known.labels:
            speeds = self._labels[label]
            speeds.remove(math.log(known.speed.factor))
            if not speeds.endpoints:
                del self._labels[label]

    @property
    def mean_factor(self) -> float:
        """Mean run time factor of the endpoints whose speed is known, 1 if none is.

        Only its quotients with the factors of endpoints say how fast those are. It also
        contains the bias of the callers' estimates, which is alike at all of them.
        """
        return math.exp(self._all.log_mean) if self._all.endpoints else 1.0

    def estimate(self, address: str) -> float:
        """Return the factor by which runs take longer at an endpoint than predicted.

        The fewer runs its agent has seen, the more the endpoint's kind counts.
        """
        known = self._known.get(address)
        if known is None:
            return 1.0
        kind = self._estimate_kind(known.labels)
        own_weight = known.speed.runs / RUN_LOG_VARIANCE
        kind_weight = 1 / kind.log_variance
        own_log = math.log(known.speed.factor)
        weighted = own_weight * own_log + kind_weight * kind.log_mean
        return math.exp(weighted / (own_weight + kind_weight))

    def _estimate_kind(self, labels: frozenset[str]) -> KindSpeed:
        kinds = [
            speeds
            for label in labels
            if (speeds := self._labels.get(label)) is not None
            and speeds.endpoints >= MIN_KIND_ENDPOINTS
        ]
        if not kinds:
            return KindSpeed(0.0, UNKNOWN_KIND_LOG_VARIANCE)
        kind = min(kinds, key=lambda each: each.log_variance)
        return KindSpeed(kind.log_mean, kind.log_variance)
