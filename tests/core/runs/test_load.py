"""Tests of the service under load, simulated without a network and in virtual time."""

import pytest
from standins.leased_endpoint import Behaviour

from godwitbank._internal.models.jobs import JobSpec, StepSpec
from godwitbank._internal.models.resources import Resources
from tests.lib.run_load import LoadGenerator

SECONDS = 12.0
SEEDS = (1, 2)


@pytest.mark.parametrize(
    ("per_second", "least"),
    [
        # 63 % of the endpoints' capacity.
        (70.0, 0.98),
        # 99 %: measured 0.93, and 0.89 without the bound on the backlog.
        (110.0, 0.90),
        # 126 %: measured 0.76 with the bound, 0.57 without it, and 0.58 with late
        # tasks queued before timely ones.
        (140.0, 0.70),
    ],
)
def test_worth_earned_under_load(per_second: float, least: float) -> None:
    # Averaged, because the result of one seed varies by 0.03 with any change of timing.
    earned = []
    for seed in SEEDS:
        load = LoadGenerator(seed)
        load.submit_jobs(per_second, SECONDS)
        earned.append(load.finish().worth)
    assert sum(earned) / len(earned) >= least


def test_refusals_under_overload_are_prompt() -> None:
    # A caller that can't be served must be refused at once, not after a wait.
    load = LoadGenerator(seed=2)
    load.submit_jobs(180.0, 4.0)
    load.finish()
    sent = load.list_submit_times()
    waits = [
        at - sent[name]
        for name, results in load.world.timed_results.items()
        for result, at in results
        if result.end == "refused"
    ]
    assert waits
    prompt = [wait for wait in waits if wait < 0.05]
    assert len(prompt) >= 0.95 * len(waits)


@pytest.mark.parametrize(
    ("per_second", "least"),
    [
        # 54 % of capacity: measured 0.974, and 0.949 when slow endpoints were detected
        # by results alone and slow runs weren't moved.
        (60.0, 0.96),
        # 68 %: 0.949 and 0.920.
        (75.0, 0.935),
        # 81 %: 0.880 and 0.849. When runs were moved even without free capacity
        # elsewhere: 0.847.
        (90.0, 0.865),
    ],
)
def test_worth_earned_while_two_endpoints_are_slow(
    per_second: float, least: float
) -> None:
    # Guards against callers that wait for seconds, some until they time out, because
    # two of eleven endpoints run five times slower for a while and still get runs. They
    # did when slow endpoints were detected by the results of runs, which come late.
    earned = []
    for seed in (1, 2, 3, 4):
        load = LoadGenerator(seed, entries=4)
        load.submit_jobs(per_second, 3.0)
        slow = [load.world.endpoints[name] for name in ("agent-2", "agent-3")]
        for endpoint in slow:
            endpoint.behaviour = Behaviour(speed=5.0)
        load.submit_jobs(per_second, 7.0)
        for endpoint in slow:
            endpoint.behaviour = Behaviour()
        load.submit_jobs(per_second, 3.0)
        earned.append(load.finish().worth)
    assert sum(earned) / len(earned) >= least


def test_a_large_task_is_not_starved_by_small_ones() -> None:
    # Guards against a job whose task needs a whole endpoint never starting under
    # overload and being refused after a wait. Unless capacity is reserved for it, small
    # tasks use everything as soon as it becomes free.
    load = LoadGenerator(seed=3)
    load.submit_jobs(130.0, 1.0)
    step = StepSpec(1, Resources(16000, 64, 0), 0.3)
    load.world.submit("entry-0", JobSpec("large", "middling", "0.3", (step,)))
    load.submit_jobs(130.0, 4.0)
    assert [str(r.end) for r in load.world.results["large"]] == ["completed"]


def test_tasks_wait_at_the_entry_for_any_free_agent() -> None:
    # Guards against accepted jobs that end late although other jobs are refused. When
    # tasks were bound to endpoints before these had free capacity, the last of a job's
    # eight tasks waited for the slowest endpoint. At 126 % of capacity the share of
    # late jobs was 0.17, and 0.03 with tasks waiting at the entry.
    late = []
    for seed in SEEDS:
        load = LoadGenerator(seed)
        load.submit_jobs(140.0, SECONDS)
        late.append(load.finish().late)
    assert sum(late) / len(late) < 0.10


def test_entries_connected_to_some_agents_serve_as_much_as_one_pool() -> None:
    # Guards against refusing jobs while endpoints have free capacity. Each of 26
    # entries is connected to a third of 61 agents, under a load that fills them. The
    # whole backlog of the other entries was counted against the capacity that one entry
    # sees. At 107 % of capacity 0.958 of the worth was earned that way, and 0.992 when
    # their backlog counts by the share of common agents.
    earned = []
    for seed in (1, 2):
        load = LoadGenerator(seed, entries=26, agents=61)
        load.submit_jobs(600.0, 3.0)
        earned.append(load.finish().worth)
    assert sum(earned) / len(earned) >= 0.98
