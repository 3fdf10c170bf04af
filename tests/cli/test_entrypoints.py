"""Startup of the programs while their modules are imported."""

import socket
import sys
from collections.abc import Callable
from pathlib import Path
from types import ModuleType

import pytest
from standins.fleet import pick_port

from godwitbank._internal.cli import entrypoints
from godwitbank._internal.platform.settings import SETTINGS_VARIABLE

AGENT_MODULE = "godwitbank._internal.platform.agent_program"


class _ReportingModule(ModuleType):
    """Stand-in for the agent's module; an endpoint reports while it is imported."""

    def __init__(self, report: Callable[[], None]) -> None:
        super().__init__(AGENT_MODULE)
        self._report = report

    def __getattr__(self, name: str) -> Callable[[], None]:
        if name != "serve_agent":
            raise AttributeError(name)
        self._report()
        return lambda *arguments: None


def test_an_endpoint_may_report_while_its_agent_is_imported(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Endpoints stayed unused for more than a second after their VMs had rebooted: an
    # endpoint reports at once, when its agent still imports modules and didn't listen
    # yet, and the next report comes 1.5 s later.
    port = pick_port()
    lines = ["node=a", "zone=z", "ip=127.0.0.1", "port-range=1,2"]
    lines += ["platform.address=127.0.0.1:3", f"listen.control=127.0.0.1:{port}"]
    path = tmp_path / "boot.conf"
    path.write_text("\n".join(lines))
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    reports = []

    def report() -> None:
        with socket.create_connection(("127.0.0.1", port)) as connection:
            reports.append(connection.getpeername()[1])

    monkeypatch.setitem(sys.modules, AGENT_MODULE, _ReportingModule(report))
    serve = entrypoints._import_program(["agent"], "")
    assert reports == [port]
    serve.args[1].close()  # type: ignore[attr-defined]
