"""A non-idempotent request runs at most once."""

import pytest
from standins.fleet import Fleet, wait_for

from tests.lib.fleet_helpers import (
    count_keys,
    run_in_background,
    send_request,
    start_desk,
    wait_for_running,
)

pytestmark = pytest.mark.processes


def _assert_ran(fleet: Fleet, key: str, times: int) -> None:
    assert count_keys(fleet)[key] == times


def test_concurrent_duplicates_at_two_entries_run_once(fleet: Fleet) -> None:
    """Send the same request id to two entries at the same time.

    Both entries admit the request and write a claim. Without claims they wouldn't know
    of each other's requests, and a teacher would be charged twice.
    """
    start_desk(fleet, entries=2, agents=2)
    for number in range(10):
        key = f"charge-{number}"
        pending = [
            run_in_background(
                send_request, entry, {"run_ms": 20, "nonce": key}, "renewal", key
            )
            for entry in fleet.entries
        ]
        codes = sorted(each.result(timeout=20).status_code for each in pending)
        assert codes[0] == 200, codes
        assert codes[1] in (200, 409), codes
        _assert_ran(fleet, key, 1)


def test_repeated_request_gets_the_first_answer(fleet: Fleet) -> None:
    start_desk(fleet, entries=2, agents=2)
    payload = {"run_ms": 20, "nonce": "first"}
    first = send_request(fleet.entries[0], payload, "renewal", "again")
    second = send_request(fleet.entries[1], payload, "renewal", "again")
    assert (first.status_code, second.status_code) == (200, 200)
    assert first.json() == second.json()
    _assert_ran(fleet, "again", 1)


def test_resubmission_after_the_entry_died(fleet: Fleet) -> None:
    """Kill the entry of a running request and submit the id to another entry.

    The first start still runs. If the second entry didn't learn of it, the renewal
    would run twice.
    """
    start_desk(fleet, entries=2, agents=2)
    payload = {"run_ms": 1500, "nonce": "mine"}
    lost = run_in_background(
        send_request, fleet.entries[0], payload, "renewal", "orphan"
    )
    wait_for_running(fleet, 1)
    fleet.entries[0].kill()
    assert lost.exception(timeout=20) is not None
    running = send_request(fleet.entries[1], payload, "renewal", "orphan")
    assert running.status_code == 409, running.text
    assert running.json()["ran"] == "may_have_run"
    assert "Retry-After" in running.headers
    done = wait_for(
        lambda: _fetch_orphan_answer(fleet, payload), "the first answer to be collected"
    )
    assert done.json()["nonce"] == "mine"
    _assert_ran(fleet, "orphan", 1)


def _fetch_orphan_answer(fleet: Fleet, payload: dict):  # type: ignore[no-untyped-def]
    answer = send_request(fleet.entries[1], payload, "renewal", "orphan")
    return answer if answer.status_code == 200 else None


def test_resubmission_after_the_agent_died(fleet: Fleet) -> None:
    """Kill the agent that started a request, then submit the request again.

    The outcome is unknown, because the agent's record of the start is lost with it. If
    the request were admitted again, the charge would run at a second endpoint.
    """
    start_desk(fleet, entries=1, agents=2)
    payload = {"run_ms": 1500, "nonce": "mine"}
    first = run_in_background(
        send_request, fleet.entries[0], payload, "renewal", "widow"
    )
    wait_for_running(fleet, 1)
    for agent, endpoint in zip(fleet.agents, fleet.endpoints, strict=True):
        if fleet.read_record(endpoint)["running"]:
            agent.kill()
    failed = first.result(timeout=30)
    assert failed.status_code == 502, failed.text
    assert failed.json()["ran"] == "may_have_run"
    again = send_request(fleet.entries[0], payload, "renewal", "widow")
    assert again.status_code == 409, again.text
    assert again.json()["ran"] == "may_have_run"
    _assert_ran(fleet, "widow", 1)


def test_request_refused_in_a_store_outage_can_be_retried(fleet: Fleet) -> None:
    """Send a non-idempotent request while the table is down, then retry it.

    The request must be refused, as its claim can't be written. If the claim were
    skipped, the charge would run unclaimed; if it were left half written, the id could
    never be used again.
    """
    start_desk(fleet, agents=1)
    fleet.control_platform(down=True)
    payload = {"run_ms": 5, "nonce": "mine"}
    refused = send_request(fleet.entries[0], payload, "renewal", "outage")
    assert refused.status_code == 503, refused.text
    assert refused.json()["ran"] == "not_run"
    assert "Retry-After" in refused.headers
    idempotent = send_request(fleet.entries[0], {"run_ms": 5, "nonce": "i"})
    assert idempotent.status_code == 200
    fleet.control_platform(down=False)
    done = wait_for(
        lambda: _retry(fleet, payload, "outage"), "the same id to be accepted again"
    )
    assert done.json()["nonce"] == "mine"
    _assert_ran(fleet, "outage", 1)


def _retry(fleet: Fleet, payload: dict, key: str):  # type: ignore[no-untyped-def]
    answer = send_request(fleet.entries[0], payload, "renewal", key)
    assert answer.status_code in (200, 503), answer.text
    return answer if answer.status_code == 200 else None


def test_committed_claim_with_a_lost_response_is_recognised(fleet: Fleet) -> None:
    """Lose the response to a claim that the table has committed.

    The entry writes the claim again and finds it present. If it took its own claim for
    another entry's, the caller would be told "duplicate" for a request that never ran.
    """
    start_desk(fleet, agents=1)
    fleet.control_platform(lose_answers=1)
    payload = {"run_ms": 5, "nonce": "mine"}
    answer = send_request(fleet.entries[0], payload, "renewal", "lost")
    assert answer.status_code == 200, answer.text
    _assert_ran(fleet, "lost", 1)
