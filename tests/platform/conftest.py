"""What tests with real processes on the platform share."""

from collections.abc import Iterator
from pathlib import Path

import pytest
from standins.platform_fleet import PlatformFleet


@pytest.fixture
def platform(tmp_path: Path) -> Iterator[PlatformFleet]:
    """Start a store; end everything whatever happens."""
    started = PlatformFleet(tmp_path / "platform")
    try:
        yield started
    finally:
        started.stop()
