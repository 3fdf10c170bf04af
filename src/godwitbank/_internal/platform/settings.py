"""Settings file that the platform writes for each process."""

import math
import os
from pathlib import Path
from typing import NamedTuple

from godwitbank._internal.core.runs.deployment import DEFAULT_DEPLOYMENT, Deployment
from godwitbank._internal.exceptions import SettingsError
from godwitbank._internal.platform.rows import MAX_PORT
from godwitbank._internal.utils.decoding import parse_whole_number

SETTINGS_VARIABLE = "GODWITBANK_SETTINGS"
"""Environment variable with the path of the settings file."""

METRICS_PORT = 9464
"""Port for metrics and status; must match ``deploy/system.toml``."""


class PlatformSettings(NamedTuple):
    """Settings of one process, as given by the platform.

    :param name: name of the VM.
    :param zone: availability zone of the VM.
    :param ip: address of the VM.
    :param listen_callers: ``host:port`` for callers; entries only.
    :param listen_ready: ``host:port`` for the load balancer's readiness checks;
        entries only.
    :param listen_control: ``host:port`` for reports of the endpoint on an agent's VM.
        Entries serve it too, only because the platform otherwise doesn't list them
        as seeds.
    :param stream: ``host:port`` for streams between entries and agents.
    :param seeds: stream addresses of some entries; they may be out of date.
    :param store: ``host:port`` of the platform's store.
    :param endpoint: ``host:port`` of the endpoint's HTTP interface; agents only.
    :param deployment: limits and intervals of this deployment.
    """

    name: str
    zone: str
    ip: str
    listen_callers: str
    listen_ready: str
    listen_control: str
    stream: str
    seeds: tuple[str, ...]
    store: str
    endpoint: str
    deployment: Deployment = DEFAULT_DEPLOYMENT

    @classmethod
    def from_environment(cls) -> "PlatformSettings":
        """Read the file named by the environment variable ``SETTINGS_VARIABLE``.

        :raises SettingsError: if the file can't be read or a setting is invalid.
        """
        path = os.environ.get(SETTINGS_VARIABLE, "")
        try:
            text = Path(path).read_text(encoding="utf-8")
        except OSError as error:
            raise SettingsError(
                f"settings can't be read: {error.strerror}",
                context=path or f"{SETTINGS_VARIABLE} is not set",
                remedy=f"set {SETTINGS_VARIABLE} to the path of a readable file",
            ) from None
        return cls.from_text(text)

    @classmethod
    def from_text(cls, text: str) -> "PlatformSettings":
        """Parse lines of ``name=value``; unknown names are ignored.

        :raises SettingsError: if a setting is missing or invalid.
        """
        values = dict(
            line.strip().split("=", 1) for line in text.splitlines() if "=" in line
        )
        ip = _require(values, "ip")
        port = _require(values, "port-range").split(",")[0]
        if not 0 < (parse_whole_number(port) or 0) <= MAX_PORT:
            raise SettingsError(
                f"port-range is invalid: {values['port-range']!r}",
                context="setting 'port-range'",
                remedy="give two port numbers joined by a comma",
            )
        seeds = [seed for seed in values.get("seeds", "").split(",") if seed]
        return cls(
            _require(values, "node"),
            _require(values, "zone"),
            ip,
            values.get("listen.front", ""),
            values.get("listen.ready", ""),
            values.get("listen.control", ""),
            f"{ip}:{port}",
            # A seed gives another port of the entry's VM; streams use the first port
            # of the range on every VM.
            tuple(f"{seed.rpartition(':')[0]}:{port}" for seed in seeds),
            _require(values, "platform.address"),
            values.get("app", ""),
            _read_deployment(values),
        )


def _read_deployment(values: dict[str, str]) -> Deployment:
    return Deployment(
        _read_seconds(
            values, "bounds.hold-max-ms", DEFAULT_DEPLOYMENT.max_lease_seconds
        ),
        _read_seconds(
            values, "heartbeat-ms", DEFAULT_DEPLOYMENT.report_interval_seconds
        ),
        _read_number(values, "bounds.far-factor", DEFAULT_DEPLOYMENT.off_rack_factor),
        _read_seconds(
            values, "bounds.contact-ms", DEFAULT_DEPLOYMENT.fault_free_seconds
        ),
        _read_seconds(
            values, "bounds.config-apply-ms", DEFAULT_DEPLOYMENT.change_bound_seconds
        ),
        _read_number(
            values, "platform.reads-per-s", DEFAULT_DEPLOYMENT.store_reads_per_second
        ),
    )


def _require(values: dict[str, str], key: str) -> str:
    value = values.get(key, "")
    if not value:
        raise SettingsError(
            f"setting {key!r} is missing",
            context="the platform's settings file",
            remedy=f"add a line {key}=VALUE",
        )
    return value


def _read_seconds(values: dict[str, str], key: str, default: float) -> float:
    """Read a setting in milliseconds and convert it to seconds."""
    return _read_number(values, key, default * 1000) / 1000


def _read_number(values: dict[str, str], key: str, default: float) -> float:
    """Read a number greater than zero, or return the default if it isn't set."""
    text = values.get(key, "")
    if not text:
        return default
    try:
        number = float(text)
    except ValueError:
        number = 0.0
    if not 0 < number < math.inf:
        raise SettingsError(
            f"{key} is invalid: {text!r}",
            context=f"setting {key!r}",
            remedy="give a number above zero",
        )
    return number
