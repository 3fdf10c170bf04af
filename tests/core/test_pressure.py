"""When a process counts as behind."""

from godwitbank._internal.core.pressure import Pressure


def observe_all(pressure: Pressure, lags: list[float], period: float) -> list[str]:
    """Let timers fire one after the other; list what would be logged."""
    events = []
    now = 100.0
    for lag in lags:
        now += period + lag
        change = pressure.observe(lag, now)
        if change is not None:
            events.append(change.event)
    return events


def test_a_queue_that_does_not_empty_is_noticed() -> None:
    pressure = Pressure()
    lags = [0.0, 0.01, 0.02, 0.03, 0.04, 0.04, 0.04]
    assert observe_all(pressure, lags, 0.025) == ["behind"]
    assert pressure.lag == 0.04


def test_a_turn_longer_than_any_pause_is_noticed_at_once() -> None:
    pressure = Pressure()
    assert observe_all(pressure, [0.0, 0.35], 0.025) == ["behind"]


def test_one_long_turn_among_short_ones_is_passed_over() -> None:
    # An allowance of processor time that is used up stops a process until the next
    # tenth of a second; what came meanwhile is done at full speed then.
    pressure = Pressure()
    assert observe_all(pressure, [0.0, 0.0, 0.045] * 10, 0.025) == []
    assert not pressure.overloaded


def test_catching_up_is_told_with_how_long_it_took() -> None:
    pressure = Pressure()
    pressure.observe(0.3, 100.0)
    assert pressure.observe(0.03, 100.3) is None
    change = pressure.observe(0.0, 100.5)
    assert change is not None
    assert (change.event, change.seconds) == ("caught_up", 0.5)
    assert not pressure.overloaded
