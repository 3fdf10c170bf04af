"""Parts that all programs share: flags, logs, error messages, exit statuses."""

import sys
from collections.abc import Callable

from absl import flags, logging

from godwitbank import __version__
from godwitbank._internal.cli.logs import configure_logs
from godwitbank._internal.cli.statuses import Status, find_status
from godwitbank._internal.exceptions import GodwitbankError


class Program:
    """A command-line program with its own set of flags.

    :param name: name of the program.
    :param summary: one line that says what the program does.
    :param usage: form of its command line.
    """

    def __init__(self, name: str, summary: str, usage: str) -> None:
        self.name = name
        self.summary = summary
        self.usage = usage
        self.flags = flags.FlagValues()
        self.define_enum(
            "verbosity", "info", ["debug", "info", "warning", "error"], "Log level."
        )
        self.define_enum("log_format", "text", ["text", "json"], "Format of the logs.")
        self.define_bool("help", False, "Show this help.")
        self.define_bool("version", False, "Show the version.")

    def define_string(self, name: str, default: str | None, text: str) -> None:
        """Define a flag that takes a string."""
        flags.DEFINE_string(name, default, text, flag_values=self.flags)

    def define_float(self, name: str, default: float, text: str) -> None:
        """Define a flag that takes a number."""
        flags.DEFINE_float(name, default, text, flag_values=self.flags)

    def define_bool(self, name: str, default: bool, text: str) -> None:
        """Define a boolean flag."""
        flags.DEFINE_bool(name, default, text, flag_values=self.flags)

    def define_enum(
        self, name: str, default: str, values: list[str], text: str
    ) -> None:
        """Define a flag that takes one of several values."""
        flags.DEFINE_enum(name, default, values, text, flag_values=self.flags)

    def render_help(self) -> str:
        """Render the text shown by ``--help``."""
        lines = [f"{self.name}: {self.summary}", "", f"usage: {self.usage}", ""]
        lines.append("flags:")
        for name in sorted(self.flags):
            flag = self.flags[name]
            default = "" if flag.default in (None, False) else f" [{flag.default}]"
            lines.append(f"  --{name:<16} {flag.help}{default}")
        return "\n".join(lines)

    def run(self, main: Callable[[flags.FlagValues, list[str]], Status]) -> None:
        """Parse the command line, run ``main`` and exit with the status it returns.

        An expected error is printed and gives the status of its class.
        """
        sys.exit(self._run(main, sys.argv))

    def _run(
        self, main: Callable[[flags.FlagValues, list[str]], Status], argv: list[str]
    ) -> Status:
        try:
            arguments = self.flags(argv)[1:]
        except flags.Error as error:
            print(f"{self.name}: {error}\n  remedy: see --help", file=sys.stderr)
            return Status.USAGE
        if self.flags.help:
            print(self.render_help())
            return Status.SUCCESS
        if self.flags.version:
            print(f"{self.name} {__version__}")
            return Status.SUCCESS
        configure_logs(self.flags.verbosity, self.flags.log_format)
        try:
            return main(self.flags, arguments)
        except GodwitbankError as error:
            print(f"{self.name}: {error}", file=sys.stderr)
            if self.flags.verbosity == "debug":
                logging.exception("traceback of the error above")
            return find_status(error)
        except KeyboardInterrupt:
            return Status.INTERRUPTED
