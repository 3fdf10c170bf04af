"""The home of a job, and the grants that it records."""

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


def test_a_removed_entry_moves_only_its_own_jobs() -> None:
    remaining = ENTRIES[1:]
    for job in JOBS:
        before = choose_home(job, ENTRIES)
        assert choose_home(job, remaining) == before or before == ENTRIES[0]


def test_a_late_release_does_not_undo_a_newer_grant() -> None:
    """Guards against a second start of a job that its owner requested again.

    The release that belongs to the owner's earlier request arrives after its next one.
    """
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
    """Guards against callers that are sent to an entry which no longer has the job."""
    grants = Grants()
    grants.add("j1", "entry-0", 7, 100.0)
    grants.remove("j1", "entry-0", 0, 100.0 + BUSY_TIMEOUT_SECONDS + 0.1)
    assert grants.find_owner("j1") == ""


def test_a_job_taken_over_without_a_request_is_released_without_a_number() -> None:
    grants = Grants()
    grants.add("j1", "entry-0", 7, 100.0)
    grants.transfer("j1", "entry-1", 100.1)
    grants.remove("j1", "entry-0", 7, 100.2)
    assert grants.find_owner("j1") == "entry-1"
    grants.remove("j1", "entry-1", 0, 100.2)
    assert grants.find_owner("j1") == ""


def test_old_grants_are_dropped() -> None:
    grants = Grants()
    grants.add("j1", "entry-0", 1, 100.0)
    grants.add("j2", "entry-0", 2, 101.0 + GRANT_RETENTION_SECONDS)
    assert grants.find_owner("j1") == ""
