"""All VMs lose their power and come back together; callers come at once."""

from random import Random

from godwitbank._internal.core.runs.events import AddressesRead
from tests.lib.runs_world import RunsWorld, make_job

ENTRIES = tuple(f"entry-{number:02}" for number in range(14))
AGENTS = tuple(f"agent-{number:02}" for number in range(40))
DARK_SECONDS = 1.6
START_SECONDS = 0.3
START_SPREAD = 0.3
"""Seconds from power until programs run, and by how much they differ."""

STORE_SECONDS = 0.02
CALLS = 20
CALL_PAUSE = 0.05


class Blackout:
    """Plays the loss and the return of power, and notes what callers got."""

    def __init__(self, seed: int = 1) -> None:
        self.rng = Random(seed)
        self.world = RunsWorld(seed)
        for name in ENTRIES:
            self.world.add_entry(name)
        for name in AGENTS:
            self._start_agent(name)
        self.world.run(3.0)

    def lose_power(self) -> None:
        """Take the power of everything, and give it back."""
        for name in (*ENTRIES, *AGENTS):
            self.world.darken(name)
        for name in AGENTS:
            self.world.endpoints[name] = None
        self.world.run(DARK_SECONDS)
        self.world.notes.clear()
        for name in ENTRIES:
            self._start_later(name, self._start_entry)
        for name in AGENTS:
            self._start_later(name, self._start_agent)
        self.world.run(START_SECONDS + START_SPREAD)

    def _start_later(self, name: str, start) -> None:
        delay = START_SECONDS + self.rng.random() * START_SPREAD
        self.world.after(delay, lambda: start(name))

    def _start_entry(self, name: str) -> None:
        self.world.add_entry(name)
        self._read_store(name)

    def _start_agent(self, name: str) -> None:
        self.world.add_agent(name)
        self._read_store(name)

    def _read_store(self, name: str) -> None:
        process = self.world.processes[name]
        read = AddressesRead(ENTRIES)
        self.world.after(STORE_SECONDS, lambda: process.give(read))

    def call(self) -> list[str]:
        """Let callers hand in short jobs at all entries for a while."""
        jobs = []
        for _ in range(CALLS):
            for name in ENTRIES:
                job = f"j{len(jobs)}"
                jobs.append(job)
                self.world.submit(name, make_job(job, width=2, seconds=0.2))
            self.world.run(CALL_PAUSE)
        return jobs

    def find_first(self, event: str) -> float:
        """Find when something was first noted since power is back."""
        return min(at for at, _, note in self.world.notes if note.event == event)


def test_runs_start_as_soon_as_all_programs_run() -> None:
    blackout = Blackout()
    blackout.lose_power()
    up_at = blackout.world.now
    blackout.call()
    assert blackout.find_first("start_ordered") <= up_at + 0.1


def test_callers_are_served_in_time_from_the_moment_all_programs_run() -> None:
    blackout = Blackout()
    blackout.lose_power()
    jobs = blackout.call()
    blackout.world.run(2.0)
    ends = [blackout.world.get_ends(job) for job in jobs]
    assert sum(end == ["completed"] for end in ends) >= 0.95 * len(jobs)
