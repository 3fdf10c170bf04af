"""Fleets of processes on loopback."""

from pathlib import Path

import pytest
from standins.platform_fleet import PlatformFleet


@pytest.mark.processes
def test_fleets_that_run_at_once_share_no_address(tmp_path: Path) -> None:
    """Guards against test runs whose processes answer each other's calls."""
    fleets = [PlatformFleet(tmp_path / name) for name in ("first", "second")]
    try:
        addresses = [fleet.find_ip("entry-0") for fleet in fleets]
        assert addresses[0] != addresses[1]
    finally:
        for fleet in fleets:
            fleet.stop()
