"""The deployment that the scripts start, and the record that they write."""

import json
import os
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import httpx
from standins.platform_fleet import CORES, ROOT, SERVICE, PlatformFleet, make_body

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
"""Exit codes of a script."""

BOUNDS = """\
role=ROLE
region=region-1
zones.zone-1=region-1
zones.zone-2=region-1
bootstrap=true
discovery=local
entry=vip
orders=call
heartbeat-ms=1500
bounds.contact-ms=3000
bounds.ack-ms=4000
bounds.drain-ms=2000
bounds.grace-s=6
bounds.config-apply-ms=2000
bounds.hold-max-ms=1000
bounds.stop-grace-ms=50
bounds.cancel_ms=3000
bounds.far-factor=1.5
bounds.resend-ms=1300
platform.form=table
platform.writes-per-s=800
platform.reads-per-s=2000
"""


class Run(NamedTuple):
    """One run of a task at an endpoint, by the endpoint's own record.

    :param began: start in seconds of the machine's monotonic clock.
    :param ended: end; infinite if it hasn't ended.
    """

    task: str
    run: int
    agent: str
    began: float
    ended: float
    end: str


class Fleet(PlatformFleet):
    """A small deployment, started with the commands of the deploy file."""

    def _spawn(self, name: str, arguments: list[str], settings: str = "") -> None:
        environment = {**os.environ, "PYTHONPATH": f"{ROOT / 'target/deps'}:{ROOT}"}
        if arguments[0] != "deploy/launch.py":
            environment["PYTHONPATH"] += f":{ROOT / 'src'}"
        if settings:
            path = self.folder / f"{name}.conf"
            path.write_text(settings)
            environment["GODWITBANK_SETTINGS"] = str(path)
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                ["python3", *arguments],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def _write_settings(self, name: str, kind: str) -> str:
        role = "entry" if kind == "front" else "agent"
        lines = super()._write_settings(name, kind)
        return lines + BOUNDS.replace("ROLE", role)

    def start_entry(self, name: str) -> None:
        """Start an entry, with a new settings file."""
        settings = self._write_settings(name, "front")
        self._spawn(name, ["deploy/launch.py", "entry"], settings)

    def start_endpoint(self, name: str, instance: str = "") -> None:
        """Start the endpoint of an agent."""
        del instance
        address = f"{self.find_ip(name)}:{self.app}"
        agent = f"{self.find_ip(name)}:{self.control}"
        arguments = ["-m", "review.lib_2.endpoint", SERVICE, address, agent]
        self._spawn(f"{name}-endpoint", [*arguments, str(CORES), self.find_zone(name)])

    def leave_unanswered(self, agent: str, share: float, seconds: float) -> None:
        """Let an endpoint leave a share of the calls of its agent unanswered."""
        url = f"http://{self.find_ip(agent)}:{self.app}/unanswered"
        body = json.dumps({"share": share, "seconds": seconds})
        self.client.put(url, content=body).raise_for_status()

    def list_runs(self, agents: int) -> list[Run]:
        """List all runs that the endpoints have started, the earliest first."""
        runs = []
        for number in range(agents):
            agent = f"agent-{number}"
            ends = {}
            lines = self.read_log(f"{agent}-endpoint")
            for line in lines:
                if line["event"] == "ended":
                    ends[line["task"], line["run"]] = line
            for line in lines:
                if line["event"] == "began":
                    key = line["task"], line["run"]
                    end = ends.get(key, {"ended": float("inf"), "end": "running"})
                    runs.append(Run(*key, agent, line["at"], end["ended"], end["end"]))
        return sorted(runs, key=lambda run: run.began)


class Record:
    """Writes ``record.txt``; times are in seconds since the record began."""

    def __init__(self, path: Path) -> None:
        self._began = time.monotonic()
        self._file = path.open("w")
        self._lock = threading.Lock()

    def write(self, text: str, at: float | None = None) -> None:
        """Write one line.

        :param at: time of the machine's monotonic clock; now by default.
        """
        seconds = (time.monotonic() if at is None else at) - self._began
        with self._lock:
            self._file.write(f"{seconds:8.3f}  {text}\n")
            self._file.flush()

    def write_runs(self, runs: list[Run]) -> None:
        """Write the starts and ends of runs."""
        for run in runs:
            self.write(f"began {run.task} run {run.run} at {run.agent}", run.began)
            if run.ended < float("inf"):
                text = f"ended {run.task} run {run.run} at {run.agent}: {run.end}"
                self.write(text, run.ended)


class Caller(threading.Thread):
    """A client that submits one job, and keeps its connection open for the answer."""

    def __init__(self, fleet: Fleet, record: Record, entry: str, job: str) -> None:
        super().__init__(daemon=True)
        self._fleet = fleet
        self._record = record
        self._entry = entry
        self._job = job
        self.body = ""
        self.timeout_ms = 20_000
        self.status = 0

    def run(self) -> None:
        """Submit the job and wait for the answer."""
        self._record.write(f"POST {self._job} to {self._entry}")
        response = send(
            self._fleet, "POST", self._entry, self._job, self.body, self.timeout_ms
        )
        self.status = response.status_code if response is not None else 0
        text = response.text if response is not None else "no answer"
        self._record.write(f"POST {self._job}: {self.status} {text}")


def send(
    fleet: Fleet, method: str, entry: str, job: str, body: str = "", timeout_ms: int = 0
) -> httpx.Response | None:
    """Send a request about a job on a new connection.

    :return: the answer; ``None`` if there was none.
    """
    timeout_ms = timeout_ms or 4000
    url = f"http://{fleet.find_ip(entry)}:{fleet.front}/checks/{job}"
    headers = {"Host": "desk.example", "Deadline-Ms": str(timeout_ms)}
    try:
        return httpx.request(
            method,
            url,
            content=body,
            headers=headers,
            timeout=timeout_ms / 1000 + 1,
            trust_env=False,
        )
    except httpx.HTTPError:
        return None


def make_steps(steps: int, seconds: float) -> str:
    """Make the body of a job with steps of one task that follow each other."""
    step = {"count": 1, "cpu": 1000, "mem-mb": 64, "estimate-ms": int(seconds * 1000)}
    listed: list[dict[str, Any]] = [
        {**step, "after": [number - 1]} if number else dict(step)
        for number in range(steps)
    ]
    return json.dumps({"spec": str(seconds), "steps": listed, "best-effort": True})


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(case: Callable[[Fleet, Record], bool]) -> None:
    """Run a case, and exit with its result.

    The path of its record is given on the command line.

    :param case: returns whether the rule held.
    """
    record = Record(Path(sys.argv[1]))
    with tempfile.TemporaryDirectory() as temporary:
        fleet = None
        try:
            fleet = Fleet(Path(temporary) / "fleet")
            held = case(fleet, record)
        except Exception as error:  # noqa: BLE001
            record.write(f"could not run: {type(error).__name__}: {error}")
            sys.exit(COULD_NOT_RUN)
        finally:
            if fleet is not None:
                fleet.stop()
    record.write("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)


__all__ = ["Caller", "Fleet", "Record", "Run", "has_trouble", "make_body", "play"]
