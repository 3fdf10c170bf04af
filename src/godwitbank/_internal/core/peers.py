"""State of other entries at one entry."""

from godwitbank._internal.core.pool import (
    FIRST_DIAL_DELAY_SECONDS,
    MAX_DIAL_DELAY_SECONDS,
)


class PeerView:
    """State of another entry; soft state, rebuilt from its messages."""

    def __init__(self, address: str, now: float) -> None:
        self.address = address
        self.process = ""
        self.stream: int | None = None
        self.last_received_at = now
        self.dialling = False
        self.dial_at = now
        self.dial_delay = FIRST_DIAL_DELAY_SECONDS
        self.revisions: dict[str, int] = {}
        self.digest = 0

    def connect(self, stream: int, process: str, now: float) -> None:
        """Record a new stream."""
        self.stream = stream
        self.process = process
        self.last_received_at = now
        self.dialling = False
        self.dial_delay = FIRST_DIAL_DELAY_SECONDS

    def disconnect(self, now: float) -> None:
        """Record that the stream was lost."""
        self.stream = None
        self.dial_at = now + FIRST_DIAL_DELAY_SECONDS

    def postpone_dial(self, now: float) -> None:
        """Double the delay before the next dial, after one failed."""
        self.dialling = False
        self.dial_at = now + self.dial_delay
        self.dial_delay = min(self.dial_delay * 2, MAX_DIAL_DELAY_SECONDS)
