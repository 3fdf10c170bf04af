"""Agents known to one entry, and selection of the agent for the next start."""

import math
from random import Random

from godwitbank._internal.core.failure_rate import FailureRate
from godwitbank._internal.core.work import Task
from godwitbank._internal.models.tasks import TaskKey

MAX_DIAL_DELAY_SECONDS = 2.0
FIRST_DIAL_DELAY_SECONDS = 0.1
MIN_RANK_CHANGE_SECONDS = 0.02
"""Smallest change of the most urgent rank that is announced to agents."""

MIN_ANNOUNCEMENT_INTERVAL_SECONDS = 0.05
"""Shortest time between announcements to one agent, unless work is more urgent."""

MIN_CHANGE_SHARE = 0.5
"""Relative change of the number of waiting tasks above which it is announced."""

SLOWNESS_WEIGHT = 0.15
"""Weight of the newest run time in the moving average of an agent's slowness."""


class OutstandingStart:
    """A start that was sent and has no result yet, as its entry knows it.

    :param start_by: time limit of the start, in the agent's clock.
    :param incarnation: incarnation of the agent that it was sent to.
    """

    __slots__ = ("task", "start_by", "sent_at", "incarnation")

    def __init__(
        self, task: Task, start_by: float, sent_at: float, incarnation: str
    ) -> None:
        self.task = task
        self.start_by = start_by
        self.sent_at = sent_at
        self.incarnation = incarnation


class AnnouncedDemand:
    """Waiting work of this entry, as last announced to an agent.

    :ivar waiting: number of waiting tasks.
    :ivar rank: rank of the most urgent of them.
    """

    __slots__ = ("waiting", "rank", "announced_at")

    def __init__(self) -> None:
        self.waiting = 0
        self.rank = 0.0
        self.announced_at = float("-inf")

    def is_stale(self, waiting: int, rank: float, now: float) -> bool:
        """Return whether the agent might grant a freed slot to the wrong entry.

        More urgent work is announced immediately, or it would wait behind another
        entry's large job. Other changes are announced at intervals.
        """
        if not waiting and not self.waiting:
            return False
        if (
            bool(waiting) != bool(self.waiting)
            or rank < self.rank - MIN_RANK_CHANGE_SECONDS
        ):
            return True
        if now - self.announced_at < MIN_ANNOUNCEMENT_INTERVAL_SECONDS:
            return False
        count_changed = abs(waiting - self.waiting) > MIN_CHANGE_SHARE * self.waiting
        return count_changed or rank > self.rank + MIN_RANK_CHANGE_SECONDS

    def is_due(self, waiting: int, rank: float, now: float) -> bool:
        """Return whether ``is_stale`` has to be called for each agent.

        Called on the newest announcement to any agent; saves most of the other calls.
        """
        if (
            bool(waiting) != bool(self.waiting)
            or rank < self.rank - MIN_RANK_CHANGE_SECONDS
        ):
            return True
        return (
            bool(waiting)
            and now - self.announced_at >= MIN_ANNOUNCEMENT_INTERVAL_SECONDS
        )

    def record(self, waiting: int, rank: float, now: float) -> None:
        """Record what is announced now."""
        self.waiting = waiting
        self.rank = rank
        self.announced_at = now


class AgentView:
    """State of an agent at one entry; soft state, rebuilt from heartbeats.

    :ivar outstanding: starts that were sent and have no result yet.
    :ivar clock: the agent's clock as of its last heartbeat, in seconds.
    :ivar acknowledged: results received since the last heartbeat to the agent.
    :ivar reported_failure_rate: failure rate that the agent itself observed.
    :ivar slowness: moving average of the logarithm of run time over class mean.
    :ivar ejected_until: time at which the ejection ends; 0 if not ejected.
    :ivar probing: whether the agent was ejected, so that the next result after the
        ejection decides on its reinstatement.
    """

    def __init__(self, address: str, now: float) -> None:
        self.address = address
        self.stream: int | None = None
        self.process = ""
        self.incarnation = ""
        self.zone = ""
        self.service = ""
        self.slots = 0
        self.leaving = False
        self.outstanding: dict[TaskKey, OutstandingStart] = {}
        self.clock = 0.0
        self.clock_received_at = now
        self.last_received_at = now
        self.lost_at: float | None = None
        self.dialling = False
        self.dial_at = now
        self.dial_delay = FIRST_DIAL_DELAY_SECONDS
        self.acknowledged = 0
        self.revisions: dict[str, int] = {}
        self.digest = 0
        self.failures = FailureRate()
        self.reported_failure_rate = 0.0
        self.slowness = 0.0
        self.runs = 0
        self.ejected_until = 0.0
        self.ejections = 0
        self.probing = False
        self.demand = AnnouncedDemand()
        self._reported_free = 0
        self._seen = 0
        self._sent = 0

    def connect(self, stream: int, incarnation: str, clock: float, now: float) -> None:
        """Record a new stream and the agent's clock."""
        if incarnation != self.incarnation:
            self.failures.clear()
            self.slowness = 0.0
            self.runs = 0
        self.stream = stream
        self.incarnation = incarnation
        self.dialling = False
        self.dial_delay = FIRST_DIAL_DELAY_SECONDS
        self.lost_at = None
        self.last_received_at = now
        self.acknowledged = 0
        self.demand = AnnouncedDemand()
        self._reported_free = 0
        self._seen = 0
        self._sent = 0
        self.set_clock(clock, now)

    def disconnect(self, now: float) -> None:
        """Record that the stream was lost."""
        self.stream = None
        self.lost_at = now
        self.dial_at = now
        self._reported_free = 0

    def set_clock(self, clock: float, now: float) -> None:
        """Record the agent's clock, in seconds, and when it was received."""
        self.clock = clock
        self.clock_received_at = now

    def postpone_dial(self, now: float) -> None:
        """Double the delay before the next dial, after one failed."""
        self.dialling = False
        self.dial_at = now + self.dial_delay
        self.dial_delay = min(self.dial_delay * 2, MAX_DIAL_DELAY_SECONDS)

    def update_free_slots(self, free: int, seen: int) -> None:
        """Record how many slots this entry may use.

        :param free: slots that the agent granted to this entry.
        :param seen: starts on this stream that the agent had received by then.
        """
        self._reported_free = free
        self._seen = seen

    @property
    def free(self) -> int:
        """Slots this entry may use now, without those taken by starts in transit."""
        return self._reported_free - (self._sent - self._seen)

    def count_sent_start(self) -> None:
        """Count a start that was sent."""
        self._sent += 1
        # On receipt the agent also subtracts the start from the announced demand.
        self.demand.waiting = max(0, self.demand.waiting - 1)

    def observe_run(self, run_time: float, mean: float) -> None:
        """Update the slowness from a run time and its class's mean, in seconds."""
        ratio = math.log(max(run_time, 1e-4) / max(mean, 1e-4))
        self.runs += 1
        self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness)

    def is_usable(self, now: float, window: float) -> bool:
        """Return whether the agent is connected and serving, and its clock recent.

        :param window: seconds after the agent's reported clock within which a start
            is valid.
        """
        return (
            self.stream is not None
            and not self.leaving
            and bool(self.service)
            and now - self.clock_received_at < window / 2
        )


class Pool:
    """Agents of one service."""

    def __init__(self, rng: Random, zone: str, window: float) -> None:
        self.views: list[AgentView] = []
        self._rng = rng
        self._zone = zone
        self._window = window

    def choose(self, now: float, same_zone: bool) -> AgentView | None:
        """Choose the agent with the most free slots for this entry.

        Ties are broken in favour of the entry's own zone if ``same_zone`` is set,
        then at random, so that entries that share agents spread their starts.

        :param same_zone: whether to prefer the entry's own availability zone.
        """
        best: AgentView | None = None
        best_score = (0, False, 0.0)
        for view in self.views:
            free = view.free
            if free <= 0 or not self.may_send_start(view, now):
                continue
            is_local = same_zone and view.zone == self._zone
            score = (free, is_local, self._rng.random())
            if best is None or score > best_score:
                best = view
                best_score = score
        return best

    def may_send_start(self, view: AgentView, now: float) -> bool:
        """Return whether a start may be sent to an agent now."""
        if not view.is_usable(now, self._window):
            return False
        if view.ejected_until <= 0:
            return True
        if now < view.ejected_until:
            return False
        # The ejection has ended: send one task at a time until a probe succeeds.
        return not view.outstanding

    def count_usable(self, now: float) -> int:
        """Count usable agents, including ejected ones."""
        return sum(view.is_usable(now, self._window) for view in self.views)

    def count_slots(self, now: float) -> int:
        """Count the slots of all usable agents."""
        return sum(
            view.slots for view in self.views if view.is_usable(now, self._window)
        )
