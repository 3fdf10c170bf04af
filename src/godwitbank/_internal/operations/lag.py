"""Measures event loop lag: how late the loop acts on what has arrived."""

import asyncio
from collections.abc import Callable

ENTRY_INTERVAL_SECONDS = 0.025
"""Interval between an entry's measurements. Two fit in the window from which the entry
takes the smallest lag."""

AGENT_INTERVAL_SECONDS = 0.1
"""Interval between an agent's measurements. An agent only reports its lag; with runs in
flight it wakes up at this interval for heartbeats anyway. There are many agents, and
each measurement costs four iterations of the event loop."""

LOOP_ITERATIONS = 3
"""Event loop iterations from the arrival of a request to a decision: its bytes are read
in one, its handler runs in the next, and the core in the third."""


class LagMeter:
    """Measures periodically how late the event loop processes an arriving request.

    A request that arrives now waits in its socket for the loop's next iteration, and
    then for two more. Each measurement waits as long: for a timer, and then for a chain
    of callbacks that each run one iteration later. Nothing else shows, before requests
    are read, how late they will be. The delay of the timer alone underestimates it: the
    timer is set at the start of an iteration, so an iteration of 50 ms makes a timer of
    25 ms late by 25 ms, while a request is late by 150 ms.

    :param interval_seconds: seconds between measurements.
    :param clock: returns the current time in seconds.
    :param on_lag: called with each measured lag in seconds.
    """

    def __init__(
        self,
        interval_seconds: float,
        clock: Callable[[], float],
        on_lag: Callable[[float], None],
    ) -> None:
        self._interval_seconds = interval_seconds
        self._clock = clock
        self._on_lag = on_lag
        self._timer: asyncio.TimerHandle | None = None
        self._due_at = 0.0

    def start(self) -> None:
        """Start measuring."""
        self._due_at = self._clock() + self._interval_seconds
        self._timer = asyncio.get_running_loop().call_later(
            self._interval_seconds, self._on_timer
        )

    def _on_timer(self) -> None:
        self._wait_iterations(LOOP_ITERATIONS)

    def _wait_iterations(self, remaining: int) -> None:
        if self._timer is None:
            return
        if remaining:
            asyncio.get_running_loop().call_soon(self._wait_iterations, remaining - 1)
            return
        self._on_lag(max(0.0, self._clock() - self._due_at))
        self.start()

    def stop(self) -> None:
        """Stop measuring."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
