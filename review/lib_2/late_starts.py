"""The check of the rule UNASKED on starts after a job was cancelled."""

from review.lib_2.fleet import Record, Run

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
