"""Evacuation of an availability zone: its rows, and real processes."""

import base64
import json
from collections.abc import Iterator
from pathlib import Path

import pytest
from standins.fleet import wait_for
from standins.platform_fleet import PlatformFleet

from godwitbank._internal.platform.rows import (
    RowChange,
    decode_rows,
    find_evacuated_zones,
)

JOB = "000000000000"


def _encode(rows: list[dict]) -> bytes:
    return json.dumps({"ver": 9, "rows": rows}).encode()


def test_a_row_evacuates_its_zone_whatever_its_value() -> None:
    rows = [
        {"key": "evacuate/zone-1", "value": base64.b64encode(b"{}").decode()},
        {"key": "evacuate/zone-2", "value": "%%"},
        {"key": "evacuate/zone-3"},
    ]
    read = decode_rows(_encode(rows))
    assert find_evacuated_zones(read.changes, ()) == {"zone-1", "zone-2", "zone-3"}


def test_the_last_of_several_changes_of_a_zone_counts() -> None:
    rows = [
        {"key": "evacuate/zone-1", "value": ""},
        {"key": "evacuate/zone-2", "removed": True},
        {"key": "evacuate/zone-1", "removed": True},
        {"key": "evacuate/zone-1", "value": ""},
    ]
    read = decode_rows(_encode(rows))
    assert find_evacuated_zones(read.changes, {"zone-2", "zone-3"}) == {
        "zone-1",
        "zone-3",
    }


def test_rows_of_other_writers_evacuate_nothing() -> None:
    changes = [
        RowChange("evacuate/zone-1", "theirs", False),
        RowChange("config", "", False),
        RowChange("evacuated/zone-2", "", False),
    ]
    assert find_evacuated_zones(changes, ()) == frozenset()


@pytest.fixture
def platform(tmp_path: Path) -> Iterator[PlatformFleet]:
    """Start a store, and stop all processes after the test."""
    fleet = PlatformFleet(tmp_path / "platform")
    fleet.zones = {"agent-0": "zone-1", "agent-1": "zone-2", "entry-1": "zone-2"}
    try:
        yield fleet
    finally:
        fleet.stop()


def _count_started(platform: PlatformFleet, agent: str) -> int:
    return len(platform.read_endpoint(agent)["started"])


def _wait_for_evacuated(platform: PlatformFleet, agent: str, evacuated: bool) -> None:
    wait_for(
        lambda: platform.read_status(agent)["evacuated"] == evacuated,
        f"evacuated: {evacuated} at {agent}",
    )


@pytest.mark.processes
def test_a_zone_is_evacuated_and_used_again(platform: PlatformFleet) -> None:
    platform.start(entries=2, agents=2)
    platform.evacuate("zone-1")
    _wait_for_evacuated(platform, "agent-0", True)
    before = _count_started(platform, "agent-0")
    for number in range(6):
        answer = platform.submit(f"entry-{number % 2}", f"{JOB}000{number}", width=4)
        assert answer.json() == {"state": "completed"}
    assert _count_started(platform, "agent-0") == before
    platform.evacuate("zone-2")
    _wait_for_evacuated(platform, "agent-1", True)
    answer = platform.submit("entry-1", f"{JOB}0010")
    assert (answer.status_code, "retry-after" in answer.headers) == (503, True)
    platform.end_evacuation("zone-1")
    _wait_for_evacuated(platform, "agent-0", False)
    wait_for(
        lambda: platform.submit("entry-0", f"{JOB}0011").status_code == 200,
        "a job served in the zone that was taken back",
    )
    assert _count_started(platform, "agent-0") > before


@pytest.mark.processes
def test_a_new_process_learns_of_evacuations_without_the_store(
    platform: PlatformFleet,
) -> None:
    platform.start(entries=2, agents=2)
    platform.evacuate("zone-1")
    _wait_for_evacuated(platform, "agent-0", True)
    before = _count_started(platform, "agent-0")
    refused_ips = [platform.find_ip("entry-1"), platform.find_ip("agent-0")]
    platform.control_store(turned_away=refused_ips)
    for name in ("entry-1", "agent-0"):
        platform.kill(name)
    platform.start_entry("entry-1")
    platform.start_agent("agent-0")
    platform.wait_ready("entry-1", 1)
    for number in range(6):
        answer = platform.submit("entry-1", f"{JOB}000{number}", width=4)
        assert answer.json() == {"state": "completed"}
    assert platform.read_status("entry-1")["evacuated"] == ["zone-1"]
    assert _count_started(platform, "agent-0") == before


@pytest.mark.processes
def test_an_evacuation_is_seen_after_the_store_lost_its_change_history(
    platform: PlatformFleet,
) -> None:
    platform.start(entries=1, agents=2)
    platform.control_store(turned_away=["all"])
    platform.evacuate("zone-1")
    platform.control_store(oldest=0, turned_away=[])
    _wait_for_evacuated(platform, "agent-0", True)
