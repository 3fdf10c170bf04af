"""Starts that wait at an agent for a slot."""

from collections import deque
from typing import NamedTuple

from godwitbank._internal.models.messages import Start
from godwitbank._internal.models.tasks import TaskKey


class Parked(NamedTuple):
    """A start that waits, and the stream it came on."""

    stream: int
    start: Start


class Parking:
    """A short queue of starts; none of them has started."""

    def __init__(self) -> None:
        self._waiting: deque[Parked] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, key: TaskKey) -> bool:
        return any(parked.start.key == key for parked in self._waiting)

    def add(self, stream: int, start: Start) -> None:
        """Let a start wait."""
        self._waiting.append(Parked(stream, start))

    def pop(self) -> Parked:
        """Take the start that has waited longest."""
        return self._waiting.popleft()

    def take(self, key: TaskKey) -> Parked | None:
        """Take one start out, if it waits here."""
        for parked in self._waiting:
            if parked.start.key == key:
                self._waiting.remove(parked)
                return parked
        return None

    def take_stream(self, stream: int) -> list[Parked]:
        """Take out everything that came on a stream."""
        taken = [parked for parked in self._waiting if parked.stream == stream]
        for parked in taken:
            self._waiting.remove(parked)
        return taken
