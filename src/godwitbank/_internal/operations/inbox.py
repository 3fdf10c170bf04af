"""Event queue that feeds a core, in order, from a single task."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from godwitbank._internal.core.events import Tick

A = TypeVar("A")


class Core(Protocol[A]):
    """Interface common to all cores."""

    def handle(self, event: object, now: float) -> list[A]:
        """Process one event.

        :param now: current time in seconds.
        :return: actions that the process must perform.
        """


async def wait_unless_failed(
    event: asyncio.Event, core_task: asyncio.Task[None]
) -> None:
    """Wait for an event, or re-raise the exception that ended the core's task.

    The state of a core that raised an exception is undefined. If its process kept
    running, it would accept work and never answer. The process must exit with an
    error instead, so that callers submit elsewhere.

    :param core_task: task that runs :meth:`Inbox.run`.
    """
    waiting = asyncio.ensure_future(event.wait())
    await asyncio.wait({waiting, core_task}, return_when=asyncio.FIRST_COMPLETED)
    if core_task.done():
        waiting.cancel()
        core_task.result()


class Inbox(Generic[A]):
    """Queues events for a core and passes them to it.

    A callback of the event loop processes all events that were queued in one
    iteration as a batch. Waking a task for each event would cost ten times as much
    as the core's own work.

    :param perform: performs the actions that the core returned for a batch.
    :param next_wakeup: returns the time at which the core needs its next tick.
    :param clock: returns the current time in seconds.
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
        self._failure: asyncio.Future[None] | None = None
        self._scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0

    def put(self, event: object) -> None:
        """Queue an event for the core."""
        self._events.append(event)
        self._schedule()

    async def flush(self) -> None:
        """Wait until the core has processed all events queued so far."""
        loop = asyncio.get_running_loop()
        marker: asyncio.Future[None] = loop.create_future()
        self.put(marker)
        await marker

    async def run(self) -> None:
        """Pass events and ticks to the core until cancelled or the core raises."""
        self._loop = asyncio.get_running_loop()
        self._failure = self._loop.create_future()
        self._schedule()
        try:
            await self._failure
        finally:
            self._loop = None
            if self._timer is not None:
                self._timer.cancel()

    def _schedule(self) -> None:
        if self._loop is not None and not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._run_batch)

    def _run_batch(self) -> None:
        self._scheduled = False
        if self._loop is None or self._failure is None or self._failure.done():
            return
        try:
            self._process_events()
        except Exception as error:  # noqa: BLE001
            # The task that awaits run() must end with any exception of the core.
            self._failure.set_exception(error)
            return
        self._set_timer(self._loop)

    def _process_events(self) -> None:
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

    def _set_timer(self, loop: asyncio.AbstractEventLoop) -> None:
        at = self._next_wakeup()
        if self._timer is not None and self._timer_at <= at:
            # The timer fires too early, finds nothing due and is set again. That
            # costs less than a new timer for every event.
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = at
        delay = max(0.0, at - self._clock())
        self._timer = loop.call_later(delay, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._schedule()
