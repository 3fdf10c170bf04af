"""Starts the programs as the platform does, beside stand-ins, on loopback.

Each process has a loopback address of its own, as each VM has on the platform;
ports are the same on all. Ends every process it started, by its pid.
"""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import httpx

from godwitbank._internal.platform.settings import METRICS_PORT
from standins.fleet import pick_port, wait_for

ROOT = Path(__file__).parent.parent
SERVICE = "desk"
CORES = 4
ZONE = "zone-1"

CONTROL_TIMEOUT_SECONDS = 2.0
"""Longest wait for an endpoint to obey; a paused one never does."""

ROUTE = {
    "name": "checks",
    "host": "desk.example",
    "prefix": "/checks/",
    "kind": "unsafe",
    "timeout-ms": 1500,
    "target-latency-ms": 60,
    "priority": 0,
    "service": SERVICE,
    "max-attempts": 3,
    "stretch": 1.6,
}


class PlatformFleet:
    """A store, endpoints with agents, and entries."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.folder = folder
        self.processes: dict[str, subprocess.Popen] = {}
        self.client = httpx.Client(trust_env=False, timeout=15.0)
        self.front, self.ready, self.control, self.app, self.inner = (
            pick_port() for _ in range(5)
        )
        self.store = f"127.9.{os.getpid() % 250}.1:{pick_port()}"
        self._addresses: dict[str, str] = {}
        self.zones: dict[str, str] = {}
        """Availability zones of processes; ``ZONE`` where none is given."""
        self._spawn("store", ["-m", "standins.platform_store", self.store])
        wait_for(lambda: self.write_routes(1, [ROUTE]), "store")

    def _spawn(self, name: str, words: list[str], settings: str = "") -> None:
        environment = {**os.environ, "PYTHONPATH": f"{ROOT}:{ROOT / 'src'}"}
        if settings:
            path = self.folder / f"{name}.conf"
            path.write_text(settings)
            environment["GODWITBANK_SETTINGS"] = str(path)
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, *words], cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()

    def find_ip(self, name: str) -> str:
        """Find the loopback address of a process, choosing one at first."""
        if name not in self._addresses:
            number = len(self._addresses) + 2
            self._addresses[name] = f"127.9.{os.getpid() % 250}.{number}"
        return self._addresses[name]

    def find_advertised_ip(self, name: str) -> str:
        """Find the address that other processes know a process by."""
        return self.find_ip(name)

    def find_zone(self, name: str) -> str:
        """Find the availability zone of a process's VM."""
        return self.zones.get(name, ZONE)

    def find_store_address(self, name: str) -> str:
        """Find where a process reaches the store."""
        del name
        return self.store

    def _write_settings(self, name: str, kind: str) -> str:
        ip = self.find_ip(name)
        seen = self.find_advertised_ip(name)
        seeds = [
            f"{self.find_advertised_ip(other)}:{self.control}"
            for other in self._addresses
            if other.startswith("entry")
        ]
        lines = [
            f"node={name}",
            f"class={kind}",
            f"ip={seen}",
            f"zone={self.find_zone(name)}",
            f"port-range={self.inner},{self.inner + 10}",
            f"seeds={','.join(seeds[:3])}",
            f"platform.address={self.find_store_address(name)}",
            f"listen.control={ip}:{self.control}",
            "a-field-that-may-come=1",
        ]
        if kind == "front":
            lines += [f"listen.front={ip}:{self.front}"]
            lines += [f"listen.ready={ip}:{self.ready}"]
        else:
            lines += [f"app={seen}:{self.app}", f"service={SERVICE}"]
        return "\n".join(lines) + "\n"

    def start_entry(self, name: str) -> None:
        """Start an entry."""
        settings = self._write_settings(name, "front")
        stream = f"{self.find_ip(name)}:{self.inner}"
        words = ["deploy/launch.py", "entry", f"--stream_bind={stream}"]
        self._spawn(name, words, settings)

    def start_agent(self, name: str) -> None:
        """Start an agent."""
        settings = self._write_settings(name, "side")
        self._spawn(name, ["deploy/launch.py", "agent"], settings)

    def start_endpoint(self, name: str) -> None:
        """Start the endpoint beside an agent."""
        ip = self.find_ip(name)
        words = ["-m", "standins.platform_endpoint", SERVICE]
        agent = f"{self.find_advertised_ip(name)}:{self.control}"
        words += [f"{ip}:{self.app}", agent, str(CORES), self.find_zone(name)]
        self._spawn(f"{name}-endpoint", words)

    def start(self, entries: int, agents: int) -> None:
        """Start a deployment and wait until it serves."""
        for number in range(entries):
            self.find_ip(f"entry-{number}")
        for number in range(entries):
            self.start_entry(f"entry-{number}")
        for number in range(agents):
            self.start_endpoint(f"agent-{number}")
            self.start_agent(f"agent-{number}")
        for number in range(entries):
            self.wait_ready(f"entry-{number}", agents)

    def wait_ready(self, entry: str, agents: int) -> None:
        """Wait until an entry is ready and knows so many open agents."""

        def is_ready() -> bool:
            ip = self.find_ip(entry)
            if self.client.get(f"http://{ip}:{self.ready}/-/ready").status_code != 200:
                return False
            status = self.client.get(f"http://{ip}:{self.ready}/status").json()
            return sum(each["open"] for each in status["agents"]) >= agents

        wait_for(is_ready, f"{entry} ready with {agents} agents")

    def lacks_sighup_handler(self, name: str) -> bool:
        """Tell whether a signal to reload would still end a process.

        So it is until the interpreter has read the program's first lines.
        """
        pid = self.processes[name].pid
        status = Path(f"/proc/{pid}/status").read_text()
        masks = dict(line.split(":", 1) for line in status.splitlines())
        heard = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
        return not heard >> (signal.SIGHUP - 1) & 1

    def kill(self, name: str, how: int = signal.SIGKILL) -> None:
        """Send a process a signal; wait for its end if that ends it."""
        process = self.processes[name]
        process.send_signal(how)
        if how == signal.SIGKILL:
            process.wait()

    # What callers and operators do

    def write_routes(self, version: int, routes: list[dict[str, Any]]) -> bool:
        """Write a configuration as the operators do."""
        body = {
            "version": version,
            "routes": routes,
            "services": [{"name": SERVICE}],
            "limits": {"max-body-bytes": 262144},
        }
        url = f"http://{self.store}/operator?key=config"
        return self.client.put(url, content=json.dumps(body)).status_code == 200

    def evacuate(self, zone: str) -> None:
        """Ask that a zone be emptied, as the operators do."""
        url = f"http://{self.store}/operator?key=evacuate/{zone}"
        self.client.put(url, content="{}")

    def end_evacuation(self, zone: str) -> None:
        """End a zone's evacuation."""
        url = f"http://{self.store}/operator?key=evacuate/{zone}"
        self.client.delete(url)

    def control_store(self, **knobs: Any) -> None:
        """Turn the store's knobs."""
        self.client.put(f"http://{self.store}/control", content=json.dumps(knobs))

    def control_endpoint(self, name: str, **knobs: Any) -> None:
        """Turn an endpoint's knobs."""
        url = f"http://{self.find_ip(name)}:{self.app}/control"
        self.client.put(url, content=json.dumps(knobs), timeout=CONTROL_TIMEOUT_SECONDS)

    def read_status(self, name: str) -> dict[str, Any]:
        """Read a process's own status page."""
        url = f"http://{self.find_ip(name)}:{METRICS_PORT}/status"
        status: dict[str, Any] = self.client.get(url).json()
        return status

    def read_endpoint(self, name: str) -> dict[str, Any]:
        """Tell what an endpoint has started and runs."""
        url = f"http://{self.find_ip(name)}:{self.app}/control"
        seen: dict[str, Any] = self.client.get(url).json()
        return seen

    def call(
        self, method: str, entry: str, path: str, content: str = ""
    ) -> httpx.Response:
        """Call an entry as a caller does."""
        url = f"http://{self.find_ip(entry)}:{self.front}{path}"
        headers = {"Host": "desk.example", "Deadline-Ms": "10000"}
        return self.client.request(method, url, content=content, headers=headers)

    def submit(
        self, entry: str, job: str, width: int = 2, seconds: float = 0.05
    ) -> httpx.Response:
        """Submit a job whose tasks run for some seconds, and wait."""
        return self.call("POST", entry, f"/checks/{job}", make_body(width, seconds))

    def read_log(self, name: str) -> list[dict[str, Any]]:
        """Read the decisions a process has logged."""
        text = (self.folder / f"{name}.log").read_text()
        return [json.loads(line) for line in text.splitlines() if line[:1] == "{"]

    def list_log_events(self, name: str, event: str, job: str) -> list[dict[str, Any]]:
        """List the lines of one kind that a process has written about a job."""
        return [
            line
            for line in self.read_log(name)
            if line["event"] == event and line.get("request", "").startswith(job)
        ]

    def stop(self) -> None:
        """End every process that was started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.client.close()


def make_body(width: int, seconds: float) -> str:
    """Make the body of a job."""
    step = {
        "count": width,
        "cpu": 1000,
        "mem-mb": 64,
        "estimate-ms": int(seconds * 1000),
    }
    return json.dumps({"spec": str(seconds), "steps": [step], "best-effort": True})
