"""Endpoints that fail everything, tasks that fail everywhere, a dead table."""

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
    def call(number: int) -> int:
        return send_request(fleet.entries[0], {"run_ms": 20, **payload}).status_code

    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        return list(pool.map(call, range(count)))


def test_endpoint_that_fails_everything_is_ejected(fleet: Fleet) -> None:
    """An endpoint fails everything at once and so looks idle.

    Symptom: it draws most of the work and fails it.
    Sequence: one of four endpoints answers every task with an error at once.
    Cause: load judged by free slots alone.
    """
    start_desk(fleet, agents=4)
    _send_many(fleet, 40)
    before = len(fleet.record(fleet.endpoints[0])["tasks"])
    fleet.control_endpoint(fleet.endpoints[0], fail=True)
    codes = _send_many(fleet, 300)
    taken = len(fleet.record(fleet.endpoints[0])["tasks"]) - before
    print(f"the failing endpoint took {taken} of 300 tasks")
    assert read_counter(fleet.entries[0], "ejected", "failing") >= 1
    assert taken <= 15
    assert codes.count(200) >= 285


def test_task_that_fails_everywhere_ejects_nobody(fleet: Fleet) -> None:
    """Jobs that can never run are submitted over and over.

    Symptom: good endpoints are ejected one after the other.
    Sequence: every task of the jobs fails at whichever endpoint it meets.
    Cause: a failure always counted against the endpoint.
    """
    start_desk(fleet, agents=4)
    _send_many(fleet, 40)
    codes = _send_many(fleet, 120, fail=True)
    assert set(codes) == {502}
    assert read_counter(fleet.entries[0], "ejected", "failing") == 0
    assert send_job(fleet.entries[0], make_job(40, run_ms=5)).status_code == 200


def test_work_goes_on_while_the_table_is_down(fleet: Fleet) -> None:
    """The platform's table is down for the whole test.

    Symptom: starts, answers or drains wait for the table.
    Sequence: the table goes down, work goes on, an agent is drained.
    Cause: the table on the path of every request.
    """
    start_desk(fleet, entries=2, agents=3)
    fleet.control_platform(down=True)
    for number in range(2):
        answer = send_job(fleet.entries[number], make_job(60, run_ms=20))
        assert answer.status_code == 200, answer.text
    drained = fleet.operate("drain", fleet.agents[0].name)
    assert drained.returncode == 0, drained.stdout
    answer = send_job(fleet.entries[0], make_job(60, run_ms=20))
    assert answer.status_code == 200, answer.text
    applied = fleet.operate("apply", "demo/desk.toml")
    assert applied.returncode != 0
