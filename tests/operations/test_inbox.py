"""Tests of the event queue that feeds a core."""

import asyncio

import pytest

from godwitbank._internal.operations.inbox import Inbox, wait_unless_failed


class _BrokenCore:
    def handle(self, event: object, now: float) -> list:
        raise ZeroDivisionError(event, now)


def test_a_core_that_raises_ends_its_process() -> None:
    """A core that raises must not leave a process that accepts work and never answers.

    If nothing awaits the core's task, the task ends when the core raises on an event,
    but the sockets stay open: callers wait until their deadlines, while the health
    check passes.
    """

    async def run() -> None:
        inbox = Inbox(_BrokenCore(), lambda actions: None, lambda: 1e9, lambda: 0.0)
        core_task = asyncio.create_task(inbox.run())
        inbox.put("anything")
        async with asyncio.timeout(10):
            await wait_unless_failed(asyncio.Event(), core_task)

    with pytest.raises(ZeroDivisionError):
        asyncio.run(run())
