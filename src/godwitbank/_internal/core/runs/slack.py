"""How likely a task is to end late at an endpoint, from its slack.

A job's objective grows with its longest task, so an error of the predicted run time
moves the objective and the end of the run together. At an endpoint where runs take as
much longer than predicted as the objective allows for, only the waiting time matters;
at a slower one long tasks are late even if they start at once.
"""

import math
from typing import NamedTuple

from godwitbank._internal.core.runs.jobs import Task

RUN_TIME_ERROR = 0.4
"""Standard error of predicted run times, as a share of them."""

START_SECONDS = 0.02
"""Seconds from the decision to the start of a run and from its end to the result, and
how much they vary."""

MAX_EXPONENT = 30.0
"""Bound of the exponent, so that the exponential function can't overflow."""


class TaskSlack(NamedTuple):
    """Time left to a task.

    :param expected: predicted run time, in seconds.
    :param seconds_left: seconds until the job's objective.
    :param stretch: multiple of the run time that the objective allows for.
    """

    expected: float
    seconds_left: float
    stretch: float

    @classmethod
    def from_task(cls, task: Task, now: float) -> "TaskSlack":
        """Compute the slack of a task that is about to start."""
        job = task.job
        seconds_left = job.arrival + job.objective - now - START_SECONDS
        return cls(task.expected, seconds_left, job.queue.stretch)

    def estimate_lateness(self, factor: float) -> float:
        """Estimate the probability that the task makes its job late.

        :param factor: run time at the endpoint as a multiple of the predicted one.
        """
        slack = self.seconds_left - factor * self.expected
        error = abs(factor - self.stretch) * RUN_TIME_ERROR * self.expected
        exponent = 2 * slack / (error + START_SECONDS)
        exponent = max(-MAX_EXPONENT, min(MAX_EXPONENT, exponent))
        return 1 / (1 + math.exp(exponent))
