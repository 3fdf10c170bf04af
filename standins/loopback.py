"""Loopback networks, one for each fleet of processes."""

import os
import socket

NETWORKS = 250
"""Number of loopback networks to choose from."""

CLAIM_HOST = 254
"""Host number of the address that marks a network as in use."""

CLAIM_PORT = 29464


class LoopbackNetwork:
    """A loopback network that no other fleet uses.

    It is claimed by a bound socket, which the kernel closes when the process ends.
    """

    def __init__(self) -> None:
        self._claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._number = self._claim_number()

    def _claim_number(self) -> int:
        for offset in range(NETWORKS):
            number = (os.getpid() + offset) % NETWORKS
            try:
                self._claim.bind((f"127.9.{number}.{CLAIM_HOST}", CLAIM_PORT))
            except OSError:
                continue
            return number
        raise RuntimeError(f"all {NETWORKS} loopback networks are in use")

    def find_address(self, host: int) -> str:
        """Return the address of a host of this network, by its number."""
        return f"127.9.{self._number}.{host}"

    def release(self) -> None:
        """Let other fleets use the network."""
        self._claim.close()
