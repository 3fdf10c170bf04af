"""Work refused as "not run" has not run, whatever the reason."""

import concurrent.futures
import time
from collections import Counter
from functools import partial
from pathlib import Path

import httpx
import pytest
from standins.fleet import Fleet, ManagedProcess, is_listening, wait_for

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


def _check_refusals(fleet: Fleet, answers: list[httpx.Response]) -> Counter[str]:
    """Assert that no job refused as "not run" was started.

    :returns: the number of failed answers by problem type.
    """
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


def _apply_changed_document(fleet: Fleet, folder: Path, old: str, new: str) -> None:
    document = folder / "desk.toml"
    text = (DEMO / "desk.toml").read_text()
    assert old in text
    document.write_text(text.replace(old, new))
    applied = fleet.run_operator_command("apply", str(document))
    assert applied.returncode == 0, applied.stderr


def _has_revision(entry: ManagedProcess, revision: int) -> bool:
    state = httpx.get(f"{base_url(entry)}/v1/status").json()
    return state["revisions"].get("desk") == revision


def test_quota_across_two_entries(fleet: Fleet, tmp_path: Path) -> None:
    """Exceed a team's quota through two entries.

    Jobs go to both entries in turn, more than the quota allows. If every entry counted
    the quota on its own, each would admit the whole quota. Jobs refused for the quota
    must not have run.
    """
    start_desk(fleet, entries=2, agents=1)
    _apply_changed_document(
        fleet, tmp_path, "starts_per_second = 2000", "starts_per_second = 1"
    )
    for entry in fleet.entries:
        wait_for(partial(_has_revision, entry, 2), "the quota to be in force")
    started_at = time.monotonic()
    answers = [
        send_job(fleet.entries[number % 2], make_job(10, run_ms=1))
        for number in range(20)
    ]
    elapsed = time.monotonic() - started_at
    reasons = _check_refusals(fleet, answers)
    assert reasons["quota_exceeded"] > 0
    # Each entry may admit five seconds of saved quota and overdraw it by one job of
    # ten tasks; beyond that, no more than one task per second is admitted. The
    # elapsed time is measured, so the limit holds on a slow machine too.
    admitted = 10 * sum(answer.is_success for answer in answers)
    assert admitted <= 2 * (5 + 10) + elapsed
    refused = [answer for answer in answers if answer.status_code == 429]
    assert all("Retry-After" in answer.headers for answer in refused)
    assert answers[0].is_success


def test_jobs_refused_under_overload_have_not_run(fleet: Fleet, tmp_path: Path) -> None:
    """Submit far more jobs than the slots and the queue allow.

    A hundred jobs arrive at once at four slots. Some are refused on arrival, some once
    their deadline can't be met, some by the team's quota. If a refusal didn't check
    which tasks have started, a job refused as "not run" could have run in part.
    """
    start_desk(fleet, agents=1, slots=4)
    _apply_changed_document(
        fleet, tmp_path, "[class.billing]", "[class.billing]\nqueue_tasks = 60"
    )

    def call(number: int) -> httpx.Response:
        kind = ("billing", "size-change")[number % 2]
        job = make_job(30, kind, run_ms=100)
        return send_job(fleet.entries[0], {**job, "deadline_seconds": 4.0})

    with concurrent.futures.ThreadPoolExecutor(100) as pool:
        answers = list(pool.map(call, range(100)))
    reasons = _check_refusals(fleet, answers)
    assert reasons["queue_full"] + reasons["deadline_unreachable"] > 0
    assert all(
        "Retry-After" in answer.headers
        for answer in answers
        if not answer.is_success and answer.json()["ran"] == "not_run"
    )
    assert any(answer.is_success for answer in answers)


def test_loss_of_the_last_endpoint_is_reported(fleet: Fleet) -> None:
    """Kill the only agent while one job runs and another one waits.

    If the entry kept the work for an endpoint that can't come back, the callers would
    wait until their deadlines. It must also not guess whether the running job ran.
    """
    start_desk(fleet, agents=1, slots=4)
    entry = fleet.entries[0]
    running = run_in_background(send_job, entry, make_job(4, run_ms=3000))
    wait_for_running(fleet, 4)
    waiting = run_in_background(send_job, entry, make_job(4, run_ms=10))
    fleet.agents[0].kill()
    answers = [each.result(timeout=15) for each in (waiting, running)]
    reasons = _check_refusals(fleet, answers)
    assert reasons["no_endpoint"] == 1
    assert reasons["outcome_unknown"] == 1
    assert answers[1].json()["ran"] == "may_have_run"
    after = send_request(entry, {"run_ms": 1})
    assert after.status_code == 503
    assert after.json()["ran"] == "not_run"


def test_entry_without_configuration_is_not_ready(fleet: Fleet) -> None:
    """Start a single entry while the table is down.

    It has no table, peer or agent to read a document from. If a missing document were
    treated as one without rules, the entry would serve requests.
    """
    fleet.control_platform(down=True)
    entry = fleet.start_entry(wait=False)
    wait_for(lambda: is_listening(entry.http_port), "the entry to listen")
    assert httpx.get(f"{base_url(entry)}/v1/ready").status_code == 503
    answer = send_request(entry, {"run_ms": 1})
    assert answer.status_code == 503
    assert answer.json()["type"].endswith("not_ready")
    assert answer.json()["ran"] == "not_run"
    fleet.control_platform(down=False)
    fleet.wait_ready(entry)
