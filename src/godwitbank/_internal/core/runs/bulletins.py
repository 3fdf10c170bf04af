"""What an agent tells entries of its endpoint, and how often.

Every start and every end changes the room. Told to each of ten entries at once it was
most of what agents and entries did: with 61 agents, 65 of 88 messages an entry took
for a job. An entry is told with the end of each of its runs, as it may have work
waiting for just that room; what it sends itself it counts in. Others are told later.
"""

import math

from godwitbank._internal.core.runs.links import Link
from godwitbank._internal.models.messages import Message
from godwitbank._internal.models.run_messages import EndpointNews, Room

PAUSE_SECONDS = 0.03
"""Seconds between two messages about room that no entry waits for, so that an agent
sends 33 a second at the most, however many entries there are."""

FEW_ENTRIES = 4
"""Entries that are told at once: so few messages cost no more than the wake-up that
would send them later."""


class Told:
    """What one entry was told last."""

    __slots__ = ("news", "room")

    def __init__(self) -> None:
        self.news: EndpointNews | None = None
        self.room: Room | None = None


class Bulletins:
    """What each entry was told last, by stream."""

    def __init__(self) -> None:
        self._told: dict[int, Told] = {}
        self._all_told_at = -math.inf
        self._all = False
        self._due_at = math.inf
        self._next_at = math.inf

    def forget(self, stream: int) -> None:
        """Forget a stream that has ended."""
        self._told.pop(stream, None)

    def begin(self, entries: int, now: float) -> None:
        """Prepare for telling entries.

        All that wait are told in one go: a timer each would wake the process as often
        as telling them at once.

        :param entries: how many there are.
        """
        pause = PAUSE_SECONDS * entries if entries > FEW_ENTRIES else 0.0
        due_at = self._all_told_at + pause
        self._all = now >= due_at
        self._due_at = math.inf
        if self._all:
            self._all_told_at = now
            due_at = now + pause
        self._next_at = due_at

    def list_due(
        self, link: Link, news: EndpointNews, room: Room, at_once: bool
    ) -> list[Message]:
        """List what an entry has to be told now.

        :param at_once: whether the entry is told of a run's end at this moment.
        """
        told = self._told.setdefault(link.stream, Told())
        due: list[Message] = []
        if told.news != news:
            told.news = news
            due.append(news)
        if told.room == room:
            return due
        if not (at_once or self._all or told.room is None):
            self._due_at = self._next_at
            return due
        told.room = room
        due.append(room)
        return due

    def next_wakeup(self) -> float:
        """Tell when entries that were not told yet are to be told."""
        return self._due_at
