"""Tests of the division of an agent's free slots among entries."""

from godwitbank._internal.core.grants import Grants


def _make_grants(*demands: tuple[int, float]) -> Grants:
    grants = Grants()
    for stream, (waiting, rank) in enumerate(demands, 1):
        grants.add(stream)
        grants.set_demand(stream, waiting, rank)
    return grants


def test_without_demand_all_slots_are_announced_to_every_entry() -> None:
    assert _make_grants((0, 0), (0, 0)).divide(5) == {1: 5, 2: 5}


def test_the_entry_with_the_most_urgent_work_gets_slots_first() -> None:
    grants = _make_grants((10, 7.0), (1, 3.0), (0, 0))
    assert grants.divide(1) == {1: 0, 2: 1, 3: 0}
    assert grants.divide(4) == {1: 3, 2: 1, 3: 0}


def test_slots_left_over_are_announced_to_every_entry() -> None:
    assert _make_grants((1, 1.0), (0, 0)).divide(3) == {1: 3, 2: 2}


def test_changes_that_cause_refusals_or_idle_slots_are_announced() -> None:
    grants = _make_grants((0, 0), (0, 0))
    assert dict(grants.list_changes(1)) == {1: 1, 2: 1}
    grants.record_start(1)
    assert dict(grants.list_changes(0)) == {2: 0}
    assert grants.list_changes(0) == []


def test_overcommitted_agent_grants_nothing() -> None:
    assert _make_grants((5, 1.0)).divide(-2) == {1: 0}
