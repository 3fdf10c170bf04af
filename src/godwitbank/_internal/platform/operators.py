"""What the operators want, read from the platform's store and watched there."""

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
"""Table of what the operators want; only they write there."""

NEXT_KEY_SUFFIX = "\0"
"""Added to a key it gives the one that follows next."""


class Subscriber(NamedTuple):
    """The process that takes what the operators want.

    :param evacuate: takes the zones that are evacuated, all of them.
    :param configure: takes each configuration.
    :param count_entries: tells how many entries look at the store, this one too.
    """

    evacuate: Callable[[Evacuation], None]
    configure: Callable[[Configuration], None]
    count_entries: Callable[[], int]


class OperatorTableWatcher:
    """Delivers what the operators want."""

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
        self._heard_at = 0.0
        self._failed = False

    async def run(self) -> None:
        """Deliver what the operators want, for ever.

        A lost history or a failed call leads to a whole read.
        """
        self._heard_at = _read_clock()
        held: Evacuation | None = None
        while True:
            try:
                if held is None:
                    held = await self._read_all()
                held = await self._await_change(held)
            except Exception as error:  # noqa: BLE001
                # Whatever it was: an entry whose watch has ended stays deaf.
                self._note_failure(error)
                held = None
                await self._store.wait_before_retry(error)

    async def _read_all(self) -> Evacuation:
        query = {"table": OPERATORS_TABLE, "part": ""}
        seconds = self._poll_limits.read_seconds
        read = page = await self._store.get_rows("/-/rows-get", query, seconds)
        while page.has_more and page.changes:
            # Of several pages the first is the oldest; what has changed since is
            # told again as a change.
            after = {**query, "from": page.changes[-1].key + NEXT_KEY_SUFFIX}
            page = await self._store.get_rows("/-/rows-get", after, seconds)
            read = read._replace(
                rows=read.rows + page.rows, changes=read.changes + page.changes
            )
        self._note_answer(read, whole=True)
        return self._deliver(read, frozenset())

    async def _await_change(self, held: Evacuation) -> Evacuation:
        wait = self._poll_limits.choose_wait(self._subscriber.count_entries())
        query = {
            "table": OPERATORS_TABLE,
            "after": str(held.revision),
            "wait-ms": str(int(wait * 1000)),
        }
        seconds = wait + self._poll_limits.answer_seconds
        read = await self._store.get_rows("/-/rows-feed", query, seconds)
        self._note_answer(read, whole=False)
        return self._deliver(read, held.zones)

    def _note_answer(self, read: ReadResult, whole: bool) -> None:
        """Note a look that was answered; log it if it told of anything."""
        self._counts.add("store_looks", "changed" if read.changes else "unchanged")
        silence = self._measure_silence()
        self._heard_at = _read_clock()
        self._failed = False
        if read.changes or whole:
            fields = {"revision": read.version, "whole": whole, "silence": silence}
            self._log.write("operators_read", "", fields)

    def _note_failure(self, error: Exception) -> None:
        """Note a look that failed; the first after one that was answered is logged."""
        self._counts.add("store_looks", "failed")
        if not self._failed:
            self._failed = True
            reason = type(error).__name__
            fields = {"error": reason, "silence": self._measure_silence()}
            self._log.write("operators_not_read", "", fields)

    def _measure_silence(self) -> float:
        """Tell for how many seconds no look has been answered."""
        return round(_read_clock() - self._heard_at, 3)

    def _deliver(self, read: ReadResult, evacuated: frozenset[str]) -> Evacuation:
        """Deliver what was read, what is evacuated before what lets jobs in."""
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
            # The one in force holds on until one comes that can be read.
            self._store.record_unusable_row(OPERATORS_TABLE, row.key, str(error))
            return
        self._subscriber.configure(configuration)


def _read_clock() -> float:
    return asyncio.get_running_loop().time()
