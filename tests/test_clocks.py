"""Nothing but the time in log lines may come from the time of day."""

import ast
from pathlib import Path

SOURCE = Path(__file__).parent.parent / "src" / "godwitbank" / "_internal"
LOGS = "cli/logs.py"
CALLS = {"time.time", "time.time_ns", "datetime.now", "datetime.utcnow", "time.ctime"}


def list_calls(text: str) -> set[str]:
    """List the calls of a module, as they are written."""
    return {
        ast.unparse(node.func)
        for node in ast.walk(ast.parse(text))
        if isinstance(node, ast.Call)
    }


def test_no_decision_uses_the_time_of_day() -> None:
    # Symptom: a lease ends an hour early, a task runs twice. Sequence: the time of day
    # jumps on a VM, forward or back, while leases and silences are measured with it.
    # Cause: they must be measured with a clock that only rises.
    users = {
        str(path.relative_to(SOURCE))
        for path in SOURCE.rglob("*.py")
        if list_calls(path.read_text(encoding="utf-8")) & CALLS
    }
    assert users <= {LOGS}


def test_the_look_for_it_finds_it() -> None:
    assert list_calls("import time\nstarted = time.time()") & CALLS
