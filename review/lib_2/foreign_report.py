"""Case 4: a foreign report and one unanswered call make a task run twice at once."""

import json
import threading
import time

import httpx

from review.lib_2.fleet import Caller, Fleet, Record, Run, has_trouble, make_body, play

AGENTS = 11
ENTRIES = 3
LATE_SHARE = 0.055
LATE_SECONDS = 5.5
PAUSE_SECONDS = 4.0
WINDOWS = 2
REPORT_SECONDS = 1.5
TASK_SECONDS = 1.8
TASKS = 4
JOB_INTERVAL_SECONDS = 0.35
OVERLAP_SECONDS = 0.1
"""Overlaps of two runs that are shorter aren't counted."""


def send_foreign_reports(fleet: Fleet, record: Record, stop: threading.Event) -> None:
    """Send reports of another writer, which name no service of this deployment."""
    sequence = 0
    while not stop.wait(REPORT_SECONDS / AGENTS):
        agent = f"agent-{sequence % AGENTS}"
        sequence += 1
        ip = fleet.find_ip(agent)
        body = {
            "service": "not-named-here",
            "address": f"{ip}:{fleet.app}",
            "zone": "zone-1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-left-ms": 0,
            "capacity": {"cpu": 4000, "mem-mb": 65536, "gpu": 0},
            "labels": [],
            "clock-ms": 1000,
            "seq": sequence,
        }
        url = f"http://{ip}:{fleet.control}/-/instances/i-other-writer"
        status = httpx.put(url, content=json.dumps(body), trust_env=False).status_code
        record.write(f"report of another writer to {agent}: {status}")


def find_overlaps(runs: list[Run]) -> list[tuple[Run, Run]]:
    """Find pairs of runs of one task that were in progress at the same time."""
    pairs = []
    by_task: dict[str, list[Run]] = {}
    for run in runs:
        for earlier in by_task.setdefault(run.task, []):
            if min(earlier.ended, run.ended) - run.began > OVERLAP_SECONDS:
                pairs.append((earlier, run))
        by_task[run.task].append(run)
    return pairs


def case(fleet: Fleet, record: Record) -> bool:
    """Keep half of the endpoints busy, and leave a share of the calls unanswered."""
    fleet.start(ENTRIES, AGENTS)
    stop = threading.Event()
    writer = threading.Thread(
        target=send_foreign_reports, args=(fleet, record, stop), daemon=True
    )
    writer.start()
    began = time.monotonic()
    windows = [
        2.0 + number * (LATE_SECONDS + PAUSE_SECONDS) for number in range(WINDOWS)
    ]
    seconds = windows[-1] + LATE_SECONDS + 2.0
    callers = []
    while time.monotonic() - began < seconds:
        if has_trouble() and windows and time.monotonic() - began >= windows[0]:
            windows.pop(0)
            record.write(f"{LATE_SHARE} of all calls get no answer, {LATE_SECONDS} s")
            for number in range(AGENTS):
                fleet.leave_unanswered(f"agent-{number}", LATE_SHARE, LATE_SECONDS)
        number = len(callers)
        job = f"{number + 1:016x}"
        caller = Caller(fleet, record, f"entry-{number % ENTRIES}", job)
        caller.body = make_body(TASKS, TASK_SECONDS)
        caller.start()
        callers.append(caller)
        time.sleep(JOB_INTERVAL_SECONDS)
    for caller in callers:
        caller.join(15)
    stop.set()
    writer.join()
    runs = fleet.list_runs(AGENTS)
    record.write_runs(runs)
    for number in range(AGENTS):
        name = f"agent-{number}"
        for line in fleet.read_log(name):
            if line["event"] == "endpoint_lost":
                record.write(f"{name} logged endpoint_lost: {line['reason']}")
    pairs = find_overlaps(runs)
    for one, other in pairs:
        both = min(one.ended, other.ended) - other.began
        record.write(
            f"TWICE: {one.task} ran at {one.agent} (run {one.run}) and at "
            f"{other.agent} (run {other.run}) at the same time, for {both:.3f} s",
            other.began,
        )
    served = sum(caller.status == 200 for caller in callers)
    record.write(f"{served} of {len(callers)} jobs completed")
    return not pairs


if __name__ == "__main__":
    play(case)
