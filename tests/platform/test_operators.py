"""What the operators want reaches entries whatever becomes of their connections."""

from pathlib import Path

import pytest
from soak.fleet import SoakFleet
from standins.fleet import wait_for
from standins.platform_fleet import ROUTE

HEARD_WITHIN = 10.0
"""Seconds a test waits for a change; the users' bound is checked in one clock."""


def _read_version(fleet: SoakFleet, entry: str) -> int:
    url = f"http://{fleet.find_ip(entry)}:{fleet.ready}/status"
    version: int = fleet.client.get(url).json()["version"]
    return version


def _wait_version(fleet: SoakFleet, version: int) -> None:
    def is_in_force() -> bool:
        return {_read_version(fleet, name) for name in fleet.entries} == {version}

    wait_for(is_in_force, f"version {version} at all entries", HEARD_WITHIN)


@pytest.mark.processes
def test_a_change_is_heard_after_all_connections_to_the_store_fell_silent(
    tmp_path: Path,
) -> None:
    fleet = SoakFleet(tmp_path / "silent", entries=2, agents=1)
    try:
        _wait_version(fleet, 1)
        for name in fleet.entries:
            fleet.command_proxy(name, "store", freeze="both")
        fleet.write_routes(2, [ROUTE])
        _wait_version(fleet, 2)
    finally:
        fleet.stop()
