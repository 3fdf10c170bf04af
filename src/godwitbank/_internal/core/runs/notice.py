"""Which runs end in time at an endpoint that announced when it leaves."""

from godwitbank._internal.core.runs.progress import RunProgress

END_REPORT_SECONDS = 0.05
"""Seconds before an endpoint leaves by which a run must end, so that the agent still
reads its end. Otherwise its result is lost although it was done."""

REPEAT_SECONDS = 0.25
"""Seconds until an entry is told again about a run that can't end in time. It may have
found no free capacity elsewhere the first time."""


class RunForecast:
    """Predicts when one run ends.

    :param progress: its reported progress.
    :param expected: predicted run time, in seconds.
    :param ordered_at: when the endpoint was ordered to start it, in seconds.
    """

    def __init__(
        self, progress: RunProgress, expected: float, ordered_at: float
    ) -> None:
        self._progress = progress
        self._expected = expected
        self._ordered_at = ordered_at

    def seconds_left(self, slowness: float, now: float) -> float:
        """Return the predicted remaining run time, in seconds.

        :param slowness: factor by which runs take longer at this endpoint; used until
            the run's own progress is measured.
        """
        if self._progress.rate:
            measured_at = self._progress.last_progress_at
            left = (1 - self._progress.percent / 100) / self._progress.rate
            return max(0.0, left - (now - measured_at))
        return max(0.0, self._ordered_at + self._expected * slowness - now)


def ends_in_time(seconds_left: float, leaves_at: float, now: float) -> bool:
    """Return whether a run ends before its endpoint leaves.

    :param seconds_left: predicted remaining run time.
    :param leaves_at: earliest time at which the endpoint leaves, in seconds.
    """
    return now + seconds_left <= leaves_at - END_REPORT_SECONDS
