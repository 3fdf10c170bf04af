"""One module per operator command."""

from importlib import import_module
from typing import Protocol

from absl import flags

from godwitbank._internal.cli.statuses import Status
from godwitbank._internal.exceptions import UsageError


class Command(Protocol):
    """What every command class offers."""

    summary: str

    def run(self, values: flags.FlagValues, arguments: list[str]) -> Status:
        """Run the command and return a named status."""


_SUMMARIES = {
    "check": "check a document offline",
    "apply": "put a document in force through any entry",
    "diff": "compare a document with the one in force",
    "status": "show what an entry knows of entries, agents and services",
    "wait": "wait until a revision is in force in every process",
    "submit": "submit a job file or a single request",
    "drain": "ask an agent to leave, and wait until it has finished",
    "counters": "show an entry's counters and percentiles",
}


def describe_commands() -> str:
    """List the commands with their summaries."""
    return "\n".join(f"  {name:<10} {text}" for name, text in _SUMMARIES.items())


def load_command(name: str) -> Command:
    """Load a command by name; only the one asked for is imported.

    :raises UsageError: when there is no such command.
    """
    if name not in _SUMMARIES:
        raise UsageError(
            f"no command {name!r}", remedy=f"use one of: {', '.join(_SUMMARIES)}"
        )
    module = import_module(f"godwitbank._internal.commands.{name}")
    command: Command = getattr(module, f"{name.capitalize()}Command")()
    return command
