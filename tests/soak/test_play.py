"""A short run of the soak, and the seeds that once broke a promise."""

from pathlib import Path

import pytest
from soak.play import play

pytestmark = pytest.mark.processes

FOUND: tuple[int, ...] = ()
"""Seeds that once broke a promise, with their cause."""

SECONDS = 6.0


@pytest.mark.parametrize("seed", [1, *FOUND])
def test_promises_hold_under_faults(seed: int, tmp_path: Path) -> None:
    outcome = play(seed, SECONDS, tmp_path, entries=2, agents=2)
    assert outcome.jobs
    assert outcome.faults == [], outcome.begun
