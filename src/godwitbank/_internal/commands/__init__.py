"""Operator commands, one module each."""

from importlib import import_module
from typing import Protocol

from absl import flags

from godwitbank._internal.cli.statuses import Status
from godwitbank._internal.exceptions import UsageError


class Command(Protocol):
    """Interface of the command classes."""

    summary: str

    def run(self, values: flags.FlagValues, arguments: list[str]) -> Status:
        """Run the command and return its exit status.

        :param values: flags of the command line.
        :param arguments: arguments after the command's name.
        """


_SUMMARIES = {
    "check": "check a document offline",
    "apply": "put a document in force through any entry",
    "diff": "compare a document with the one in force",
    "status": "show what an entry knows of entries, agents, services and queues",
    "wait": "wait until a revision is in force in every process",
    "submit": "submit a job file or a single request",
    "drain": "ask an agent to leave, and wait until it has finished",
    "counters": "show an entry's counters and percentiles",
}


def describe_commands() -> str:
    """Return a help text that lists the commands with their summaries."""
    return "\n".join(f"  {name:<10} {text}" for name, text in _SUMMARIES.items())


def load_command(name: str) -> Command:
    """Import the module of a command and return an instance of its class.

    Modules of other commands aren't imported, which keeps the start short.

    :raises UsageError: if there is no such command.
    """
    if name not in _SUMMARIES:
        raise UsageError(
            f"unknown command {name!r}", remedy=f"use one of: {', '.join(_SUMMARIES)}"
        )
    module = import_module(f"godwitbank._internal.commands.{name}")
    command: Command = getattr(module, f"{name.capitalize()}Command")()
    return command
