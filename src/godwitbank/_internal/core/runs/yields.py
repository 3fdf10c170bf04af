"""Entries that wait until nothing of a job runs by another entry's orders."""

from collections.abc import Callable

from godwitbank._internal.core.events import Send
from godwitbank._internal.core.runs.events import RunAction
from godwitbank._internal.models.run_messages import Yield, Yielded


class Yields:
    """Whom to tell once a job has stopped here, or where it was asked to stop."""

    def __init__(self) -> None:
        self._here: dict[str, list[int]] = {}
        self._relayed: dict[str, list[int]] = {}
        self._out: Callable[[RunAction], None] = lambda action: None

    def begin(self, out: Callable[[RunAction], None]) -> None:
        """Prepare for one event."""
        self._out = out

    def add(self, job: str, stream: int) -> None:
        """Note whom to tell once nothing of a job runs here."""
        self._here.setdefault(job, []).append(stream)

    def list_jobs(self) -> list[str]:
        """List the jobs whose end somebody waits for here."""
        return list(self._here)

    def answer(self, job: str) -> None:
        """Tell those who wait that nothing of a job runs here."""
        self._tell(job, self._here.pop(job, []))

    def relay(self, message: Yield, stream: int, owner: int) -> None:
        """Ask the entry that has a job in place of one that can't reach it.

        :param stream: of the one that asked.
        :param owner: stream of the one that has the job.
        """
        self._relayed.setdefault(message.job, []).append(stream)
        self._out(Send(owner, message))

    def answer_relayed(self, job: str) -> None:
        """Pass on that a job has stopped where it was."""
        self._tell(job, self._relayed.pop(job, []))

    def _tell(self, job: str, streams: list[int]) -> None:
        for stream in streams:
            self._out(Send(stream, Yielded(job)))
