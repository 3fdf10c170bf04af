"""Addresses of entries: which are known, and which a process keeps a stream to.

An entry keeps one to every other entry. An agent keeps some only, so that what agents
and entries spend on each other does not grow with their number.
"""

import math
from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

ENTRIES_PER_AGENT = 8
"""Entries that an agent keeps a stream to, if there are as many. With half of all
entries gone, one agent of 256 is left without any, for as long as a dial takes; and
each entry still sees eight times the agents there are to an entry, so that one with
several times the usual demand finds room."""

FIRST_DIAL_DELAY_SECONDS = 0.1
MAX_DIAL_DELAY_SECONDS = 0.5
"""Seconds before an address that could not be reached is dialled again. Short:
two entries without a stream don't know what the other has taken."""

MAX_SPARE_DIAL_DELAY_SECONDS = 3.0
"""The longest such delay while there are streams enough without it. An agent that
knows of entries that are gone for good would dial them twice a second otherwise."""

PASSIVE_DIAL_DELAY_SECONDS = 0.1
"""Seconds that the entry with the higher address leaves to the other to dial first, so
that two entries started at once don't keep two streams."""


class DialState(NamedTuple):
    """When an address may be dialled again, and the delay after a failure."""

    due_at: float
    delay: float


class Addresses:
    """Addresses of entries, as one process knows them.

    :param own: the process's own address, which is never dialled.
    :param limit: streams wanted; none: to every address.
    """

    def __init__(self, own: str, limit: int | None = None) -> None:
        self._own = own
        self._limit = limit
        self._dialling: dict[str, DialState] = {}
        self._ranked: list[str] = []
        self._busy: set[str] = set()
        self._linked: dict[str, int] = {}
        self._due_at = math.inf

    def add(self, addresses: Iterable[str], now: float) -> list[str]:
        """Note addresses, and return those that are new."""
        news = [
            address
            for address in dict.fromkeys(addresses)
            if address != self._own and address not in self._dialling
        ]
        for address in news:
            passive = self._limit is None and address < self._own
            due_at = now + PASSIVE_DIAL_DELAY_SECONDS if passive else now
            self._plan(address, DialState(due_at, FIRST_DIAL_DELAY_SECONDS))
        if news:
            self._ranked = sorted(self._dialling, key=self._score)
        return news

    def _score(self, address: str) -> bytes:
        # Rendezvous hashing: every agent ranks all entries its own way, and one that
        # comes or goes moves only the streams that it has a part in.
        return blake2b(f"{self._own} {address}".encode(), digest_size=8).digest()

    def _plan(self, address: str, dialling: DialState) -> None:
        self._dialling[address] = dialling
        self._due_at = min(self._due_at, dialling.due_at)

    @property
    def own(self) -> str:
        """The process's own address."""
        return self._own

    @property
    def count(self) -> int:
        """Number of addresses known but the own one."""
        return len(self._dialling)

    def list_known(self) -> list[str]:
        """List all addresses known, own one included."""
        return sorted({*self._dialling, self._own})

    def list_others(self) -> list[str]:
        """List all addresses known but the own one."""
        return sorted(self._dialling)

    def list_due(self, now: float) -> list[str]:
        """List the addresses to dial now, and note that they are dialled."""
        if now < self._due_at:
            return []
        due: list[str] = []
        missing = self._count_missing()
        for position, address in enumerate(self._ranked):
            if self._is_engaged(address) or self._dialling[address].due_at > now:
                continue
            if self._is_preferred(position) or missing > 0:
                due.append(address)
                missing -= 1
        self._busy.update(due)
        self._due_at = self._find_due(now)
        return due

    def _count_missing(self) -> int:
        if self._limit is None:
            return len(self._dialling)
        return self._limit - len(self._linked) - len(self._busy - self._linked.keys())

    def _is_engaged(self, address: str) -> bool:
        return address in self._busy or address in self._linked

    def _is_preferred(self, position: int) -> bool:
        return self._limit is None or position < self._limit

    def _find_due(self, now: float) -> float:
        # Addresses that are due and weren't dialled are not needed now.
        return min(
            (
                dialling.due_at
                for address, dialling in self._dialling.items()
                if dialling.due_at > now and not self._is_engaged(address)
            ),
            default=math.inf,
        )

    def forget(self, address: str) -> None:
        """Forget an address that leads back to this process."""
        self._dialling.pop(address, None)
        self._busy.discard(address)
        self._ranked = [each for each in self._ranked if each != address]

    def add_stream(self, address: str, dialled: str, now: float) -> None:
        """Note a stream to the process with an address.

        :param dialled: the address it was reached by; empty if it dialled.
        """
        if address != self._own:
            self._linked[address] = self._linked.get(address, 0) + 1
        if dialled:
            self._plan(dialled, DialState(now, FIRST_DIAL_DELAY_SECONDS))

    def remove_stream(self, address: str, dialled: str, now: float) -> None:
        """Note that a stream ended, or that an address could not be dialled."""
        left = self._linked.pop(address, 0) - 1
        if left > 0:
            self._linked[address] = left
        if dialled in self._dialling and dialled in self._busy:
            self._busy.discard(dialled)
            delay = self._dialling[dialled].delay
            enough = self._limit is not None and self._count_missing() <= 0
            longest = MAX_SPARE_DIAL_DELAY_SECONDS if enough else MAX_DIAL_DELAY_SECONDS
            self._plan(dialled, DialState(now + delay, min(delay * 2, longest)))
        elif address in self._dialling and not self._is_engaged(address):
            # It dialled, and will again if it lives.
            due_at = now + FIRST_DIAL_DELAY_SECONDS + PASSIVE_DIAL_DELAY_SECONDS
            self._plan(address, DialState(due_at, FIRST_DIAL_DELAY_SECONDS))
        if self._limit is not None:
            # Another one may take its place at once.
            self._due_at = min(self._due_at, now)

    def next_wakeup(self) -> float:
        """Tell when an address is due."""
        return self._due_at

    def find_surplus(self) -> str | None:
        """Find the least wanted address among more streams than are needed.

        One that is wanted must have taken its place, so that streams move only
        when there is one more.
        """
        if self._limit is None or len(self._linked) <= self._limit:
            return None
        for address in reversed(self._ranked):
            if address in self._linked:
                return address
        return None
