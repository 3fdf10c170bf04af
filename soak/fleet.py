"""A deployment in which every connection goes through the fault proxy."""

import json
import signal
import socket
import time
from pathlib import Path
from typing import Any

from standins.fleet import pick_port, wait_for
from standins.platform_fleet import PlatformFleet

ZONES = 2
"""Number of availability zones; processes are assigned to them in turn."""

CONNECTION_KINDS = ("front", "inner", "app", "control", "store")
"""Purposes of connections to or from a VM: callers to an entry, streams to an entry,
an agent's calls to its endpoint, an endpoint's reports to its agent, and a process's
calls to the store."""


class SoakFleet(PlatformFleet):
    """Entries and agents that reach each other only through the proxy.

    :param entries: number of entries.
    :param agents: number of agents, each with an endpoint.
    """

    def __init__(self, folder: Path, entries: int, agents: int) -> None:
        super().__init__(folder)
        self.entries = [f"entry-{number}" for number in range(entries)]
        self.agents = [f"agent-{number}" for number in range(agents)]
        self.ended_at: dict[str, float] = {}
        """Monotonic time, in seconds, at which each process was stopped on purpose; a
        process that should be running is absent."""
        for index, name in enumerate(self.entries + self.agents):
            self.zones[name] = f"zone-{1 + index % ZONES}"
        self._control = pick_port()
        self._store_port = self.store.rpartition(":")[2]
        names = self.entries + self.agents
        routes = [
            self._make_route(name, kind) for name in names for kind in CONNECTION_KINDS
        ]
        self._spawn("proxy", ["-m", "standins.proxy", str(self._control), *routes])
        wait_for(lambda: self.command_proxy(names[0], "front", delay=0.0), "the proxy")
        self._start_all()

    def _make_route(self, name: str, kind: str) -> str:
        listen = self._find_proxy_address(name, kind)
        port = listen.rpartition(":")[2]
        target = self.store if kind == "store" else f"{self.find_ip(name)}:{port}"
        return f"{listen}={target}"

    def _find_proxy_address(self, name: str, kind: str) -> str:
        port = self._store_port if kind == "store" else getattr(self, kind)
        return f"{self.find_advertised_ip(name)}:{port}"

    def find_advertised_ip(self, name: str) -> str:
        """Find the IP address of the proxy in front of a VM."""
        start, _, number = self.find_ip(name).rpartition(".")
        return f"{start}.{int(number) + 100}"

    def find_store_address(self, name: str) -> str:
        """Find the proxy's address at which a process reaches the store."""
        return self._find_proxy_address(name, "store")

    def command_proxy(self, name: str, kind: str, **command: Any) -> bool:
        """Send a command to the proxy about connections of one kind at one VM.

        :param kind: one of ``CONNECTION_KINDS``.
        :param command: see ``standins.proxy``.
        :return: whether the proxy acknowledged the command.
        """
        listen = self._find_proxy_address(name, kind)
        line = json.dumps({"listen": listen, **command}).encode() + b"\n"
        try:
            with socket.create_connection(("127.0.0.1", self._control)) as connection:
                connection.sendall(line)
                return bool(connection.recv(16))
        except OSError:
            return False

    def _start_all(self) -> None:
        for name in self.entries:
            self.start_process(name)
        for name in self.agents:
            self.start_process(f"{name}-endpoint")
            self.start_process(name)
        self.wait_all_ready()

    def wait_all_ready(self) -> None:
        """Wait until every entry is ready and sees that all agents accept runs."""
        for name in self.entries:
            self.wait_ready(name, len(self.agents))

    def start_process(self, name: str) -> None:
        """Start an entry, an agent or an endpoint, unless it is running."""
        running = self.processes.get(name)
        if running is not None and running.poll() is None:
            return
        self.ended_at.pop(name, None)
        if name.endswith("-endpoint"):
            self.start_endpoint(name.removesuffix("-endpoint"))
        elif name.startswith("entry"):
            self.start_entry(name)
        else:
            self.start_agent(name)

    def stop_process(self, name: str, how: int = signal.SIGKILL) -> None:
        """Kill a process, or send it another signal without waiting for its exit.

        :param how: number of the signal.
        """
        if self.processes[name].poll() is None:
            self.ended_at[name] = time.monotonic()
            self.kill(name, how)
            # The logged time is slightly later than the actual exit of the process.
            if how == signal.SIGKILL:
                self._log_event(name, "killed")

    def _log_event(self, name: str, event: str) -> None:
        """Append an event about a process to its log."""
        line = {"event": event, "at": time.monotonic()}
        with (self.folder / f"{name}.log").open("a") as log:
            log.write(json.dumps(line) + "\n")

    def freeze_connections(self) -> None:
        """Freeze all streams and connections to the store that are open now."""
        for name in self.entries:
            self.command_proxy(name, "inner", freeze="both")
        for name in self.entries + self.agents:
            self.command_proxy(name, "store", freeze="both")

    def evacuate_zone(self, zone: str) -> None:
        """Evacuate a zone, and log the event for its endpoints."""
        self.evacuate(zone)
        self._log_zone_event(zone, "evacuated")

    def end_zone_evacuation(self, zone: str) -> None:
        """End the evacuation of a zone, so that runs may start there again.

        The event is logged first, as runs may start as soon as the evacuation ends.
        """
        self._log_zone_event(zone, "taken back")
        self.end_evacuation(zone)

    def _log_zone_event(self, zone: str, event: str) -> None:
        for name in self.agents:
            if self.zones[name] == zone:
                self._log_event(f"{name}-endpoint", event)

    def set_paused(self, name: str, paused: bool) -> None:
        """Suspend a process with SIGSTOP, or resume it with SIGCONT."""
        if self.processes[name].poll() is None:
            how = signal.SIGSTOP if paused else signal.SIGCONT
            self.processes[name].send_signal(how)
            self._log_event(name, "paused" if paused else "resumed")

    def wait_exited(self, name: str) -> None:
        """Wait for the exit of a process that was told to stop."""
        process = self.processes[name]
        wait_for(lambda: process.poll() is not None, f"the end of {name}")

    def list_unexpected_exits(self) -> list[str]:
        """List the processes that exited without having been stopped on purpose."""
        return [
            name
            for name, process in self.processes.items()
            if process.poll() is not None and name not in self.ended_at
        ]
