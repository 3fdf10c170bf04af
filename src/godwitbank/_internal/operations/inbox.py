"""A task that owns a core and feeds it events in order."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from godwitbank._internal.core.events import Tick

A = TypeVar("A")


class Core(Protocol[A]):
    """What all cores have in common."""

    def handle(self, event: object, now: float) -> list[A]:
        """Take one event and return what has to be done."""


async def wait_unless_failed(event: asyncio.Event, owner: asyncio.Task[None]) -> None:
    """Wait for an event, or raise what ended the core's task.

    A core that raised has lost track of its state. If its process went on, it
    would accept work and never answer; it must end, loudly, so that callers
    submit elsewhere.
    """
    waiting = asyncio.ensure_future(event.wait())
    await asyncio.wait({waiting, owner}, return_when=asyncio.FIRST_COMPLETED)
    if owner.done():
        waiting.cancel()
        owner.result()


class Inbox(Generic[A]):
    """Events waiting for a core, and the task that owns the core.

    Events are handed over by callbacks of the loop, all that have come in one
    turn together; waking a task for each cost ten times the core's own work.
    """

    def __init__(
        self,
        core: Core[A],
        perform: Callable[[list[A]], None],
        next_wakeup: Callable[[], float],
        clock: Callable[[], float],
    ) -> None:
        self._core = core
        self._perform = perform
        self._next_wakeup = next_wakeup
        self._clock = clock
        self._events: deque[object] = deque()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._ended: asyncio.Future[None] | None = None
        self._scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0

    def put(self, event: object) -> None:
        """Queue an event."""
        self._events.append(event)
        self._schedule()

    async def flush(self) -> None:
        """Wait until every event queued before has been handled."""
        loop = asyncio.get_running_loop()
        marker: asyncio.Future[None] = loop.create_future()
        self.put(marker)
        await marker

    async def run(self) -> None:
        """Hand over events and ticks until cancelled, or until the core raises."""
        self._loop = asyncio.get_running_loop()
        self._ended = self._loop.create_future()
        self._schedule()
        try:
            await self._ended
        finally:
            self._loop = None
            if self._timer is not None:
                self._timer.cancel()

    def _schedule(self) -> None:
        if self._loop is not None and not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._hand_over)

    def _hand_over(self) -> None:
        self._scheduled = False
        if self._loop is None or self._ended is None or self._ended.done():
            return
        try:
            self._drain()
        except Exception as error:  # noqa: BLE001
            # Whatever it is, the owner's task must end with it.
            self._ended.set_exception(error)
            return
        self._arm(self._loop)

    def _drain(self) -> None:
        actions: list[A] = []
        for _ in range(len(self._events)):
            event = self._events.popleft()
            if isinstance(event, asyncio.Future):
                event.set_result(None)
                continue
            actions += self._core.handle(event, self._clock())
        if self._next_wakeup() <= self._clock():
            actions += self._core.handle(Tick(), self._clock())
        if actions:
            self._perform(actions)

    def _arm(self, loop: asyncio.AbstractEventLoop) -> None:
        at = self._next_wakeup()
        if self._timer is not None and self._timer_at <= at:
            # It fires early, finds nothing due, and is armed again: cheaper
            # than a new timer for every event.
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = at
        delay = max(0.0, at - self._clock())
        self._timer = loop.call_later(delay, self._fire)

    def _fire(self) -> None:
        self._timer = None
        self._schedule()
