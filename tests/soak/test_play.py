"""A short run of the soak, and the seeds that once broke a promise."""

from pathlib import Path

import pytest
from soak.play import run_seed

pytestmark = pytest.mark.processes

FOUND = (
    # An entry that had just been killed and started never came back. Inferred: it got
    # SIGHUP before it had a handler, and ended by that.
    118,
    119,
)
"""Seeds that once broke a promise, with their cause."""

FOUND_SECONDS = 10.0
SECONDS = 6.0


def test_promises_hold_under_faults(tmp_path: Path) -> None:
    _check(1, SECONDS, tmp_path, 2, newer=True)


@pytest.mark.parametrize("seed", FOUND)
def test_what_was_found_stays_mended(seed: int, tmp_path: Path) -> None:
    _check(seed, FOUND_SECONDS, tmp_path, 3, newer=False)


def _check(seed: int, seconds: float, folder: Path, size: int, newer: bool) -> None:
    outcome = run_seed(seed, seconds, folder, size, size, newer)
    assert outcome.jobs
    assert outcome.violations == [], outcome.injected_faults
