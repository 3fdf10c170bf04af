"""The endpoint beside an agent: its announcement, its lease, its leaving."""

from godwitbank._internal.core.events import EndpointAnnounced


class EndpointLease:
    """Whether an endpoint is there, and whether it may be given work."""

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
        """Take an announcement or renewal.

        :return: whether entries have to be told.
        """
        if self._left_instance == event.instance:
            # A renewal that crossed the endpoint's own goodbye.
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
        """Tell whether the lease has ended.

        Asked at each start and not left to a timer: a process that was paused
        has timers that are as late as itself.
        """
        return now > self._lease_until

    def accepts_work(self, now: float) -> bool:
        """Tell whether new work may start."""
        return bool(self.service) and not self.leaving and not self.is_lapsed(now)

    def end_if_lapsed(self, now: float) -> bool:
        """Forget an endpoint whose lease has ended; tells whether it did."""
        if self.service and self.is_lapsed(now):
            self.service = ""
            return True
        return False

    def record_departure(self) -> None:
        """Note the endpoint's own goodbye; another instance may come later."""
        self._left_instance = self._instance

    def request_drain(self) -> None:
        """Note an operator's wish, which outlives the endpoint's instance."""
        self._drain_requested = True
