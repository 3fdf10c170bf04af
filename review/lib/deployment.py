"""A small deployment of the programs, started with the commands of the deploy file.

The store and the endpoints are the stand-ins of the project. All processes use the
libraries that the build of the deploy file puts into ``target/deps``.
"""

import json
import os
import shlex
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from standins.platform_fleet import ROOT, PlatformFleet

BOUNDS = {
    "heartbeat-ms": "1500",
    "bounds.contact-ms": "3000",
    "bounds.ack-ms": "4000",
    "bounds.drain-ms": "2000",
    "bounds.grace-s": "6",
    "bounds.config-apply-ms": "2000",
    "bounds.hold-max-ms": "1000",
    "bounds.stop-grace-ms": "50",
    "bounds.cancel_ms": "3000",
    "bounds.resend-ms": "1300",
    "bounds.far-factor": "1.5",
    "platform.writes-per-s": "800",
    "platform.reads-per-s": "2000",
}
"""Settings of the small sites that are the same in all cases."""


def read_command(role: str) -> list[str]:
    """Read the command of a role from the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    return shlex.split(deploy["roles"][role]["run"])


class Deployment(PlatformFleet):
    """A store, entries and agents with their endpoints, on loopback addresses.

    :param folder: temporary folder for settings files and logs.
    """

    endpoint_module = "standins.platform_endpoint"
    """Module that is run as an endpoint."""

    def _spawn(self, name: str, arguments: list[str], settings: str = "") -> None:
        if arguments[:2] == ["-m", "standins.platform_endpoint"]:
            arguments = ["-m", self.endpoint_module, *arguments[2:]]
        command = ["python3", *arguments]
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": f"{ROOT / 'target/deps'}:{ROOT}:{ROOT / 'src'}",
        }
        if settings:
            role = "agent" if "class=side" in settings else "entry"
            command = read_command(role) + self.list_flags(name)
            path = self.folder / f"{name}.conf"
            bounds = [f"{field}={value}" for field, value in BOUNDS.items()]
            path.write_text(settings + "\n".join(bounds) + "\n")
            environment["GODWITBANK_SETTINGS"] = str(path)
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def list_flags(self, name: str) -> list[str]:
        """List flags to add to the command of a process; none by default."""
        del name
        return []

    def read_runs(self, agents: list[str]) -> list[dict[str, Any]]:
        """Read all starts and ends of runs, in the order of time.

        Times are those of the machine's monotonic clock, in seconds.
        """
        events = []
        for agent in agents:
            for event in self.read_log(f"{agent}-endpoint"):
                if event.get("event") in ("began", "ended"):
                    at = event["ended"] if event["event"] == "ended" else event["at"]
                    events.append({**event, "at": at, "agent": agent})
        return sorted(events, key=lambda event: event["at"])


class Record:
    """What was sent, answered and run, one JSON line an event.

    :param path: file to write.
    :param origin: time on the monotonic clock that counts as 0, in seconds.
    """

    def __init__(self, path: Path, origin: float) -> None:
        self._path = path
        self._origin = origin
        self._lines: list[tuple[float, dict[str, Any]]] = []

    def add(self, at: float, what: str, **fields: Any) -> None:
        """Add an event at a time of the monotonic clock."""
        self._lines.append((at, {"what": what, **fields}))

    def write(self) -> None:
        """Write all events, in the order of time."""
        self._lines.sort(key=lambda line: line[0])
        text = ""
        for at, fields in self._lines:
            text += json.dumps({"s": round(at - self._origin, 3), **fields}) + "\n"
        self._path.write_text(text)


def run_case(
    record_path: Path,
    start: Callable[[Any], None],
    play: Callable[[Any, Record, bool], bool],
    make: Callable[[Path], Any] = Deployment,
) -> int:
    """Run a case in a new deployment, and return the exit status of its script.

    :param record_path: file to which the record of the run is written.
    :param start: starts the processes.
    :param play: plays the case with or without the disruption, and returns whether the
        rule was kept.
    :param make: makes the deployment from its temporary folder.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(record_path, time.monotonic())
    with tempfile.TemporaryDirectory() as temporary:
        fleet = None
        try:
            fleet = make(Path(temporary))
            start(fleet)
            kept = play(fleet, record, trouble)
        except Exception as error:  # noqa: BLE001
            record.add(time.monotonic(), "could not run", error=repr(error))
            return 2
        finally:
            if fleet is not None:
                fleet.stop()
            record.write()
    return 0 if kept else 1
