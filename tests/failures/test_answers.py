"""Each caller gets the whole answer to its own request."""

import concurrent.futures

import httpx
import pytest
from standins.fleet import Fleet

from tests.lib.fleet_helpers import read_counter, send_request, start_desk

pytestmark = pytest.mark.processes


def test_hundreds_of_callers_each_get_their_own_answer(fleet: Fleet) -> None:
    """Hundreds of callers are served at once.

    Symptom: a caller reads another's answer.
    Sequence: answers come back in another order than their requests went out.
    Cause: answers joined by order instead of by task.
    """
    start_desk(fleet, entries=2, agents=3)

    def call(number: int) -> bool:
        payload = {"run_ms": (number * 37) % 90, "nonce": f"mine-{number}"}
        answer = send_request(fleet.entries[number % 2], payload)
        return answer.status_code == 200 and answer.json()["nonce"] == payload["nonce"]

    with concurrent.futures.ThreadPoolExecutor(60) as pool:
        assert all(pool.map(call, range(400)))


def test_late_answer_never_reaches_the_next_caller(fleet: Fleet) -> None:
    """An endpoint answers after its caller's deadline.

    Symptom: the next caller gets the last one's answer.
    Sequence: a request times out while the endpoint still works; the next
    request goes to the same endpoint.
    Cause: a connection is used again with an answer still to come on it.
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
    """An answer is on its way when its caller's deadline passes.

    Symptom: a job that failed is answered again, or its entry breaks.
    Sequence: the stream is slow; the endpoint answers in time, the entry hears
    of it after it has told the caller that the deadline passed.
    Cause: answers joined without looking at what has become of their job.
    """
    start_desk(fleet, agents=1, proxied=True)
    send_request(fleet.entries[0], {"run_ms": 1})
    fleet.control(fleet.advertised(fleet.agents[0]), delay=0.15)
    payload = {"run_ms": 100, "nonce": "late"}
    body = {"class": "size-change", "payload": payload, "deadline_seconds": 0.3}
    late = _post(fleet, body)
    assert late.status_code == 504, late.text
    answer = send_request(fleet.entries[0], {"run_ms": 1, "nonce": "next"})
    assert answer.json()["nonce"] == "next"
    assert read_counter(fleet.entries[0], "answers_dropped", "late") == 1


def _post(fleet: Fleet, body: dict) -> httpx.Response:
    url = f"http://127.0.0.1:{fleet.entries[0].http}/v1/services/desk/requests"
    return httpx.post(url, json=body, timeout=30)
