"""Endpoints and tasks that always fail, and an outage of the table."""

import concurrent.futures

import pytest
from standins.fleet import Fleet

from tests.lib.fleet_helpers import (
    make_job,
    read_counter,
    send_job,
    send_request,
    start_desk,
)

pytestmark = pytest.mark.processes


def _send_many(fleet: Fleet, count: int, **payload: object) -> list[int]:
    def send(number: int) -> int:
        return send_request(fleet.entries[0], {"run_ms": 20, **payload}).status_code

    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        return list(pool.map(send, range(count)))


def test_endpoint_that_fails_everything_is_ejected(fleet: Fleet) -> None:
    """Let one of four endpoints fail every task immediately.

    Such an endpoint always has free slots. If endpoints were chosen by free slots
    alone, it would receive most of the tasks and fail them.
    """
    start_desk(fleet, agents=4)
    _send_many(fleet, 40)
    before = len(fleet.read_record(fleet.endpoints[0])["tasks"])
    fleet.control_endpoint(fleet.endpoints[0], fail=True)
    codes = _send_many(fleet, 300)
    received = len(fleet.read_record(fleet.endpoints[0])["tasks"]) - before
    print(f"the failing endpoint took {received} of 300 tasks")
    assert read_counter(fleet.entries[0], "ejected", "failing") >= 1
    assert received <= 15
    assert codes.count(200) >= 285


def test_task_that_fails_everywhere_ejects_nobody(fleet: Fleet) -> None:
    """Submit tasks that fail at every endpoint.

    If every failure counted against the endpoint that ran the task, healthy endpoints
    would be ejected one after the other.
    """
    start_desk(fleet, agents=4)
    _send_many(fleet, 40)
    codes = _send_many(fleet, 120, fail=True)
    assert set(codes) == {502}
    assert read_counter(fleet.entries[0], "ejected", "failing") == 0
    assert send_job(fleet.entries[0], make_job(40, run_ms=5)).status_code == 200


def test_requests_are_served_while_the_table_is_down(fleet: Fleet) -> None:
    """Submit jobs and drain an agent while the platform's table is down.

    If the table were needed for each request, starts, answers and drains would wait
    for it.
    """
    start_desk(fleet, entries=2, agents=3)
    fleet.control_platform(down=True)
    for number in range(2):
        answer = send_job(fleet.entries[number], make_job(60, run_ms=20))
        assert answer.status_code == 200, answer.text
    drained = fleet.run_operator_command("drain", fleet.agents[0].name)
    assert drained.returncode == 0, drained.stdout
    answer = send_job(fleet.entries[0], make_job(60, run_ms=20))
    assert answer.status_code == 200, answer.text
    applied = fleet.run_operator_command("apply", "demo/desk.toml")
    assert applied.returncode != 0
