"""Listening socket that is opened before the rest of the agent is imported."""

import socket
from typing import NamedTuple

from godwitbank._internal.operations.sockets import bind
from godwitbank._internal.platform.settings import PlatformSettings


class ReportListener(NamedTuple):
    """An agent's settings, and the socket that receives its endpoint's reports."""

    settings: PlatformSettings
    report_socket: socket.socket


def listen_for_reports() -> ReportListener:
    """Read the settings and open the socket for the endpoint's reports.

    :raises SettingsError: if the settings are missing or invalid.
    :raises AddressInUseError: if another process listens on the address.
    """
    settings = PlatformSettings.from_environment()
    return ReportListener(settings, bind(settings.listen_control, "listen.control"))
