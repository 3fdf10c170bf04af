"""The soak test's checks, on records that violate each guarantee."""

from soak.checks import find_violations
from soak.records import NEVER, Attempt, JobEvent, Run

RUN = Run("agent-0", "j1.0.0.0", 1, 10.0, 10.5, "done", False, 1, 0.0)
ATTEMPT = Attempt("j1", 1, "entry-0", 9.9, 10.6, 200, "completed", False)


def describe_violations(
    attempts: tuple[Attempt, ...] = (ATTEMPT,),
    runs: tuple[Run, ...] = (RUN,),
    job_events: tuple[JobEvent, ...] = (),
) -> str:
    return " ".join(find_violations(list(attempts), list(runs), list(job_events), 4))


def test_a_completed_job_is_no_violation() -> None:
    again = RUN._replace(endpoint="agent-1", number=2, began=10.5, ended=11.0)
    assert describe_violations(runs=(RUN, again)) == ""


def test_overlapping_runs_of_a_task_are_reported() -> None:
    other = RUN._replace(endpoint="agent-1", began=10.4, ended=10.9)
    assert "ran twice at once" in describe_violations(runs=(RUN, other))


def test_a_run_that_never_ended_overlaps_every_later_one() -> None:
    open_run = RUN._replace(ended=NEVER, end="")
    later = RUN._replace(endpoint="agent-2", began=99.0, ended=99.5)
    assert "ran twice at once" in describe_violations(runs=(open_run, later))


def test_an_endpoint_over_its_capacity_is_reported() -> None:
    assert "ran 5 at once" in describe_violations(runs=(RUN._replace(active_runs=5),))


def test_a_start_after_the_drain_is_reported_unless_delayed() -> None:
    drained = RUN._replace(drain_heard_at=7.0)
    assert "after the drain" in describe_violations(runs=(drained,))
    assert describe_violations(runs=(drained._replace(late=True),)) == ""


def test_a_start_in_an_evacuated_zone_is_reported_unless_delayed() -> None:
    evacuated = RUN._replace(evacuated_at=4.0)
    assert "emptied zone" in describe_violations(runs=(evacuated,))
    assert describe_violations(runs=(evacuated._replace(late=True),)) == ""
    assert describe_violations(runs=(evacuated._replace(evacuated_at=6.0),)) == ""


def test_a_refusal_of_a_job_that_ran_is_reported() -> None:
    refused = ATTEMPT._replace(status=503, state="")
    assert "and ran" in describe_violations(attempts=(refused,))
    broken = refused._replace(status=0)
    assert describe_violations(attempts=(refused, broken)) == ""


def test_a_completion_without_all_tasks_is_reported() -> None:
    assert "completed without" in describe_violations(
        attempts=(ATTEMPT._replace(width=2),)
    )


def test_a_request_cut_off_by_planned_work_is_reported() -> None:
    cut = ATTEMPT._replace(status=0, state="", planned_only=True)
    read = JobEvent("entry-0", "j1", 10.0)
    assert "cut at entry-0" in describe_violations(attempts=(cut,), job_events=(read,))
    assert (
        describe_violations(attempts=(cut,), job_events=(read._replace(at=12.0),)) == ""
    )
    assert (
        describe_violations(
            attempts=(cut._replace(planned_only=False),), job_events=(read,)
        )
        == ""
    )
