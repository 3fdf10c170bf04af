"""Share of recent submissions that failed at one endpoint."""

from collections import OrderedDict
from typing import NamedTuple

WINDOW_SUBMISSIONS = 20
"""Submissions that count as recent."""

MAX_VOTE_AGE_SECONDS = 10.0
"""Seconds after which a vote no longer counts."""

MIN_SAMPLES = 4
"""Submissions below which nothing is concluded."""


class Vote(NamedTuple):
    """One submission's experience of an endpoint."""

    failed: bool
    at: float


class FailureRate:
    """Failure share by distinct submission.

    A job whose every task fails must not count hundreds of times against the
    endpoint that happened to run it, so each submission has one vote.

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
        """Number of submissions seen recently."""
        return len(self._votes)

    def add(self, submission: str, failed: bool, now: float) -> None:
        """Note how a task of a submission ended."""
        previous = self._votes.pop(submission, None)
        if previous is not None:
            self._failed -= previous.failed
            failed = failed or previous.failed
        self._votes[submission] = Vote(failed, now)
        self._failed += failed
        if len(self._votes) > WINDOW_SUBMISSIONS:
            self._drop_oldest()

    def measure(self, now: float) -> float:
        """Tell the share that failed, or 0 while there are too few votes."""
        while (
            self._votes
            and next(iter(self._votes.values())).at + MAX_VOTE_AGE_SECONDS < now
        ):
            self._drop_oldest()
        if len(self._votes) < MIN_SAMPLES:
            return 0.0
        return self._failed / len(self._votes)

    def clear(self) -> None:
        """Forget every vote."""
        self._votes.clear()
        self._failed = 0

    def _drop_oldest(self) -> None:
        _, vote = self._votes.popitem(last=False)
        self._failed -= vote.failed
