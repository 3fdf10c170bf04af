"""Lease of the endpoint beside an agent: announcement, expiry and departure."""

from godwitbank._internal.core.events import EndpointAnnounced


class EndpointLease:
    """Whether an endpoint is present, and whether it may be given work.

    :ivar service: service of the endpoint; empty while there is none.
    :ivar slots: tasks that the endpoint runs at once.
    :ivar leaving: whether new work is refused because the endpoint is leaving, an
        operator drains the agent or the agent is shutting down.
    :ivar stopping: whether the agent's process is shutting down.
    """

    def __init__(self, now: float) -> None:
        self.service = ""
        self.slots = 0
        self.leaving = False
        self.stopping = False
        self._lease_until = now
        self._instance = ""
        self._left_instance = ""
        self._drain_requested = False

    def handle_announcement(self, event: EndpointAnnounced, now: float) -> bool:
        """Handle an announcement or a renewal.

        :return: whether the endpoint's state changed, so that it must be announced
            to the entries.
        """
        if self._left_instance == event.instance:
            # A renewal that the endpoint sent before its departure.
            return False
        if self._left_instance:
            self._left_instance = ""
            self.leaving = self._drain_requested or self.stopping
            self.service = ""
        lapsed = self.is_lapsed(now)
        changed = lapsed or (event.service, event.slots) != (self.service, self.slots)
        self._instance = event.instance
        self._lease_until = now + event.lease
        self.service = event.service
        self.slots = event.slots
        return changed

    def is_lapsed(self, now: float) -> bool:
        """Return whether the lease has expired.

        Checked at each start rather than left to a timer, because the timers of a
        process that was paused are late as well.
        """
        return now > self._lease_until

    def accepts_work(self, now: float) -> bool:
        """Return whether new work may start."""
        return bool(self.service) and not self.leaving and not self.is_lapsed(now)

    def end_if_lapsed(self, now: float) -> bool:
        """Clear the service if the lease has expired.

        :return: whether a service was cleared.
        """
        if self.service and self.is_lapsed(now):
            self.service = ""
            return True
        return False

    def record_departure(self) -> None:
        """Record that the endpoint is leaving; another instance may replace it."""
        self._left_instance = self._instance

    def request_drain(self) -> None:
        """Record an operator's drain request; it also applies to later instances."""
        self._drain_requested = True
