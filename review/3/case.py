"""Jobs are cancelled, and the request of some of them arrives again after the 504.

Exits with 1 if a task of a cancelled job ran for longer than the rule UNASKED allows,
with 0 if none did, and with 2 if the case couldn't run.
"""

import sys
import time
from pathlib import Path

from review.lib.callers import Answer, Submission, call, make_job, wait_until_begun
from review.lib.cancelling import judge_cancels
from review.lib.deployment import Deployment, Record, run_case

FOLDER = Path(__file__).parent
AGENTS = ["agent-0", "agent-1", "agent-2"]
JOBS = 4
TASK_SECONDS = 6.0
CANCEL_AFTER_SECONDS = 1.0
RESEND_SECONDS = 1.3
UNANSWERED = (0, 502, 504)
"""Statuses after which a request with the same id arrives again; 0 for no answer."""


def start(fleet: Deployment) -> None:
    """Start two entries and the agents."""
    fleet.start(entries=2, agents=len(AGENTS))


def play(fleet: Deployment, record: Record, trouble: bool) -> bool:
    """Play the case.

    :param trouble: whether the requests arrive again.
    :return: whether the rule was kept.
    """
    jobs = [f"{0xB0 + number:016x}" for number in range(JOBS)]
    body = make_job(1, TASK_SECONDS)
    submissions = [Submission(fleet, "entry-0", job, body) for job in jobs]
    for submission in submissions:
        submission.start()
    wait_until_begun(fleet, AGENTS, jobs)
    time.sleep(CANCEL_AFTER_SECONDS)
    cancels: dict[str, tuple[float, Answer]] = {}
    for job in jobs:
        sent_at = time.monotonic()
        answer = call(fleet, "DELETE", "entry-0", f"/checks/{job}")
        cancels[job] = (sent_at, answer)
        record.add(sent_at, "DELETE", job=job, entry="entry-0")
        record.add(answer.at, "DELETE answered", job=job, status=answer.status)
    again = []
    for submission in submissions:
        submission.join()
        write_submission(record, submission)
        unanswered = submission.answer and submission.answer.status in UNANSWERED
        if trouble and unanswered:
            again.append(Submission(fleet, "entry-1", submission.job, body))
    time.sleep(RESEND_SECONDS)
    for submission in again:
        submission.start()
    for submission in again:
        submission.join()
        write_submission(record, submission)
    time.sleep(0.5)
    return judge_cancels(fleet, record, AGENTS, cancels)


def write_submission(record: Record, submission: Submission) -> None:
    """Record a request and its answer."""
    record.add(submission.sent_at, "POST", job=submission.job, entry=submission.entry)
    if submission.answer is not None:
        at, status, text = submission.answer
        record.add(at, "POST answered", job=submission.job, status=status, of=text)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, start, play))
