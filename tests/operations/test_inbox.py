"""The loop that feeds a core."""

import asyncio

import pytest

from godwitbank._internal.operations.inbox import Inbox, wait_unless_failed


class _BrokenCore:
    def handle(self, event: object, now: float) -> list:
        raise ZeroDivisionError(event, now)


def test_a_core_that_raises_ends_its_process() -> None:
    """A fault in a core leaves a process that accepts work and never answers.

    Symptom: callers wait until their deadlines; health says alive.
    Sequence: the core raises on an event; its task ends; sockets stay open.
    Cause: nobody waits for the task that owns the core.
    """

    async def run() -> None:
        inbox = Inbox(_BrokenCore(), lambda actions: None, lambda: 1e9, lambda: 0.0)
        owner = asyncio.create_task(inbox.run())
        inbox.put("anything")
        async with asyncio.timeout(10):
            await wait_unless_failed(asyncio.Event(), owner)

    with pytest.raises(ZeroDivisionError):
        asyncio.run(run())
