"""Each promise, broken by hand, and what the soak's checks say to it."""

from soak.checks import find_violations
from soak.records import NEVER, Attempt, JobEvent, Run

RUN = Run("agent-0", "j1.0.0.0", 1, 10.0, 10.5, "done", False, 1, 0.0)
ATTEMPT = Attempt("j1", 1, "entry-0", 9.9, 10.6, 200, "completed", False)


def find(
    attempts: tuple[Attempt, ...] = (ATTEMPT,),
    runs: tuple[Run, ...] = (RUN,),
    taken: tuple[JobEvent, ...] = (),
) -> str:
    return " ".join(find_violations(list(attempts), list(runs), list(taken), 4))


def test_a_job_that_went_well_is_no_fault() -> None:
    again = RUN._replace(endpoint="agent-1", number=2, began=10.5, ended=11.0)
    assert find(runs=(RUN, again)) == ""


def test_two_runs_of_a_task_at_once_are_noticed() -> None:
    other = RUN._replace(endpoint="agent-1", began=10.4, ended=10.9)
    assert "ran twice at once" in find(runs=(RUN, other))


def test_a_run_that_never_ended_overlaps_every_later_one() -> None:
    open_run = RUN._replace(ended=NEVER, end="")
    third = RUN._replace(endpoint="agent-2", began=99.0, ended=99.5)
    assert "ran twice at once" in find(runs=(open_run, third))


def test_an_endpoint_over_its_capacity_is_noticed() -> None:
    assert "ran 5 at once" in find(runs=(RUN._replace(active_runs=5),))


def test_a_start_after_the_drain_is_noticed_unless_it_was_held_up() -> None:
    drained = RUN._replace(drain_heard_at=7.0)
    assert "after the drain" in find(runs=(drained,))
    assert find(runs=(drained._replace(late=True),)) == ""


def test_a_start_in_an_emptied_zone_is_noticed_unless_it_was_held_up() -> None:
    emptied = RUN._replace(evacuated_at=4.0)
    assert "emptied zone" in find(runs=(emptied,))
    assert find(runs=(emptied._replace(late=True),)) == ""
    assert find(runs=(emptied._replace(evacuated_at=6.0),)) == ""


def test_a_refusal_that_was_not_true_is_noticed() -> None:
    refused = ATTEMPT._replace(status=503, state="")
    assert "and ran" in find(attempts=(refused,))
    broken = refused._replace(status=0)
    assert find(attempts=(refused, broken)) == ""


def test_a_completion_without_all_tasks_is_noticed() -> None:
    assert "completed without" in find(attempts=(ATTEMPT._replace(width=2),))


def test_a_request_that_planned_work_cut_is_noticed() -> None:
    cut = ATTEMPT._replace(status=0, state="", planned_only=True)
    read = JobEvent("entry-0", "j1", 10.0)
    assert "cut at entry-0" in find(attempts=(cut,), taken=(read,))
    assert find(attempts=(cut,), taken=(read._replace(at=12.0),)) == ""
    assert find(attempts=(cut._replace(planned_only=False),), taken=(read,)) == ""
