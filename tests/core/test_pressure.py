"""Tests of when a process counts as overloaded."""

from godwitbank._internal.core.pressure import Pressure


def observe_all(pressure: Pressure, lags: list[float], period: float) -> list[str]:
    """Record lags of consecutive timers and list the events to be logged."""
    events = []
    now = 100.0
    for lag in lags:
        now += period + lag
        change = pressure.observe(lag, now)
        if change is not None:
            events.append(change.event)
    return events


def test_sustained_lag_is_reported() -> None:
    pressure = Pressure()
    lags = [0.0, 0.01, 0.02, 0.03, 0.04, 0.04, 0.04]
    assert observe_all(pressure, lags, 0.025) == ["behind"]
    assert pressure.lag == 0.04


def test_a_lag_above_any_throttling_is_reported_at_once() -> None:
    pressure = Pressure()
    assert observe_all(pressure, [0.0, 0.35], 0.025) == ["behind"]


def test_single_long_lags_are_ignored() -> None:
    # A used-up CPU quota pauses a process until the next tenth of a second; events
    # that arrived meanwhile are then handled at full speed.
    pressure = Pressure()
    assert observe_all(pressure, [0.0, 0.0, 0.045] * 10, 0.025) == []
    assert not pressure.overloaded


def test_recovery_is_reported_with_the_duration() -> None:
    pressure = Pressure()
    pressure.observe(0.3, 100.0)
    assert pressure.observe(0.03, 100.3) is None
    change = pressure.observe(0.0, 100.5)
    assert change is not None
    assert (change.event, change.seconds) == ("caught_up", 0.5)
    assert not pressure.overloaded
