"""Whether a process keeps up with what it is asked, told by how late its loop runs.

A process without processor time left doesn't notice by itself: its requests wait in
sockets, and each turn of its event loop finds more of them and takes longer. Its
callers notice, as their time is over before they are read.
"""

import math
from collections import deque
from typing import NamedTuple

LAG_WINDOW_SECONDS = 0.05
"""Seconds of which the least lateness counts, so that one long turn does not."""

THROTTLING_PERIOD_SECONDS = 0.1
"""Seconds that a VM may stand still although it has processor time: an allowance that
is used up comes anew every tenth of a second."""

IDLE_LAG_SECONDS = 0.005
"""Seconds of lateness below which nothing waits. Where that was so within ``ALLOWANCE``
the queue empties, and a process is behind only by what is later than that."""

OVERLOADED_LAG_SECONDS = 0.03
"""Seconds of lateness at which a process is behind. A job is read, placed and answered
in several turns of the loop, each as late; tasks of a tenth of a second are late
then."""

RECOVERED_LAG_SECONDS = 0.025
"""Seconds of lateness at which it isn't any more; apart from ``BEHIND``, so that a
process at the limit doesn't log every change."""

MEAN_WEIGHT = 0.1
"""Weight of the newest measurement in the mean: some ten count, a quarter of a second
of an entry's. Other entries hear of it that often."""


class Sample(NamedTuple):
    """How late a timer fired, in seconds, and when."""

    lag: float
    at: float


class PressureChange(NamedTuple):
    """A process has fallen behind, or caught up.

    :param event: ``behind`` or ``caught_up``, as the log calls it.
    :param lag: how late it is, in seconds.
    :param seconds: how long it was behind.
    """

    event: str
    lag: float
    seconds: float


class Pressure:
    """How far a process is behind.

    :ivar lag: least lateness of the last moments.
    :ivar behind: whether a queue doesn't empty, and makes everything late.
    :ivar mean: mean lateness of late; it grows with the processor time in use long
        before anything is late.
    """

    def __init__(self) -> None:
        self.lag = 0.0
        self.mean = 0.0
        self.overloaded = False
        self.overloaded_since = math.inf
        self._samples: deque[Sample] = deque()

    def observe(self, lag: float, now: float) -> PressureChange | None:
        """Note how late a timer fired.

        :return: whether the process has fallen behind or caught up by it, if either.
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
