"""Zones that are evacuated and taken back while all else fails, too."""

from collections.abc import Callable

import pytest

from tests.core.runs.test_exploration import (
    PARTIAL_MESH,
    SEEDS,
    Explorer,
    Size,
    explore,
)

ZONES = 3
SIZE = Size(
    ("entry-0", "entry-1", "entry-2"),
    tuple(f"agent-{number}" for number in range(6)),
    8,
)


class EvacuationExplorer(Explorer):
    """Explores zones that operators empty and take back, some unheard at first."""

    def __init__(self, seed: int, size: Size = SIZE) -> None:
        super().__init__(seed, size=size, zones=ZONES)

    def list_actions(self) -> list[Callable[[], None]]:
        """List what may happen."""
        mine = [self.evacuate, self.evacuate, self.take_back, self.lose_store]
        return [*super().list_actions(), *mine * 2]

    def _pick_zone(self) -> str:
        return f"zone-{self.rng.randint(1, ZONES)}"

    def evacuate(self) -> None:
        """Empty a zone; perhaps its endpoints have just become cold."""
        zone = self._pick_zone()
        self.world.evacuate(zone)
        self._chill(zone)

    def take_back(self) -> None:
        """Take a zone back; perhaps its endpoints are cold."""
        zone = self._pick_zone()
        self._chill(zone)
        self.world.take_back(zone)

    def _chill(self, zone: str) -> None:
        until = self.world.now + self.rng.choice((0.0, 1.0, 4.0))
        for name in self.agents:
            endpoint = self.world.endpoints[name]
            if endpoint is not None and self.world.zones[name] == zone:
                endpoint.cold_until = until

    def lose_store(self) -> None:
        """Let the store turn an entry away for a while."""
        name = self.rng.choice(self.entries)
        self.world.store_away.add(name)
        self.world.after(self.rng.choice((0.5, 2.0, 4.0)), self._regain_store)

    def _regain_store(self) -> None:
        self.world.store_away.clear()
        self.world.tell_evacuation()

    def _start_entry(self, name: str) -> None:
        if len(self.world.store_away) == len(self.entries):
            self.world.store_away.clear()
        super()._start_entry(name)

    def end_faults(self) -> None:
        """End all faults and evacuations."""
        self._regain_store()
        for zone in list(self.world.evacuated):
            self.world.take_back(zone)
        super().end_faults()


@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_starts_late_in_an_evacuated_zone_under_random_faults(
    seed: int,
) -> None:
    explore(EvacuationExplorer(seed))


@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_starts_late_in_an_evacuated_zone_of_a_wide_fleet(seed: int) -> None:
    explore(EvacuationExplorer(seed, size=PARTIAL_MESH))


def test_exploration_empties_zones_and_takes_them_back() -> None:
    heard = []
    for seed in SEEDS[:10]:
        explorer = EvacuationExplorer(seed)
        explore(explorer)
        notes = [note for _, name, note in explorer.world.notes if "agent" in name]
        heard += [note.fields for note in notes if note.event == "evacuation"]
    assert sum(bool(fields["evacuated"]) for fields in heard) >= 2 * 10
    assert sum(not fields["evacuated"] for fields in heard) >= 2 * 10
