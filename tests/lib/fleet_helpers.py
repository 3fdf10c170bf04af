"""Setup and request helpers of the tests that run real processes."""

import concurrent.futures
import threading
from collections import Counter
from pathlib import Path
from typing import Any

import httpx
from standins.fleet import Fleet, ManagedProcess, wait_for

DEMO = Path(__file__).parent.parent.parent / "demo"
AnswerFuture = concurrent.futures.Future


def start_desk(
    fleet: Fleet,
    entries: int = 1,
    agents: int = 1,
    proxied: bool = False,
    slots: int = 8,
    lease: float = 3.0,
    **entry_settings: Any,
) -> None:
    """Start entries, agents and endpoints, and apply the document of the demo service.

    :param lease: lease of each endpoint, in seconds.
    """
    for _ in range(entries):
        fleet.start_entry(wait=False, **entry_settings)
    fleet.update_balancer()
    for entry in fleet.entries:
        fleet.wait_ready(entry)
    applied = fleet.run_operator_command("apply", str(DEMO / "desk.toml"))
    assert applied.returncode == 0, applied.stderr
    for _ in range(agents):
        agent = fleet.start_agent(proxied=proxied)
        fleet.start_endpoint(agent, slots=slots, lease_seconds=lease)
    fleet.wait_for_agents(agents)


def base_url(entry: ManagedProcess) -> str:
    """Return the base URL of an entry."""
    return f"http://127.0.0.1:{entry.http_port}"


def send_request(
    entry: ManagedProcess,
    payload: dict[str, Any],
    kind: str = "size-change",
    key: str = "",
) -> httpx.Response:
    """Send a single request and wait for the answer."""
    headers = {"Idempotency-Key": key} if key else {}
    body = {"class": kind, "payload": payload}
    url = f"{base_url(entry)}/v1/services/desk/requests"
    return httpx.post(url, json=body, headers=headers, timeout=60)


def make_job(count: int, kind: str = "size-change", **payload: Any) -> dict[str, Any]:
    """Make a job whose tasks each carry a different nonce."""
    tasks = [
        {
            "id": f"t{number}",
            "class": kind,
            "payload": {"nonce": f"n{number}", **payload},
        }
        for number in range(count)
    ]
    return {"tasks": tasks}


def send_job(entry: ManagedProcess, job: dict[str, Any]) -> httpx.Response:
    """Send a job and wait for the answer."""
    url = f"{base_url(entry)}/v1/services/desk/jobs"
    return httpx.post(url, json=job, timeout=60)


def run_in_background(function: Any, *arguments: Any, **named: Any) -> AnswerFuture:
    """Run a function in a thread and return a future of its result."""
    future: AnswerFuture = AnswerFuture()

    def run_and_complete() -> None:
        try:
            future.set_result(function(*arguments, **named))
        except BaseException as error:  # noqa: BLE001
            future.set_exception(error)

    threading.Thread(target=run_and_complete, daemon=True).start()
    return future


def count_starts(fleet: Fleet) -> Counter[str]:
    """Count starts by task at all endpoints that are still running."""
    starts: Counter[str] = Counter()
    for endpoint in fleet.endpoints:
        if endpoint.process.poll() is None:
            starts.update(fleet.read_record(endpoint)["tasks"])
    return starts


def count_keys(fleet: Fleet) -> Counter[str]:
    """Count starts by idempotency key at all endpoints that are still running."""
    keys: Counter[str] = Counter()
    for endpoint in fleet.endpoints:
        if endpoint.process.poll() is None:
            keys.update(fleet.read_record(endpoint)["keys"])
    return keys


def wait_for_running(fleet: Fleet, count: int) -> None:
    """Wait until the endpoints run at least ``count`` tasks at once."""
    wait_for(
        lambda: (
            sum(fleet.read_record(each)["running"] for each in fleet.endpoints) >= count
        ),
        f"{count} running tasks",
    )


def read_counter(entry: ManagedProcess, name: str, reason: str = "") -> float:
    """Read one counter from the metrics of a process, 0 if it is absent."""
    text = httpx.get(f"{base_url(entry)}/metrics", timeout=10).text
    prefix = f'godwitbank_{name}_total{{reason="{reason}"}}'
    for line in text.splitlines():
        if line.startswith(prefix):
            return float(line.split()[-1])
    return 0.0
