"""Demonstrate two deployments: jobs, single requests, a drain and a summary."""

import json
import random
import shutil
import sys
import threading
import time
from collections import Counter
from pathlib import Path
from typing import Any

import httpx
from standins.fleet import Fleet, ManagedProcess

HERE = Path(__file__).parent
TASK_COUNT = 460
REQUEST_COUNT = 40


class Tally:
    """Counts of tasks, and of answers checked against the nonces that were sent.

    :ivar tasks: tasks that were submitted.
    :ivar answered: answers that were received.
    :ivar wrong: answers that hold another nonce.
    """

    def __init__(self) -> None:
        self.tasks = 0
        self.answered = 0
        self.wrong = 0

    def check(self, sent: str, body: dict[str, Any]) -> None:
        """Count one answer."""
        self.answered += 1
        self.wrong += body.get("nonce") != sent


def submit_job(base: str, service: str, kind: str, tally: Tally) -> float:
    """Submit a job of 460 tasks and check every answer.

    :param base: base URL of the balancer.
    :param kind: class of the tasks.
    :return: duration in seconds.
    """
    rng = random.Random(460)
    tasks = [
        {
            "id": f"t{number}",
            "class": kind,
            "payload": {"run_ms": rng.randint(50, 1000), "nonce": f"n{number}"},
        }
        for number in range(TASK_COUNT)
    ]
    tally.tasks += TASK_COUNT
    began = time.monotonic()
    url = f"{base}/v1/services/{service}/jobs"
    answer = httpx.post(url, json={"tasks": tasks}, timeout=60)
    if answer.is_success:
        for number, row in enumerate(answer.json()["answers"]):
            tally.check(f"n{number}", row["body"])
    else:
        print("  job failed:", answer.text)
    return time.monotonic() - began


def submit_requests(base: str, service: str, kind: str, tally: Tally) -> float:
    """Submit single, non-idempotent requests one after the other.

    :param base: base URL of the balancer.
    :param kind: class of the requests.
    :return: median response time in seconds.
    """
    durations = []
    with httpx.Client(base_url=base, timeout=60) as client:
        for number in range(REQUEST_COUNT):
            nonce = f"{service}-{number}"
            body = {"class": kind, "payload": {"run_ms": 60, "nonce": nonce}}
            headers = {"Idempotency-Key": nonce}
            tally.tasks += 1
            began = time.monotonic()
            path = f"/v1/services/{service}/requests"
            answer = client.post(path, json=body, headers=headers)
            durations.append(time.monotonic() - began)
            if answer.is_success:
                tally.check(nonce, answer.json())
            else:
                print("  request failed:", answer.text)
    return sorted(durations)[len(durations) // 2]


def run_deployment(fleet: Fleet, service: str, kind: str, tally: Tally) -> None:
    """Submit requests and a job at the same time, and print how long they take."""
    base = f"http://127.0.0.1:{fleet.balancer_http}"
    job_seconds: list[float] = []
    job_kind = {"desk": "size-change", "sheets": "history"}[service]

    def submit() -> None:
        job_seconds.append(submit_job(base, service, job_kind, tally))

    thread = threading.Thread(target=submit)
    thread.start()
    median = submit_requests(base, service, kind, tally)
    thread.join()
    print(
        f"  {service}: {REQUEST_COUNT} single requests, median {median * 1000:.0f} ms;"
        f" a job of {TASK_COUNT} tasks in {job_seconds[0]:.1f} s"
    )


def count_duplicate_starts(fleet: Fleet, endpoints: list[ManagedProcess]) -> int:
    """Count tasks and idempotency keys that started more than once."""
    tasks: Counter[str] = Counter()
    keys: Counter[str] = Counter()
    for endpoint in endpoints:
        record = fleet.read_record(endpoint)
        tasks.update(record["tasks"])
        keys.update(record["keys"])
    return sum(count > 1 for counts in (tasks, keys) for count in counts.values())


def main() -> int:
    """Run the demonstration."""
    folder = Path("run/demo")
    shutil.rmtree(folder, ignore_errors=True)
    fleet = Fleet(folder)
    tally = Tally()
    try:
        print("starting: platform, two entries, three agents a service, endpoints")
        for zone in ("a", "b"):
            fleet.start_entry(zone, wait=False)
        fleet.update_balancer()
        for entry in fleet.entries:
            fleet.wait_ready(entry)
        for service in ("desk", "sheets"):
            applied = fleet.run_operator_command("apply", str(HERE / f"{service}.toml"))
            print(" ", (applied.stdout or applied.stderr).strip())
            for zone in ("a", "b", "c"):
                agent = fleet.start_agent(zone)
                fleet.start_endpoint(agent, service)
        fleet.wait_for_agents(3, "desk")
        fleet.wait_for_agents(3, "sheets")
        waited = fleet.run_operator_command("wait", "--service=sheets", "--revision=2")
        print(" ", waited.stdout.strip())
        print("working, while agent-1 is drained")
        drain_outputs: list[str] = []

        def drain() -> None:
            time.sleep(1.0)
            drain_outputs.append(
                fleet.run_operator_command("drain", "agent-1").stdout.strip()
            )

        drain_thread = threading.Thread(target=drain)
        drain_thread.start()
        run_deployment(fleet, "desk", "renewal", tally)
        run_deployment(fleet, "sheets", "sign-off", tally)
        drain_thread.join()
        print(" ", drain_outputs[0])
        print(fleet.run_operator_command("status").stdout.rstrip())
        duplicate_starts = count_duplicate_starts(fleet, fleet.endpoints)
        print("stopping gracefully")
    finally:
        fleet.stop()
    summary = {
        "tasks": tally.tasks,
        "answered": tally.answered,
        "wrong": tally.wrong,
        "unanswered": tally.tasks - tally.answered,
        "started_twice": duplicate_starts,
    }
    print(json.dumps(summary))
    return (
        0 if tally.answered == tally.tasks and not tally.wrong + duplicate_starts else 1
    )


if __name__ == "__main__":
    sys.exit(main())
