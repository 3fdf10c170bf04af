"""Fixtures of the tests that run real processes on the platform stand-ins."""

from collections.abc import Iterator
from pathlib import Path

import pytest
from standins.platform_fleet import PlatformFleet


@pytest.fixture
def platform(tmp_path: Path) -> Iterator[PlatformFleet]:
    """Start a store, and stop all processes after the test."""
    fleet = PlatformFleet(tmp_path / "platform")
    try:
        yield fleet
    finally:
        fleet.stop()
