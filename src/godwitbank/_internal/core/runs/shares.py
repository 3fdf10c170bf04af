"""Whose turn it is: priorities, floors and fair shares of the queues of a service.

More urgent queues go first. A floor keeps the less urgent ones from starving, and
within one priority no queue takes the share of another. Where all queues of a service
have one priority, none of this applies.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from godwitbank._internal.core.runs.queue_loads import QueueLoads
from godwitbank._internal.models.jobs import Configuration, QueueRules

DEFAULT_FLOOR = 0.05
"""Share of the capacity that is guaranteed to a queue without a configured floor:
enough that some of its callers are always served."""

MAX_DEFAULT_FLOORS = 0.3
"""Largest share of the capacity that all floors without configuration may add up to, as
it isn't available to urgent work."""

SHARE_TOLERANCE = 1.1
"""Multiple of its fair share from which a queue goes behind others of its priority.
Measured rates vary by about this much while demand is steady."""

TURN_SECONDS = 0.1
"""Seconds for which turns are kept before they are computed anew. Loads change within
seconds, and summing them up over many peers and queues takes milliseconds."""


class Turn(NamedTuple):
    """The order of a queue among those of its service; the smallest goes first.

    :param above_floor: whether it got its guaranteed share lately.
    :param above_share: whether it got more than its fair share of its priority.
    """

    above_floor: bool
    priority: int
    above_share: bool


def compute_max_min_shares(demands: Sequence[float], total: float) -> list[float]:
    """Divide a total so that nobody gets more than asked, and small demands get all."""
    shares = [0.0] * len(demands)
    left = total
    order = sorted(range(len(demands)), key=lambda index: demands[index])
    for served, index in enumerate(order):
        shares[index] = min(demands[index], left / (len(order) - served))
        left -= shares[index]
    return shares


def find_invalid_field(queues: Iterable[QueueRules]) -> str | None:
    """Return ``queue: field`` for the field that makes a configuration invalid, if any.

    A priority is a whole number from 0 on. A floor is a share; those of the queues of a
    service may add up to 1.
    """
    floors: dict[str, float] = {}
    for queue in queues:
        priority = queue.priority
        is_whole = isinstance(priority, int) and not isinstance(priority, bool)
        if not is_whole or priority < 0:
            return f"{queue.name}: priority"
        if not 0 <= queue.floor <= 1:
            return f"{queue.name}: floor"
        floors[queue.service] = floors.get(queue.service, 0.0) + queue.floor
        if floors[queue.service] > 1:
            return f"{queue.name}: floor"
    return None


class ServiceQueues:
    """The queues of one service, as configured.

    :param queues: rules of the queues.
    """

    def __init__(self, queues: Sequence[QueueRules]) -> None:
        self.queues = queues
        priorities = {queue.priority for queue in queues}
        self._least_urgent = max(priorities, default=0)
        self.graded = len(priorities) > 1
        """Whether the queues differ in priority."""
        default = min(DEFAULT_FLOOR, MAX_DEFAULT_FLOORS / max(len(queues), 1))
        self.floors = {queue.name: queue.floor or default for queue in queues}
        """Guaranteed share of each queue."""

    def has_less_urgent(self, queue: QueueRules) -> bool:
        """Return whether another queue is less urgent than one."""
        return queue.priority < self._least_urgent


class QueueShares:
    """Decides whose turn it is.

    :param loads: loads of the queues over all entries.
    :ivar find_configuration: returns the configuration in force, if there is one.
    :ivar version: increases whenever a turn may have changed.
    """

    def __init__(self, loads: QueueLoads) -> None:
        self.find_configuration: Callable[[], Configuration | None] = lambda: None
        self.version = 0
        self._loads = loads
        self._configuration: Configuration | None = None
        self._services: dict[str, ServiceQueues] = {}
        self._turns: dict[str, Turn] = {}
        self._turns_at: dict[str, float] = {}

    def find_service(self, service: str) -> ServiceQueues:
        """Return the queues of a service."""
        configuration = self.find_configuration()
        if configuration is not self._configuration:
            self._configuration = configuration
            self.version += 1
            self._services.clear()
            self._turns.clear()
            self._turns_at.clear()
        found = self._services.get(service)
        if found is None:
            queues = configuration.queues if configuration is not None else ()
            found = self._services[service] = ServiceQueues(
                [queue for queue in queues if queue.service == service]
            )
        return found

    def is_below_floor(self, queue: QueueRules, capacity: float, now: float) -> bool:
        """Return whether a queue was given less than its floor and its demand lately.

        :param capacity: cores of all endpoints of the service.
        """
        floor = self.find_service(queue.service).floors.get(queue.name, 0.0)
        owed = min(
            floor * capacity,
            self._loads.measure_asked(queue.name, now) / SHARE_TOLERANCE,
        )
        return self._loads.measure_given(queue.name, now) < owed

    def update_turns(self, service: str, capacity: float, now: float) -> None:
        """Compute the turns of a service's queues unless that was done just before."""
        queues = self.find_service(service)
        if not queues.graded or now - self._turns_at.get(service, -1.0) < TURN_SECONDS:
            return
        self._turns_at[service] = now
        self.version += 1
        for priority in {queue.priority for queue in queues.queues}:
            level = [queue for queue in queues.queues if queue.priority == priority]
            self._update_level(level, capacity, now)

    def _update_level(
        self, level: Sequence[QueueRules], capacity: float, now: float
    ) -> None:
        given = [self._loads.measure_given(queue.name, now) for queue in level]
        asked = [self._loads.measure_asked(queue.name, now) for queue in level]
        shares = compute_max_min_shares(asked, sum(given))
        for queue, got, share in zip(level, given, shares, strict=True):
            self._turns[queue.name] = Turn(
                not self.is_below_floor(queue, capacity, now),
                queue.priority,
                got > SHARE_TOLERANCE * share,
            )

    def find_turn(self, queue: QueueRules) -> Turn:
        """Return the turn of a queue."""
        return self._turns.get(queue.name) or Turn(True, queue.priority, False)
