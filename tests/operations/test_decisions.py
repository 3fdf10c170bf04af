"""The log of decisions, written to a pipe whose reader is slow."""

import asyncio
import json
import os
from collections.abc import Awaitable, Callable

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.operations.decisions import MAX_BUFFERED_BYTES, DecisionLog

LINES = 600
LONG = "x" * 200


async def _read_lines(descriptor: int, count: int) -> list[dict[str, object]]:
    """Read lines from a pipe while the loop goes on."""
    os.set_blocking(descriptor, False)
    data = b""
    while data.count(b"\n") < count:
        readable = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_reader(descriptor, readable.set)
        await readable.wait()
        loop.remove_reader(descriptor)
        data += os.read(descriptor, 65536)
    return [json.loads(line) for line in data.splitlines()]


def _run(play: Callable[[DecisionLog, int], Awaitable[None]], counts: Counts) -> None:
    async def run() -> None:
        reader, writer = os.pipe()
        try:
            log = DecisionLog(writer, "entry-1", lambda: 1.0, counts)
            async with asyncio.timeout(30):
                await play(log, reader)
        finally:
            os.close(reader)
            os.close(writer)

    asyncio.run(run())


def test_lines_that_a_full_pipe_held_back_are_written_by_themselves() -> None:
    # Symptom: the last seconds of a busy process are missing from its log. Sequence:
    # more is logged than the pipe holds, then nothing. Cause: what didn't fit waited
    # for the next line.
    async def play(log: DecisionLog, reader: int) -> None:
        for number in range(LINES):
            log.write("run_sent", LONG, {"number": number})
        lines = await _read_lines(reader, LINES)
        assert [line["number"] for line in lines] == list(range(LINES))

    _run(play, Counts())


def test_a_gap_in_the_log_is_told_in_the_log_and_the_metrics() -> None:
    # Symptom: an engineer takes a request for lost, as its lines are missing. Cause:
    # lines were dropped, and only the last line before the process's end told so.
    counts = Counts()
    fitting = MAX_BUFFERED_BYTES // (len(LONG) + 100)

    async def play(log: DecisionLog, reader: int) -> None:
        written = 0
        while not counts.get("log_lines_dropped"):
            log.write("run_sent", LONG, {"number": written})
            written += 1
        assert written > fitting
        lines = await _read_lines(reader, written)
        assert lines[-1]["event"] == "log_lines_dropped"
        assert lines[-1]["lines"] == 1

    _run(play, counts)
