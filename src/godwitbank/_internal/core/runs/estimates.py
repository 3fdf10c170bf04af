"""Expected run times: what callers guess, mended by what was observed."""

import math

MEMORY_RUNS = 200
"""Runs over which a queue's mean is taken; some seconds of a busy queue."""

GUESS_WEIGHT = 0.4
"""Weight of the caller's guess against the queue's mean, both as logarithms.

Guesses are wrong by 40 % and more; the mean alone ignores that jobs differ.
"""

FIRST_GUESSES = 5
"""Runs that the callers' own guess counts for before any was observed."""


class QueueEstimate:
    """Run times of one queue at an ordinary endpoint."""

    def __init__(self) -> None:
        self._log_mean = 0.0
        self._runs = 0

    def observe(self, seconds: float) -> None:
        """Note the run time of a task that was done."""
        self._runs = min(self._runs + 1, MEMORY_RUNS)
        value = math.log(max(seconds, 1e-3))
        self._log_mean += (value - self._log_mean) / self._runs

    def expect(self, guess: float) -> float:
        """Expect a run time, in seconds, given the caller's guess."""
        guess_log = math.log(max(guess, 1e-3))
        if not self._runs:
            return math.exp(guess_log)
        trust = (1 - GUESS_WEIGHT) * self._runs / (self._runs + FIRST_GUESSES)
        return math.exp(trust * self._log_mean + (1 - trust) * guess_log)


class Estimates:
    """Estimates of all queues."""

    def __init__(self) -> None:
        self._queues: dict[str, QueueEstimate] = {}

    def expect(self, queue: str, guess: float) -> float:
        """Expect a run time of a task, in seconds."""
        return self._get(queue).expect(guess)

    def observe(self, queue: str, seconds: float) -> None:
        """Note a run time."""
        self._get(queue).observe(seconds)

    def _get(self, queue: str) -> QueueEstimate:
        found = self._queues.get(queue)
        if found is None:
            found = self._queues[queue] = QueueEstimate()
        return found
