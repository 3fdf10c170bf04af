"""Who decides on a job, and what it remembers of that."""

from godwitbank._internal.core.runs.homes import (
    GRANT_RETENTION_SECONDS,
    Grants,
    choose_home,
)
from godwitbank._internal.core.runs.links import BUSY_TIMEOUT_SECONDS

ENTRIES = tuple(f"10.0.{number}.1:7720" for number in range(12))
JOBS = [f"{number:016x}" for number in range(600)]


def test_jobs_spread_over_all_entries() -> None:
    homes = [choose_home(job, ENTRIES) for job in JOBS]
    counts = [homes.count(entry) for entry in ENTRIES]
    assert min(counts) >= len(JOBS) / len(ENTRIES) / 2


def test_an_entry_that_goes_moves_only_its_own_jobs() -> None:
    left = ENTRIES[1:]
    for job in JOBS:
        before = choose_home(job, ENTRIES)
        assert choose_home(job, left) == before or before == ENTRIES[0]


def test_a_late_release_does_not_undo_a_newer_grant() -> None:
    """Guards against a second entry that starts a job which the first asked anew."""
    grants = Grants()
    grants.add("j1", "entry-0", 7, 100.0)
    grants.remove("j1", "entry-0", 6, 100.1)
    grants.remove("j1", "entry-0", 0, 100.1)
    assert grants.find_owner("j1") == "entry-0"
    grants.remove("j1", "entry-1", 7, 100.1)
    assert grants.find_owner("j1") == "entry-0"
    grants.remove("j1", "entry-0", 7, 100.1)
    assert grants.find_owner("j1") == ""


def test_a_grant_whose_release_was_lost_can_be_undone() -> None:
    """Guards against callers who are sent to an entry that hasn't the job any more."""
    grants = Grants()
    grants.add("j1", "entry-0", 7, 100.0)
    grants.remove("j1", "entry-0", 0, 100.0 + BUSY_TIMEOUT_SECONDS + 0.1)
    assert grants.find_owner("j1") == ""


def test_a_job_taken_over_unasked_is_released_without_its_number() -> None:
    grants = Grants()
    grants.add("j1", "entry-0", 7, 100.0)
    grants.transfer("j1", "entry-1", 100.1)
    grants.remove("j1", "entry-0", 7, 100.2)
    assert grants.find_owner("j1") == "entry-1"
    grants.remove("j1", "entry-1", 0, 100.2)
    assert grants.find_owner("j1") == ""


def test_old_grants_are_forgotten() -> None:
    grants = Grants()
    grants.add("j1", "entry-0", 1, 100.0)
    grants.add("j2", "entry-0", 2, 101.0 + GRANT_RETENTION_SECONDS)
    assert grants.find_owner("j1") == ""
