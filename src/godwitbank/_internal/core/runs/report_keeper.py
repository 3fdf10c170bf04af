"""Decides when an endpoint's report is stored for the agent's next process.

The next process begins with the stored report, before the endpoint has reported to it.
If that told of more room than there is, runs would start beyond its capacity.
So each change that makes the room smaller is stored at once. Room that grows isn't: the
next process would know of it one report earlier, for a write for each change.
"""

from godwitbank._internal.models.jobs import EndpointReport


class ReportKeeper:
    """Compares the endpoint's reports with the one in the store."""

    def __init__(self) -> None:
        self._stored: EndpointReport | None = None
        self._compared: EndpointReport | None = None

    def recall(self, report: EndpointReport) -> None:
        """Record the report that the store holds."""
        self._stored = report

    def must_store(self, report: EndpointReport) -> bool:
        """Return whether a report must be stored now, and record it if so."""
        if report is self._compared:
            return False
        self._compared = report
        stored = self._stored
        if (
            stored is not None
            and _describes_same(stored, report)
            and stored.capacity.fits(report.capacity)
        ):
            return False
        self._stored = report
        return True

    def must_store_last(self, report: EndpointReport) -> bool:
        """Return whether a process that stops must store a report, and record it if so.

        Room that has grown is stored now, so that a planned restart keeps it.
        """
        stored = self._stored
        if (
            stored is not None
            and _describes_same(stored, report)
            and stored.capacity == report.capacity
        ):
            return False
        self._stored = report
        return True


def _describes_same(stored: EndpointReport, report: EndpointReport) -> bool:
    """Return whether two reports differ in room and in passing figures only."""
    return _get_description(stored) == _get_description(report)


def _get_description(report: EndpointReport) -> tuple[object, ...]:
    return (
        report.instance,
        report.born,
        report.service,
        report.labels,
        report.draining,
    )
