"""Random tests that evacuate zones and take them back during other faults."""

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
    """Adds evacuations and outages of the store to the random events.

    Entries without the store learn of an evacuation only from others.
    """

    def __init__(self, seed: int, size: Size = SIZE) -> None:
        super().__init__(seed, size=size, zones=ZONES)

    def list_actions(self) -> list[Callable[[], None]]:
        """List the possible events."""
        own_events = [self.evacuate, self.evacuate, self.take_back, self.lose_store]
        return [*super().list_actions(), *own_events * 2]

    def _pick_zone(self) -> str:
        return f"zone-{self.rng.randint(1, ZONES)}"

    def evacuate(self) -> None:
        """Evacuate a zone; its endpoints may be cold."""
        zone = self._pick_zone()
        self.world.evacuate(zone)
        self._make_cold(zone)

    def take_back(self) -> None:
        """Take a zone back; its endpoints may be cold."""
        zone = self._pick_zone()
        self._make_cold(zone)
        self.world.end_evacuation(zone)

    def _make_cold(self, zone: str) -> None:
        until = self.world.now + self.rng.choice((0.0, 1.0, 4.0))
        for name in self.agents:
            endpoint = self.world.endpoints[name]
            if endpoint is not None and self.world.zones[name] == zone:
                endpoint.warming_up_until = until

    def lose_store(self) -> None:
        """Make the store unavailable to an entry for some time."""
        name = self.rng.choice(self.entries)
        self.world.without_store.add(name)
        self.world.after(self.rng.choice((0.5, 2.0, 4.0)), self._restore_store)

    def _restore_store(self) -> None:
        self.world.without_store.clear()
        self.world.announce_evacuation()

    def _start_entry(self, name: str) -> None:
        if len(self.world.without_store) == len(self.entries):
            self.world.without_store.clear()
        super()._start_entry(name)

    def end_faults(self) -> None:
        """End all faults and evacuations."""
        self._restore_store()
        for zone in list(self.world.evacuated_since):
            self.world.end_evacuation(zone)
        super().end_faults()


@pytest.mark.parametrize("seed", SEEDS)
def test_no_run_starts_late_in_an_evacuated_zone_under_random_faults(
    seed: int,
) -> None:
    explore(EvacuationExplorer(seed))


@pytest.mark.parametrize("seed", SEEDS)
def test_no_run_starts_late_in_an_evacuated_zone_of_a_large_fleet(seed: int) -> None:
    explore(EvacuationExplorer(seed, size=PARTIAL_MESH))


def test_exploration_evacuates_zones_and_takes_them_back() -> None:
    fields_seen = []
    for seed in SEEDS[:10]:
        explorer = EvacuationExplorer(seed)
        explore(explorer)
        notes = [
            note for _, name, note in explorer.world.log_decisions if "agent" in name
        ]
        fields_seen += [note.fields for note in notes if note.event == "evacuation"]
    assert sum(bool(fields["evacuated"]) for fields in fields_seen) >= 2 * 10
    assert sum(not fields["evacuated"] for fields in fields_seen) >= 2 * 10
