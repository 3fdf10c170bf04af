"""Tests of the measurement of event loop lag."""

import asyncio

from godwitbank._internal.operations.lag import LagMeter


def test_long_iteration_is_reported_as_lag() -> None:
    # The event loop is blocked for half a second of the meter's clock. The timer that
    # was due in the meantime must report that lag.
    now = 10.0

    async def run() -> float:
        nonlocal now
        reported: asyncio.Future[float] = asyncio.get_running_loop().create_future()

        def on_lag(lag: float) -> None:
            if not reported.done():
                reported.set_result(lag)

        meter = LagMeter(0.001, lambda: now, on_lag)
        meter.start()
        now += 0.5
        try:
            return await reported
        finally:
            meter.stop()

    assert 0.49 < asyncio.run(run()) < 0.5
