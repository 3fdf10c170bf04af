"""The project's stand-in for an endpoint, with a capacity that shrinks.

Usage as of ``standins.platform_endpoint``. On SIGUSR1 half of its cores are gone; its
reports say so from then on. It reports every 1.5 s, as the settings of the small sites
say, and it doesn't guard its capacity.
"""

import asyncio
import signal
from typing import Any

from standins import platform_endpoint
from standins.platform_endpoint import Daemon

REPORT_INTERVAL_SECONDS = 1.5


class ShrinkingDaemon(Daemon):
    """An endpoint that loses half of its cores on SIGUSR1."""

    def __init__(
        self,
        service: str,
        address: str,
        agent: str,
        cores: int,
        zone: str,
        instance: str = "",
    ) -> None:
        super().__init__(service, address, agent, cores, zone, instance)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, self._shrink)

    def make_report_body(self) -> dict[str, Any]:
        """Make the body of the next report, and write an event."""
        body = super().make_report_body()
        self.write_event(event="reported", cpu=body["capacity"]["cpu"])
        return body

    def _shrink(self) -> None:
        capacity = self.endpoint.capacity
        self.endpoint.capacity = capacity._replace(cpu=capacity.cpu // 2)
        self.write_event(event="shrunk", cpu=self.endpoint.capacity.cpu)


if __name__ == "__main__":
    platform_endpoint.REPORT_INTERVAL_SECONDS = REPORT_INTERVAL_SECONDS
    platform_endpoint.Daemon = ShrinkingDaemon  # type: ignore[misc]
    asyncio.run(platform_endpoint.main())
