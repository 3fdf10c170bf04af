"""Watching of the operators' table in the platform's store.

The table holds the configuration, and one row for each zone that is to be evacuated.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.runs.poll_limits import PollLimits
from godwitbank._internal.models.jobs import Configuration, Evacuation
from godwitbank._internal.operations.decisions import DecisionLog
from godwitbank._internal.platform.bodies import decode_configuration
from godwitbank._internal.platform.rows import ReadResult, Row, find_evacuated_zones
from godwitbank._internal.platform.store import StoreClient

OPERATORS_TABLE = "op"
"""Table that only the operators write to."""

NEXT_KEY_SUFFIX = "\0"
"""Appended to a key, gives the next key in the store's order."""


class Subscriber(NamedTuple):
    """Callbacks of the process that follows the operators' table.

    :param evacuate: receives the complete set of evacuated zones.
    :param configure: receives each new configuration.
    :param count_entries: returns how many entries poll the store, including this one.
    """

    evacuate: Callable[[Evacuation], None]
    configure: Callable[[Configuration], None]
    count_entries: Callable[[], int]


class OperatorTableWatcher:
    """Passes the contents of the operators' table to a subscriber as they change.

    :param store: client of the platform's store.
    :param subscriber: receives evacuations and configurations.
    :param poll_limits: timeouts of polls, and their rate among all entries.
    :param log: receives polls that brought a change or failed.
    :param counts: receives the number of polls by outcome.
    """

    def __init__(
        self,
        store: StoreClient,
        subscriber: Subscriber,
        poll_limits: PollLimits,
        log: DecisionLog,
        counts: Counts,
    ) -> None:
        self._store = store
        self._poll_limits = poll_limits
        self._subscriber = subscriber
        self._log = log
        self._counts = counts
        self._last_answered_at = 0.0
        self._failed = False

    async def run(self) -> None:
        """Watch the table until cancelled.

        After a failed call, also one for changes that the store no longer keeps, the
        whole table is read again.
        """
        self._last_answered_at = _read_clock()
        current: Evacuation | None = None
        while True:
            try:
                if current is None:
                    current = await self._read_all()
                current = await self._await_change(current)
            except Exception as error:  # noqa: BLE001
                # Catches every error: an entry whose watcher has ended would get no
                # further configuration or evacuation from the store.
                self._record_failure(error)
                current = None
                await self._store.wait_before_retry(error)

    async def _read_all(self) -> Evacuation:
        query = {"table": OPERATORS_TABLE, "part": ""}
        seconds = self._poll_limits.read_seconds
        read = page = await self._store.get_rows("/-/rows-get", query, seconds)
        while page.has_more and page.changes:
            # The first page is the oldest of several, and its version is kept: what
            # has changed since then is reported again by the poll for changes.
            after = {**query, "from": page.changes[-1].key + NEXT_KEY_SUFFIX}
            page = await self._store.get_rows("/-/rows-get", after, seconds)
            read = read._replace(
                rows=read.rows + page.rows, changes=read.changes + page.changes
            )
        self._record_answer(read, whole=True)
        return self._deliver(read, frozenset())

    async def _await_change(self, current: Evacuation) -> Evacuation:
        wait = self._poll_limits.choose_wait(self._subscriber.count_entries())
        query = {
            "table": OPERATORS_TABLE,
            "after": str(current.revision),
            "wait-ms": str(int(wait * 1000)),
        }
        seconds = wait + self._poll_limits.answer_seconds
        read = await self._store.get_rows("/-/rows-feed", query, seconds)
        self._record_answer(read, whole=False)
        return self._deliver(read, current.zones)

    def _record_answer(self, read: ReadResult, whole: bool) -> None:
        """Record an answered poll.

        It is logged if it read the whole table or brought a change.
        """
        self._counts.add("store_looks", "changed" if read.changes else "unchanged")
        silence = self._measure_unanswered_seconds()
        self._last_answered_at = _read_clock()
        self._failed = False
        if read.changes or whole:
            fields = {"revision": read.version, "whole": whole, "silence": silence}
            self._log.write("operators_read", "", fields)

    def _record_failure(self, error: Exception) -> None:
        """Record a failed poll; log only the first one after an answered poll."""
        self._counts.add("store_looks", "failed")
        if not self._failed:
            self._failed = True
            fields = {
                "error": type(error).__name__,
                "reason": str(error),
                "silence": self._measure_unanswered_seconds(),
            }
            self._log.write("operators_not_read", "", fields)

    def _measure_unanswered_seconds(self) -> float:
        """Return the seconds since a poll was last answered."""
        return round(_read_clock() - self._last_answered_at, 3)

    def _deliver(self, read: ReadResult, evacuated: frozenset[str]) -> Evacuation:
        """Pass on what was read.

        Evacuations come first, because a configuration lets the entry accept jobs, and
        these must not be placed in an evacuated zone.
        """
        zones = find_evacuated_zones(read.changes, evacuated)
        evacuation = Evacuation(zones, read.version)
        self._subscriber.evacuate(evacuation)
        for row in read.rows:
            if row.key == "config" and not row.part:
                self._deliver_configuration(row)
        return evacuation

    def _deliver_configuration(self, row: Row) -> None:
        try:
            configuration = decode_configuration(row.value)
        except msgspec.DecodeError as error:
            # The configuration in force stays until a valid one is read.
            self._store.record_unusable_row(OPERATORS_TABLE, row.key, str(error))
            return
        self._subscriber.configure(configuration)


def _read_clock() -> float:
    return asyncio.get_running_loop().time()
