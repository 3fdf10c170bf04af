"""Non-blocking log of decisions, one JSON object per line.

The log is written to a pipe (standard output) whose reader may stall. A blocking
write would then stall a process that holds leases. Lines are therefore kept in a
bounded buffer; lines that don't fit are dropped and counted.
"""

import asyncio
import contextlib
import os
from collections import deque
from collections.abc import Callable, Mapping

import msgspec

from godwitbank._internal.core.counters import Counts

MAX_BUFFERED_BYTES = 256 * 1024
"""Maximum size of the buffered lines; a busy process fills it in some seconds."""

FLUSH_DELAY_SECONDS = 0.05
"""Delay before buffered lines are written. It limits a busy process to 20 writes per
second instead of one per decision. Lines still buffered when the process is killed are
lost."""

_encode = msgspec.json.encode


class DecisionLog:
    """Writes the decisions of one process to a file descriptor.

    :param descriptor: file descriptor to write to; it is made non-blocking.
    :param process: name of the process, written in each line.
    :param clock: returns the time written in each line, in seconds.
    :param counts: counters of the process; dropped lines are counted there.
    :ivar dropped: number of lines dropped so far.
    """

    def __init__(
        self,
        descriptor: int,
        process: str,
        clock: Callable[[], float],
        counts: Counts,
    ) -> None:
        self.dropped = 0
        self._counts = counts
        self._reported_dropped = 0
        self._descriptor = descriptor
        self._process = process
        self._clock = clock
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._scheduled = False
        os.set_blocking(descriptor, False)

    def write(self, event: str, request: str, fields: Mapping[str, object]) -> None:
        """Buffer one line and schedule a write after ``FLUSH_DELAY_SECONDS``.

        :param event: name of the event.
        :param request: id of the job or request concerned; left out if empty.
        :param fields: further fields of the line.
        """
        line = {"at": round(self._clock(), 4), "process": self._process}
        line["event"] = event  # type: ignore[assignment]
        if request:
            line["request"] = request  # type: ignore[assignment]
        line.update(fields)  # type: ignore[arg-type]
        data = self._encode_line(line)
        if self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            self._counts.add("log_lines_dropped")
            return
        self._lines.append(data)
        self._buffered_bytes += len(data)
        self._schedule()

    def _encode_line(self, line: dict[str, object]) -> bytes:
        try:
            return _encode(line) + b"\n"
        except (TypeError, ValueError, OverflowError):
            # A decision that can't be logged must not end the process that made it.
            self._counts.add("log_lines_unencodable")
            return (
                _encode({"event": "log_line_unencodable", "line": ascii(line)}) + b"\n"
            )

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_later(FLUSH_DELAY_SECONDS, self._flush)

    def _flush(self) -> None:
        self._scheduled = False
        if not self._lines:
            return
        data = b"".join(self._lines)
        written = 0
        with contextlib.suppress(BlockingIOError):
            # The pipe is full; the remaining bytes stay buffered.
            written = os.write(self._descriptor, data)
        self._lines.clear()
        remainder = data[written:]
        self._buffered_bytes = len(remainder)
        if remainder:
            # Schedule another write now. If the remainder waited for the next logged
            # line, it would be written late, and the buffer would overflow when an
            # overloaded process logs the most.
            self._lines.append(remainder)
            self._schedule()
        elif self._reported_dropped < self.dropped:
            lines = self.dropped - self._reported_dropped
            self._reported_dropped = self.dropped
            self.write("log_lines_dropped", "", {"lines": lines})

    def close(self) -> None:
        """Write as much of the buffer as the pipe accepts without blocking."""
        self._reported_dropped = self.dropped
        self._flush()
