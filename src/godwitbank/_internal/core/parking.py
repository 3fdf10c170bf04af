"""Starts that are parked at an agent until a slot is free."""

from collections import deque
from typing import NamedTuple

from godwitbank._internal.models.messages import Start
from godwitbank._internal.models.tasks import TaskKey


class Parked(NamedTuple):
    """A parked start and the stream on which it was received."""

    stream: int
    start: Start


class Parking:
    """A short first-in, first-out queue of starts whose tasks have not begun."""

    def __init__(self) -> None:
        self._waiting: deque[Parked] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, key: TaskKey) -> bool:
        return any(parked.start.key == key for parked in self._waiting)

    def add(self, stream: int, start: Start) -> None:
        """Park a start."""
        self._waiting.append(Parked(stream, start))

    def pop(self) -> Parked:
        """Remove and return the start that was parked first."""
        return self._waiting.popleft()

    def take(self, key: TaskKey) -> Parked | None:
        """Remove and return a start, or return ``None`` if it isn't parked."""
        for parked in self._waiting:
            if parked.start.key == key:
                self._waiting.remove(parked)
                return parked
        return None

    def take_stream(self, stream: int) -> list[Parked]:
        """Remove and return all starts that were received on a stream."""
        taken = [parked for parked in self._waiting if parked.stream == stream]
        for parked in taken:
            self._waiting.remove(parked)
        return taken
