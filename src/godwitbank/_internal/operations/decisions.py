"""The log of decisions: one JSON object a line, never blocking.

Standard output is a pipe whose reader may stall. A blocking write would then
stop a process that holds leases; so lines wait in a bounded buffer, and what
doesn't fit is dropped and counted.
"""

import asyncio
import contextlib
import os
from collections import deque
from collections.abc import Callable, Mapping

import msgspec

from godwitbank._internal.core.counters import Counts

MAX_BUFFERED_BYTES = 256 * 1024
"""Bytes of lines that wait for the reader; some seconds of a busy process."""

FLUSH_DELAY_SECONDS = 0.05
"""Longest time a line waits, so that a busy process writes 20 times a second instead of
once a decision. A process that is killed loses what waits."""

_encode = msgspec.json.encode


class DecisionLog:
    """Writes decisions of one process to a file descriptor.

    :param counts: is told how many lines were dropped.
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
        self._told_dropped = 0
        self._descriptor = descriptor
        self._process = process
        self._clock = clock
        self._lines: deque[bytes] = deque()
        self._size = 0
        self._scheduled = False
        os.set_blocking(descriptor, False)

    def write(self, event: str, request: str, fields: Mapping[str, object]) -> None:
        """Queue one line; it is written within ``FLUSH_DELAY_SECONDS``."""
        line = {"at": round(self._clock(), 4), "process": self._process}
        line["event"] = event  # type: ignore[assignment]
        if request:
            line["request"] = request  # type: ignore[assignment]
        line.update(fields)  # type: ignore[arg-type]
        data = _encode(line) + b"\n"
        if self._size + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            self._counts.add("log_lines_dropped")
            return
        self._lines.append(data)
        self._size += len(data)
        self._schedule()

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
            # The reader is slow; what is left waits for the next line.
            written = os.write(self._descriptor, data)
        self._lines.clear()
        rest = data[written:]
        self._size = len(rest)
        if rest:
            # Left until the next line is logged, it would be read late, and what is
            # logged most, when a process is behind, would be dropped.
            self._lines.append(rest)
            self._schedule()
        elif self._told_dropped < self.dropped:
            lines = self.dropped - self._told_dropped
            self._told_dropped = self.dropped
            self.write("log_lines_dropped", "", {"lines": lines})

    def close(self) -> None:
        """Write what can be written without waiting."""
        self._told_dropped = self.dropped
        self._flush()
