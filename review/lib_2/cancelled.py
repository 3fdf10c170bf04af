"""Case 6: a job goes on after its cancelling was answered at another entry."""

import time

from review.lib_2.fleet import (
    Caller,
    Fleet,
    Record,
    Run,
    has_trouble,
    make_steps,
    play,
    send,
)

AGENTS = 3
JOBS = 4
STEPS = 5
STEP_SECONDS = 2.0
CANCEL_AFTER_SECONDS = 0.5
CANCEL_SECONDS = 3.0
"""``cancel_ms`` of the settings."""


def write_late_starts(
    record: Record, runs: list[Run], acknowledged: dict[str, float]
) -> int:
    """Write the starts later than ``cancel_ms`` after a cancelling was answered.

    :param acknowledged: when the cancelling of each job was answered.
    :return: the number of these starts.
    """
    late = 0
    for run in runs:
        after = run.began - acknowledged.get(run.task.partition(".")[0], run.began)
        if after > CANCEL_SECONDS:
            late += 1
            record.write(
                f"UNASKED: {run.task} started {after:.3f} s after the answer to the "
                "cancelling of its job",
                run.began,
            )
    return late


def case(fleet: Fleet, record: Record) -> bool:
    """Cancel jobs on a new connection after their clients have moved."""
    fleet.zones = {"entry-0": "zone-1", "entry-1": "zone-2"}
    fleet.start(2, AGENTS)
    callers = []
    for number in range(JOBS):
        caller = Caller(fleet, record, "entry-0", f"{number + 1:016x}")
        caller.body = make_steps(STEPS, STEP_SECONDS)
        caller.start()
        callers.append(caller)
    time.sleep(CANCEL_AFTER_SECONDS)
    entry = "entry-1" if has_trouble() else "entry-0"
    if has_trouble():
        record.write("the clients have moved from zone-1 to zone-2")
    acknowledged = {}
    for number in range(JOBS):
        job = f"{number + 1:016x}"
        response = send(fleet, "DELETE", entry, job)
        assert response is not None
        record.write(f"DELETE {job} at {entry}: {response.status_code} {response.text}")
        if response.is_success or response.status_code == 410:
            acknowledged[job] = time.monotonic()
    for caller in callers:
        caller.join(21)
    runs = fleet.list_runs(AGENTS)
    record.write_runs(runs)
    return not write_late_starts(record, runs, acknowledged)


if __name__ == "__main__":
    play(case)
