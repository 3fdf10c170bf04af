"""Tests of the summary of a run's logs by the outcomes of jobs and runs."""

import json

from bench.worth import collect_jobs, count_runs, read_log_lines


def make_line(at: float, event: str, request: str, **extra: object) -> str:
    fields = {"at": 0.0, "process": "entry-0", "event": event, "request": request}
    return f"{at:9.4f} entry-0 {json.dumps({**fields, **extra})}"


def test_each_job_has_one_outcome() -> None:
    rows = [
        "some other line",
        make_line(1.0, "job_accepted", "a", queue="q", objective=1.0),
        make_line(
            1.5, "job_ended", "a", end="completed", reason="", s=0.5, objective=1.0
        ),
        make_line(1.0, "job_accepted", "b", queue="q", objective=0.2),
        make_line(
            1.5, "job_ended", "b", end="completed", reason="", s=0.5, objective=0.2
        ),
        make_line(2.0, "job_refused", "c", queue="q", reason="overload"),
        make_line(2.0, "job_accepted", "d", queue="q", objective=0.2),
        make_line(
            3.0, "job_ended", "d", end="refused", reason="late", s=1.0, objective=0.2
        ),
        make_line(4.0, "job_accepted", "e", queue="q", objective=0.2),
        "  5.0 entry-0 {cut off",
    ]
    jobs = collect_jobs(list(read_log_lines(rows)))
    outcomes = [job.outcome for job in jobs]
    assert sorted(outcomes) == ["given up", "in time", "late", "open", "refused"]


def test_running_time_is_divided_among_the_spans_that_it_covers() -> None:
    rows = [
        make_line(1.5, "start_ordered", "a.0.0.0", run=1),
        make_line(2.5, "run_ended", "a.0.0.0", run=1, end="done", s=1.0),
    ]
    counts = count_runs(list(read_log_lines(rows)), 1.0)
    assert counts[1]["milliseconds"] == 500
    assert counts[2]["milliseconds"] == 500
    assert counts[2]["done"] == 1
