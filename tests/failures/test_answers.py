"""Each caller receives the complete answer to its own request."""

import concurrent.futures

import httpx
import pytest
from standins.fleet import Fleet

from tests.lib.fleet_helpers import read_counter, send_request, start_desk

pytestmark = pytest.mark.processes


def test_hundreds_of_callers_each_get_their_own_answer(fleet: Fleet) -> None:
    """Send hundreds of requests from concurrent callers.

    Answers arrive in a different order than their requests were sent. If they were
    matched by order instead of by task, a caller would receive another's answer.
    """
    start_desk(fleet, entries=2, agents=3)

    def call(number: int) -> bool:
        payload = {"run_ms": (number * 37) % 90, "nonce": f"mine-{number}"}
        answer = send_request(fleet.entries[number % 2], payload)
        return answer.status_code == 200 and answer.json()["nonce"] == payload["nonce"]

    with concurrent.futures.ThreadPoolExecutor(60) as pool:
        assert all(pool.map(call, range(400)))


def test_late_answer_never_reaches_the_next_caller(fleet: Fleet) -> None:
    """Let an endpoint answer after its caller's deadline.

    The next request goes to the same endpoint while it still works on the one that
    timed out. If the connection with the pending answer were reused, the next caller
    would receive the answer to the previous request.
    """
    start_desk(fleet, agents=1, slots=1)
    for number in range(6):
        payload = {"run_ms": 400, "nonce": f"late-{number}"}
        body = {"class": "size-change", "payload": payload, "deadline_seconds": 0.2}
        late = _post(fleet, body)
        assert late.status_code == 504, late.text
        assert late.json()["ran"] == "may_have_run"
        answer = send_request(fleet.entries[0], {"run_ms": 1, "nonce": f"n-{number}"})
        assert answer.status_code == 200, answer.text
        assert answer.json()["nonce"] == f"n-{number}"


def test_answer_that_arrives_after_the_deadline_is_dropped(fleet: Fleet) -> None:
    """Let the deadline pass while the answer is in transit.

    The endpoint answers in time, but the stream is slow, so the entry receives the
    answer after it has reported the missed deadline to the caller. If the entry
    didn't check the state of the job, it would answer the failed job again or crash.
    """
    start_desk(fleet, agents=1, proxied=True)
    send_request(fleet.entries[0], {"run_ms": 1})
    fleet.control_proxy(fleet.find_advertised_port(fleet.agents[0]), delay=0.15)
    payload = {"run_ms": 100, "nonce": "late"}
    body = {"class": "size-change", "payload": payload, "deadline_seconds": 0.3}
    late = _post(fleet, body)
    assert late.status_code == 504, late.text
    answer = send_request(fleet.entries[0], {"run_ms": 1, "nonce": "next"})
    assert answer.json()["nonce"] == "next"
    assert read_counter(fleet.entries[0], "answers_dropped", "late") == 1


def _post(fleet: Fleet, body: dict) -> httpx.Response:
    url = f"http://127.0.0.1:{fleet.entries[0].http_port}/v1/services/desk/requests"
    return httpx.post(url, json=body, timeout=30)
