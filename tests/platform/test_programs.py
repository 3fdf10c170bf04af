"""The programs as separate processes, with stand-ins for the platform."""

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


def test_invalid_requests_are_refused_with_their_status(
    platform: PlatformFleet,
) -> None:
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


def test_configuration_reaches_an_entry_that_the_store_refuses(
    platform: PlatformFleet,
) -> None:
    # An entry served queues that the operators had removed: the store refused its calls
    # while the configuration changed, and it received changes only from the store.
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
    # A job never ended, because the endpoint's answer to a start order was lost and the
    # agent waited for it. Instead the agent must make sure that the order can no longer
    # take effect, and then repeat it.
    platform.start(entries=1, agents=1)
    platform.control_endpoint("agent-0", lose_starts=1)
    answer = platform.submit("entry-0", f"{JOB}01", width=2)
    assert answer.json() == {"state": "completed"}
    assert len(platform.read_endpoint("agent-0")["started"]) == 2


def test_a_killed_agent_is_replaced_and_the_job_goes_on(
    platform: PlatformFleet,
) -> None:
    # Guards against a job that hangs, and an endpoint with more runs than it has
    # capacity for, after the agent was killed.
    platform.start(entries=1, agents=1)
    with ThreadPoolExecutor() as pool:
        work = pool.submit(platform.submit, "entry-0", f"{JOB}01", CORES, 1.0)
        wait_for(lambda: platform.read_endpoint("agent-0")["alive"], "runs")
        platform.kill("agent-0")
        platform.start_agent("agent-0")
        assert work.result().json() == {"state": "completed"}
    assert platform.read_endpoint("agent-0")["most_at_once"] <= CORES


def test_runs_of_a_killed_entry_are_stopped(platform: PlatformFleet) -> None:
    # Guards against a task that runs twice because its entry died and the caller
    # submitted the job to another one.
    platform.start(entries=2, agents=1)
    with ThreadPoolExecutor() as pool:
        work = pool.submit(platform.submit, "entry-0", f"{JOB}01", 1, 20.0)
        wait_for(lambda: platform.read_endpoint("agent-0")["alive"], "run")
        platform.kill("entry-0")
        assert work.exception() is not None
    wait_for(lambda: not platform.read_endpoint("agent-0")["alive"], "end of the run")


def test_a_stopped_entry_answers_accepted_jobs(platform: PlatformFleet) -> None:
    # Guards against a planned stop that aborts a request.
    platform.start(entries=1, agents=1)
    with ThreadPoolExecutor() as pool:
        work = pool.submit(platform.submit, "entry-0", f"{JOB}01", 1, 1.5)
        wait_for(lambda: platform.read_endpoint("agent-0")["alive"], "run")
        platform.kill("entry-0", signal.SIGTERM)
        assert work.result().json() == {"state": "completed"}
    assert platform.processes["entry-0"].wait(timeout=20) == 0
    events = [line["event"] for line in platform.read_log("entry-0")]
    assert events[-1] == "stopped"


def test_a_draining_endpoint_gets_no_new_work(platform: PlatformFleet) -> None:
    platform.start(entries=1, agents=1)
    platform.control_endpoint("agent-0", draining=True)
    wait_for(
        lambda: platform.submit("entry-0", f"{JOB}01").status_code == 503,
        "refusals while the only endpoint drains",
    )


def test_the_cause_of_a_failed_request_is_logged_under_its_id(
    platform: PlatformFleet,
) -> None:
    # Follows the procedure in docs/OPERATIONS.md, with a job whose tasks all fail.
    platform.start(entries=1, agents=1)
    platform.control_endpoint("agent-0", fails=True)
    answer = platform.submit("entry-0", f"{JOB}01", width=1)
    assert answer.json() == {"state": "failed"}
    job = f"{JOB}01"
    # Log lines are written shortly after the event.
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
    # A process that had just started was ended by SIGHUP, sent when its settings
    # changed during its imports: the handler is installed after these, and without one
    # the signal ends a process (soak seeds 118 and 119).
    code = (
        "import runpy, signal; runpy.run_path('deploy/launch.py', run_name='launch'); "
        "signal.raise_signal(signal.SIGHUP); print('alive')"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True
    )
    assert done.stdout == "alive\n"


def test_an_agent_finds_entries_that_replaced_all_known_ones(
    platform: PlatformFleet,
) -> None:
    # An endpoint with free capacity got no work: while its agent was cut off, all
    # entries were replaced by others at new addresses. The agent read the addresses
    # only once, at its start, and no entry that it knew was left to announce new ones.
    platform.start(entries=1, agents=1)
    platform.kill("entry-0")
    platform.start_entry("entry-1")
    platform.wait_ready("entry-1", agents=1)
    assert platform.submit("entry-1", f"{JOB}01").status_code == 200
