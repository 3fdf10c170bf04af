"""An event loop whose clock jumps to the next timer, so that waits take no time."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if not ready:
            assert timeout is not None, "nothing would ever happen any more"
            self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop that never waits."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Tell the seconds that have passed in this loop."""
        return self._jumping.now


def run_in_virtual_time(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to its end in a new loop."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main)
