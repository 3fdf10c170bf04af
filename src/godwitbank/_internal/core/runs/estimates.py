"""Expected run times: what callers guess, mended by what was observed."""

import math

MEAN_WINDOW_RUNS = 200
"""Runs over which a queue's mean is taken; some seconds of a busy queue."""

CALLER_ESTIMATE_WEIGHT = 0.4
"""Weight of the caller's guess against the queue's mean, both as logarithms.

Guesses are wrong by 40 % and more; the mean alone ignores that jobs differ.
"""

PRIOR_RUNS = 5
"""Runs that the callers' own guess counts for before any was observed."""


class QueueRunTimes:
    """Run times of one queue at an ordinary endpoint."""

    def __init__(self) -> None:
        self._log_mean = 0.0
        self._runs = 0

    def observe(self, seconds: float) -> None:
        """Note the run time of a task that was done."""
        self._runs = min(self._runs + 1, MEAN_WINDOW_RUNS)
        value = math.log(max(seconds, 1e-3))
        self._log_mean += (value - self._log_mean) / self._runs

    def predict(self, guess: float) -> float:
        """Expect a run time, in seconds, given the caller's guess."""
        guess_log = math.log(max(guess, 1e-3))
        if not self._runs:
            return math.exp(guess_log)
        trust = (1 - CALLER_ESTIMATE_WEIGHT) * self._runs / (self._runs + PRIOR_RUNS)
        return math.exp(trust * self._log_mean + (1 - trust) * guess_log)


class RunTimeEstimates:
    """Estimates of all queues."""

    def __init__(self) -> None:
        self._queues: dict[str, QueueRunTimes] = {}

    def predict(self, queue: str, guess: float) -> float:
        """Expect a run time of a task, in seconds."""
        return self._get(queue).predict(guess)

    def observe(self, queue: str, seconds: float) -> None:
        """Note a run time."""
        self._get(queue).observe(seconds)

    def _get(self, queue: str) -> QueueRunTimes:
        found = self._queues.get(queue)
        if found is None:
            found = self._queues[queue] = QueueRunTimes()
        return found
