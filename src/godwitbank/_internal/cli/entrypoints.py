"""Entry points of the three programs."""

import asyncio
import gc
import sys
from collections.abc import Callable, Coroutine
from functools import partial
from typing import TYPE_CHECKING, Any

from godwitbank._internal.cli.statuses import Status, find_status
from godwitbank._internal.exceptions import GodwitbankError, UsageError

if TYPE_CHECKING:
    from absl import flags


def run_operator() -> None:
    """Run the operator's command ``godwitbank``."""
    from godwitbank._internal.cli.program import Program
    from godwitbank._internal.commands import describe_commands, load_command

    program = Program(
        "godwitbank",
        "check, apply and watch service documents; submit work",
        "godwitbank COMMAND [ARGUMENT...] [--flag=value...]\n\ncommands:\n"
        + describe_commands(),
    )
    program.define_string("entry", "127.0.0.1:8080", "host:port of any entry.")
    program.define_string("operator", "operator", "Your name, kept with changes.")
    program.define_string(
        "operation", None, "Operation id of an earlier apply whose outcome is unknown."
    )
    program.define_string("revision", None, "Revision to expect or to wait for.")
    program.define_string("service", None, "Name of a service.")
    program.define_string("class", None, "Class of work of a single request.")
    program.define_string("request_id", "", "Idempotency key of a single request.")
    program.define_float("timeout", 30.0, "Seconds to wait for an answer.")
    program.define_bool("json", False, "Print JSON instead of text.")

    def main(values: "flags.FlagValues", arguments: list[str]) -> Status:
        if not arguments:
            print(program.render_help())
            return Status.USAGE
        command = load_command(arguments[0])
        return command.run(values, arguments[1:])

    program.run(main)


def run_entry() -> None:
    """Run ``godwitbank-entry``."""
    summary = "accept jobs and requests, and dispatch them to agents"

    async def serve(path: str) -> None:
        from godwitbank._internal.models.settings import EntrySettings, load_settings
        from godwitbank._internal.operations.entry import EntryProcess

        await EntryProcess(load_settings(path, EntrySettings)).run()

    _run_daemon("godwitbank-entry", summary, serve)


def run_agent() -> None:
    """Run ``godwitbank-agent``."""
    summary = "run next to one endpoint and start its tasks, each at most once"

    async def serve(path: str) -> None:
        from godwitbank._internal.models.settings import AgentSettings, load_settings
        from godwitbank._internal.operations.agent import AgentProcess

        await AgentProcess(load_settings(path, AgentSettings)).run()

    _run_daemon("godwitbank-agent", summary, serve)


def _run_daemon(
    name: str, summary: str, serve: Callable[[str], Coroutine[Any, Any, None]]
) -> None:
    from godwitbank._internal.cli.program import Program

    program = Program(name, summary, f"{name} --settings=FILE")
    program.define_string("settings", None, "TOML file of settings.")

    def main(values: "flags.FlagValues", arguments: list[str]) -> Status:
        asyncio.run(serve(_require_settings(values, arguments)))
        return Status.SUCCESS

    program.run(main)


def _require_settings(values: "flags.FlagValues", arguments: list[str]) -> str:
    if arguments or not values.settings:
        raise UsageError(
            "--settings is missing" if not values.settings else "too many arguments",
            remedy="give --settings=FILE and nothing else; see --help",
        )
    path: str = values.settings
    return path


def _import_program(
    arguments: list[str], stream_bind: str
) -> Callable[[], Coroutine[Any, Any, None]]:
    # Imported objects live as long as the process. Scanning them for garbage would
    # slow down the start and each later full collection, so collection is off during
    # the imports, and freeze() then excludes these objects.
    gc.disable()
    try:
        if arguments == ["entry"]:
            from godwitbank._internal.platform.entry_program import serve_entry

            return partial(serve_entry, stream_bind)
        if arguments == ["agent"]:
            return _import_agent()
    finally:
        gc.freeze()
        gc.enable()
    raise UsageError(
        "no valid program name", remedy="give 'entry' or 'agent', and nothing else"
    )


def _import_agent() -> Callable[[], Coroutine[Any, Any, None]]:
    # The endpoint sends its first report as soon as the VM is up, and the next one only
    # after a report interval. The socket therefore listens before the agent is
    # imported, so that a report waits in the listen queue meanwhile. If its connection
    # were refused, the endpoint's capacity would stay unused until the next report.
    from godwitbank._internal.platform.listening import listen_for_reports

    listener = listen_for_reports()
    from godwitbank._internal.platform.agent_program import serve_agent

    return partial(serve_agent, listener.settings, listener.report_socket)


def run_on_platform() -> None:
    """Run the entry or the agent, as named by the platform's launch command.

    Callers wait while a process starts. Therefore the libraries for flags and log
    formats are only loaded if the command line has a flag.
    """
    arguments = sys.argv[1:]
    if any(each.startswith("-") for each in arguments):
        _run_with_flags()
    else:
        sys.exit(_run_without_flags(arguments))


def _run_without_flags(arguments: list[str]) -> Status:
    try:
        return _run_program(arguments, "")
    except GodwitbankError as error:
        print(f"launch: {error}", file=sys.stderr)
        return find_status(error)
    except KeyboardInterrupt:
        return Status.INTERRUPTED


def _run_with_flags() -> None:
    from godwitbank._internal.cli.program import Program

    program = Program(
        "launch", "run one of the daemons on the platform", "launch.py entry|agent"
    )
    program.define_string(
        "stream_bind",
        "",
        "host:port an entry listens on for streams, if it announces another address.",
    )

    def main(values: "flags.FlagValues", arguments: list[str]) -> Status:
        return _run_program(arguments, values.stream_bind)

    program.run(main)


def _run_program(arguments: list[str], stream_bind: str) -> Status:
    serve = _import_program(arguments, stream_bind)
    import uvloop

    uvloop.run(serve())
    return Status.SUCCESS
