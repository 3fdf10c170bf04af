"""Listening before the rest of a program is imported."""

import socket
from typing import NamedTuple

from godwitbank._internal.operations.sockets import bind
from godwitbank._internal.platform.settings import PlatformSettings


class ReportListener(NamedTuple):
    """An agent's settings, and the socket that its endpoint reports to."""

    settings: PlatformSettings
    report_socket: socket.socket


def listen_for_reports() -> ReportListener:
    """Read the settings and open the socket that the endpoint reports to.

    :raises SettingsError: naming the field and the remedy.
    :raises AddressInUseError: naming the address and the setting.
    """
    settings = PlatformSettings.from_environment()
    return ReportListener(settings, bind(settings.listen_control, "listen.control"))
