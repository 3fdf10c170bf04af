"""The agents an entry knows, and the choice among them."""

import math
from random import Random

from godwitbank._internal.core.failure_rate import FailureRate
from godwitbank._internal.core.work import Task
from godwitbank._internal.models.tasks import TaskKey

MAX_DIAL_DELAY_SECONDS = 2.0
FIRST_DIAL_DELAY_SECONDS = 0.1
MIN_RANK_CHANGE_SECONDS = 0.02
"""Change of rank below which no agent is told."""

MIN_ANNOUNCEMENT_INTERVAL_SECONDS = 0.05
"""Shortest time between two words to one agent about less urgent work."""

MIN_CHANGE_SHARE = 0.5
"""Share by which waiting work must change before an agent is told again."""

SLOWNESS_WEIGHT = 0.15
"""Weight of the newest run time in an agent's slowness."""


class OutstandingStart:
    """A start on its way or running, as its entry knows it."""

    __slots__ = ("task", "start_by", "sent_at", "incarnation")

    def __init__(
        self, task: Task, start_by: float, sent_at: float, incarnation: str
    ) -> None:
        self.task = task
        self.start_by = start_by
        self.sent_at = sent_at
        self.incarnation = incarnation


class AnnouncedDemand:
    """What an agent was last told of this entry's waiting work."""

    __slots__ = ("waiting", "rank", "announced_at")

    def __init__(self) -> None:
        self.waiting = 0
        self.rank = 0.0
        self.announced_at = float("-inf")

    def is_stale(self, waiting: int, rank: float, now: float) -> bool:
        """Tell whether the agent would give a freed slot to the wrong entry.

        More urgent work is told at once, or it would wait behind another
        entry's large job; what became less urgent or fewer can wait a little.
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
        fewer = abs(waiting - self.waiting) > MIN_CHANGE_SHARE * self.waiting
        return fewer or rank > self.rank + MIN_RANK_CHANGE_SECONDS

    def is_due(self, waiting: int, rank: float, now: float) -> bool:
        """Tell whether it is worth looking at what each agent was told."""
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
        """Note what the agent is told now."""
        self.waiting = waiting
        self.rank = rank
        self.announced_at = now


class AgentView:
    """An agent as one entry sees it; soft state, rebuilt by heartbeats."""

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
        self.clock_heard_at = now
        self.heard_at = now
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
        """Note a new stream and the agent's clock."""
        if incarnation != self.incarnation:
            self.failures.clear()
            self.slowness = 0.0
            self.runs = 0
        self.stream = stream
        self.incarnation = incarnation
        self.dialling = False
        self.dial_delay = FIRST_DIAL_DELAY_SECONDS
        self.lost_at = None
        self.heard_at = now
        self.acknowledged = 0
        self.demand = AnnouncedDemand()
        self._reported_free = 0
        self._seen = 0
        self._sent = 0
        self.set_clock(clock, now)

    def disconnect(self, now: float) -> None:
        """Note that the stream is gone."""
        self.stream = None
        self.lost_at = now
        self.dial_at = now
        self._reported_free = 0

    def set_clock(self, clock: float, now: float) -> None:
        """Note the agent's clock as of its last heartbeat."""
        self.clock = clock
        self.clock_heard_at = now

    def postpone_dial(self, now: float) -> None:
        """Note a failed dial."""
        self.dialling = False
        self.dial_at = now + self.dial_delay
        self.dial_delay = min(self.dial_delay * 2, MAX_DIAL_DELAY_SECONDS)

    def update_free_slots(self, free: int, seen: int) -> None:
        """Note how many slots this entry may use."""
        self._reported_free = free
        self._seen = seen

    @property
    def free(self) -> int:
        """Slots this entry may use now, less the starts still on their way."""
        return self._reported_free - (self._sent - self._seen)

    def count_sent_start(self) -> None:
        """Count a start that was just sent."""
        self._sent += 1
        # The agent counts the start off what it was told, too.
        self.demand.waiting = max(0, self.demand.waiting - 1)

    def observe_run(self, run_time: float, mean: float) -> None:
        """Note a run time against the mean of its class, in seconds."""
        ratio = math.log(max(run_time, 1e-4) / max(mean, 1e-4))
        self.runs += 1
        self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness)

    def is_usable(self, now: float, window: float) -> bool:
        """Tell whether a start may be sent at all."""
        return (
            self.stream is not None
            and not self.leaving
            and bool(self.service)
            and now - self.clock_heard_at < window / 2
        )


class Pool:
    """Agents of one service, and which of them gets the next start."""

    def __init__(self, rng: Random, zone: str, window: float) -> None:
        self.views: list[AgentView] = []
        self._rng = rng
        self._zone = zone
        self._window = window

    def choose(self, now: float, same_zone: bool) -> AgentView | None:
        """Choose the agent with the most free slots for this entry.

        Equals are taken in the entry's own zone first, then at random, so that
        entries that share agents don't all pick the same one.
        """
        best: AgentView | None = None
        best_score = (0, False, 0.0)
        for view in self.views:
            free = view.free
            if free <= 0 or not self.may_send_start(view, now):
                continue
            near = same_zone and view.zone == self._zone
            score = (free, near, self._rng.random())
            if best is None or score > best_score:
                best = view
                best_score = score
        return best

    def may_send_start(self, view: AgentView, now: float) -> bool:
        """Tell whether a start may go to an agent now."""
        if not view.is_usable(now, self._window):
            return False
        if view.ejected_until <= 0:
            return True
        if now < view.ejected_until:
            return False
        # Ejection has run out: one task at a time until it proves itself.
        return not view.outstanding

    def count_usable(self, now: float) -> int:
        """Count agents that could take work, ejected or not."""
        return sum(view.is_usable(now, self._window) for view in self.views)

    def count_slots(self, now: float) -> int:
        """Count the slots of usable agents."""
        return sum(
            view.slots for view in self.views if view.is_usable(now, self._window)
        )
