"""How long an entry's looks for what the operators want may take.

A look waits at the store until something changes. Its connection may die without a
word, and then it waits in vain: an entry whose peers are deaf as well goes on by what
the operators have replaced. So a look must end, and the next one be answered, before
such an entry is held to a change.
"""

from typing import NamedTuple

from godwitbank._internal.core.runs.deployment import Deployment

WAIT_SHARE = 1 / 3
"""Of the seconds in which a change must be noticed, those that a look waits for it."""

ANSWER_SHARE = 1 / 4
"""Of the same, those that the answer may take beyond: the store may be slow, and this
process late. The rest is for the next call."""

READ_SHARE = 1 / 2
"""Of the same, those that a read of everything may take."""

MAX_READ = 1.5
"""Seconds of the longest read of everything, however long a change may take."""

STORE_SHARE = 0.2
"""Of the reads that the store allows to all processes, those for entries' looks."""


class PollLimits(NamedTuple):
    """Seconds that the calls of one entry may take.

    :param wait: longest wait at the store for a change, among few entries.
    :param answer: longest wait for an answer that is due.
    :param read: longest wait for everything to be read.
    :param most_a_second: looks a second that all entries may make.
    """

    wait_seconds: float
    answer_seconds: float
    read_seconds: float
    max_polls_per_second: float

    @classmethod
    def from_deployment(cls, deployment: Deployment) -> "PollLimits":
        """Derive them from what a deployment allows."""
        unseen = deployment.change_timeout_seconds
        return cls(
            unseen * WAIT_SHARE,
            unseen * ANSWER_SHARE,
            min(MAX_READ, unseen * READ_SHARE),
            deployment.store_reads_per_second * STORE_SHARE,
        )

    def choose_wait(self, entries: int) -> float:
        """Choose how long a look waits, so that all entries stay below their share.

        :param entries: how many there are, this one too.
        """
        return max(self.wait_seconds, entries / self.max_polls_per_second)
