"""Load of each queue over all entries: what is asked for, given and waiting.

Each entry measures its own load and keeps what its peers last reported. A peer's report
is never passed on, so that each entry's load counts once whoever reaches whom.
"""

import math
from collections.abc import Iterable
from functools import lru_cache
from typing import NamedTuple
from zlib import crc32

RATE_WINDOW_SECONDS = 2.0
"""Time constant of the moving averages of what is asked for and given, in seconds.

Shorter than a surge that callers notice, longer than the time between two large jobs of
a quiet queue."""

MAX_WAITING_AGE_SECONDS = 1.5
"""Age at which a peer's waiting work no longer counts, in seconds. Longer than the
silence after which a peer's stream is closed."""

MAX_FRESH_RATE_AGE_SECONDS = 1.5
"""Age up to which a peer's rates count in full, in seconds: one report may be late."""

MIN_RATE = 1e-3
"""Rate below which a queue counts as quiet, in core-seconds per second."""

OTHER_QUEUES = ""
"""Name under which a peer reports the sum of the queues that it doesn't list."""


class QueueLoad(NamedTuple):
    """Load of one queue at one entry.

    :param asked: core-seconds per second that callers asked for.
    :param given: core-seconds per second of the runs sent to agents, less those that
        never started.
    :param waiting: core-seconds that wait and must start within each of admission's
        horizons; cumulative.
    """

    queue: str
    asked: float
    given: float
    waiting: tuple[float, ...]


class QueueRates(NamedTuple):
    """What a queue's callers asked for and were given, in core-seconds per second."""

    asked: float
    given: float


@lru_cache(maxsize=4096)
def compute_queue_key(queue: str) -> int:
    """Return the key by which entries name a queue to each other.

    It doesn't depend on the configuration, which may differ between two entries while a
    new version is installed.
    """
    return crc32(queue.encode()) if queue else 0


class MovingRate:
    """Moving average of a rate, with the time constant ``RATE_WINDOW_SECONDS``."""

    __slots__ = ("_at", "_rate")

    def __init__(self, now: float) -> None:
        self._at = now
        self._rate = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount to the average, or take back one that was added lately."""
        self._rate = max(0.0, self.measure(now) + amount / RATE_WINDOW_SECONDS)
        self._at = now

    def measure(self, now: float) -> float:
        """Return the amount per second."""
        return self._rate * _compute_decay(now - self._at)


def _compute_decay(seconds: float) -> float:
    return math.exp(-max(seconds, 0.0) / RATE_WINDOW_SECONDS)


class _PeerLoads:
    """What one peer last reported, by the keys of the queues."""

    __slots__ = ("waiting", "waiting_at", "rates", "rates_at")

    def __init__(self) -> None:
        self.waiting: dict[int, tuple[float, ...]] = {}
        self.waiting_at = -math.inf
        self.rates: dict[int, QueueRates] = {}
        self.rates_at = -math.inf

    def compute_rate_factor(self, now: float) -> float:
        """Return the share of the reported rates that still counts.

        Old rates fade like an average to which nothing is added. If the peer's callers
        move to other entries, their averages rise by as much at the same time.
        """
        return _compute_decay(now - self.rates_at - MAX_FRESH_RATE_AGE_SECONDS)


class QueueLoads:
    """Measures this entry's load by queue, and sums it up with that of its peers.

    :ivar agent_overlap: share of an entry's agents that another entry is connected to,
        too. The same share of a peer's waiting work competes for the capacity known
        here.
    """

    def __init__(self) -> None:
        self.agent_overlap = 1.0
        self._asked: dict[str, MovingRate] = {}
        self._given: dict[str, MovingRate] = {}
        self._peers: dict[str, _PeerLoads] = {}
        self._lost_peers: dict[str, _PeerLoads] = {}

    # This entry

    def record_asked(self, queue: str, core_seconds: float, now: float) -> None:
        """Record a job that callers asked for, whether or not it is accepted."""
        self._get_rate(self._asked, queue, now).add(core_seconds, now)

    def record_given(self, queue: str, core_seconds: float, now: float) -> None:
        """Record a run that was sent to an agent."""
        self._get_rate(self._given, queue, now).add(core_seconds, now)

    def _get_rate(
        self, rates: dict[str, MovingRate], queue: str, now: float
    ) -> MovingRate:
        rate = rates.get(queue)
        if rate is None:
            rate = rates[queue] = MovingRate(now)
        return rate

    def list_own_rates(self, now: float) -> dict[str, QueueRates]:
        """Return this entry's rates of the queues that aren't quiet, by queue."""
        rates = {
            queue: QueueRates(
                _measure(self._asked, queue, now), _measure(self._given, queue, now)
            )
            for queue in self._asked.keys() | self._given.keys()
        }
        return {queue: each for queue, each in rates.items() if max(each) >= MIN_RATE}

    # Peers

    def update_peer(self, peer: str, loads: Iterable[QueueLoad], now: float) -> None:
        """Record all that a peer reports; queues that it doesn't list are quiet.

        :param peer: incarnation of the peer.
        """
        loads = list(loads)
        waiting = {compute_queue_key(each.queue): each.waiting for each in loads}
        self.update_peer_waiting(peer, waiting, now)
        rates = {
            compute_queue_key(each.queue): QueueRates(each.asked, each.given)
            for each in loads
        }
        self.update_peer_rates(peer, rates, now)

    def update_peer_waiting(
        self, peer: str, waiting: dict[int, tuple[float, ...]], now: float
    ) -> None:
        """Record a peer's waiting work.

        :param waiting: core-seconds for each of admission's horizons, by queue key.
        """
        record = self._peers.setdefault(peer, _PeerLoads())
        record.waiting, record.waiting_at = waiting, now

    def update_peer_rates(
        self, peer: str, rates: dict[int, QueueRates], now: float
    ) -> None:
        """Record a peer's rates, by queue key."""
        record = self._peers.setdefault(peer, _PeerLoads())
        record.rates, record.rates_at = rates, now
        self._lost_peers.pop(peer, None)
        self._drop_faded(now)

    def forget_peer(self, peer: str) -> None:
        """Discard a lost peer's waiting work; its rates fade."""
        record = self._peers.pop(peer, None)
        if record is not None and record.rates:
            self._lost_peers[peer] = record

    def count_lost_peers(self) -> int:
        """Count the lost peers whose rates haven't faded."""
        return len(self._lost_peers)

    def is_peer_idle(self, peer: str) -> bool:
        """Return whether a peer had no waiting work when it last reported."""
        record = self._peers.get(peer)
        if record is None or record.waiting_at == -math.inf:
            return False
        return not any(any(waiting) for waiting in record.waiting.values())

    # Over all entries

    def measure_asked(self, queue: str, now: float) -> float:
        """Return what a queue's callers ask for, in core-seconds per second."""
        own = _measure(self._asked, queue, now)
        return own + sum(each.asked for each in self._list_peer_rates(queue, now))

    def measure_given(self, queue: str, now: float) -> float:
        """Return what a queue's callers are given, in core-seconds per second."""
        own = _measure(self._given, queue, now)
        return own + sum(each.given for each in self._list_peer_rates(queue, now))

    def _list_peer_rates(self, queue: str, now: float) -> list[QueueRates]:
        key = compute_queue_key(queue)
        rates = []
        for record in (*self._peers.values(), *self._lost_peers.values()):
            reported = record.rates.get(key)
            if reported is not None:
                factor = record.compute_rate_factor(now)
                rates.append(
                    QueueRates(reported.asked * factor, reported.given * factor)
                )
        return rates

    def _drop_faded(self, now: float) -> None:
        self._lost_peers = {
            peer: record
            for peer, record in self._lost_peers.items()
            if record.compute_rate_factor(now) > MIN_RATE
        }

    def measure_peer_waiting(self, queue: str, position: int, now: float) -> float:
        """Return the peers' waiting work that competes for the agents of this entry.

        :param position: index of one of admission's horizons.
        :return: core-seconds.
        """
        key = compute_queue_key(queue)
        total = sum(
            record.waiting[key][position]
            for record in self._list_fresh(now)
            if key in record.waiting
        )
        return total * self.agent_overlap

    def measure_all_peer_waiting(self, position: int, now: float) -> float:
        """Return the peers' waiting work of all queues, like that of one queue."""
        total = sum(
            waiting[position]
            for record in self._list_fresh(now)
            for waiting in record.waiting.values()
        )
        return total * self.agent_overlap

    def _list_fresh(self, now: float) -> list[_PeerLoads]:
        return [
            record
            for record in self._peers.values()
            if now - record.waiting_at <= MAX_WAITING_AGE_SECONDS
        ]

    def measure_age(self, now: float) -> float:
        """Return the age of the oldest report that a connected peer's load is from.

        :return: seconds; 0 without peers.
        """
        return max((now - each.waiting_at for each in self._peers.values()), default=0)


def _measure(rates: dict[str, MovingRate], queue: str, now: float) -> float:
    rate = rates.get(queue)
    return 0.0 if rate is None else rate.measure(now)
