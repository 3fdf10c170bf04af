"""Checks of the guarantees against what callers and endpoints recorded."""

from collections.abc import Iterator

from soak.records import Attempt, JobEvent, Run, group_by_job, group_by_task

DRAIN_BOUND_SECONDS = 2.0
"""Seconds after the acknowledgement of a drain during which runs may still start
(a bound that the users set)."""

EVACUATION_BOUND_SECONDS = 5.0
"""Seconds after the start of a zone's evacuation during which runs may still start
there (a bound that the users set)."""

REFUSAL_STATUSES = (429, 503)
"""HTTP statuses which promise that no task of the job was started."""


def find_violations(
    attempts: list[Attempt], runs: list[Run], job_events: list[JobEvent], cores: int
) -> list[str]:
    """Describe each violation of a guarantee, with the evidence for it.

    :param job_events: log events of entries about jobs.
    :param cores: number of tasks that fit on one endpoint at once.
    """
    return [
        *_find_overlapping_runs(runs),
        *_find_overloaded_endpoints(runs, cores),
        *_find_starts_after_drain(runs),
        *_find_starts_after_evacuation(runs),
        *_find_false_refusals(attempts, runs),
        *_find_false_completions(attempts, runs),
        *_find_cut_requests(attempts, job_events),
    ]


def _find_overlapping_runs(runs: list[Run]) -> Iterator[str]:
    for task, task_runs in group_by_task(runs).items():
        for index, later in enumerate(task_runs):
            for earlier in task_runs[:index]:
                if earlier.ended > later.began:
                    yield (
                        f"{task} ran twice at once: run {earlier.number} at "
                        f"{earlier.endpoint} until {earlier.ended:.3f}, run "
                        f"{later.number} at {later.endpoint} from {later.began:.3f}"
                    )


def _find_overloaded_endpoints(runs: list[Run], cores: int) -> Iterator[str]:
    for run in runs:
        if run.active_runs > cores:
            yield f"{run.endpoint} ran {run.active_runs} at once when {run.task} began"


def _find_starts_after_drain(runs: list[Run]) -> Iterator[str]:
    for run in runs:
        drain_bound = run.drain_heard_at + DRAIN_BOUND_SECONDS
        if run.drain_heard_at and not run.late and run.began > drain_bound:
            yield f"{run.task} began {run.began - drain_bound:.3f} s after the drain"


def _find_starts_after_evacuation(runs: list[Run]) -> Iterator[str]:
    for run in runs:
        bound = run.evacuated_at + EVACUATION_BOUND_SECONDS
        if run.evacuated_at and not run.late and run.began > bound:
            yield f"{run.task} began {run.began - bound:.3f} s late in an emptied zone"


def _find_false_refusals(attempts: list[Attempt], runs: list[Run]) -> Iterator[str]:
    started = {run.job for run in runs}
    for job, job_attempts in group_by_job(attempts).items():
        if job in started and all(
            each.status in REFUSAL_STATUSES for each in job_attempts
        ):
            yield f"{job} was refused at every try as not run, and ran"


def _find_false_completions(attempts: list[Attempt], runs: list[Run]) -> Iterator[str]:
    done = {run.task for run in runs if run.end == "done"}
    for attempt in attempts:
        if attempt.state != "completed":
            continue
        task_ids = {f"{attempt.job}.0.0.{index}" for index in range(attempt.width)}
        if not task_ids <= done:
            missing = sorted(task_ids - done)
            yield f"{attempt.job} was called completed without {missing}"


def _find_cut_requests(
    attempts: list[Attempt], job_events: list[JobEvent]
) -> Iterator[str]:
    for attempt in attempts:
        # A request that no process has read arrived after the process had exited, so
        # the process did not cut it off.
        read = any(
            (each.entry, each.job) == (attempt.entry, attempt.job)
            and attempt.sent_at <= each.at <= attempt.ended_at
            for each in job_events
        )
        if attempt.planned_only and attempt.status == 0 and read:
            yield f"{attempt.job} was cut at {attempt.entry} by planned work alone"
