"""What an agent tells entries of its endpoint, and how often.

Every start and every end changes the room. Told to each of ten entries at once it was
most of what agents and entries did: with 61 agents, 65 of 88 messages an entry took
for a job. An entry is told with the end of each of its runs, as it may have work
waiting for just that room; what it sends itself it counts in. Others are told later,
but for what changes what they do: that there is room for a run of the usual size, or
none any more. Told late of that, entries order into room that is taken, and let runs
wait while there is some.
"""

import math
from collections.abc import Iterable

from godwitbank._internal.core.runs.links import Link
from godwitbank._internal.models.messages import Message
from godwitbank._internal.models.run_messages import EndpointNews, Room

UPDATE_INTERVAL_SECONDS = 0.03
"""Seconds between two messages about room that no entry waits for, so that an agent
sends 33 a second at the most, however many entries there are."""

MAX_UNTHROTTLED_ENTRIES = 4
"""Entries that are told at once: so few messages cost no more than the wake-up that
would send them later."""

MAX_IMMEDIATE_UPDATES = 2
"""Entries that are told at once of room where there was none. More would all order into
it; the next are told with the next change, whoever was told longest ago first."""


class LastUpdate:
    """What one entry was told last."""

    __slots__ = ("news", "room", "at")

    def __init__(self) -> None:
        self.news: EndpointNews | None = None
        self.room: Room | None = None
        self.at = -math.inf


class StatusUpdates:
    """What each entry was told last, by stream."""

    def __init__(self) -> None:
        self._told: dict[int, LastUpdate] = {}
        self._all_told_at = -math.inf
        self._all = False
        self._typical_cpu = 0.0
        self._first_left = 0
        self._now = 0.0
        self._due_at = math.inf
        self._next_at = math.inf

    def remove_stream(self, stream: int) -> None:
        """Forget a stream that has ended."""
        self._told.pop(stream, None)

    def begin_round(
        self, links: Iterable[Link], typical_cpu: float, now: float
    ) -> list[Link]:
        """Prepare for telling entries, and order them: told longest ago first.

        All that wait are told in one go: a timer each would wake the process as often
        as telling them at once.

        :param typical_cpu: thousandths of a core of a usual run; 0 while unknown.
        """
        ordered = sorted(links, key=self._find_told_at)
        entries = len(ordered)
        self._typical_cpu = typical_cpu
        self._first_left = MAX_IMMEDIATE_UPDATES
        self._now = now
        pause = (
            UPDATE_INTERVAL_SECONDS * entries
            if entries > MAX_UNTHROTTLED_ENTRIES
            else 0.0
        )
        due_at = self._all_told_at + pause
        self._all = now >= due_at
        self._due_at = math.inf
        if self._all:
            self._all_told_at = now
            due_at = now + pause
        self._next_at = due_at
        return ordered

    def _find_told_at(self, link: Link) -> float:
        told = self._told.get(link.stream)
        return -math.inf if told is None else told.at

    def list_due(
        self, link: Link, news: EndpointNews, room: Room, at_once: bool
    ) -> list[Message]:
        """List what an entry has to be told now.

        :param at_once: whether the entry is told of a run's end at this moment.
        """
        told = self._told.setdefault(link.stream, LastUpdate())
        due: list[Message] = []
        if told.news != news:
            told.news = news
            due.append(news)
        if told.room == room:
            return due
        urgent = at_once or self._all or told.room is None
        if not urgent and not self._must_know(told.room, room):
            self._due_at = self._next_at
            return due
        told.room = room
        told.at = self._now
        due.append(room)
        return due

    def _must_know(self, told: Room | None, room: Room) -> bool:
        """Tell whether an entry that waits to be told would decide otherwise now."""
        had_room = told is not None and told.cpu >= self._typical_cpu
        has_room = room.cpu >= self._typical_cpu
        if had_room == has_room:
            return False
        return had_room or self._take_first_place()

    def _take_first_place(self) -> bool:
        """Count an entry among those told first of room, if there is a place left."""
        self._first_left -= 1
        return self._first_left >= 0

    def next_wakeup(self) -> float:
        """Tell when entries that were not told yet are to be told."""
        return self._due_at
