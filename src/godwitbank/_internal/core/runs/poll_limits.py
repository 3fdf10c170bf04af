"""Time limits for an entry's polls of the store for changes made by operators.

A poll is held at the store until something changes. If its connection fails silently,
the poll never gets an answer, and an entry that is also without contact to its peers
keeps using outdated settings. So a poll must time out, and the next one be answered,
before such an entry is required to have noticed a change.
"""

from typing import NamedTuple

from godwitbank._internal.core.runs.deployment import Deployment

WAIT_SHARE = 1 / 3
"""Fraction of the time to notice a change for which a poll waits at the store."""

ANSWER_SHARE = 1 / 4
"""Fraction of the same time that the answer may take beyond the wait, because the store
may be slow and the event loop of this process late. The rest is for the next call."""

READ_SHARE = 1 / 2
"""Fraction of the same time that a read of all rows may take."""

MAX_READ_SECONDS = 1.5
"""Upper limit in seconds for a read of all rows, even if changes may take longer."""

STORE_READS_SHARE = 0.2
"""Fraction of the store's read limit, common to all processes, that polls may use."""


class PollLimits(NamedTuple):
    """Time limits for the calls of one entry to the store.

    :param wait_seconds: time for which a poll waits at the store for a change, as long
        as there are few entries.
    :param answer_seconds: timeout for the answer to a poll after that wait.
    :param read_seconds: timeout for a read of all rows.
    :param max_polls_per_second: polls that all entries together may send.
    """

    wait_seconds: float
    answer_seconds: float
    read_seconds: float
    max_polls_per_second: float

    @classmethod
    def from_deployment(cls, deployment: Deployment) -> "PollLimits":
        """Derive the limits from the settings of a deployment."""
        change_timeout = deployment.change_timeout_seconds
        return cls(
            change_timeout * WAIT_SHARE,
            change_timeout * ANSWER_SHARE,
            min(MAX_READ_SECONDS, change_timeout * READ_SHARE),
            deployment.store_reads_per_second * STORE_READS_SHARE,
        )

    def choose_wait(self, entries: int) -> float:
        """Return the seconds to wait in a poll, so that the poll limit is kept.

        :param entries: number of entries, including this one.
        """
        return max(self.wait_seconds, entries / self.max_polls_per_second)
