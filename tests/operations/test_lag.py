"""Measuring how late the event loop is."""

import asyncio

from godwitbank._internal.operations.lag import LagMeter


def test_a_turn_that_takes_long_is_told() -> None:
    # A callback keeps the loop for half a second of the meter's clock; the timer
    # that was due meanwhile tells it.
    now = 10.0

    async def run() -> float:
        nonlocal now
        told: asyncio.Future[float] = asyncio.get_running_loop().create_future()

        def deliver(lag: float) -> None:
            if not told.done():
                told.set_result(lag)

        meter = LagMeter(0.001, lambda: now, deliver)
        meter.start()
        now += 0.5
        try:
            return await told
        finally:
            meter.stop()

    assert 0.49 < asyncio.run(run()) < 0.5
