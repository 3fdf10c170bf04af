"""Reports of an entry's load by queue, as the heartbeats between entries carry them.

Rows are lists of whole numbers, as most of them then take one to three bytes. They are
rounded up, so that a little work is never reported as none.
"""

import math
from itertools import accumulate
from typing import NamedTuple

from godwitbank._internal.core.runs.admission import HORIZONS_SECONDS
from godwitbank._internal.core.runs.queue_loads import (
    OTHER_QUEUES,
    QueueLoads,
    QueueRates,
    compute_queue_key,
)
from godwitbank._internal.models.run_messages import EntryPulse

WAITING_UNIT_CORE_SECONDS = 0.01
"""Unit of waiting work in a row, in core-seconds."""

RATE_UNIT_CORES = 0.01
"""Unit of rates in a row, in core-seconds per second."""

RATE_INTERVAL_SECONDS = 1.0
"""Seconds between two reports of rates. They are averages over a longer time."""

MAX_UNITS = 2**53
"""Largest figure in a report; a frame holds no larger number than 2**64."""

MAX_QUEUES = 32
"""Most queues that a report lists; the others are reported as one."""

MAX_PEER_QUEUES = 2 * MAX_QUEUES
"""Most rows that are read of a peer's report."""

Rows = list[list[int]]


class _Listing(NamedTuple):
    key: int
    figures: tuple[float, ...]


class LoadReports:
    """Makes the reports of this entry, and reads those of its peers."""

    def __init__(self, loads: QueueLoads, now: float) -> None:
        self._loads = loads
        self._next_rates_at = now

    def make_pulse(
        self, waiting: dict[str, list[float]], lag: float, now: float
    ) -> EntryPulse:
        """Make a heartbeat.

        :param waiting: core-seconds that wait here for each of ``HORIZONS_SECONDS``,
            by queue.
        :param lag: delay of the event loop, as in ``EntryPulse``.
        """
        rates: Rows = []
        if now >= self._next_rates_at:
            self._next_rates_at = now + RATE_INTERVAL_SECONDS
            rates = _encode_rates(self._loads.list_own_rates(now))
        return EntryPulse(_encode_waiting(waiting), rates, lag)

    def read_pulse(self, peer: str, pulse: EntryPulse, now: float) -> None:
        """Record the load that a peer reports; rows that can't be read are ignored.

        :param peer: incarnation of the peer.
        """
        waiting = _decode_waiting(pulse.waiting)
        self._loads.update_peer_waiting(peer, waiting, now)
        if pulse.rates:
            self._loads.update_peer_rates(peer, _decode_rates(pulse.rates), now)


def _list_busiest(listings: list[_Listing]) -> list[_Listing]:
    """Return the busiest queues, and the sum of the others in place of them."""
    if len(listings) <= MAX_QUEUES:
        return listings
    listings.sort(key=lambda each: -max(each.figures))
    others = zip(*(each.figures for each in listings[MAX_QUEUES:]), strict=True)
    total = _Listing(compute_queue_key(OTHER_QUEUES), tuple(map(sum, others)))
    return [*listings[:MAX_QUEUES], total]


def _encode_waiting(waiting: dict[str, list[float]]) -> Rows:
    """Encode cumulative work as the increments between horizons, as most are 0."""
    listings = [
        _Listing(compute_queue_key(queue), tuple(work))
        for queue, work in waiting.items()
        if any(work)
    ]
    rows = []
    for key, work in _list_busiest(listings):
        units = [_count_units(each, WAITING_UNIT_CORE_SECONDS) for each in work]
        row = [units[0]]
        row += [after - before for before, after in zip(units, units[1:], strict=False)]
        while not row[-1]:
            row.pop()
        rows.append([key, *row])
    return rows


def _count_units(figure: float, unit: float) -> int:
    return math.ceil(min(figure / unit, MAX_UNITS))


def _decode_waiting(rows: Rows) -> dict[int, tuple[float, ...]]:
    waiting = {}
    for key, *increments in _list_valid(rows):
        missing = len(HORIZONS_SECONDS) - len(increments)
        if 0 <= missing < len(HORIZONS_SECONDS):
            units = accumulate([*increments, *[0] * missing])
            work = tuple(each * WAITING_UNIT_CORE_SECONDS for each in units)
            waiting[key] = work
    return waiting


def _encode_rates(rates: dict[str, QueueRates]) -> Rows:
    listings = [
        _Listing(compute_queue_key(queue), tuple(each)) for queue, each in rates.items()
    ]
    return [
        [key, *(_count_units(each, RATE_UNIT_CORES) for each in figures)]
        for key, figures in _list_busiest(listings)
    ]


def _decode_rates(rows: Rows) -> dict[int, QueueRates]:
    return {
        row[0]: QueueRates(row[1] * RATE_UNIT_CORES, row[2] * RATE_UNIT_CORES)
        for row in _list_valid(rows)
        if len(row) == 1 + len(QueueRates._fields)
    }


def _list_valid(rows: list) -> Rows:
    """Return the rows that consist of whole numbers, the first ones of too many."""
    return [row for row in rows[:MAX_PEER_QUEUES] if _is_valid(row)]


def _is_valid(row: object) -> bool:
    if not isinstance(row, list) or not row:
        return False
    return all(type(each) is int and each >= 0 for each in row)
