"""Listening before the rest of a program is imported."""

import socket
from typing import NamedTuple

from godwitbank._internal.operations.sockets import bind
from godwitbank._internal.platform.settings import PlatformSettings


class Listening(NamedTuple):
    """An agent's settings, and the socket that its endpoint reports to."""

    settings: PlatformSettings
    reports_at: socket.socket


def listen_for_reports() -> Listening:
    """Read the settings and open the socket that the endpoint reports to.

    :raises SettingsError: naming the field and the remedy.
    :raises AddressInUseError: naming the address and the setting.
    """
    settings = PlatformSettings.from_environment()
    return Listening(settings, bind(settings.listen_control, "listen.control"))
