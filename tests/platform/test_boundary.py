"""The adapter is the only place that knows the platform's names."""

import ast
import re
from pathlib import Path

from godwitbank import _internal

ROOT = Path(_internal.__path__[0])
WIRE_NAMES = re.compile(
    r"rows-tx|rows-feed|rows-get|run-start|run-stop|expect-rev|last-seen|fence-token"
    r"|deadline-ms|clock-ms|best-effort|target-latency-ms|mem-mb|port-range|listen\."
    r"|heartbeat-ms|hold-max|far-factor|cold-left|evacuate/"
)
PROGRAMS = "cli/entrypoints.py"


def _list_outside() -> list[Path]:
    return [
        path
        for path in sorted(ROOT.rglob("*.py"))
        if path.relative_to(ROOT).parts[0] != "platform"
    ]


def test_no_wire_name_stands_outside_the_adapter() -> None:
    found = {
        f"{path.relative_to(ROOT)}: {match.group()}"
        for path in _list_outside()
        for match in WIRE_NAMES.finditer(path.read_text())
    }
    assert not found


def test_only_the_programs_import_the_adapter() -> None:
    importers = set()
    for path in _list_outside():
        for node in ast.walk(ast.parse(path.read_text())):
            name = getattr(node, "module", None) or ""
            if name.startswith("godwitbank._internal.platform"):
                importers.add(str(path.relative_to(ROOT)))
    assert importers <= {PROGRAMS}
