"""A task that owns a core and feeds it events in order."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable
from typing import Protocol

from godwitbank._internal.core.events import Action, Tick


class Core(Protocol):
    """What both cores have in common."""

    def handle(self, event: object, now: float) -> list[Action]:
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


class Inbox:
    """Events waiting for a core, and the loop that hands them over."""

    def __init__(
        self,
        core: Core,
        perform: Callable[[list[Action]], None],
        next_wakeup: Callable[[], float],
        clock: Callable[[], float],
    ) -> None:
        self._core = core
        self._perform = perform
        self._next_wakeup = next_wakeup
        self._clock = clock
        self._events: deque[object] = deque()
        self._arrived = asyncio.Event()

    def put(self, event: object) -> None:
        """Queue an event."""
        self._events.append(event)
        self._arrived.set()

    async def flush(self) -> None:
        """Wait until every event queued before has been handled."""
        loop = asyncio.get_running_loop()
        marker: asyncio.Future[None] = loop.create_future()
        self.put(marker)
        await marker

    async def run(self) -> None:
        """Hand over events and ticks until cancelled."""
        while True:
            await self._wait()
            self._drain()

    async def _wait(self) -> None:
        if self._events:
            return
        delay = self._next_wakeup() - self._clock()
        if delay <= 0:
            # Yield, so that sockets get their turn between two due ticks.
            await asyncio.sleep(0)
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay):
                await self._arrived.wait()

    def _drain(self) -> None:
        self._arrived.clear()
        actions: list[Action] = []
        for _ in range(len(self._events)):
            event = self._events.popleft()
            if isinstance(event, asyncio.Future):
                event.set_result(None)
                continue
            actions += self._core.handle(event, self._clock())
        if self._next_wakeup() <= self._clock():
            actions += self._core.handle(Tick(), self._clock())
        self._perform(actions)
