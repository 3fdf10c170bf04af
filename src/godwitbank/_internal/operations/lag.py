"""Measures how late the event loop acts on a timer."""

import asyncio
from collections.abc import Callable

ENTRY_PERIOD = 0.025
"""Seconds between an entry's measurements: four in the time after which it acts on
them, at 0.1 % of a core."""

AGENT_PERIOD = 0.05
"""The same for an agent, which only tells it."""


class LagMeter:
    """Asks for a timer over and over, and tells how late each fired.

    What waits in sockets is read in the loop's next turn. A timer waits for that turn,
    too: nothing tells better, before requests are read, how late they will be.

    :param deliver: is told the lateness in seconds.
    """

    def __init__(
        self,
        period: float,
        clock: Callable[[], float],
        deliver: Callable[[float], None],
    ) -> None:
        self._period = period
        self._clock = clock
        self._deliver = deliver
        self._timer: asyncio.TimerHandle | None = None
        self._due_at = 0.0

    def start(self) -> None:
        """Begin to measure."""
        self._due_at = self._clock() + self._period
        self._timer = asyncio.get_running_loop().call_later(self._period, self._fire)

    def _fire(self) -> None:
        self._deliver(max(0.0, self._clock() - self._due_at))
        self.start()

    def stop(self) -> None:
        """End measuring."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
