"""Start a small deployment of real processes on loopback.

Used by the demonstration, the tests and the benchmarks. Every process that was
started is terminated by its PID.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import httpx

ROOT = Path(__file__).parent.parent
ENTRYPOINT = "from godwitbank._internal.cli.entrypoints import run_{0}; run_{0}()"
WAIT_TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.02
_next_port = [0]


def pick_port() -> int:
    """Pick a free port below the ephemeral range.

    An outgoing connection of any process could take a port of the ephemeral range
    between this check and the bind of the process that is to listen on it.
    """
    if not _next_port[0]:
        _next_port[0] = 10_000 + (os.getpid() * 97) % 20_000
    while True:
        _next_port[0] = 10_000 + (_next_port[0] + 1 - 10_000) % 22_000
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", _next_port[0])) == 0:
                continue
            try:
                probe.close()
                with socket.socket() as holder:
                    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    holder.bind(("127.0.0.1", _next_port[0]))
                return _next_port[0]
            except OSError:
                continue


class ManagedProcess(NamedTuple):
    """A started process and the ports it listens on.

    :param stream_port: port for streams; 0 if the process accepts none.
    """

    name: str
    process: subprocess.Popen
    http_port: int
    stream_port: int

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its exit."""
        self.process.kill()
        self.process.wait()

    def stop(self) -> None:
        """Send SIGTERM, without waiting for the exit."""
        self.process.send_signal(signal.SIGTERM)

    def suspend(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the suspended process with SIGCONT."""
        self.process.send_signal(signal.SIGCONT)


def wait_for(
    check: Callable[[], Any], what: str, timeout_seconds: float = WAIT_TIMEOUT_SECONDS
) -> Any:
    """Poll until ``check`` returns a true value, and return that value.

    HTTP errors raised by ``check`` count as a false value.

    :param what: what is awaited, for the error message.
    :raises AssertionError: if the timeout expires first.
    """
    until = time.monotonic() + timeout_seconds
    while True:
        try:
            found = check()
        except httpx.HTTPError:
            found = None
        if found:
            return found
        if time.monotonic() > until:
            raise AssertionError(
                f"timed out after {timeout_seconds} s waiting for {what}"
            )
        time.sleep(POLL_INTERVAL_SECONDS)


class Fleet:
    """Entries, agents, endpoints, proxies and the stand-in for the platform.

    :param folder: folder for settings files and logs.
    :param heartbeat_seconds: heartbeat interval of entries and agents.
    :param delay_seconds: delay each way of the proxies in front of agents.
    """

    def __init__(
        self, folder: Path, heartbeat_seconds: float = 1.0, delay_seconds: float = 0.0
    ) -> None:
        self.folder = folder
        self.folder.mkdir(parents=True, exist_ok=True)
        self.heartbeat_seconds = heartbeat_seconds
        self.delay_seconds = delay_seconds
        self.entries: list[ManagedProcess] = []
        self.agents: list[ManagedProcess] = []
        self.endpoints: list[ManagedProcess] = []
        self.proxies: dict[int, int] = {}
        """Control port of each proxy, by the port on which it listens."""
        self._processes: list[subprocess.Popen] = []
        self._logs: list[Any] = []
        self.platform = self._start_platform()
        self.balancer_http = pick_port()
        self.balancer_stream = pick_port()
        self._balancer: ManagedProcess | None = None

    # Processes

    def start_process(self, name: str, *command: str) -> subprocess.Popen:
        """Start a Python process that logs to ``<name>.log`` in the folder."""
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115
        self._logs.append(log)
        process = subprocess.Popen(
            [sys.executable, *command], stdout=log, stderr=log, cwd=ROOT
        )
        self._processes.append(process)
        return process

    def _start_platform(self) -> ManagedProcess:
        port = pick_port()
        process = self.start_process("platform", "-m", "standins.platform", str(port))
        running = ManagedProcess("platform", process, port, 0)
        url = f"http://127.0.0.1:{port}/control"
        wait_for(lambda: httpx.get(url).is_success, "the platform")
        return running

    def start_proxy(self, *targets: int, delay_seconds: float = 0.0) -> int:
        """Start a fault proxy that forwards to the target ports.

        :param delay_seconds: delay added each way.
        :return: the port on which the proxy listens.
        """
        control, port = pick_port(), pick_port()
        target_list = ",".join(str(target) for target in targets)
        command = ("-m", "standins.proxy", str(control), f"{port}={target_list}")
        self.start_process(f"proxy-{port}", *command)
        self.proxies[port] = control
        wait_for(lambda: is_listening(control), "the proxy")
        if delay_seconds:
            self.control_proxy(port, delay=delay_seconds)
        return port

    def control_proxy(self, port: int, **command: Any) -> None:
        """Send a command to the proxy that listens on a port.

        :param command: see ``standins.proxy``.
        """
        line = json.dumps({"listen": port, **command}).encode() + b"\n"
        with socket.create_connection(("127.0.0.1", self.proxies[port])) as link:
            link.sendall(line)
            link.recv(16)

    def control_platform(self, **controls: Any) -> None:
        """Set the fault controls of the platform stand-in."""
        url = f"http://127.0.0.1:{self.platform.http_port}/control"
        httpx.put(url, json=controls, timeout=10).raise_for_status()

    def update_balancer(self) -> None:
        """Point the balancer at the current entries; start it on first use."""
        http = ",".join(str(entry.http_port) for entry in self.entries)
        stream = ",".join(str(entry.stream_port) for entry in self.entries)
        if self._balancer is not None:
            self.control_proxy(self.balancer_http, targets=http.split(","))
            self.control_proxy(self.balancer_stream, targets=stream.split(","))
            return
        control = pick_port()
        routes = (f"{self.balancer_http}={http}", f"{self.balancer_stream}={stream}")
        process = self.start_process(
            "balancer", "-m", "standins.proxy", str(control), *routes
        )
        self._balancer = ManagedProcess("balancer", process, self.balancer_http, 0)
        self.proxies[self.balancer_http] = control
        self.proxies[self.balancer_stream] = control
        wait_for(lambda: is_listening(control), "the balancer")

    def start_entry(
        self, zone: str = "a", wait: bool = True, baseline: str = "", **more: Any
    ) -> ManagedProcess:
        """Start one entry.

        :param wait: whether to wait until the entry is ready.
        :param baseline: name of one of ``bench.baselines`` to run instead of the
            project's entry.
        :param more: further settings, or replacements of those set here.
        """
        number = len(self.entries)
        name = f"entry-{number}-{time.monotonic_ns() % 100000}"
        http, stream = pick_port(), pick_port()
        settings = {
            "name": name,
            "zone": zone,
            "http": f"127.0.0.1:{http}",
            "stream": f"127.0.0.1:{stream}",
            "balancer": f"127.0.0.1:{self.balancer_stream}",
            "table": f"http://127.0.0.1:{self.platform.http_port}",
            "heartbeat": self.heartbeat_seconds,
            "unready_delay": 0.5,
            **more,
        }
        running = ManagedProcess(
            name, self._start_daemon("entry", name, settings, baseline), http, stream
        )
        self.entries.append(running)
        if wait:
            self.wait_ready(running)
        return running

    def wait_ready(self, entry: ManagedProcess) -> None:
        """Wait until an entry reports that it is ready."""
        url = f"http://127.0.0.1:{entry.http_port}/v1/ready"
        wait_for(lambda: httpx.get(url).is_success, f"{entry.name} to be ready")

    def start_agent(
        self, zone: str = "a", proxied: bool = False, port: int = 0, **more: Any
    ) -> ManagedProcess:
        """Start one agent.

        :param proxied: whether entries reach its stream port through a fault proxy.
        :param port: its stream port; 0 to pick a free one.
        :param more: further settings, or replacements of those set here.
        """
        name = f"agent-{len(self.agents)}"
        http, stream = pick_port(), port or pick_port()
        settings = {
            "name": name,
            "zone": zone,
            "http": f"127.0.0.1:{http}",
            "stream": f"127.0.0.1:{stream}",
            "balancer": f"127.0.0.1:{self.balancer_stream}",
            "heartbeat": self.heartbeat_seconds,
            "announce": 0.3,
            **more,
        }
        if proxied:
            settings["advertised"] = (
                "127.0.0.1:"
                f"{self.start_proxy(stream, delay_seconds=self.delay_seconds)}"
            )
        running = ManagedProcess(
            name, self._start_daemon("agent", name, settings), http, stream
        )
        self.agents.append(running)
        wait_for(lambda: is_listening(http), f"{name} to listen")
        return running

    def find_advertised_port(self, agent: ManagedProcess) -> int:
        """Find the port of the proxy in front of an agent."""
        text = (self.folder / f"{agent.name}.toml").read_text()
        line = next(each for each in text.splitlines() if "advertised" in each)
        return int(line.rstrip('"').rpartition(":")[2])

    def _start_daemon(
        self, role: str, name: str, settings: dict[str, Any], baseline: str = ""
    ) -> Any:
        path = self.folder / f"{name}.toml"
        path.write_text(render_toml(settings))
        flags = (f"--settings={path}", "--log_format=json")
        if baseline:
            return self.start_process(name, "-m", "bench.baselines", baseline, *flags)
        return self.start_process(name, "-c", ENTRYPOINT.format(role), *flags)

    def restart_agent(self, agent: ManagedProcess) -> ManagedProcess:
        """Start an agent again with the same settings and address."""
        path = self.folder / f"{agent.name}.toml"
        code = ENTRYPOINT.format("agent")
        process = self.start_process(agent.name, "-c", code, f"--settings={path}")
        running = agent._replace(process=process)
        self.agents[self.agents.index(agent)] = running
        wait_for(lambda: is_listening(agent.http_port), f"{agent.name} to listen")
        return running

    def start_endpoint(
        self,
        agent: ManagedProcess,
        service: str = "desk",
        slots: int = 8,
        lease_seconds: float = 3.0,
    ) -> ManagedProcess:
        """Start the endpoint of an agent.

        :param lease_seconds: seconds for which a registration is valid.
        """
        port = pick_port()
        name = f"endpoint-{len(self.endpoints)}"
        process = self.start_process(
            name,
            "-m",
            "standins.endpoint",
            str(port),
            f"127.0.0.1:{agent.http_port}",
            f"--service={service}",
            f"--slots={slots}",
            f"--lease={lease_seconds}",
        )
        running = ManagedProcess(name, process, port, 0)
        self.endpoints.append(running)
        wait_for(lambda: is_listening(port), f"{name} to listen")
        return running

    # Requests to running processes

    def run_operator_command(
        self, *arguments: str, entry: int = 0
    ) -> subprocess.CompletedProcess:
        """Run an operator command against an entry.

        :param entry: position of the entry in ``entries``.
        """
        code = ENTRYPOINT.format("operator")
        address = f"--entry=127.0.0.1:{self.entries[entry].http_port}"
        return subprocess.run(
            [sys.executable, "-c", code, *arguments, address, "--verbosity=warning"],
            capture_output=True,
            text=True,
            timeout=60,
            cwd=ROOT,
        )

    def read_status(self, entry: int = 0) -> dict[str, Any]:
        """Read the status of an entry.

        :param entry: position of the entry in ``entries``.
        """
        url = f"http://127.0.0.1:{self.entries[entry].http_port}/v1/status"
        state: dict[str, Any] = httpx.get(url, timeout=10).json()
        return state

    def read_record(self, endpoint: ManagedProcess) -> dict[str, Any]:
        """Read which starts an endpoint has counted."""
        url = f"http://127.0.0.1:{endpoint.http_port}/record"
        written: dict[str, Any] = httpx.get(url, timeout=10).json()
        return written

    def control_endpoint(self, endpoint: ManagedProcess, **controls: Any) -> None:
        """Make an endpoint fail its tasks or run them slowly."""
        url = f"http://127.0.0.1:{endpoint.http_port}/control"
        httpx.put(url, json=controls, timeout=10).raise_for_status()

    def wait_for_agents(self, count: int, service: str = "desk") -> None:
        """Wait until every entry can use at least ``count`` agents of a service."""
        for number in range(len(self.entries)):
            wait_for(
                lambda: self._count_usable(number, service) >= count,  # noqa: B023
                f"{count} agents at entry {number}",
            )

    def _count_usable(self, number: int, service: str) -> int:
        agents = self.read_status(number)["agents"]
        return sum(
            each["connected"] and each["service"] == service and not each["leaving"]
            for each in agents
        )

    def stop(self) -> None:
        """Terminate every process by its PID.

        Processes that are still alive 5 seconds after SIGTERM are killed.
        """
        alive = [process for process in self._processes if process.poll() is None]
        for process in alive:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        until = time.monotonic() + 5
        for process in alive:
            try:
                process.wait(max(0.05, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        for log in self._logs:
            log.close()


def is_listening(port: int) -> bool:
    """Check whether a process accepts connections on a port."""
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) == 0


def render_toml(settings: dict[str, Any]) -> str:
    """Render settings without nested tables as TOML."""
    return "".join(f"{key} = {json.dumps(value)}\n" for key, value in settings.items())
