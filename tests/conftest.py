"""Shared fixtures and hypothesis profiles."""

from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings
from standins.fleet import Fleet

DOCUMENTS = Path(__file__).parent.parent / "demo"

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    stateful_step_count=60,
    suppress_health_check=list(HealthCheck),
)
settings.register_profile(
    "explore",
    settings.get_profile("ci"),
    derandomize=False,
    max_examples=3000,
    stateful_step_count=100,
)
settings.load_profile("ci")


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    """Start a platform and nothing else yet; end it whatever happens."""
    started = Fleet(tmp_path / "fleet", heartbeat=0.2)
    try:
        yield started
    finally:
        started.stop()
