"""The programs as separate processes against stand-ins that speak the platform."""

import signal
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

import pytest
from standins.fleet import wait_for
from standins.platform_fleet import CORES, ROOT, ROUTE, PlatformFleet, make_body

pytestmark = pytest.mark.processes

JOB = "00000000000000"


def test_jobs_are_served_by_any_entry(platform: PlatformFleet) -> None:
    platform.start(entries=2, agents=2)
    for number, entry in enumerate(("entry-0", "entry-1")):
        answer = platform.submit(entry, f"{JOB}0{number}", width=8)
        assert (answer.status_code, answer.json()) == (200, {"state": "completed"})
    seen = [platform.read_endpoint(f"agent-{number}") for number in range(2)]
    assert sum(len(each["started"]) for each in seen) == 16
    assert max(each["most_at_once"] for each in seen) <= CORES


def test_what_can_not_be_understood_is_refused_clearly(platform: PlatformFleet) -> None:
    platform.start(entries=1, agents=1)
    cases = [
        ("/checks/zz", make_body(1, 0.1), 400),
        (f"/checks/{JOB}01", "{", 400),
        (f"/checks/{JOB}01", "[]", 400),
        (f"/checks/{JOB}01", '{"spec": "0.1", "steps": []}', 400),
        (f"/checks/{JOB}01", make_body(0, 0.1), 400),
        (f"/checks/{JOB}01", make_body(10**6, 0.1), 400),
        (f"/checks/{JOB}01", " " * 300_000, 413),
        (f"/nowhere/{JOB}01", make_body(1, 0.1), 404),
    ]
    for path, content, status in cases:
        answer = platform.call("POST", "entry-0", path, content)
        assert answer.status_code == status, (path, content[:40], answer.text)
    assert platform.call("GET", "entry-0", "/checks/").json() == {"waiting": 0}
    assert platform.call("GET", "entry-0", f"/checks/{JOB}01").status_code == 410
    assert platform.read_endpoint("agent-0")["started"] == []


def test_configuration_is_in_force_everywhere_though_the_store_is_partly_down(
    platform: PlatformFleet,
) -> None:
    # Symptom: an entry serves what the operators have removed. Sequence: the
    # store turns one entry away while the configuration changes. Cause: that
    # entry heard of changes from the store alone.
    platform.start(entries=2, agents=1)
    platform.control_store(turned_away=[platform.find_ip("entry-1")])
    moved = {**ROUTE, "prefix": "/moved/"}
    platform.write_routes(2, [moved])
    for entry in ("entry-0", "entry-1"):
        wait_for(
            lambda entry=entry: (
                platform.call("GET", entry, "/moved/").status_code == 200
                and platform.call("GET", entry, "/checks/").status_code == 404
            ),
            f"configuration at {entry}",
        )


def test_jobs_are_served_with_the_store_down(platform: PlatformFleet) -> None:
    platform.start(entries=1, agents=1)
    platform.control_store(turned_away=["all"])
    assert platform.submit("entry-0", f"{JOB}01").json() == {"state": "completed"}


def test_an_entry_without_configuration_refuses(platform: PlatformFleet) -> None:
    platform.control_store(turned_away=["all"])
    platform.start_entry("entry-0")
    wait_for(lambda: platform.call("GET", "entry-0", "/checks/"), "entry")
    answer = platform.submit("entry-0", f"{JOB}01")
    assert answer.status_code == 503
    assert "retry-after" in answer.headers


def test_a_lost_start_order_does_not_lose_the_job(platform: PlatformFleet) -> None:
    # Symptom: a job never ends. Sequence: the endpoint's answer to an order is
    # lost. Cause: the agent waited for it. It must make sure instead that the
    # order is void before it gives the order again.
    platform.start(entries=1, agents=1)
    platform.control_endpoint("agent-0", lose_starts=1)
    answer = platform.submit("entry-0", f"{JOB}01", width=2)
    assert answer.json() == {"state": "completed"}
    assert len(platform.read_endpoint("agent-0")["started"]) == 2


def test_a_killed_agent_is_replaced_and_the_job_goes_on(
    platform: PlatformFleet,
) -> None:
    # Symptom: a job hangs or an endpoint is overfull after its agent was killed.
    platform.start(entries=1, agents=1)
    with ThreadPoolExecutor() as pool:
        work = pool.submit(platform.submit, "entry-0", f"{JOB}01", CORES, 1.0)
        wait_for(lambda: platform.read_endpoint("agent-0")["alive"], "runs")
        platform.kill("agent-0")
        platform.start_agent("agent-0")
        assert work.result().json() == {"state": "completed"}
    assert platform.read_endpoint("agent-0")["most_at_once"] <= CORES


def test_runs_of_a_killed_entry_are_stopped(platform: PlatformFleet) -> None:
    # Symptom: a task runs twice: its entry died, its caller went to another.
    platform.start(entries=2, agents=1)
    with ThreadPoolExecutor() as pool:
        work = pool.submit(platform.submit, "entry-0", f"{JOB}01", 1, 20.0)
        wait_for(lambda: platform.read_endpoint("agent-0")["alive"], "run")
        platform.kill("entry-0")
        assert work.exception() is not None
    wait_for(lambda: not platform.read_endpoint("agent-0")["alive"], "end of the run")


def test_a_stopped_entry_answers_what_it_took(platform: PlatformFleet) -> None:
    # Symptom: a planned stop cuts a request.
    platform.start(entries=1, agents=1)
    with ThreadPoolExecutor() as pool:
        work = pool.submit(platform.submit, "entry-0", f"{JOB}01", 1, 1.5)
        wait_for(lambda: platform.read_endpoint("agent-0")["alive"], "run")
        platform.kill("entry-0", signal.SIGTERM)
        assert work.result().json() == {"state": "completed"}
    assert platform.processes["entry-0"].wait(timeout=20) == 0
    events = [line["event"] for line in platform.read_log("entry-0")]
    assert events[-1] == "stopped"


def test_a_draining_endpoint_gets_nothing_new(platform: PlatformFleet) -> None:
    platform.start(entries=1, agents=1)
    platform.control_endpoint("agent-0", draining=True)
    wait_for(
        lambda: platform.submit("entry-0", f"{JOB}01").status_code == 503,
        "refusals while the only endpoint drains",
    )


def test_a_failed_request_leads_from_its_id_to_its_cause(
    platform: PlatformFleet,
) -> None:
    # The path of docs/OPERATIONS.md: every task of this job fails.
    platform.start(entries=1, agents=1)
    platform.control_endpoint("agent-0", fails=True)
    answer = platform.submit("entry-0", f"{JOB}01", width=1)
    assert answer.json() == {"state": "failed"}
    job = f"{JOB}01"
    # Lines are written a little after what they tell.
    wait_for(
        lambda: platform.list_log_events("entry-0", "job_ended", job), "the job's end"
    )
    (ended,) = platform.list_log_events("entry-0", "job_ended", job)
    assert ended["reason"] == "attempts"
    wait_for(
        lambda: (
            len(platform.list_log_events("agent-0", "run_ended", job))
            == ROUTE["max-attempts"]
        ),
        "the end of each run",
    )
    runs = platform.list_log_events("agent-0", "run_ended", job)
    assert [line["end"] for line in runs] == ["failed"] * ROUTE["max-attempts"]


def test_settings_are_read_again_on_sighup(platform: PlatformFleet) -> None:
    platform.start(entries=1, agents=1)
    platform.kill("entry-0", signal.SIGHUP)
    wait_for(
        lambda: any(
            line["event"] == "settings_reloaded"
            for line in platform.read_log("entry-0")
        ),
        "a reload",
    )
    assert platform.submit("entry-0", f"{JOB}01").status_code == 200


def test_a_reload_while_a_process_starts_does_not_end_it() -> None:
    # Symptom: a process that was just started is gone. Sequence: its settings change
    # and it gets SIGHUP while it still imports. Cause: the handler comes after the
    # imports, and until then the signal ends a process. Found by seeds 118 and 119
    # of the soak.
    code = (
        "import runpy, signal; runpy.run_path('deploy/launch.py', run_name='launch'); "
        "signal.raise_signal(signal.SIGHUP); print('alive')"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True
    )
    assert done.stdout == "alive\n"


def test_an_agent_finds_entries_that_replaced_all_it_knew(
    platform: PlatformFleet,
) -> None:
    # Symptom: an endpoint with room gets no work. Sequence: all entries are removed
    # while its agent is cut off, and others start at other addresses. Cause: the agent
    # read where entries are once, when it started, and nobody is left to tell it.
    platform.start(entries=1, agents=1)
    platform.kill("entry-0")
    platform.start_entry("entry-1")
    platform.wait_ready("entry-1", agents=1)
    assert platform.submit("entry-1", f"{JOB}01").status_code == 200
