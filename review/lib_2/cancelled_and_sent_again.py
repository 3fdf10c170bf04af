"""Case 5: a cancelled job runs in full when its request arrives again."""

import threading
import time

from review.lib_2.fleet import Fleet, Record, has_trouble, make_steps, play, send
from review.lib_2.late_starts import write_late_starts

AGENTS = 3
ENTRIES = 2
JOBS = 4
STEPS = 4
STEP_SECONDS = 2.0
CANCEL_AFTER_SECONDS = 0.5
RESEND_SECONDS = 1.3
"""``resend-ms`` of the settings."""

TIMEOUT_MS = 20_000
SENT_AGAIN_AFTER = (0, 502, 504)
"""Answers to a submission after which its request arrives again; 0 is none."""


def submit(fleet: Fleet, record: Record, number: int) -> None:
    """Submit a job as the platform's pages say that a client does."""
    job = f"{number + 1:016x}"
    body = make_steps(STEPS, STEP_SECONDS)
    for attempt in range(2):
        entry = f"entry-{(number + attempt) % ENTRIES}"
        record.write(f"POST {job} to {entry}")
        response = send(fleet, "POST", entry, job, body, TIMEOUT_MS)
        status = response.status_code if response is not None else 0
        text = response.text if response is not None else "no answer"
        record.write(f"POST {job}: {status} {text}")
        if status not in SENT_AGAIN_AFTER or not has_trouble():
            return
        time.sleep(RESEND_SECONDS)


def case(fleet: Fleet, record: Record) -> bool:
    """Cancel jobs at the entries that have them, with all else undisturbed."""
    fleet.start(ENTRIES, AGENTS)
    clients = [
        threading.Thread(target=submit, args=(fleet, record, number), daemon=True)
        for number in range(JOBS)
    ]
    for client in clients:
        client.start()
    time.sleep(CANCEL_AFTER_SECONDS)
    acknowledged = {}
    for number in range(JOBS):
        job = f"{number + 1:016x}"
        response = send(fleet, "DELETE", f"entry-{number % ENTRIES}", job)
        assert response is not None
        record.write(f"DELETE {job}: {response.status_code} {response.text}")
        if response.is_success or response.status_code == 410:
            acknowledged[job] = time.monotonic()
    for client in clients:
        client.join(45)
    runs = fleet.list_runs(AGENTS)
    record.write_runs(runs)
    return not write_late_starts(record, runs, acknowledged)


if __name__ == "__main__":
    play(case)
