"""Failure rate of one endpoint over recent submissions."""

from collections import OrderedDict
from itertools import islice
from typing import NamedTuple

WINDOW_SUBMISSIONS = 20
"""Number of most recent submissions that count."""

MAX_VOTE_AGE_SECONDS = 10.0
"""Seconds after which a vote no longer counts."""

MIN_SAMPLES = 4
"""Number of submissions below which the rate is reported as 0."""


class Vote(NamedTuple):
    """Whether any task of one submission failed at an endpoint, and when last seen."""

    failed: bool
    at: float


class FailureRate:
    """Share of recent submissions with a failed task.

    Each submission has one vote, so that a job whose tasks all fail doesn't count
    hundreds of times against the endpoint that happened to run it.

    >>> rate = FailureRate()
    >>> rate.add("a", True, now=0.0)
    >>> rate.add("a", True, now=0.0)
    >>> rate.samples
    1
    """

    def __init__(self) -> None:
        self._votes: OrderedDict[str, Vote] = OrderedDict()
        self._failed = 0

    @property
    def samples(self) -> int:
        """Number of recent submissions with a vote."""
        return len(self._votes)

    def add(self, submission: str, failed: bool, now: float) -> None:
        """Record whether a task of a submission failed."""
        previous = self._votes.pop(submission, None)
        if previous is not None:
            self._failed -= previous.failed
            failed = failed or previous.failed
        self._votes[submission] = Vote(failed, now)
        self._failed += failed
        if len(self._votes) > WINDOW_SUBMISSIONS:
            self._drop_oldest()

    def measure(self, now: float) -> float:
        """Return the failure rate, 0 to 1; 0 while there are too few votes."""
        while (
            self._votes
            and next(iter(self._votes.values())).at + MAX_VOTE_AGE_SECONDS < now
        ):
            self._drop_oldest()
        if len(self._votes) < MIN_SAMPLES:
            return 0.0
        return self._failed / len(self._votes)

    def measure_latest(self, count: int, now: float) -> float:
        """Return the failure rate of the latest votes, 0 to 1.

        It is 0 while there are too few votes.

        :param count: number of votes; ``MIN_SAMPLES`` votes count at least.
        """
        if self.measure(now) == 0.0:
            return 0.0
        newest_first = reversed(self._votes.values())
        votes = list(islice(newest_first, max(count, MIN_SAMPLES)))
        return sum(vote.failed for vote in votes) / len(votes)

    def clear(self) -> None:
        """Remove all votes."""
        self._votes.clear()
        self._failed = 0

    def _drop_oldest(self) -> None:
        _, vote = self._votes.popitem(last=False)
        self._failed -= vote.failed
