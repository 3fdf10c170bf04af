"""Event loop whose clock advances to the next timer instead of waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _VirtualSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if not ready:
            assert timeout is not None, "the loop has neither a timer nor a ready file"
            self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop with a virtual clock, which never waits."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time since the start of the loop, in seconds."""
        return self._virtual_selector.now


def run_in_virtual_time(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to completion in a new loop with virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main)
