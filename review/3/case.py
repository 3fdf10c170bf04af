"""An agent is killed after the capacity of its endpoint has shrunk.

Exits with 1 if a start brought the endpoint over its capacity, with 0 if none did, and
with 2 if the case couldn't run.
"""

import signal
import sys
import threading
import time
from pathlib import Path

from review.lib.callers import Submission, make_job
from review.lib.deployment import Deployment, Record, run_case
from standins.fleet import wait_for

RECORD_PATH = Path(__file__).parent / "record.txt"
AGENTS = [f"agent-{number}" for number in range(6)]
HARMED = "agent-0"
"""The one whose endpoint shrinks and that is killed: one of six agents. The share of
the site file is 0.16, rounded up."""

CORES = 4
SHRUNK_CORES = 2
CONTACT_SECONDS = 3.0
BEAT_SECONDS = 1.5
SHRUNK_BEFORE_SECONDS = 8.0
"""Seconds from the shrinking until the kill. The smaller capacity counts after 4.5."""

KILLED_AFTER_REPORT_SECONDS = 0.05
"""Seconds from a report until the kill. The next report comes 1.5 s after the last."""

DOWN_SECONDS = 0.2
LOAD_SECONDS = 16.0
TASKS = 8
TASK_SECONDS = 0.8
JOB_INTERVAL_SECONDS = 0.2
"""Jobs of 8 tasks of 0.8 s five times a second need 32 cores; the endpoints have 22
after the shrinking. So some tasks always wait for room, and some jobs are refused."""


class Load(threading.Thread):
    """Callers that submit jobs at a steady rate, to two entries in turn."""

    def __init__(self, fleet: Deployment) -> None:
        super().__init__(daemon=True)
        self.submissions: list[Submission] = []
        self._fleet = fleet

    def run(self) -> None:
        """Submit jobs, and wait for their results."""
        until = time.monotonic() + LOAD_SECONDS
        body = make_job(TASKS, TASK_SECONDS)
        while time.monotonic() < until:
            number = len(self.submissions)
            entry = f"entry-{number % 2}"
            submission = Submission(self._fleet, entry, f"{number + 1:016x}", body)
            submission.start()
            self.submissions.append(submission)
            time.sleep(JOB_INTERVAL_SECONDS)
        for submission in self.submissions:
            submission.join()


def start(fleet: Deployment) -> None:
    """Start two entries, and agents whose endpoints can shrink."""
    fleet.endpoint_module = "review.lib.shrinking_endpoint"
    fleet.start(entries=2, agents=len(AGENTS))


def play(fleet: Deployment, record: Record, trouble: bool) -> bool:
    """Play the case.

    :param trouble: whether the agent is killed.
    :return: whether the rule was kept.
    """
    load = Load(fleet)
    load.start()
    time.sleep(1.0)
    fleet.kill(f"{HARMED}-endpoint", how=signal.SIGUSR1)
    time.sleep(SHRUNK_BEFORE_SECONDS)
    if trouble:
        wait_for_report(fleet)
        time.sleep(KILLED_AFTER_REPORT_SECONDS)
        record.add(time.monotonic(), "SIGKILL", process=HARMED)
        fleet.kill(HARMED)
        time.sleep(DOWN_SECONDS)
        record.add(time.monotonic(), "started again", process=HARMED)
        fleet.start_agent(HARMED)
    load.join()
    for submission in load.submissions:
        record.add(
            submission.sent_at, "POST", job=submission.job, entry=submission.entry
        )
        if submission.answer is not None:
            at, status, text = submission.answer
            record.add(at, "POST answered", job=submission.job, status=status, of=text)
    return judge(fleet, record)


def wait_for_report(fleet: Deployment) -> None:
    """Wait until the endpoint sends its next report."""

    def count() -> int:
        events = fleet.read_log(f"{HARMED}-endpoint")
        return sum(event.get("event") == "reported" for event in events)

    before = count()
    wait_for(lambda: count() > before, "a report")


def judge(fleet: Deployment, record: Record) -> bool:
    """Return whether no start brought the endpoint over its capacity."""
    shrunk_at = 0.0
    for event in fleet.read_log(f"{HARMED}-endpoint"):
        if event.get("event") == "shrunk":
            shrunk_at = event["at"]
            record.add(shrunk_at, "endpoint shrunk", agent=HARMED, cpu=event["cpu"])
    if not shrunk_at:
        raise RuntimeError("the endpoint did not shrink")
    counts_from = shrunk_at + CONTACT_SECONDS + BEAT_SECONDS
    kept = True
    for run in fleet.read_runs(AGENTS):
        fields = {name: run[name] for name in ("task", "run", "agent")}
        record.add(run["at"], f"run {run['event']}", **fields)
        if run["event"] != "began":
            continue
        shrunk = run["agent"] == HARMED and run["at"] > counts_from
        capacity = SHRUNK_CORES if shrunk else CORES
        if run["alive"] > capacity:
            kept = False
            record.add(run["at"], "LIMIT broken", **fields, cores=run["alive"])
    return kept


if __name__ == "__main__":
    sys.exit(run_case(RECORD_PATH, start, play))
