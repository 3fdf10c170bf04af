"""Shared fixtures and hypothesis profiles."""

from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings
from standins.fleet import Fleet

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
"""File of the tests that fail because of a known fault, one per line, id first."""

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
    """Start a platform without entries or agents, and stop it after the test."""
    new_fleet = Fleet(tmp_path / "fleet", heartbeat_seconds=0.2)
    try:
        yield new_fleet
    finally:
        new_fleet.stop()


def _read_known_red() -> list[str]:
    if not KNOWN_RED.exists():
        return []
    return [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]


def pytest_collection_modifyitems(config: pytest.Config, items: list) -> None:
    """Deselect the tests that are known to fail, unless requested by id."""
    known_red_ids = {line.partition("|")[0].strip() for line in _read_known_red()}
    known_red_ids -= set(config.args)
    deselected = [item for item in items if item.nodeid in known_red_ids]
    items[:] = [item for item in items if item.nodeid not in known_red_ids]
    config.hook.pytest_deselected(items=deselected)


def pytest_terminal_summary(terminalreporter) -> None:
    """Print the tests that are known to fail."""
    for line in _read_known_red():
        terminalreporter.write_line(f"KNOWN RED, not run: {line}")
