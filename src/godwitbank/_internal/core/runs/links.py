"""Open streams of a process: heartbeats, timeouts and probes.

Heartbeats are frequent only on busy streams, those with runs in flight, where a dead
process must be detected quickly. Idle streams get few heartbeats: each one costs a
frame and wake-ups at both ends, on every stream, and it does no harm if the loss of an
idle process is detected some seconds later.
"""

import math
from collections.abc import Iterable, Iterator

from godwitbank._internal.core.events import Send
from godwitbank._internal.core.runs.addresses import Addresses
from godwitbank._internal.core.runs.speeds import LearntSpeed
from godwitbank._internal.models.messages import Hello, Role
from godwitbank._internal.models.run_messages import Alive, StartRun

BUSY_HEARTBEAT_SECONDS = 0.2
"""Seconds between heartbeats on a busy stream.

Three of them fit into ``BUSY_TIMEOUT_SECONDS``.
"""

BUSY_TIMEOUT_SECONDS = 0.7
"""Seconds without a frame after which a busy stream counts as dead.

Jobs whose home entry is lost wait for this time. A job of a lost entry starts again
only after its runs have been stopped.
"""

OVERDUE_SECONDS = 0.4
"""Seconds without a frame after which nothing new is sent on a busy stream.

Its other end is slow or gone. A run sent to an agent that is gone is delayed until the
agent's runs count as lost; without this limit, runs would be sent to it until the
stream times out.
"""

IDLE_HEARTBEAT_SECONDS = 1.5
"""Seconds between heartbeats on an idle stream, one without runs in flight."""

IDLE_TIMEOUT_SECONDS = 5.0
"""Seconds without a frame after which an idle stream counts as dead.

Three heartbeats fit into it. Until then work may be sent on a dead idle stream. That
makes the stream busy, so it then ends after ``BUSY_TIMEOUT_SECONDS``: the work is
delayed as much as on a stream that dies right after the work was sent.
"""

BUSY_CHECK_SECONDS = 0.1
"""Seconds between checks for due heartbeats while any stream is busy.

Half of ``BUSY_HEARTBEAT_SECONDS``, so that a heartbeat is sent no later than 0.3 s
after the last frame on the stream.
"""

IDLE_CHECK_SECONDS = 0.35
"""Seconds between checks for due heartbeats while all streams are idle.

Half of ``BUSY_TIMEOUT_SECONDS``, so that a process can tell whether it was paused for
that long.
"""

PEER_HEARTBEAT_SPACING_SECONDS = 0.012
"""Seconds of an entry's heartbeat interval for each other entry.

The interval grows with the number of entries, so that the cost of heartbeats to them
stays the same. Only where there are few entries, the interval is
``BUSY_HEARTBEAT_SECONDS`` and the cost is lower.
"""

MAX_PEER_HEARTBEAT_SECONDS = 0.4
"""Longest interval between heartbeats to other entries, in seconds.

Along with the heartbeat an entry announces the jobs that it has accepted. Other entries
must know of these before the home entry of the jobs counts as lost.
"""

RESPONSIVE_HEARTBEATS = 1.5
"""Number of heartbeat intervals within which a frame arrives from a live entry."""

PEER_TIMEOUT_FACTOR = 3.0
"""Heartbeat intervals without a frame after which a stream between entries is dead.

About the ratio of ``BUSY_TIMEOUT_SECONDS`` to ``BUSY_HEARTBEAT_SECONDS``.
"""

MISSED_HEARTBEAT_SECONDS = 0.3
"""Seconds without a frame that show that a busy stream's other end is late or gone.

The sum of a heartbeat interval and a check interval.
"""

PROBE_TIMEOUT_SECONDS = 0.4
"""Seconds without a frame after a probe, after which a stream counts as dead.

The other end answers a probe at once. The stream is idle, so little is lost if it is
closed too early.
"""

CLOCK_WINDOW_SECONDS = 10.0
"""Seconds after which a clock estimate is replaced even by a less accurate one.

Clocks drift apart by less than a millisecond in this time.
"""


class Link:
    """An open stream to another process.

    Times are in seconds of this process's clock.

    :ivar dialled: address by which this process opened the stream; empty if the other
        end opened it.
    :ivar last_received_at: when the last frame arrived.
    :ivar last_alive_at: when the other process is known to have been alive. This may be
        earlier than the arrival of its last frame, which may have been delayed.
        Infinite at entries, which don't track it.
    :ivar sent_at: when the last frame that shows liveness was sent.
    :ivar busy_since: when the first of the runs in flight was sent; infinite while
        there is none.
    :ivar probed_at: when a probe was sent that is not answered yet; infinite if none
        is pending.
    :ivar received: number of start orders received.
    :ivar announced_slowness: slowness of this process's endpoint, as last sent.
    :ivar announced_speed: speed of this process's endpoint, as last sent.
    :ivar announced_lag: this process's event loop lag in seconds, as last sent.
    :ivar lag: the other process's event loop lag in seconds, as last received; infinite
        until then.
    :ivar leaving: whether the other process is about to exit, or this one is about to
        close the stream.
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
        "announced_speed",
        "announced_lag",
        "lag",
        "_clock_offset",
        "_clock_offset_at",
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
        self.announced_speed = LearntSpeed()
        self.announced_lag = 0.0
        self.lag = math.inf
        self._clock_offset = -math.inf
        self._clock_offset_at = now

    def mark_idle(self, now: float) -> bool:
        """Mark the stream as idle, as no run is in flight on it any more.

        :return: whether a heartbeat of the other end had already been missed.
        """
        missed_heartbeat = (
            self.busy_since < math.inf
            and now - self.last_received_at > MISSED_HEARTBEAT_SECONDS
        )
        self.busy_since = math.inf
        return missed_heartbeat

    @property
    def is_probe_pending(self) -> bool:
        """Whether a probe was sent and no frame has arrived since."""
        return self.probed_at < math.inf

    def is_overdue(self, now: float) -> bool:
        """Return whether a frame is overdue on a stream that has not timed out."""
        return (
            self.is_probe_pending
            or now - max(self.last_received_at, self.busy_since) > OVERDUE_SECONDS
        )

    def update_clock(self, clock: float, now: float) -> None:
        """Update the estimate of the other process's clock from a message.

        The clock has advanced by the message's transit time since it was read. The
        message with the shortest transit time gives the most accurate estimate.

        :param clock: the other process's clock in seconds, as sent.
        """
        offset = clock - now
        if (
            offset >= self._clock_offset
            or now - self._clock_offset_at > CLOCK_WINDOW_SECONDS
        ):
            self._clock_offset = offset
            self._clock_offset_at = now

    def estimate_clock(self, now: float) -> float:
        """Return a lower bound of the other process's clock.

        :return: in seconds; minus infinity if no clock was received yet.
        """
        return now + self._clock_offset


class Links:
    """Open streams of one process.

    :param limit: number of entries that an agent keeps a stream to; ``None`` for an
        entry, which keeps one to every other entry.
    """

    def __init__(
        self, own_address: str, own_incarnation: str, now: float, limit: int | None
    ) -> None:
        self.addresses = Addresses(own_address, limit)
        self.own_incarnation = own_incarnation
        self._is_entry = limit is None
        self._last_event_at = now
        self._by_stream: dict[int, Link] = {}
        self._by_incarnation: dict[str, list[Link]] = {}
        self._next_peer_heartbeat_at = now if self._is_entry else math.inf
        self.next_check_at = now

    def begin_event(self, now: float) -> bool:
        """Prepare for handling one event.

        :return: whether all streams must be closed, because this process was paused for
            longer than others wait for it. The frames in its sockets are then outdated,
            and other entries may have taken over its jobs.
        """
        was_paused = now - self._last_event_at > BUSY_TIMEOUT_SECONDS
        self._last_event_at = now
        return was_paused

    def __iter__(self) -> Iterator[Link]:
        return iter(list(self._by_stream.values()))

    def list_peers(self) -> list[Link]:
        """List the newest stream to each entry."""
        return [
            links[-1]
            for links in self._by_incarnation.values()
            if links[-1].hello.role == Role.ENTRY
        ]

    def add_stream(
        self, stream: int, hello: Hello, dialled: str, now: float
    ) -> Link | None:
        """Add a stream that was opened.

        :return: ``None`` if the stream leads back to this process.
        """
        if hello.incarnation == self.own_incarnation:
            # A seed address may be another address of this process.
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
        """Remove a stream that ended, or record that dialling an address failed.

        :return: the removed stream; ``None`` if the stream was not open.
        """
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
        """Record that a frame arrived.

        A frame that was delayed by a network cut must not be processed: its sender has
        given it up already. The time since the previous frame reveals the delay.

        :return: the stream; ``None`` if it must not be used any more.
        """
        link = self._by_stream.get(stream)
        if link is None or self._is_timed_out(link, now):
            return None
        link.last_received_at = now
        link.probed_at = math.inf
        return link

    def _is_peer(self, link: Link) -> bool:
        return self._is_entry and link.hello.role == Role.ENTRY

    @property
    def peer_heartbeat_seconds(self) -> float:
        """Seconds between heartbeats to other entries."""
        return min(
            MAX_PEER_HEARTBEAT_SECONDS,
            max(
                BUSY_HEARTBEAT_SECONDS,
                PEER_HEARTBEAT_SPACING_SECONDS * self.addresses.count,
            ),
        )

    def is_responsive(self, link: Link, now: float) -> bool:
        """Return whether another entry's last frame is as recent as a live entry's."""
        return (
            now - link.last_received_at
            <= RESPONSIVE_HEARTBEATS * self.peer_heartbeat_seconds
        )

    def _is_timed_out(self, link: Link, now: float) -> bool:
        last_received_at = link.last_received_at
        if self._is_peer(link):
            limit = max(
                BUSY_TIMEOUT_SECONDS, PEER_TIMEOUT_FACTOR * self.peer_heartbeat_seconds
            )
            return now - last_received_at > limit
        if now - link.probed_at > PROBE_TIMEOUT_SECONDS:
            return True
        if link.busy_since < math.inf:
            # No frame was due before work was sent.
            alive_at = min(last_received_at, link.last_alive_at)
            return now - max(alive_at, link.busy_since) > BUSY_TIMEOUT_SECONDS
        return now - last_received_at > IDLE_TIMEOUT_SECONDS

    def list_timed_out(self, now: float) -> list[Link]:
        """List the streams on which no frame arrived within the timeout."""
        return [
            link for link in self._by_stream.values() if self._is_timed_out(link, now)
        ]

    def has_pending_probe(self, stream: int) -> bool:
        """Return whether a stream was probed and no frame has arrived since."""
        link = self._by_stream.get(stream)
        return link is not None and link.is_probe_pending

    def start_probes(self, now: float) -> list[Link]:
        """Mark idle streams as probed after another stream has timed out.

        What broke one stream may have broken all. Idle streams would time out seconds
        later only, and work sent on them until then would be lost.

        :return: the streams on which the caller must send a probe.
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
        """Return the open stream with a number, or ``None``."""
        return self._by_stream.get(stream)

    def find(self, incarnation: str) -> Link | None:
        """Return the newest stream to a process, or ``None``."""
        same = self._by_incarnation.get(incarnation)
        return same[-1] if same else None

    def count_streams(self, incarnation: str) -> int:
        """Count the open streams to a process."""
        return len(self._by_incarnation.get(incarnation, ()))

    def record_sent(self, actions: Iterable[object], now: float) -> None:
        """Record on which streams a frame is sent that replaces a heartbeat."""
        for action in actions:
            if isinstance(action, Send):
                link = self._by_stream.get(action.stream)
                if link is not None and self._shows_liveness(link, action):
                    link.sent_at = now

    def _shows_liveness(self, link: Link, action: Send) -> bool:
        # Agents grant leases based on when an entry is known to have been alive. A
        # frame that doesn't state when it was sent may be old and doesn't show that.
        to_agent = self._is_entry and link.hello.role == Role.AGENT
        return not to_agent or isinstance(action.message, (Alive, StartRun))

    def list_due_heartbeats(self, now: float) -> list[Link]:
        """List the streams on which a heartbeat is due.

        Streams are checked at most once in ``BUSY_CHECK_SECONDS``, or in
        ``IDLE_CHECK_SECONDS`` if all are idle; in between the list is empty.
        """
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
        """List the streams to other entries, once in ``peer_heartbeat_seconds``.

        In between the list is empty.
        """
        if now < self._next_peer_heartbeat_at:
            return []
        self._next_peer_heartbeat_at = now + self.peer_heartbeat_seconds
        return [link for link in self._by_stream.values() if self._is_peer(link)]

    def next_wakeup(self) -> float:
        """Return when the next heartbeat check or dial is due."""
        next_check_at = min(self.next_check_at, self._next_peer_heartbeat_at)
        return min(next_check_at, self.addresses.next_wakeup())
