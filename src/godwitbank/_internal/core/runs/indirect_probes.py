"""Indirect probes: other entries tell whether they reach one that this entry has lost.

Where agents keep streams to some of the entries only, no entry reaches all agents, and
the agents that it reaches can't tell whether a job still has runs that another entry
ordered. A lost entry may be dead or cut off from all other processes; its agents stop
its runs then. Or it is cut off from this entry alone, its runs go on, and a task would
run twice if its caller came here. Two other entries are asked which of the two it is.
"""

from random import Random
from typing import NamedTuple

from godwitbank._internal.core.runs.links import Link

INDIRECT_PROBE_COUNT = 2
"""Entries that are asked about a lost one. A single entry might be about to stop, or be
cut off in the same way as this one."""

SUBSCRIPTION_SECONDS = 12.0
"""Seconds for which an entry gets the announcements of a peer that it can't reach;
longer than callers wait (10 s)."""


class PendingProbe(NamedTuple):
    """A probe of a lost entry.

    :param address: of the lost entry.
    :param streams: to the entries that haven't answered yet.
    """

    address: str
    streams: frozenset[int]


class IndirectProbes:
    """Probes of entries that this one has lost."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._pending: dict[str, PendingProbe] = {}
        self._relays: dict[str, int] = {}

    def start(self, address: str, peers: list[Link]) -> list[Link]:
        """Start to probe a lost entry.

        :return: links to the entries to ask; none if no peer is connected.
        """
        chosen = self._rng.sample(peers, min(INDIRECT_PROBE_COUNT, len(peers)))
        if chosen:
            streams = frozenset(link.stream for link in chosen)
            self._pending[address] = PendingProbe(address, streams)
        return chosen

    def handle_answer(self, stream: int, address: str, reachable: bool) -> bool:
        """Record an answer.

        :return: whether all that were asked have answered that they can't reach it.
        """
        if reachable:
            self._pending.pop(address, None)
            self._relays[address] = stream
            return False
        if self._relays.get(address) == stream:
            del self._relays[address]
        probe = self._pending.get(address)
        if probe is None or stream not in probe.streams:
            return False
        remaining = probe.streams - {stream}
        self._pending[address] = probe._replace(streams=remaining)
        if remaining:
            return False
        del self._pending[address]
        return True

    def is_reachable_through(self, stream: int, address: str) -> bool:
        """Return whether the entry on a stream has said that it reaches a lost one."""
        return self._relays.get(address) == stream

    def is_reachable(self, address: str) -> bool:
        """Return whether any other entry reaches a lost one."""
        return address in self._relays

    def list_reachable(self) -> dict[str, int]:
        """List streams to entries that reach lost ones, by the lost ones' addresses."""
        return dict(self._relays)

    def forget(self, address: str) -> None:
        """Forget a lost entry that is connected again."""
        self._pending.pop(address, None)
        self._relays.pop(address, None)

    def drop_stream(self, stream: int) -> list[str]:
        """Drop a closed stream.

        :return: addresses of the lost entries that must be probed through others.
        """
        unanswered = []
        for address, probe in list(self._pending.items()):
            remaining = probe.streams - {stream}
            self._pending[address] = probe._replace(streams=remaining)
            if not remaining:
                del self._pending[address]
                unanswered.append(address)
        for address, relay in list(self._relays.items()):
            if relay == stream:
                del self._relays[address]
                unanswered.append(address)
        return unanswered


class Subscriber(NamedTuple):
    """An entry that probes another one.

    :param requested_at: when it sent the probe, in seconds.
    """

    stream: int
    requested_at: float


class ProbeRequests:
    """Probes by other entries, about entries that this one may reach."""

    def __init__(self) -> None:
        self._unanswered: dict[str, list[Subscriber]] = {}
        self._subscribers: dict[str, list[Subscriber]] = {}

    def add(self, address: str, stream: int, now: float) -> None:
        """Record a probe, to be answered at the entry's next frame or its loss."""
        self._unanswered.setdefault(address, []).append(Subscriber(stream, now))

    def handle_alive(self, address: str) -> list[int]:
        """Record that a frame from an entry arrived.

        :return: streams of the entries that probe it, on which to answer. These entries
            get its announcements from now on.
        """
        probes = self._unanswered.pop(address, None)
        if probes is None:
            return []
        self._subscribers.setdefault(address, []).extend(probes)
        return [each.stream for each in probes]

    def handle_loss(self, address: str, now: float) -> list[int]:
        """Record that an entry was lost.

        Recent probes stay open, so that they are answered again if another process
        starts at the same address.

        :return: streams of the entries that probe it, on which to report the loss.
        """
        recipients = self._unanswered.pop(address, []) + self._subscribers.pop(
            address, []
        )
        fresh = [
            each
            for each in recipients
            if now - each.requested_at < SUBSCRIPTION_SECONDS
        ]
        if fresh:
            self._unanswered[address] = fresh
        return [each.stream for each in recipients]

    def list_subscribers(self, address: str, now: float) -> list[int]:
        """List the streams on which to forward the announcements of an entry."""
        if address not in self._subscribers:
            return []
        self._subscribers[address] = [
            each
            for each in self._subscribers[address]
            if now - each.requested_at < SUBSCRIPTION_SECONDS
        ]
        return [each.stream for each in self._subscribers[address]]

    def drop_stream(self, stream: int) -> None:
        """Drop the probes that came on a closed stream."""
        for probes in (self._unanswered, self._subscribers):
            for address in list(probes):
                remaining = [each for each in probes[address] if each.stream != stream]
                if remaining:
                    probes[address] = remaining
                else:
                    del probes[address]
