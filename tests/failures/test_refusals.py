"""A refusal that says "not run" is true, whatever its reason."""

import concurrent.futures
import time
from collections import Counter
from functools import partial
from pathlib import Path

import httpx
import pytest
from standins.fleet import Fleet, Running, is_listening, wait_for

from tests.lib.fleet_helpers import (
    DEMO,
    base_url,
    count_starts,
    make_job,
    run_in_background,
    send_job,
    send_request,
    start_desk,
    wait_for_running,
)

pytestmark = pytest.mark.processes


def _check_record(fleet: Fleet, answers: list[httpx.Response]) -> Counter[str]:
    """Check every answer against what the endpoints wrote down."""
    started = {task.partition(":")[0] for task in count_starts(fleet)}
    reasons: Counter[str] = Counter()
    for answer in answers:
        if answer.is_success:
            continue
        problem = answer.json()
        reasons[problem["type"].rpartition(":")[2]] += 1
        if problem["ran"] == "not_run":
            assert problem.get("submission") not in started, problem
    return reasons


def _apply(fleet: Fleet, folder: Path, old: str, new: str) -> None:
    document = folder / "desk.toml"
    text = (DEMO / "desk.toml").read_text()
    assert old in text
    document.write_text(text.replace(old, new))
    applied = fleet.operate("apply", str(document))
    assert applied.returncode == 0, applied.stderr


def _has_revision(entry: Running, revision: int) -> bool:
    state = httpx.get(f"{base_url(entry)}/v1/status").json()
    return state["revisions"].get("desk") == revision


def test_quota_over_two_entries(fleet: Fleet, tmp_path: Path) -> None:
    """A team submits more than its quota, through two entries.

    Symptom: work refused for the quota ran, or each entry admits a whole quota.
    Sequence: jobs go to both entries in turn until both refuse.
    Cause: a quota that every entry counts for itself.
    """
    start_desk(fleet, entries=2, agents=1)
    _apply(fleet, tmp_path, "starts_per_second = 2000", "starts_per_second = 1")
    for entry in fleet.entries:
        wait_for(partial(_has_revision, entry, 2), "the quota to be in force")
    began = time.monotonic()
    answers = [
        send_job(fleet.entries[number % 2], make_job(10, run_ms=1))
        for number in range(20)
    ]
    elapsed = time.monotonic() - began
    reasons = _check_record(fleet, answers)
    assert reasons["quota_exceeded"] > 0
    # At each entry five seconds of quota in hand and one job of debt; besides
    # that no more than the quota, however long the machine took.
    admitted = 10 * sum(answer.is_success for answer in answers)
    assert admitted <= 2 * (5 + 10) + elapsed
    refused = [answer for answer in answers if answer.status_code == 429]
    assert all("Retry-After" in answer.headers for answer in refused)
    assert answers[0].is_success


def test_overload_and_bounds(fleet: Fleet, tmp_path: Path) -> None:
    """Far more arrives than the slots or the queue allow.

    Symptom: a refused job did run in part.
    Sequence: a hundred jobs arrive at once at four slots; some are refused at
    once, some when their deadline can't be met, some by the team's quota.
    Cause: a refusal that doesn't look at what has started.
    """
    start_desk(fleet, agents=1, slots=4)
    _apply(fleet, tmp_path, "[class.billing]", "[class.billing]\nqueue_tasks = 60")

    def call(number: int) -> httpx.Response:
        kind = ("billing", "size-change")[number % 2]
        job = make_job(30, kind, run_ms=100)
        return send_job(fleet.entries[0], {**job, "deadline_seconds": 4.0})

    with concurrent.futures.ThreadPoolExecutor(100) as pool:
        answers = list(pool.map(call, range(100)))
    reasons = _check_record(fleet, answers)
    assert reasons["queue_full"] + reasons["deadline_unreachable"] > 0
    assert all(
        "Retry-After" in answer.headers
        for answer in answers
        if not answer.is_success and answer.json()["ran"] == "not_run"
    )
    assert any(answer.is_success for answer in answers)


def test_no_endpoint_and_every_endpoint_lost(fleet: Fleet) -> None:
    """The last endpoint leaves while work waits for it.

    Symptom: callers wait until their deadline, or are told a guess.
    Sequence: one agent runs a job, a second job waits, the agent is killed.
    Cause: work kept for an endpoint that can't come back.
    """
    start_desk(fleet, agents=1, slots=4)
    entry = fleet.entries[0]
    running = run_in_background(send_job, entry, make_job(4, run_ms=3000))
    wait_for_running(fleet, 4)
    waiting = run_in_background(send_job, entry, make_job(4, run_ms=10))
    fleet.agents[0].kill()
    answers = [each.result(timeout=15) for each in (waiting, running)]
    reasons = _check_record(fleet, answers)
    assert reasons["no_endpoint"] == 1
    assert reasons["outcome_unknown"] == 1
    assert answers[1].json()["ran"] == "may_have_run"
    after = send_request(entry, {"run_ms": 1})
    assert after.status_code == 503
    assert after.json()["ran"] == "not_run"


def test_an_entry_that_knows_nothing_says_so(fleet: Fleet) -> None:
    """An entry boots alone while the table is down.

    Symptom: it serves without a document.
    Sequence: no table, no other entry, no agent.
    Cause: "no document" taken for "no rules".
    """
    fleet.control_platform(down=True)
    entry = fleet.start_entry(wait=False)
    wait_for(lambda: is_listening(entry.http), "the entry to listen")
    assert httpx.get(f"{base_url(entry)}/v1/ready").status_code == 503
    answer = send_request(entry, {"run_ms": 1})
    assert answer.status_code == 503
    assert answer.json()["type"].endswith("not_ready")
    assert answer.json()["ran"] == "not_run"
    fleet.control_platform(down=False)
    fleet.await_ready(entry)
