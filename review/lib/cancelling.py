"""Check of the rule UNASKED for cancelled jobs."""

from review.lib.callers import Answer
from review.lib.deployment import Deployment, Record

ACK_SECONDS = 4.0
CANCEL_SECONDS = 3.0
STOP_GRACE_SECONDS = 0.05
ACKNOWLEDGED = (200, 201, 202, 204, 410)


def judge_cancels(
    fleet: Deployment,
    record: Record,
    agents: list[str],
    cancels: dict[str, tuple[float, Answer]],
) -> bool:
    """Return whether no task of a cancelled job ran for too long, or began too late.

    :param cancels: for each job the time of its cancel and the answer to it.
    """
    runs = fleet.read_runs(agents)
    for run in runs:
        record.add(run["at"], f"run {run['event']}", **pick(run))
    if not all(any(run["task"].startswith(job) for run in runs) for job in cancels):
        raise RuntimeError("a job was not started")
    kept = True
    for run in runs:
        sent_at, answer = cancels[run["task"].partition(".")[0]]
        acknowledged = answer.status in ACKNOWLEDGED
        counted_from = answer.at if acknowledged else sent_at + ACK_SECONDS
        limit = counted_from + CANCEL_SECONDS
        if run["event"] == "ended":
            limit += STOP_GRACE_SECONDS
        if run["at"] > limit:
            kept = False
            late = round(run["at"] - limit, 3)
            record.add(run["at"], "UNASKED broken", task=run["task"], late_s=late)
    return kept


def pick(run: dict) -> dict:
    """Pick the fields of an event to record."""
    return {name: run[name] for name in ("task", "run", "agent", "end") if name in run}
