"""What other entries know of one that this entry can't reach.

Where agents keep streams to some entries only, no entry reaches all agents, and agents
can't tell alone whether a job still runs by another entry's orders. An entry that was
lost is dead, or cut off from everybody; then its agents stop its runs. Or it is cut off
from this entry alone: a task would run twice if its caller came here. Two others tell.
"""

from random import Random
from typing import NamedTuple

from godwitbank._internal.core.runs.links import Link

INDIRECT_PROBE_COUNT = 2
"""Entries that are asked. One may be about to end, or be cut off in the same way."""

SUBSCRIPTION_SECONDS = 12.0
"""Seconds for which an entry is told what one takes that it can't reach; longer than
callers wait (10 s)."""


class PendingProbe(NamedTuple):
    """A lost entry, and whose answers are missing."""

    address: str
    streams: frozenset[int]


class IndirectProbes:
    """Questions about entries that this one has lost."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._open: dict[str, PendingProbe] = {}
        self._reachable: dict[str, int] = {}

    def start(self, address: str, peers: list[Link]) -> list[Link]:
        """Choose whom to ask for a lost entry; nobody if nobody is there."""
        chosen = self._rng.sample(peers, min(INDIRECT_PROBE_COUNT, len(peers)))
        if chosen:
            streams = frozenset(link.stream for link in chosen)
            self._open[address] = PendingProbe(address, streams)
        return chosen

    def handle_answer(self, stream: int, address: str, reachable: bool) -> bool:
        """Take an answer; tells whether the lost entry is gone for all that know."""
        if reachable:
            self._open.pop(address, None)
            self._reachable[address] = stream
            return False
        if self._reachable.get(address) == stream:
            del self._reachable[address]
        question = self._open.get(address)
        if question is None or stream not in question.streams:
            return False
        left = question.streams - {stream}
        self._open[address] = question._replace(streams=left)
        if left:
            return False
        del self._open[address]
        return True

    def is_reachable_through(self, stream: int, address: str) -> bool:
        """Tell whether the entry on a stream has said that it reaches a lost one."""
        return self._reachable.get(address) == stream

    def is_reachable(self, address: str) -> bool:
        """Tell whether somebody reaches a lost entry."""
        return address in self._reachable

    def list_reachable(self) -> dict[str, int]:
        """List streams to those that reach lost entries, by these ones' addresses."""
        return dict(self._reachable)

    def forget(self, address: str) -> None:
        """Forget an entry that is reached again."""
        self._open.pop(address, None)
        self._reachable.pop(address, None)

    def drop_stream(self, stream: int) -> list[str]:
        """Forget a stream that has ended; returns what must be asked of others."""
        unanswered = []
        for address, question in list(self._open.items()):
            left = question.streams - {stream}
            self._open[address] = question._replace(streams=left)
            if not left:
                del self._open[address]
                unanswered.append(address)
        for address, witness in list(self._reachable.items()):
            if witness == stream:
                del self._reachable[address]
                unanswered.append(address)
        return unanswered


class Subscriber(NamedTuple):
    """An entry that has lost another one, and since when it asks."""

    stream: int
    asked_at: float


class ProbeRequests:
    """Questions of other entries about those that this one may reach."""

    def __init__(self) -> None:
        self._asked: dict[str, list[Subscriber]] = {}
        self._followers: dict[str, list[Subscriber]] = {}

    def add(self, address: str, stream: int, now: float) -> None:
        """Note a question; it is answered when the entry is heard, or lost."""
        self._asked.setdefault(address, []).append(Subscriber(stream, now))

    def handle_alive(self, address: str) -> list[int]:
        """Note that an entry was heard; returns whom to tell so."""
        asked = self._asked.pop(address, None)
        if asked is None:
            return []
        self._followers.setdefault(address, []).extend(asked)
        return [each.stream for each in asked]

    def handle_loss(self, address: str, now: float) -> list[int]:
        """Note that an entry was lost; returns whom to tell so.

        They are told again if another process starts at its address.
        """
        told = self._asked.pop(address, []) + self._followers.pop(address, [])
        fresh = [each for each in told if now - each.asked_at < SUBSCRIPTION_SECONDS]
        if fresh:
            self._asked[address] = fresh
        return [each.stream for each in told]

    def list_subscribers(self, address: str, now: float) -> list[int]:
        """List whom to tell what an entry has taken."""
        if address not in self._followers:
            return []
        self._followers[address] = [
            each
            for each in self._followers[address]
            if now - each.asked_at < SUBSCRIPTION_SECONDS
        ]
        return [each.stream for each in self._followers[address]]

    def drop_stream(self, stream: int) -> None:
        """Forget an entry that asked, and whose stream has ended."""
        for asked in (self._asked, self._followers):
            for address in list(asked):
                left = [each for each in asked[address] if each.stream != stream]
                if left:
                    asked[address] = left
                else:
                    del asked[address]
