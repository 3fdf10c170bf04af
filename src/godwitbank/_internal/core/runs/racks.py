"""How much the racks of endpoints are in demand by tasks that have their data there."""

import math

DEMAND_WINDOW_SECONDS = 1.0
"""Seconds over which demand is averaged: short against a surge, long against the gaps
between an entry's jobs."""

MIN_DEMAND_CORE_SECONDS = 0.01
"""Demand below which a rack is forgotten, so that racks that are gone leave nothing."""

MAX_PRESSURE = 1.0
"""Pressure of a rack whose share of the demand is as large as its share of the room."""


class RackDemand:
    """Demand of one entry's tasks for racks, as a moving average."""

    def __init__(self) -> None:
        self._by_rack: dict[str, float] = {}
        self._total = 0.0
        self._updated_at = 0.0

    @property
    def wants_racks(self) -> bool:
        """Whether any task lately had its data on a rack."""
        return bool(self._by_rack)

    def record(self, rack: str, core_seconds: float, now: float) -> None:
        """Record a job; one without processor time is no demand.

        :param rack: rack that holds its data; empty if it has none.
        :param core_seconds: processor time of its tasks.
        """
        self._decay(now)
        if core_seconds <= 0:
            return
        self._total += core_seconds
        if rack:
            self._by_rack[rack] = self._by_rack.get(rack, 0.0) + core_seconds

    def _decay(self, now: float) -> None:
        kept = math.exp((self._updated_at - now) / DEMAND_WINDOW_SECONDS)
        self._updated_at = now
        self._total *= kept
        self._by_rack = {
            rack: demand * kept
            for rack, demand in self._by_rack.items()
            if demand * kept >= MIN_DEMAND_CORE_SECONDS
        }

    def measure_pressure(self, room_shares: dict[str, float]) -> dict[str, float]:
        """Return the pressure on each rack that is in demand, from 0 to 1.

        :param room_shares: share of all cores that is in each rack; a rack that is
            missing has no endpoints.
        """
        return {
            rack: min(MAX_PRESSURE, demand / self._total / room_shares[rack])
            for rack, demand in self._by_rack.items()
            if room_shares.get(rack)
        }
