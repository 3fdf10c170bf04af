"""Decides when an agent sends status updates about its endpoint to entries.

Every start and every end of a run changes the free capacity. Sending each change to
each of ten entries immediately took up most of the time of agents and entries: with 61
agents, 65 of the 88 messages that an entry received per job were such updates.

An entry is updated together with the end of each of its own runs, because it may have
work waiting for that capacity; the runs that it orders itself it subtracts by itself.
Other entries are updated at intervals, except for changes that affect their decisions:
a run of typical size fits again, or no longer fits. If these came late, entries would
order runs into capacity that is in use, and let runs wait while capacity is free.
"""

import math
from collections.abc import Iterable

from godwitbank._internal.core.runs.links import Link
from godwitbank._internal.models.messages import Message
from godwitbank._internal.models.run_messages import EndpointNews, Room

UPDATE_INTERVAL_SECONDS = 0.03
"""Seconds per entry between two rounds of updates that are not urgent, so that an agent
sends at most 33 of them per second, whatever the number of entries."""

MAX_UNTHROTTLED_ENTRIES = 4
"""Number of entries up to which all updates are sent immediately. So few messages cost
no more than the timer wake-up that would send them later."""

MAX_IMMEDIATE_UPDATES = 2
"""Number of entries that are updated immediately when a full endpoint has free capacity
again. If more were updated, all of them would order runs into the same capacity. The
others are updated with the next change, the least recently updated first."""


class LastUpdate:
    """The last status update sent to one entry."""

    __slots__ = ("news", "room", "at")

    def __init__(self) -> None:
        self.news: EndpointNews | None = None
        self.room: Room | None = None
        self.at = -math.inf


class StatusUpdates:
    """Tracks the last update sent on each stream and lists the updates that are due."""

    def __init__(self) -> None:
        self._last_updates: dict[int, LastUpdate] = {}
        self._round_at = -math.inf
        self._update_all = False
        self._typical_cpu = 0.0
        self._immediate_left = 0
        self._now = 0.0
        self._due_at = math.inf
        self._next_round_at = math.inf

    def remove_stream(self, stream: int) -> None:
        """Forget a stream that was closed."""
        self._last_updates.pop(stream, None)

    def begin_round(
        self, links: Iterable[Link], typical_cpu: float, now: float
    ) -> list[Link]:
        """Start a round of updates and sort the links, least recently updated first.

        All entries with postponed updates are updated in the same round. A timer for
        each of them would wake up the process as often as immediate updates do.

        :param typical_cpu: average CPU need of a run in millicores; 0 while unknown.
        :param now: current time in seconds.
        """
        ordered = sorted(links, key=self._find_updated_at)
        entries = len(ordered)
        self._typical_cpu = typical_cpu
        self._immediate_left = MAX_IMMEDIATE_UPDATES
        self._now = now
        interval = (
            UPDATE_INTERVAL_SECONDS * entries
            if entries > MAX_UNTHROTTLED_ENTRIES
            else 0.0
        )
        due_at = self._round_at + interval
        self._update_all = now >= due_at
        self._due_at = math.inf
        if self._update_all:
            self._round_at = now
            due_at = now + interval
        self._next_round_at = due_at
        return ordered

    def _find_updated_at(self, link: Link) -> float:
        last = self._last_updates.get(link.stream)
        return -math.inf if last is None else last.at

    def list_due(
        self, link: Link, news: EndpointNews, room: Room, immediate: bool
    ) -> list[Message]:
        """List the messages that an entry must be sent now.

        :param immediate: whether the outcome of one of the entry's runs is sent to it
            now, so that it must be updated with it.
        """
        last = self._last_updates.setdefault(link.stream, LastUpdate())
        due: list[Message] = []
        if last.news != news:
            last.news = news
            due.append(news)
        if last.room == room:
            return due
        urgent = immediate or self._update_all or last.room is None
        if not urgent and not self._affects_decisions(last.room, room):
            self._due_at = self._next_round_at
            return due
        last.room = room
        last.at = self._now
        due.append(room)
        return due

    def _affects_decisions(self, last: Room | None, room: Room) -> bool:
        """Return whether an update changes what an entry decides and is sent now."""
        did_fit = last is not None and last.cpu >= self._typical_cpu
        fits = room.cpu >= self._typical_cpu
        if did_fit == fits:
            return False
        return did_fit or self._count_immediate()

    def _count_immediate(self) -> bool:
        """Count an entry as updated immediately; return ``False`` above the limit."""
        self._immediate_left -= 1
        return self._immediate_left >= 0

    def next_wakeup(self) -> float:
        """Return the time at which postponed updates are due."""
        return self._due_at
