"""Leases are bounded by the last time at which entries were known to be alive."""

import math

import pytest

from godwitbank._internal.core.runs.lease import (
    MAX_CLOCK_SKEW,
    MAX_LEASE_SECONDS,
    OWNER_LIVENESS_SECONDS,
    EndpointClock,
)
from godwitbank._internal.core.runs.liveness import EntryLiveness

NOW = 100.0


def test_the_entry_heard_longest_ago_bounds_the_lease() -> None:
    liveness = EntryLiveness()
    liveness.record_alive("entry-0", NOW)
    liveness.record_alive("entry-1", NOW + 0.3)
    assert (
        liveness.find_lease_end(["entry-0", "entry-1"]) == NOW + OWNER_LIVENESS_SECONDS
    )
    assert liveness.find_lease_end(["entry-1"]) == NOW + 0.3 + OWNER_LIVENESS_SECONDS


def test_a_delayed_heartbeat_does_not_move_the_time_back() -> None:
    liveness = EntryLiveness()
    liveness.record_alive("entry-0", NOW)
    liveness.record_alive("entry-0", NOW - 0.5)
    assert liveness.find_lease_end(["entry-0"]) == NOW + OWNER_LIVENESS_SECONDS


def test_an_entry_without_any_heartbeat_gets_no_lease() -> None:
    assert EntryLiveness().find_lease_end(["entry-0"]) == -math.inf


def test_nothing_bounds_a_lease_under_which_nothing_runs() -> None:
    assert EntryLiveness().find_lease_end([]) == math.inf


def test_entries_without_runs_are_forgotten() -> None:
    liveness = EntryLiveness()
    liveness.record_alive("entry-0", NOW)
    liveness.retain([])
    assert liveness.find_lease_end(["entry-0"]) == -math.inf


@pytest.mark.parametrize("rate", [1 - MAX_CLOCK_SKEW, 1.0])
@pytest.mark.parametrize("age", [0.0, 0.1, 0.5])
def test_a_lease_ends_in_time_on_a_slow_clock(rate: float, age: float) -> None:
    # Guards against runs that outlive their lease because the endpoint measures it on
    # its own clock, which may be 2 % slow.
    clock = EndpointClock()
    clock.update(5000, NOW)
    until = clock.grant(NOW + age, NOW + 0.8)
    ends_at = NOW + (until - 5000) / 1000 / rate
    assert ends_at <= NOW + 0.8
    assert clock.grant(NOW + age, math.inf) == pytest.approx(
        5000 + (age + MAX_LEASE_SECONDS) * 1000, abs=1
    )
