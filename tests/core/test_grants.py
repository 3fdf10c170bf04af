"""Which entry may use an agent's free slots."""

from godwitbank._internal.core.grants import Grants


def _make(*demands: tuple[int, float]) -> Grants:
    grants = Grants()
    for stream, (waiting, rank) in enumerate(demands, 1):
        grants.add(stream)
        grants.set_demand(stream, waiting, rank)
    return grants


def test_without_demand_everybody_is_told_of_all_slots() -> None:
    assert _make((0, 0), (0, 0)).divide(5) == {1: 5, 2: 5}


def test_freed_slots_go_to_the_most_urgent_alone() -> None:
    grants = _make((10, 7.0), (1, 3.0), (0, 0))
    assert grants.divide(1) == {1: 0, 2: 1, 3: 0}
    assert grants.divide(4) == {1: 3, 2: 1, 3: 0}


def test_slots_nobody_wants_are_told_to_all() -> None:
    assert _make((1, 1.0), (0, 0)).divide(3) == {1: 3, 2: 2}


def test_an_entry_is_told_when_its_view_would_collide_or_idle() -> None:
    grants = _make((0, 0), (0, 0))
    assert dict(grants.list_changes(1)) == {1: 1, 2: 1}
    grants.record_start(1)
    assert dict(grants.list_changes(0)) == {2: 0}
    assert grants.list_changes(0) == []


def test_overcommitted_agent_grants_nothing() -> None:
    assert _make((5, 1.0)).divide(-2) == {1: 0}
