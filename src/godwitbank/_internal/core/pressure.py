"""Detects an overloaded process by the lag of its event loop.

A process that has run out of processor time has no other sign of it: requests wait
in sockets, and each iteration of the event loop finds more of them and takes longer.
Its callers time out before their requests are read.
"""

import math
from collections import deque
from typing import NamedTuple

LAG_WINDOW_SECONDS = 0.05
"""Window, in seconds, whose smallest lag counts, so that one long iteration of the
event loop is ignored."""

THROTTLING_PERIOD_SECONDS = 0.1
"""Longest pause, in seconds, of a VM that isn't short of processor time: a used-up CPU
quota is refilled every tenth of a second."""

IDLE_LAG_SECONDS = 0.005
"""Lag, in seconds, below which no event waits. If the lag was this small within
``THROTTLING_PERIOD_SECONDS``, the queue does empty, and only the lag in excess of that
period counts as overload."""

OVERLOADED_LAG_SECONDS = 0.03
"""Lag, in seconds, from which a process is overloaded. A job takes several iterations
of the event loop to be read, placed and answered, each of them this late; tasks of a
tenth of a second miss their targets then."""

RECOVERED_LAG_SECONDS = 0.025
"""Lag, in seconds, below which the overload is over; lower than
``OVERLOADED_LAG_SECONDS``, so that a process at the limit doesn't log many changes."""

MEAN_WEIGHT = 0.1
"""Weight of the newest sample in the mean, which so covers about ten samples: a quarter
of a second at an entry, the interval at which other entries receive the mean."""


class Sample(NamedTuple):
    """Lag with which a timer fired, in seconds, and the time."""

    lag: float
    at: float


class PressureChange(NamedTuple):
    """The process has become overloaded, or has recovered.

    :param event: name of the log event, ``behind`` or ``caught_up``.
    :param lag: current lag, in seconds.
    :param seconds: duration of the overload, in seconds; 0 at its beginning.
    """

    event: str
    lag: float
    seconds: float


class Pressure:
    """Event loop lag of a process, and whether it is overloaded.

    :ivar lag: smallest lag within ``LAG_WINDOW_SECONDS``, in seconds.
    :ivar mean: moving average of the lag, in seconds; it grows with processor usage
        long before the process is overloaded.
    :ivar overloaded: whether events queue up faster than they are handled.
    :ivar overloaded_since: time at which the last overload began.
    """

    def __init__(self) -> None:
        self.lag = 0.0
        self.mean = 0.0
        self.overloaded = False
        self.overloaded_since = math.inf
        self._samples: deque[Sample] = deque()

    def observe(self, lag: float, now: float) -> PressureChange | None:
        """Record the lag with which a timer fired.

        :param lag: seconds between the time set and the time it fired.
        :return: the change, if the process became overloaded or recovered.
        """
        self.mean += MEAN_WEIGHT * (lag - self.mean)
        self._samples.append(Sample(lag, now))
        while (
            now - self._samples[0].at > THROTTLING_PERIOD_SECONDS + LAG_WINDOW_SECONDS
        ):
            self._samples.popleft()
        self.lag = min(
            each.lag for each in self._samples if now - each.at <= LAG_WINDOW_SECONDS
        )
        was_overloaded = self.overloaded
        limit = RECOVERED_LAG_SECONDS if was_overloaded else OVERLOADED_LAG_SECONDS
        self.overloaded = self._measure_sustained_lag() >= limit
        if self.overloaded == was_overloaded:
            return None
        return self._make_change(now)

    def _measure_sustained_lag(self) -> float:
        least = min(each.lag for each in self._samples)
        return (
            self.lag
            if least >= IDLE_LAG_SECONDS
            else self.lag - THROTTLING_PERIOD_SECONDS
        )

    def _make_change(self, now: float) -> PressureChange:
        lag = round(self.lag, 3)
        if self.overloaded:
            self.overloaded_since = now
            return PressureChange("behind", lag, 0.0)
        seconds = round(now - self.overloaded_since, 3)
        return PressureChange("caught_up", lag, seconds)
