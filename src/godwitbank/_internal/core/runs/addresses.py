"""Addresses of entries, and which of them a process dials.

An entry keeps a stream to every other entry. An agent keeps streams to a limited number
of entries, so that the cost of the streams doesn't grow with the number of processes.
"""

import math
from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

ENTRIES_PER_AGENT = 8
"""Number of entries that an agent keeps a stream to, if there are that many.

If half of all entries are lost, one agent of 256 loses all its streams, until it has
dialled another entry. Each entry is connected to eight times as many agents as there
are agents per entry, so that an entry with several times the usual demand finds free
capacity.
"""

FIRST_DIAL_DELAY_SECONDS = 0.1
MAX_DIAL_DELAY_SECONDS = 0.5
"""First and longest delay in seconds before an unreachable address is dialled again.

The delays are short because two entries without a stream between them don't know which
jobs the other one has accepted.
"""

MAX_SPARE_DIAL_DELAY_SECONDS = 3.0
"""Longest such delay, in seconds, while an agent has enough streams to other entries.

Without it, an agent would dial entries that are gone for good twice a second.
"""

PASSIVE_DIAL_DELAY_SECONDS = 0.1
"""Seconds for which the entry with the higher address waits for the other to dial.

This keeps two entries that start at the same time from opening two streams to each
other.
"""


class DialState(NamedTuple):
    """When an address may be dialled again.

    :param due_at: time from which it may be dialled.
    :param delay: seconds to wait if the next dial fails.
    """

    due_at: float
    delay: float


class Addresses:
    """Addresses of entries known to one process, and their dial state.

    :param own: the process's own address, which is never dialled.
    :param limit: number of entries to keep a stream to; ``None`` for all of them.
    """

    def __init__(self, own: str, limit: int | None = None) -> None:
        self._own = own
        self._limit = limit
        self._dial_states: dict[str, DialState] = {}
        self._ranked: list[str] = []
        self._dialled: set[str] = set()
        self._stream_counts: dict[str, int] = {}
        self._next_due_at = math.inf

    def add(self, addresses: Iterable[str], now: float) -> list[str]:
        """Add addresses, and return those that were not known before."""
        added = [
            address
            for address in dict.fromkeys(addresses)
            if address != self._own and address not in self._dial_states
        ]
        for address in added:
            passive = self._limit is None and address < self._own
            due_at = now + PASSIVE_DIAL_DELAY_SECONDS if passive else now
            self._schedule(address, DialState(due_at, FIRST_DIAL_DELAY_SECONDS))
        if added:
            self._ranked = sorted(self._dial_states, key=self._score)
        return added

    def _score(self, address: str) -> bytes:
        # Rendezvous hashing: every agent ranks the entries in a different order, and an
        # entry that is added or lost moves only streams to this entry.
        return blake2b(f"{self._own} {address}".encode(), digest_size=8).digest()

    def _schedule(self, address: str, state: DialState) -> None:
        self._dial_states[address] = state
        self._next_due_at = min(self._next_due_at, state.due_at)

    @property
    def own(self) -> str:
        """The process's own address."""
        return self._own

    @property
    def count(self) -> int:
        """Number of known addresses other than the own one."""
        return len(self._dial_states)

    def list_known(self) -> list[str]:
        """List all known addresses, including the own one."""
        return sorted({*self._dial_states, self._own})

    def list_others(self) -> list[str]:
        """List all known addresses other than the own one."""
        return sorted(self._dial_states)

    def list_due(self, now: float) -> list[str]:
        """List the addresses to dial now, and mark them as dialled."""
        if now < self._next_due_at:
            return []
        due: list[str] = []
        missing = self._count_missing()
        for position, address in enumerate(self._ranked):
            if self._is_in_use(address) or self._dial_states[address].due_at > now:
                continue
            if self._is_preferred(position) or missing > 0:
                due.append(address)
                missing -= 1
        self._dialled.update(due)
        self._next_due_at = self._find_next_due(now)
        return due

    def _count_missing(self) -> int:
        if self._limit is None:
            return len(self._dial_states)
        return (
            self._limit
            - len(self._stream_counts)
            - len(self._dialled - self._stream_counts.keys())
        )

    def _is_in_use(self, address: str) -> bool:
        return address in self._dialled or address in self._stream_counts

    def _is_preferred(self, position: int) -> bool:
        return self._limit is None or position < self._limit

    def _find_next_due(self, now: float) -> float:
        # Addresses that are due but were not dialled just now are not needed.
        return min(
            (
                state.due_at
                for address, state in self._dial_states.items()
                if state.due_at > now and not self._is_in_use(address)
            ),
            default=math.inf,
        )

    def forget(self, address: str) -> None:
        """Remove an address that leads back to this process."""
        self._dial_states.pop(address, None)
        self._dialled.discard(address)
        self._ranked = [each for each in self._ranked if each != address]

    def add_stream(self, address: str, dialled: str, now: float) -> None:
        """Record that a stream to an entry was opened.

        :param address: the entry's own address.
        :param dialled: the address that was dialled; empty if the entry dialled.
        """
        if address != self._own:
            self._stream_counts[address] = self._stream_counts.get(address, 0) + 1
        if dialled:
            self._schedule(dialled, DialState(now, FIRST_DIAL_DELAY_SECONDS))

    def remove_stream(self, address: str, dialled: str, now: float) -> None:
        """Record that a stream ended, or that an address could not be reached.

        :param address: the entry's own address; empty if no stream was opened.
        :param dialled: the address that was dialled; empty if the entry dialled.
        """
        remaining = self._stream_counts.pop(address, 0) - 1
        if remaining > 0:
            self._stream_counts[address] = remaining
        if dialled in self._dial_states and dialled in self._dialled:
            self._dialled.discard(dialled)
            delay = self._dial_states[dialled].delay
            enough = self._limit is not None and self._count_missing() <= 0
            max_delay = (
                MAX_SPARE_DIAL_DELAY_SECONDS if enough else MAX_DIAL_DELAY_SECONDS
            )
            self._schedule(dialled, DialState(now + delay, min(delay * 2, max_delay)))
        elif address in self._dial_states and not self._is_in_use(address):
            # The other entry had dialled, and dials again if it is alive.
            due_at = now + FIRST_DIAL_DELAY_SECONDS + PASSIVE_DIAL_DELAY_SECONDS
            self._schedule(address, DialState(due_at, FIRST_DIAL_DELAY_SECONDS))
        if self._limit is not None:
            # Another entry may be dialled in its place at once.
            self._next_due_at = min(self._next_due_at, now)

    def next_wakeup(self) -> float:
        """Return when the next address is due for dialling."""
        return self._next_due_at

    def find_surplus(self) -> str | None:
        """Find the lowest ranked connected address if there are too many streams.

        A stream is closed only after the one that replaces it has been opened.

        :return: the address whose stream to close; ``None`` if there is no surplus.
        """
        if self._limit is None or len(self._stream_counts) <= self._limit:
            return None
        for address in reversed(self._ranked):
            if address in self._stream_counts:
                return address
        return None
