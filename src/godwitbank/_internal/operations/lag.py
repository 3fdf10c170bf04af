"""Measures how late the event loop acts on what has arrived."""

import asyncio
from collections.abc import Callable

ENTRY_INTERVAL_SECONDS = 0.025
"""Seconds between an entry's measurements: two within the time of which it takes the
least late one."""

AGENT_INTERVAL_SECONDS = 0.1
"""The same for an agent, which only tells it. It wakes up as often to prove its life
while runs are in flight, and there are many agents: each measurement is four turns."""


LOOP_ITERATIONS = 3
"""Turns of the loop from a request's bytes to a decision: they are read in one, its
handler runs in the next, and the core in the third."""


class LagMeter:
    """Goes the way of a request over and over, and tells how late it got to its end.

    A request that arrives now waits in its socket for the loop's next turn, and for two
    more. A timer waits as long, and then callbacks that each run a turn later: nothing
    else tells, before requests are read, how late they will be. A timer alone doesn't:
    it is set when a turn begins, so a turn of 50 ms makes one of 25 ms late by 25 ms,
    where a request is late by 150 ms.

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
        self._wait_turns(LOOP_ITERATIONS)

    def _wait_turns(self, left: int) -> None:
        if self._timer is None:
            return
        if left:
            asyncio.get_running_loop().call_soon(self._wait_turns, left - 1)
            return
        self._deliver(max(0.0, self._clock() - self._due_at))
        self.start()

    def stop(self) -> None:
        """End measuring."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
