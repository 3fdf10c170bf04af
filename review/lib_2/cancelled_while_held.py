"""Case 6: a job that waits for permission to start starts after its cancelling."""

import signal
import time

from review.lib_2.fleet import (
    Caller,
    Fleet,
    Record,
    has_trouble,
    make_steps,
    play,
    send,
)
from review.lib_2.late_starts import write_late_starts

AGENTS = 3
JOBS = 8
STEPS = 4
STEP_SECONDS = 2.0
CANCEL_AFTER_SECONDS = 0.3


def case(fleet: Fleet, record: Record) -> bool:
    """Kill an entry, and cancel jobs at the other one right after their submission."""
    fleet.start(2, AGENTS)
    time.sleep(1.0)
    if has_trouble():
        fleet.kill("entry-1", signal.SIGKILL)
        record.write("entry-1 was killed")
    callers = []
    for number in range(JOBS):
        caller = Caller(fleet, record, "entry-0", f"{number + 1:016x}")
        caller.body = make_steps(STEPS, STEP_SECONDS)
        caller.start()
        callers.append(caller)
    time.sleep(CANCEL_AFTER_SECONDS)
    acknowledged = {}
    for number in range(JOBS):
        job = f"{number + 1:016x}"
        response = send(fleet, "DELETE", "entry-0", job)
        assert response is not None
        record.write(f"DELETE {job}: {response.status_code} {response.text}")
        if response.is_success or response.status_code == 410:
            acknowledged[job] = time.monotonic()
    for caller in callers:
        caller.join(21)
    runs = fleet.list_runs(AGENTS)
    record.write_runs(runs)
    return not write_late_starts(record, runs, acknowledged)


if __name__ == "__main__":
    play(case)
