"""Settings of the daemons, read from TOML and checked at start."""

from pathlib import Path
from typing import NamedTuple, TypeVar

from returns.result import Success

from godwitbank._internal.exceptions import SettingsError
from godwitbank._internal.utils.decoding import parse_whole_number
from godwitbank._internal.utils.tables import (
    TableFault,
    convert_table,
    find_key_line,
    parse_toml,
)


class EntrySettings(NamedTuple):
    """Settings of ``godwitbank-entry``.

    :param name: name of this process in logs and status.
    :param zone: availability zone of this VM.
    :param http: ``host:port`` for callers and operators.
    :param stream: ``host:port`` for agents and other entries.
    :param balancer: ``host:port`` of the platform's balancer in front of all
        entries' stream addresses; empty when there is a single entry.
    :param table: base URL of the platform's table service.
    :param heartbeat: seconds between heartbeats.
    :param silence: timeout of a stream: seconds without a frame after which it is
        closed.
    :param start_window: seconds for which a start stays valid after the agent's
        last heartbeat.
    :param unready_delay: seconds between SIGTERM and draining, in which requests
        are still served while the balancer sees that the entry isn't ready.
    :param max_body: size of the largest request body, in bytes.
    """

    name: str
    zone: str
    http: str
    stream: str
    table: str
    balancer: str = ""
    heartbeat: float = 1.0
    silence: float = 3.0
    start_window: float = 4.0
    unready_delay: float = 2.0
    max_body: int = 4 * 1024 * 1024
    seed: int = 0


class AgentSettings(NamedTuple):
    """Settings of ``godwitbank-agent``.

    :param name: name of this process in logs and status.
    :param stream: ``host:port`` on which this agent accepts streams of entries.
    :param http: local ``host:port`` for the endpoint.
    :param balancer: ``host:port`` of the platform's balancer in front of all
        entries' stream addresses.
    :param announce: seconds between announcements to the balancer.
    :param advertised: ``host:port`` to which entries connect, if it differs from
        ``stream`` because of address translation.
    """

    name: str
    zone: str
    stream: str
    http: str
    balancer: str
    heartbeat: float = 1.0
    silence: float = 3.0
    announce: float = 1.0
    advertised: str = ""
    seed: int = 0


MIN_HEARTBEATS_PER_TIMEOUT = 2
"""Heartbeat intervals that must fit into ``silence``, the timeout of a stream."""

S = TypeVar("S", EntrySettings, AgentSettings)


def _check_address(settings: NamedTuple, text: str) -> TableFault | None:
    for key in ("http", "stream", "balancer"):
        address = getattr(settings, key)
        if key == "balancer" and not address:
            continue
        host, _, port = address.rpartition(":")
        if not host or parse_whole_number(port) is None:
            return TableFault(
                0, key, f"{address!r} is not an address", "give host:port"
            )
    return None


def _check_heartbeat(
    settings: EntrySettings | AgentSettings, text: str
) -> TableFault | None:
    heartbeat = settings.heartbeat
    silence = settings.silence
    if 0 < heartbeat <= silence / MIN_HEARTBEATS_PER_TIMEOUT:
        return None
    return TableFault(
        find_key_line(text, "heartbeat"),
        "heartbeat",
        f"{heartbeat} s is not above 0 and well below silence ({silence} s)",
        f"give at most silence / {MIN_HEARTBEATS_PER_TIMEOUT}",
    )


def load_settings(path: str, settings_type: type[S]) -> S:
    """Read and validate a settings file.

    :raises SettingsError: if the file can't be read or is invalid; the message names
        the file, line, key and remedy.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(
            f"settings can't be read: {error.strerror}",
            context=path,
            remedy="give --settings the path of a readable TOML file",
        ) from None
    result = parse_toml(text).bind(
        lambda table: convert_table(table, settings_type, text)
    )
    fault = None if isinstance(result, Success) else result.failure()
    if fault is None:
        fault = _check_address(result.unwrap(), text)
    if fault is None:
        fault = _check_heartbeat(result.unwrap(), text)
    if fault is not None:
        raise SettingsError(
            f"invalid settings: {fault}",
            context=path,
            remedy="fix the file and restart the process",
        )
    settings: S = result.unwrap()
    return settings
