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


def test_two_entries_at_once_run_it_once(fleet: Fleet) -> None:
    """The same request id reaches two entries at the same moment.

    Symptom: a teacher is charged twice.
    Sequence: both entries admit the request and write a claim.
    Cause: entries that don't know of each other's requests.
    """
    start_desk(fleet, entries=2, agents=2)
    for number in range(10):
        key = f"charge-{number}"
        both = [
            run_in_background(
                send_request, entry, {"run_ms": 20, "nonce": key}, "renewal", key
            )
            for entry in fleet.entries
        ]
        codes = sorted(each.result(timeout=20).status_code for each in both)
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
    """The entry that holds a request dies; the caller tries another one.

    Symptom: the renewal runs twice.
    Sequence: the request runs, its entry is killed, the caller submits the same
    id to the second entry while the first start still runs.
    Cause: the second entry knows nothing of the first one's start.
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
        lambda: _collect(fleet, payload), "the first answer to be collected"
    )
    assert done.json()["nonce"] == "mine"
    _assert_ran(fleet, "orphan", 1)


def _collect(fleet: Fleet, payload: dict):  # type: ignore[no-untyped-def]
    answer = send_request(fleet.entries[1], payload, "renewal", "orphan")
    return answer if answer.status_code == 200 else None


def test_resubmission_after_the_agent_died(fleet: Fleet) -> None:
    """The agent that started a request dies; the caller submits again.

    Symptom: the charge runs at a second endpoint.
    Sequence: the request runs, its agent is killed, its outcome is unknown.
    Cause: the only memory of the start died with the agent.
    """
    start_desk(fleet, entries=1, agents=2)
    payload = {"run_ms": 1500, "nonce": "mine"}
    first = run_in_background(
        send_request, fleet.entries[0], payload, "renewal", "widow"
    )
    wait_for_running(fleet, 1)
    for agent, endpoint in zip(fleet.agents, fleet.endpoints, strict=True):
        if fleet.record(endpoint)["running"]:
            agent.kill()
    failed = first.result(timeout=30)
    assert failed.status_code == 502, failed.text
    assert failed.json()["ran"] == "may_have_run"
    again = send_request(fleet.entries[0], payload, "renewal", "widow")
    assert again.status_code == 409, again.text
    assert again.json()["ran"] == "may_have_run"
    _assert_ran(fleet, "widow", 1)


def test_store_outage_refuses_truthfully_and_heals(fleet: Fleet) -> None:
    """The table is down when a charge arrives.

    Symptom: the charge runs unclaimed, or its id is burnt for ever.
    Sequence: the table goes down, the request is refused, the table returns,
    the caller comes back with the same id.
    Cause: a claim that can't be written is skipped, or left half done.
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
        lambda: _try(fleet, payload, "outage"), "the same id to be accepted again"
    )
    assert done.json()["nonce"] == "mine"
    _assert_ran(fleet, "outage", 1)


def _try(fleet: Fleet, payload: dict, key: str):  # type: ignore[no-untyped-def]
    answer = send_request(fleet.entries[0], payload, "renewal", key)
    assert answer.status_code in (200, 503), answer.text
    return answer if answer.status_code == 200 else None


def test_lost_answer_to_a_claim_that_took_effect(fleet: Fleet) -> None:
    """The table commits a claim but its answer is lost.

    Symptom: the caller is told "duplicate" for a request that never ran.
    Sequence: the claim is written, the answer is lost, the entry writes again.
    Cause: the entry's own claim looks like somebody else's.
    """
    start_desk(fleet, agents=1)
    fleet.control_platform(lose_answers=1)
    payload = {"run_ms": 5, "nonce": "mine"}
    answer = send_request(fleet.entries[0], payload, "renewal", "lost")
    assert answer.status_code == 200, answer.text
    _assert_ran(fleet, "lost", 1)
