"""What the soak reads from endpoints' logs."""

import json
from pathlib import Path

import pytest
from soak.records import LONGEST_LEASE, read_runs

BEGAN = {
    "event": "began",
    "task": "j1.0.0.0",
    "run": 1,
    "at": 10.0,
    "late": False,
    "alive": 1,
    "drain_heard_at": 0.0,
}


@pytest.mark.parametrize(
    ("events", "ended"),
    [
        ([("killed", 12.0)], 12.0),
        # Seed 205: paused and then killed; its runs had lapsed, and began elsewhere.
        ([("paused", 10.2), ("killed", 14.0)], 10.2 + LONGEST_LEASE),
        ([("paused", 10.2), ("resumed", 10.4), ("killed", 14.0)], 14.0),
    ],
)
def test_runs_of_a_killed_endpoint_end_with_it_or_before(
    tmp_path: Path, events: list[tuple[str, float]], ended: float
) -> None:
    lines = [BEGAN, *({"event": event, "at": at} for event, at in events)]
    text = "".join(json.dumps(line) + "\n" for line in lines)
    (tmp_path / "agent-0-endpoint.log").write_text(text)
    assert [run.ended for run in read_runs(tmp_path)] == [ended]
