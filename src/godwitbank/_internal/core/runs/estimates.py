"""Predicted run times: the callers' estimates, corrected by the observed run times."""

import math

MEAN_WINDOW_RUNS = 200
"""Runs over which a queue's mean is taken; a busy queue has them in a few seconds."""

CALLER_ESTIMATE_WEIGHT = 0.4
"""Weight of the caller's estimate against the queue's mean, both as logarithms.

Callers' estimates are wrong by 40 % and more, but the mean alone ignores differences
between jobs.
"""

PRIOR_RUNS = 5
"""Runs that the caller's estimate counts for in addition to the observed ones, so that
the mean of a few runs has little weight."""


class QueueRunTimes:
    """Mean run time of one queue's tasks at an endpoint of mean speed."""

    def __init__(self) -> None:
        self._log_mean = 0.0
        self._runs = 0

    def observe(self, seconds: float) -> None:
        """Record the run time, in seconds, of a run that was done."""
        self._runs = min(self._runs + 1, MEAN_WINDOW_RUNS)
        value = math.log(max(seconds, 1e-3))
        self._log_mean += (value - self._log_mean) / self._runs

    def predict(self, estimate: float) -> float:
        """Predict a run time from the caller's estimate, both in seconds."""
        estimate_log = math.log(max(estimate, 1e-3))
        if not self._runs:
            return math.exp(estimate_log)
        mean_weight = (
            (1 - CALLER_ESTIMATE_WEIGHT) * self._runs / (self._runs + PRIOR_RUNS)
        )
        return math.exp(mean_weight * self._log_mean + (1 - mean_weight) * estimate_log)


class RunTimeEstimates:
    """Predicts the run times of the tasks of all queues."""

    def __init__(self) -> None:
        self._queues: dict[str, QueueRunTimes] = {}

    def predict(self, queue: str, estimate: float) -> float:
        """Predict a run time from the caller's estimate, both in seconds."""
        return self._get(queue).predict(estimate)

    def observe(self, queue: str, seconds: float) -> None:
        """Record the run time, in seconds, of a run that was done."""
        self._get(queue).observe(seconds)

    def _get(self, queue: str) -> QueueRunTimes:
        run_times = self._queues.get(queue)
        if run_times is None:
            run_times = self._queues[queue] = QueueRunTimes()
        return run_times
