"""How slow endpoints and runs that stand still are noticed."""

from godwitbank._internal.core.runs.progress import (
    ProgressSample,
    RunProgress,
    Slowness,
)

NOW = 100.0
EXPECTED = 1.0


def make_progress(seconds: float, elapsed: float = 0.5) -> RunProgress:
    """Make the progress of a run that takes some seconds in all."""
    progress = RunProgress(NOW)
    progress.update(int(100 * elapsed / seconds), NOW + elapsed)
    return progress


def hear(*seconds: float, jobs: int = 3) -> Slowness:
    slowness = Slowness(NOW)
    samples = [
        ProgressSample(f"job-{position % jobs}", make_progress(each), EXPECTED)
        for position, each in enumerate(seconds)
    ]
    slowness.update(samples, NOW + 0.5)
    return slowness


def test_runs_that_take_four_times_as_long_show_a_slow_endpoint() -> None:
    assert 3.5 < hear(4.0, 4.0, 4.0).estimate(NOW + 0.5) < 4.5


def test_one_wrong_expectation_shows_nothing() -> None:
    assert hear(9.0, 1.0, 1.1).estimate(NOW + 0.5) == 1.0


def test_runs_of_one_job_count_once() -> None:
    # Symptom: runs of a sound endpoint are stopped and begun anew elsewhere. Cause:
    # what was expected of a single job was wrong, for all of its runs alike.
    assert hear(9.0, 9.0, 9.0, jobs=1).estimate(NOW + 0.5) == 1.0


def test_slowness_fades_when_nothing_runs_that_could_show_it() -> None:
    # Symptom: each time the runs of a slow endpoint were moved, it got new ones,
    # which were late. Cause: with nothing left to measure it counted as sound.
    slowness = hear(4.0, 4.0, 4.0)
    slowness.update([], NOW + 1.0)
    assert slowness.estimate(NOW + 1.0) > 3.0
    assert slowness.estimate(NOW + 20.0) < 1.1


def test_a_run_is_offered_for_a_move_while_that_gains_time() -> None:
    begun = make_progress(4.0)
    assert begun.should_report_slow(4.0, NOW + 0.5)
    assert not begun.should_report_slow(4.0, NOW + 0.6), "once in a window"
    nearly_done = make_progress(4.0, elapsed=3.5)
    assert not nearly_done.should_report_slow(4.0, NOW + 3.5)


def test_a_long_run_of_a_sound_endpoint_is_left_alone() -> None:
    assert not make_progress(8.0).should_report_slow(1.0, NOW + 0.5)


def test_a_run_without_progress_stands_still() -> None:
    progress = make_progress(2.0)
    assert not progress.is_stalled(EXPECTED, NOW + 1.0)
    assert progress.is_stalled(EXPECTED, NOW + 1.2)
