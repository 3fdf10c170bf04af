"""Changes of the operators reach entries although their connections fail."""

from pathlib import Path

import pytest
from soak.fleet import SoakFleet
from standins.fleet import wait_for
from standins.platform_fleet import ROUTE

CHANGE_TIMEOUT_SECONDS = 10.0
"""Longest wait for a change in this test. The users' bound is checked in virtual time
instead, with one clock for everything."""


def _read_version(fleet: SoakFleet, entry: str) -> int:
    url = f"http://{fleet.find_ip(entry)}:{fleet.ready}/status"
    version: int = fleet.client.get(url).json()["version"]
    return version


def _wait_for_version(fleet: SoakFleet, version: int) -> None:
    def is_in_force() -> bool:
        return {_read_version(fleet, name) for name in fleet.entries} == {version}

    wait_for(is_in_force, f"version {version} at all entries", CHANGE_TIMEOUT_SECONDS)


@pytest.mark.processes
def test_a_change_is_received_after_all_store_connections_went_silent(
    tmp_path: Path,
) -> None:
    fleet = SoakFleet(tmp_path / "silent", entries=2, agents=1)
    try:
        _wait_for_version(fleet, 1)
        for name in fleet.entries:
            fleet.command_proxy(name, "store", freeze="both")
        fleet.write_routes(2, [ROUTE])
        _wait_for_version(fleet, 2)
    finally:
        fleet.stop()
