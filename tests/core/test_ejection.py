"""Tests of ejection: limited share, comparison with peers, reinstatement by probes."""

from random import Random

import pytest

from godwitbank._internal.core import ejection
from godwitbank._internal.core.pool import AgentView, Pool


def _make_pool(count: int) -> Pool:
    pool = Pool(Random(1), "a", 3.0)
    for number in range(count):
        view = AgentView(f"agent-{number}", 0.0)
        view.service = "desk"
        view.connect(number + 1, "i", 0.0, 0.0)
        view.update_free_slots(8, 0)
        pool.views.append(view)
    return pool


def _add_failures(view: AgentView, votes: int = 6) -> None:
    for number in range(votes):
        view.failures.add(f"s{number}", True, 1.0)


def test_an_agent_that_fails_alone_is_ejected() -> None:
    pool = _make_pool(4)
    _add_failures(pool.views[0])
    assert ejection.find_reason(pool.views[0], pool, 1.0) == "failing"


def test_failures_everywhere_eject_no_agent() -> None:
    pool = _make_pool(4)
    for view in pool.views:
        _add_failures(view)
    assert not any(ejection.find_reason(view, pool, 1.0) for view in pool.views)


def test_a_job_of_failing_tasks_has_one_vote() -> None:
    pool = _make_pool(4)
    for _ in range(460):
        pool.views[0].failures.add("one", True, 1.0)
    assert ejection.find_reason(pool.views[0], pool, 1.0) is None


def test_at_most_a_third_is_ejected() -> None:
    pool = _make_pool(6)
    ejected = 0
    for view in pool.views[:3]:
        _add_failures(view)
        if ejection.find_reason(view, pool, 1.0):
            ejection.eject(view, 1.0)
            ejected += 1
    assert ejected == 2


def test_ejected_agent_is_probed_with_one_task_at_a_time() -> None:
    pool = _make_pool(2)
    view = pool.views[0]
    ejection.eject(view, 0.0)
    assert not pool.may_send_start(view, 0.5)
    after = ejection.FIRST_EJECTION_SECONDS + 0.1
    for each in pool.views:
        each.set_clock(after, after)
    assert pool.may_send_start(view, after)
    view.outstanding[object()] = object()  # type: ignore[index, assignment]
    assert not pool.may_send_start(view, after)


def test_a_slow_agent_is_ejected() -> None:
    pool = _make_pool(4)
    rng = Random(3)
    for view in pool.views:
        for _ in range(40):
            factor = 10 if view is pool.views[0] else 1
            view.observe_run(rng.uniform(0.05, 1) * factor, 0.55)
    found = [ejection.find_reason(view, pool, 1.0) for view in pool.views]
    assert found == ["slow", None, None, None]


@pytest.mark.parametrize("earlier", range(11))
def test_an_agent_with_a_shorter_history_is_not_ejected_for_failures_everywhere(
    earlier: int,
) -> None:
    """Peers' earlier successes don't make an agent an outlier when all tasks fail."""
    pool = _make_pool(4)
    newcomer, *peers = pool.views
    for number in range(13):
        for view in peers:
            view.failures.add(f"a{number}", False, 1.0)
    for number in range(earlier):
        newcomer.failures.add(f"a{number}", False, 1.0)
    for number in range(20):
        for view in pool.views:
            view.failures.add(f"b{number}", True, 2.0 + number)
            assert ejection.find_reason(view, pool, 2.0 + number) is None


def test_an_agent_that_fails_from_its_start_is_ejected_before_its_peers_answer() -> (
    None
):
    pool = _make_pool(4)
    newcomer, *peers = pool.views
    for number in range(13):
        for view in peers:
            view.failures.add(f"a{number}", False, 1.0)
    for number in range(4):
        newcomer.failures.add(f"b{number}", True, 2.0)
    assert ejection.find_reason(newcomer, pool, 2.0) == "failing"
