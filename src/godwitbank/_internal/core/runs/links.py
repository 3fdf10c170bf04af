"""Open streams to other processes: who is alive, and who fell silent.

Proof of life is sent where somebody's runs depend on it. A stream on which nothing is
in flight is proved rarely: it costs frames and wake-ups at both ends, however many
there are, and nobody is harmed if its other end is missed some seconds later.
"""

import math
from collections.abc import Iterable, Iterator

from godwitbank._internal.core.events import Send
from godwitbank._internal.core.runs.addresses import Addresses
from godwitbank._internal.models.messages import Hello, Role
from godwitbank._internal.models.run_messages import Alive, StartRun

BUSY_HEARTBEAT_SECONDS = 0.2
"""Seconds between proofs of life on a busy stream; three fit into ``SILENCE``."""

BUSY_TIMEOUT_SECONDS = 0.7
"""Seconds without a frame after which a busy stream counts as dead.

Jobs whose home is lost wait for as long as that takes, and a job of a lost entry starts
anew only after its runs were stopped.
"""

OVERDUE_SECONDS = 0.4
"""Seconds without a frame after which a busy stream gets nothing new: its other end is
slow or gone. What is sent to an agent that is gone is late by the time until its runs
count as lost, and would be sent until the stream counts as dead otherwise."""

IDLE_HEARTBEAT_SECONDS = 1.5
"""Seconds between proofs of life on a stream with nothing in flight."""

IDLE_TIMEOUT_SECONDS = 5.0
"""Seconds without a frame after which such a stream counts as dead; three proofs of
life fit in. Until then work may be sent on it, which the silence of a busy stream ends:
the work is as late as on a stream that died right after it was sent."""

BUSY_CHECK_SECONDS = 0.1
"""Seconds between looks for streams to prove; half of ``PULSE``, so that none is proved
later than 0.3 s after its last frame."""

IDLE_CHECK_SECONDS = 0.35
"""The same while nothing is in flight; half of ``SILENCE``, so that a process knows
whether it stood still for that long."""

PEER_HEARTBEAT_SPACING_SECONDS = 0.012
"""Seconds between proofs of life to two other entries: what an entry spends on them is
the same however many there are, but for few, which hear every ``PULSE``."""

MAX_PEER_HEARTBEAT_SECONDS = 0.4
"""The longest pulse to other entries. With it goes what was taken from callers, which
must be known before the home of those jobs counts as lost."""

RESPONSIVE_HEARTBEATS = 1.5
"""Pulses between entries within which one that lives is heard."""

PEER_TIMEOUT_FACTOR = 3.0
"""Multiple of the pulse between entries without a frame that ends a stream, as
``SILENCE`` is of ``PULSE``."""

MISSED_HEARTBEAT_SECONDS = 0.3
"""Seconds without a frame that a busy stream has only if its other end is late or gone:
a pulse and a look."""

PROBE_TIMEOUT_SECONDS = 0.4
"""Seconds without a frame after a probe that end a stream; its other end answers at
once. Nothing is in flight on it, so little is lost where that was too soon."""

CLOCK_WINDOW_SECONDS = 10.0
"""Seconds after which an estimate of another process's clock is replaced even by a
worse one: clocks drift by less than a millisecond in it."""


class Link:
    """An open stream to another process.

    :ivar busy_since: when the first of the runs in flight was sent on it; infinite
        while there is none.
    :ivar proved_at: this end's clock when its other end is known to have lived: frames
        may have been held up. Infinite where nothing depends on it.
    :ivar probed_at: when its other end was asked for a proof of life that hasn't come
        yet; infinite if it wasn't.
    :ivar received: orders to start received on it.
    :ivar told_slowness: what its other end was told last of this end's endpoint.
    :ivar told_lag: how late its other end was told that this end is, in seconds.
    :ivar lag: how late its other end last told to be, in seconds; infinite until then.
    :ivar leaving: its other end is about to end, or to be left.
    """

    __slots__ = (
        "stream",
        "hello",
        "last_received_at",
        "last_alive_at",
        "sent_at",
        "busy_since",
        "dialled",
        "probed_at",
        "received",
        "leaving",
        "announced_slowness",
        "announced_lag",
        "lag",
        "_lead",
        "_lead_at",
    )

    def __init__(self, stream: int, hello: Hello, dialled: str, now: float) -> None:
        self.stream = stream
        self.hello = hello
        self.dialled = dialled
        self.last_received_at = now
        self.last_alive_at = math.inf
        self.sent_at = now
        self.busy_since = math.inf
        self.probed_at = math.inf
        self.received = 0
        self.leaving = False
        self.announced_slowness = 1.0
        self.announced_lag = 0.0
        self.lag = math.inf
        self._lead = -math.inf
        self._lead_at = now

    def mark_idle(self, now: float) -> bool:
        """Note that nothing is in flight any more.

        :return: whether its other end had fallen silent before.
        """
        missed = (
            self.busy_since < math.inf
            and now - self.last_received_at > MISSED_HEARTBEAT_SECONDS
        )
        self.busy_since = math.inf
        return missed

    @property
    def is_probe_pending(self) -> bool:
        """Whether its other end was probed and has not been heard since."""
        return self.probed_at < math.inf

    def is_overdue(self, now: float) -> bool:
        """Tell whether a frame should have come by now, though it isn't dead yet."""
        return (
            self.is_probe_pending
            or now - max(self.last_received_at, self.busy_since) > OVERDUE_SECONDS
        )

    def update_clock(self, clock: float, now: float) -> None:
        """Note the other process's clock, told in a message.

        The message took some time, so its clock is later than told. The least delayed
        message tells it best.
        """
        lead = clock - now
        if lead >= self._lead or now - self._lead_at > CLOCK_WINDOW_SECONDS:
            self._lead = lead
            self._lead_at = now

    def estimate_clock(self, now: float) -> float:
        """Tell what the other's clock shows at least; minus infinity at first."""
        return now + self._lead


class Links:
    """Open streams of one process."""

    def __init__(
        self, own_address: str, own_incarnation: str, now: float, limit: int | None
    ) -> None:
        self.addresses = Addresses(own_address, limit)
        self.own_incarnation = own_incarnation
        self._is_entry = limit is None
        self._turn_at = now
        self._by_stream: dict[int, Link] = {}
        self._by_incarnation: dict[str, list[Link]] = {}
        self._peer_pulse_at = now if self._is_entry else math.inf
        self.next_check_at = now

    def begin_event(self, now: float) -> bool:
        """Begin to handle an event.

        :return: whether all streams must be given up, as this process has stood still
            for longer than others wait for it. What then lies in its sockets is old,
            and other entries may have taken over what it was at.
        """
        stood_still = now - self._turn_at > BUSY_TIMEOUT_SECONDS
        self._turn_at = now
        return stood_still

    def __iter__(self) -> Iterator[Link]:
        return iter(list(self._by_stream.values()))

    def list_peers(self) -> list[Link]:
        """List one stream to each entry."""
        return [
            links[-1]
            for links in self._by_incarnation.values()
            if links[-1].hello.role == Role.ENTRY
        ]

    def add_stream(
        self, stream: int, hello: Hello, dialled: str, now: float
    ) -> Link | None:
        """Note a new stream.

        :return: ``None`` if it leads back to this very process.
        """
        if hello.incarnation == self.own_incarnation:
            # A seed may name this process by another address.
            self.addresses.forget(dialled)
            return None
        link = self._by_stream[stream] = Link(stream, hello, dialled, now)
        if not self._is_entry:
            link.last_alive_at = -math.inf
        self._by_incarnation.setdefault(hello.incarnation, []).append(link)
        if hello.role == Role.ENTRY:
            self.addresses.add_stream(hello.address, dialled, now)
        return link

    def remove_stream(self, stream: int, address: str, now: float) -> Link | None:
        """Note that a stream ended, or that an address could not be dialled."""
        link = self._by_stream.pop(stream, None)
        if link is None:
            self.addresses.remove_stream("", address, now)
            return None
        same = self._by_incarnation[link.hello.incarnation]
        same.remove(link)
        if not same:
            del self._by_incarnation[link.hello.incarnation]
        if link.hello.role == Role.ENTRY:
            self.addresses.remove_stream(link.hello.address, link.dialled, now)
        return link

    def record_frame(self, stream: int, now: float) -> Link | None:
        """Note that a frame arrived; ``None`` if the stream must not be used.

        Frames that a cut held up must not be acted on: their sender has given up on
        them long ago. The gap since the last frame shows it.
        """
        link = self._by_stream.get(stream)
        if link is None or self._is_silent(link, now):
            return None
        link.last_received_at = now
        link.probed_at = math.inf
        return link

    def _is_peer(self, link: Link) -> bool:
        return self._is_entry and link.hello.role == Role.ENTRY

    @property
    def peer_heartbeat_seconds(self) -> float:
        """Seconds between proofs of life to other entries."""
        return min(
            MAX_PEER_HEARTBEAT_SECONDS,
            max(
                BUSY_HEARTBEAT_SECONDS,
                PEER_HEARTBEAT_SPACING_SECONDS * self.addresses.count,
            ),
        )

    def is_responsive(self, link: Link, now: float) -> bool:
        """Tell whether another entry was heard as lately as one that lives is."""
        return (
            now - link.last_received_at
            <= RESPONSIVE_HEARTBEATS * self.peer_heartbeat_seconds
        )

    def _is_silent(self, link: Link, now: float) -> bool:
        heard_at = link.last_received_at
        if self._is_peer(link):
            limit = max(
                BUSY_TIMEOUT_SECONDS, PEER_TIMEOUT_FACTOR * self.peer_heartbeat_seconds
            )
            return now - heard_at > limit
        if now - link.probed_at > PROBE_TIMEOUT_SECONDS:
            return True
        if link.busy_since < math.inf:
            # Until work was sent nothing had to be heard.
            lived_at = min(heard_at, link.last_alive_at)
            return now - max(lived_at, link.busy_since) > BUSY_TIMEOUT_SECONDS
        return now - heard_at > IDLE_TIMEOUT_SECONDS

    def list_timed_out(self, now: float) -> list[Link]:
        """List the streams on which nothing came for too long."""
        return [link for link in self._by_stream.values() if self._is_silent(link, now)]

    def has_pending_probe(self, stream: int) -> bool:
        """Tell whether a stream was probed and not heard since."""
        link = self._by_stream.get(stream)
        return link is not None and link.is_probe_pending

    def start_probes(self, now: float) -> list[Link]:
        """List idle streams to probe after one has fallen silent.

        What silenced one may have silenced all. With nothing in flight that shows
        seconds later, and until then work is sent on them in vain.
        """
        probed = [
            link
            for link in self._by_stream.values()
            if not self._is_peer(link)
            and link.busy_since == math.inf
            and not link.is_probe_pending
            and now - link.last_received_at > MISSED_HEARTBEAT_SECONDS
        ]
        for link in probed:
            link.probed_at = now
        return probed

    def get(self, stream: int) -> Link | None:
        """Find the open stream with a number."""
        return self._by_stream.get(stream)

    def find(self, incarnation: str) -> Link | None:
        """Find the newest stream to a process."""
        same = self._by_incarnation.get(incarnation)
        return same[-1] if same else None

    def record_sent(self, actions: Iterable[object], now: float) -> None:
        """Note which streams carry a frame now that proves life as well as a pulse."""
        for action in actions:
            if isinstance(action, Send):
                link = self._by_stream.get(action.stream)
                if link is not None and self._proves_life(link, action):
                    link.sent_at = now

    def _proves_life(self, link: Link, action: Send) -> bool:
        # Agents grant leases for as long as an entry is known to have lived; a frame
        # that doesn't tell when it was sent may be old.
        to_agent = self._is_entry and link.hello.role == Role.AGENT
        return not to_agent or isinstance(action.message, (Alive, StartRun))

    def list_due_heartbeats(self, now: float) -> list[Link]:
        """List the streams on which a proof of life is due, once in ``LOOK``."""
        if now < self.next_check_at:
            return []
        busy = any(each.busy_since < math.inf for each in self._by_stream.values())
        self.next_check_at = now + (BUSY_CHECK_SECONDS if busy else IDLE_CHECK_SECONDS)
        return [
            link
            for link in self._by_stream.values()
            if not self._is_peer(link)
            and now - link.sent_at
            >= (
                BUSY_HEARTBEAT_SECONDS
                if link.busy_since < math.inf
                else IDLE_HEARTBEAT_SECONDS
            )
        ]

    def list_due_peer_heartbeats(self, now: float) -> list[Link]:
        """List the streams to other entries, once in ``peer_pulse``."""
        if now < self._peer_pulse_at:
            return []
        self._peer_pulse_at = now + self.peer_heartbeat_seconds
        return [link for link in self._by_stream.values() if self._is_peer(link)]

    def next_wakeup(self) -> float:
        """Tell when something here is due."""
        looks = min(self.next_check_at, self._peer_pulse_at)
        return min(looks, self.addresses.next_wakeup())
