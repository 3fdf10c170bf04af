"""Start the programs on loopback as the platform starts them, along with stand-ins.

Each process has its own loopback address, as each VM has an address on the platform;
all use the same ports. Every process that was started is terminated by its PID.
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
from standins.loopback import LoopbackNetwork

ROOT = Path(__file__).parent.parent
SERVICE = "desk"
CORES = 4
ZONE = "zone-1"

CONTROL_TIMEOUT_SECONDS = 2.0
"""Timeout of a control request to an endpoint; a suspended one never answers."""

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
    """A store, endpoints with their agents, and entries.

    :param folder: folder for settings files and logs.
    """

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.folder = folder
        self.processes: dict[str, subprocess.Popen] = {}
        self.client = httpx.Client(trust_env=False, timeout=15.0)
        self.front, self.ready, self.control, self.app, self.inner = (
            pick_port() for _ in range(5)
        )
        self._network = LoopbackNetwork()
        self.store = f"{self._network.find_address(1)}:{pick_port()}"
        self._addresses: dict[str, str] = {}
        self.zones: dict[str, str] = {}
        """Availability zones by process name; ``ZONE`` applies to all others."""
        self._spawn("store", ["-m", "standins.platform_store", self.store])
        wait_for(lambda: self.write_routes(1, [ROUTE]), "store")

    def _spawn(self, name: str, arguments: list[str], settings: str = "") -> None:
        environment = {**os.environ, "PYTHONPATH": f"{ROOT}:{ROOT / 'src'}"}
        if settings:
            path = self.folder / f"{name}.conf"
            path.write_text(settings)
            environment["GODWITBANK_SETTINGS"] = str(path)
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, *arguments],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()

    def find_ip(self, name: str) -> str:
        """Find the loopback address of a process; the first call assigns one."""
        if name not in self._addresses:
            number = len(self._addresses) + 2
            self._addresses[name] = self._network.find_address(number)
        return self._addresses[name]

    def find_advertised_ip(self, name: str) -> str:
        """Find the IP address at which other processes reach a process."""
        return self.find_ip(name)

    def find_zone(self, name: str) -> str:
        """Find the availability zone of the VM of a process."""
        return self.zones.get(name, ZONE)

    def find_store_address(self, name: str) -> str:
        """Find the address at which a process reaches the store."""
        del name
        return self.store

    def _write_settings(self, name: str, kind: str) -> str:
        ip = self.find_ip(name)
        advertised_ip = self.find_advertised_ip(name)
        seeds = [
            f"{self.find_advertised_ip(other)}:{self.control}"
            for other in self._addresses
            if other.startswith("entry")
        ]
        lines = [
            f"node={name}",
            f"class={kind}",
            f"ip={advertised_ip}",
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
            lines += [f"app={advertised_ip}:{self.app}", f"service={SERVICE}"]
        return "\n".join(lines) + "\n"

    def start_entry(self, name: str) -> None:
        """Start an entry, with a new settings file."""
        settings = self._write_settings(name, "front")
        stream = f"{self.find_ip(name)}:{self.inner}"
        arguments = ["deploy/launch.py", "entry", f"--stream_bind={stream}"]
        self._spawn(name, arguments, settings)

    def start_agent(self, name: str) -> None:
        """Start an agent, with a new settings file."""
        settings = self._write_settings(name, "side")
        self._spawn(name, ["deploy/launch.py", "agent"], settings)

    def start_endpoint(self, name: str, instance: str = "") -> None:
        """Start the endpoint of an agent.

        :param name: name of the agent.
        :param instance: id under which it starts again; empty for a new one.
        """
        ip = self.find_ip(name)
        arguments = ["-m", "standins.platform_endpoint", SERVICE]
        agent = f"{self.find_advertised_ip(name)}:{self.control}"
        arguments += [f"{ip}:{self.app}", agent, str(CORES), self.find_zone(name)]
        if instance:
            arguments.append(instance)
        self._spawn(f"{name}-endpoint", arguments)

    def start(self, entries: int, agents: int) -> None:
        """Start a deployment and wait until it is ready.

        :param entries: number of entries.
        :param agents: number of agents, each with an endpoint.
        """
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
        """Wait until an entry is ready and sees enough agents that accept runs.

        :param agents: number of such agents that it must see.
        """

        def is_ready() -> bool:
            ip = self.find_ip(entry)
            if self.client.get(f"http://{ip}:{self.ready}/-/ready").status_code != 200:
                return False
            status = self.client.get(f"http://{ip}:{self.ready}/status").json()
            return sum(each["open"] for each in status["agents"]) >= agents

        wait_for(is_ready, f"{entry} ready with {agents} agents")

    def lacks_sighup_handler(self, name: str) -> bool:
        """Check whether SIGHUP would still terminate a process.

        That is so until the interpreter has run the first lines of the program, which
        ignore or catch the signal.
        """
        pid = self.processes[name].pid
        status = Path(f"/proc/{pid}/status").read_text()
        masks = dict(line.split(":", 1) for line in status.splitlines())
        handled = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
        return not handled >> (signal.SIGHUP - 1) & 1

    def kill(self, name: str, how: int = signal.SIGKILL) -> None:
        """Send a signal to a process; wait for its exit if the signal is SIGKILL.

        :param how: number of the signal.
        """
        process = self.processes[name]
        process.send_signal(how)
        if how == signal.SIGKILL:
            process.wait()

    # Requests of callers and operators

    def write_routes(self, version: int, routes: list[dict[str, Any]]) -> bool:
        """Write a configuration with some routes, as operators do.

        :return: whether the store accepted it.
        """
        body = {
            "version": version,
            "routes": routes,
            "services": [{"name": SERVICE}],
            "limits": {"max-body-bytes": 262144},
        }
        url = f"http://{self.store}/operator?key=config"
        return self.client.put(url, content=json.dumps(body)).status_code == 200

    def evacuate(self, zone: str) -> None:
        """Request the evacuation of a zone, as operators do."""
        url = f"http://{self.store}/operator?key=evacuate/{zone}"
        self.client.put(url, content="{}")

    def end_evacuation(self, zone: str) -> None:
        """End the evacuation of a zone."""
        url = f"http://{self.store}/operator?key=evacuate/{zone}"
        self.client.delete(url)

    def control_store(self, **controls: Any) -> None:
        """Set fault controls of the store."""
        self.client.put(f"http://{self.store}/control", content=json.dumps(controls))

    def control_endpoint(self, name: str, **controls: Any) -> None:
        """Set fault controls of an endpoint.

        :param name: name of its agent.
        """
        url = f"http://{self.find_ip(name)}:{self.app}/control"
        self.client.put(
            url, content=json.dumps(controls), timeout=CONTROL_TIMEOUT_SECONDS
        )

    def read_status(self, name: str) -> dict[str, Any]:
        """Read the status page of a process."""
        url = f"http://{self.find_ip(name)}:{METRICS_PORT}/status"
        status: dict[str, Any] = self.client.get(url).json()
        return status

    def read_endpoint(self, name: str) -> dict[str, Any]:
        """Read which runs an endpoint has started and which are active.

        :param name: name of its agent.
        """
        url = f"http://{self.find_ip(name)}:{self.app}/control"
        state: dict[str, Any] = self.client.get(url).json()
        return state

    def call(
        self, method: str, entry: str, path: str, content: str = ""
    ) -> httpx.Response:
        """Send a request to an entry as a caller does."""
        url = f"http://{self.find_ip(entry)}:{self.front}{path}"
        headers = {"Host": "desk.example", "Deadline-Ms": "10000"}
        return self.client.request(method, url, content=content, headers=headers)

    def submit(
        self, entry: str, job: str, width: int = 2, seconds: float = 0.05
    ) -> httpx.Response:
        """Submit a job and wait for the response.

        :param width: number of tasks.
        :param seconds: run time of each task.
        """
        return self.call("POST", entry, f"/checks/{job}", make_body(width, seconds))

    def read_log(self, name: str) -> list[dict[str, Any]]:
        """Read the structured log events of a process."""
        text = (self.folder / f"{name}.log").read_text()
        return [json.loads(line) for line in text.splitlines() if line[:1] == "{"]

    def list_log_events(self, name: str, event: str, job: str) -> list[dict[str, Any]]:
        """List the log events of one kind that a process has written about a job.

        :param job: id of the job, or a prefix of it.
        """
        return [
            line
            for line in self.read_log(name)
            if line["event"] == event and line.get("request", "").startswith(job)
        ]

    def stop(self) -> None:
        """Kill every process that was started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.client.close()
        self._network.release()


def make_body(width: int, seconds: float) -> str:
    """Make the body of a job with one step.

    :param width: number of tasks.
    :param seconds: run time of each task.
    """
    step = {
        "count": width,
        "cpu": 1000,
        "mem-mb": 64,
        "estimate-ms": int(seconds * 1000),
    }
    return json.dumps({"spec": str(seconds), "steps": [step], "best-effort": True})
