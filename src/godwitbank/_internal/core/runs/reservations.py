"""Capacity that an agent keeps for entries with urgent work.

Several entries send starts to an agent without knowing of each other's. An entry whose
urgent task finds no free capacity asks for a reservation: less urgent starts of others
can't take what becomes free next, and the entry is told of it first. The task itself
keeps waiting at its entry and starts wherever there is free capacity first.
"""

import math
from typing import NamedTuple

from godwitbank._internal.models.resources import Resources

RESERVATION_SECONDS = 0.06
"""Seconds for which a reservation waits for capacity. An urgent task that can wait for
longer starts elsewhere meanwhile, and the capacity would be kept in vain."""

OFFER_SECONDS = 0.012
"""Seconds for which free capacity is kept once the entry was told of it: the latency to
the entry and back. It is idle meanwhile."""


class Reservation:
    """Capacity kept for one entry.

    :ivar needs: the resources to keep.
    :ivar until: time at which the reservation ends.
    """

    __slots__ = ("priority", "needs", "until", "offered")

    def __init__(self, priority: int, needs: Resources, until: float) -> None:
        self.priority = priority
        self.needs = needs
        self.until = until
        self.offered = False


def _get_order(item: tuple[str, Reservation]) -> tuple[int, float]:
    _, reservation = item
    return reservation.priority, reservation.until


class AnnouncedReservation(NamedTuple):
    """What other entries must know of a reservation."""

    owner: str
    needs: Resources


class Reservations:
    """The reservations at one agent, one for each entry."""

    def __init__(self) -> None:
        self._by_owner: dict[str, Reservation] = {}

    def add(self, owner: str, priority: int, needs: Resources, now: float) -> None:
        """Reserve capacity for an entry that asked for it.

        It replaces the entry's reservation unless that is more urgent.

        :param owner: incarnation of the entry.
        """
        present = self._by_owner.get(owner)
        if present is not None and present.priority < priority:
            return
        until = now + RESERVATION_SECONDS
        self._by_owner[owner] = Reservation(priority, needs, until)

    def remove(self, owner: str) -> None:
        """End the reservation of an entry, as it has used it or is gone."""
        self._by_owner.pop(owner, None)

    def expire(self, now: float) -> None:
        """End the reservations whose time is over."""
        if self._by_owner:
            self._by_owner = {
                owner: each
                for owner, each in self._by_owner.items()
                if each.until > now
            }

    def offer(self, free: Resources, now: float) -> list[str]:
        """Offer free capacity to the entries that reserved it.

        :return: the entries that must be told of it now.
        """
        offered = []
        for owner, each in sorted(self._by_owner.items(), key=_get_order):
            if each.needs.fits(free):
                free -= each.needs
                if not each.offered:
                    each.offered = True
                    each.until = now + OFFER_SECONDS
                    offered.append(owner)
        return offered

    def measure_kept(self, owner: str, priority: int) -> Resources:
        """Return what is kept from an entry's starts of a priority."""
        kept = Resources()
        for other, each in self._by_owner.items():
            if other != owner and each.priority < priority:
                kept += each.needs
        return kept

    def list_announced(self) -> list[AnnouncedReservation]:
        """List the reservations, to detect a change."""
        return [
            AnnouncedReservation(owner, each.needs)
            for owner, each in self._by_owner.items()
        ]

    def next_wakeup(self) -> float:
        """Return the time at which the next reservation ends."""
        return min((each.until for each in self._by_owner.values()), default=math.inf)
