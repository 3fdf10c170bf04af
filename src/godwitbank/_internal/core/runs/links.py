"""Streams to entries: whom to dial, who is alive, who fell silent."""

from collections.abc import Iterator
from typing import NamedTuple

from godwitbank._internal.models.messages import Hello, Role

PULSE = 0.2
"""Seconds between proofs of life on a stream; three fit into ``SILENCE``."""

SILENCE = 0.7
"""Seconds without a frame after which a stream counts as dead.

Short against the 1.3 s after which a caller submits again, so that a dead
entry's runs are stopped before another entry starts them anew.
"""

FIRST_DIAL_DELAY = 0.1
MAX_DIAL_DELAY = 0.5
"""Seconds before an address that could not be reached is dialled again. Short:
two entries without a stream don't know what the other has taken."""


class Link:
    """An open stream to another process."""

    __slots__ = ("stream", "hello", "heard_at", "dialled", "received", "leaving")

    def __init__(self, stream: int, hello: Hello, dialled: str, now: float) -> None:
        self.stream = stream
        self.hello = hello
        self.dialled = dialled
        self.heard_at = now
        self.received = 0
        self.leaving = False


class Dialling(NamedTuple):
    """When an address may be dialled again, and the delay after a failure."""

    due_at: float
    delay: float


class Links:
    """Open streams of one process, and the addresses it keeps a stream to."""

    def __init__(self, own_address: str, own_incarnation: str, now: float) -> None:
        self._own_address = own_address
        self._own_incarnation = own_incarnation
        self._by_stream: dict[int, Link] = {}
        self._targets: dict[str, Dialling] = {}
        self._busy: set[str] = set()
        self.pulse_at = now

    def __iter__(self) -> Iterator[Link]:
        return iter(list(self._by_stream.values()))

    def learn(self, addresses: tuple[str, ...] | list[str], now: float) -> None:
        """Note addresses to keep a stream to."""
        for address in addresses:
            if address != self._own_address and address not in self._targets:
                self._targets[address] = Dialling(now, FIRST_DIAL_DELAY)

    def list_known(self) -> list[str]:
        """List the addresses of all entries known, own one included."""
        return sorted({*self._targets, self._own_address})

    def list_others(self) -> list[str]:
        """List the addresses of all entries known but this process."""
        return sorted(self._targets)

    def list_peers(self) -> list[Link]:
        """List one stream to each entry."""
        peers = {
            link.hello.incarnation: link
            for link in self
            if link.hello.role == Role.ENTRY
        }
        return list(peers.values())

    def list_due(self, now: float) -> list[str]:
        """List the addresses to dial now, and note that they are dialled."""
        due = [
            address
            for address, dialling in self._targets.items()
            if dialling.due_at <= now and address not in self._busy
        ]
        self._busy.update(due)
        return due

    def open(self, stream: int, hello: Hello, dialled: str, now: float) -> Link | None:
        """Note a new stream.

        :return: ``None`` if it leads back to this very process.
        """
        if hello.incarnation == self._own_incarnation:
            # A seed may name this process by another address.
            self._targets.pop(dialled, None)
            self._busy.discard(dialled)
            return None
        link = self._by_stream[stream] = Link(stream, hello, dialled, now)
        if dialled:
            self._targets[dialled] = Dialling(now, FIRST_DIAL_DELAY)
        return link

    def close(self, stream: int, address: str, now: float) -> Link | None:
        """Note that a stream ended, or that an address could not be dialled."""
        link = self._by_stream.pop(stream, None)
        dialled = link.dialled if link else address
        if dialled in self._targets and dialled in self._busy:
            self._busy.discard(dialled)
            delay = self._targets[dialled].delay
            longer = min(delay * 2, MAX_DIAL_DELAY)
            self._targets[dialled] = Dialling(now + delay, longer)
        return link

    def hear(self, stream: int, now: float) -> Link | None:
        """Note that a frame arrived; ``None`` if the stream must not be used.

        A process that was suspended finds old frames in its sockets. They must
        not be acted on: their sender has given up on them long ago. The gap
        since the last frame shows it.
        """
        link = self._by_stream.get(stream)
        if link is None or now - link.heard_at > SILENCE:
            return None
        link.heard_at = now
        return link

    def list_silent(self, now: float) -> list[Link]:
        """List the streams on which nothing came for too long."""
        return [link for link in self if now - link.heard_at > SILENCE]

    def find(self, incarnation: str) -> Link | None:
        """Find the newest stream to a process."""
        found = None
        for link in self._by_stream.values():
            if link.hello.incarnation == incarnation:
                found = link
        return found

    def next_wakeup(self) -> float:
        """Tell when something here is due."""
        dials = [
            dialling.due_at
            for address, dialling in self._targets.items()
            if address not in self._busy
        ]
        return min([self.pulse_at, *dials])
