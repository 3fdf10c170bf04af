"""The promises, checked against what callers and endpoints have seen."""

from collections.abc import Iterator

from soak.records import Attempt, JobEvent, Run, group_by_job, group_by_task

DRAIN_BOUND_SECONDS = 2.0
"""Seconds after the acknowledgement of a drain in which starts may still come
(users' bound)."""

EVACUATION_BOUND_SECONDS = 5.0
"""Seconds after a zone's evacuation in which runs may still start there (users'
bound)."""

REFUSAL_STATUSES = (429, 503)


def find_violations(
    attempts: list[Attempt], runs: list[Run], taken: list[JobEvent], cores: int
) -> list[str]:
    """Say which promises were broken, each with what shows it.

    :param taken: what entries wrote down about jobs.
    :param cores: tasks that fit on one endpoint at once.
    """
    return [
        *_find_twice(runs),
        *_find_overfull(runs, cores),
        *_find_after_drain(runs),
        *_find_after_evacuation(runs),
        *_find_false_refusals(attempts, runs),
        *_find_false_completions(attempts, runs),
        *_find_cut(attempts, taken),
    ]


def _find_twice(runs: list[Run]) -> Iterator[str]:
    for task, lives in group_by_task(runs).items():
        for position, later in enumerate(lives):
            for earlier in lives[:position]:
                if earlier.ended > later.began:
                    yield (
                        f"{task} ran twice at once: run {earlier.number} at "
                        f"{earlier.endpoint} until {earlier.ended:.3f}, run "
                        f"{later.number} at {later.endpoint} from {later.began:.3f}"
                    )


def _find_overfull(runs: list[Run], cores: int) -> Iterator[str]:
    for run in runs:
        if run.active_runs > cores:
            yield f"{run.endpoint} ran {run.active_runs} at once when {run.task} began"


def _find_after_drain(runs: list[Run]) -> Iterator[str]:
    for run in runs:
        drained = run.drain_heard_at + DRAIN_BOUND_SECONDS
        if run.drain_heard_at and not run.late and run.began > drained:
            yield f"{run.task} began {run.began - drained:.3f} s after the drain"


def _find_after_evacuation(runs: list[Run]) -> Iterator[str]:
    for run in runs:
        bound = run.evacuated_at + EVACUATION_BOUND_SECONDS
        if run.evacuated_at and not run.late and run.began > bound:
            yield f"{run.task} began {run.began - bound:.3f} s late in an emptied zone"


def _find_false_refusals(attempts: list[Attempt], runs: list[Run]) -> Iterator[str]:
    started = {run.job for run in runs}
    for job, tries in group_by_job(attempts).items():
        if job in started and all(each.status in REFUSAL_STATUSES for each in tries):
            yield f"{job} was refused at every try as not run, and ran"


def _find_false_completions(attempts: list[Attempt], runs: list[Run]) -> Iterator[str]:
    done = {run.task for run in runs if run.end == "done"}
    for attempt in attempts:
        if attempt.state != "completed":
            continue
        names = {f"{attempt.job}.0.0.{index}" for index in range(attempt.width)}
        if not names <= done:
            missing = sorted(names - done)
            yield f"{attempt.job} was called completed without {missing}"


def _find_cut(attempts: list[Attempt], taken: list[JobEvent]) -> Iterator[str]:
    for attempt in attempts:
        # What no process has read was not cut by one; it came after its end.
        read = any(
            (each.entry, each.job) == (attempt.entry, attempt.job)
            and attempt.sent_at <= each.at <= attempt.ended_at
            for each in taken
        )
        if attempt.planned_only and attempt.status == 0 and read:
            yield f"{attempt.job} was cut at {attempt.entry} by planned work alone"
