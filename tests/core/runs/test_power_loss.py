"""All VMs lose power and restart together, and callers submit jobs at once."""

from random import Random

from godwitbank._internal.core.runs.events import AddressesRead
from tests.lib.run_cluster import RunCluster, make_job

ENTRIES = tuple(f"entry-{number:02}" for number in range(14))
AGENTS = tuple(f"agent-{number:02}" for number in range(40))
OUTAGE_SECONDS = 1.6
START_SECONDS = 0.3
START_SPREAD_SECONDS = 0.3
"""Seconds from the return of power to the start of a program, and its random spread."""

STORE_READ_SECONDS = 0.02
CALLS_PER_ENTRY = 20
CALL_INTERVAL_SECONDS = 0.05


class PowerLoss:
    """Simulates the loss and return of power of a whole deployment."""

    def __init__(self, seed: int = 1) -> None:
        self.rng = Random(seed)
        self.world = RunCluster(seed)
        for name in ENTRIES:
            self.world.add_entry(name)
        for name in AGENTS:
            self._start_agent(name)
        self.world.run(3.0)

    def lose_power(self) -> None:
        """Cut the power of all VMs, restore it, and wait until all programs run."""
        for name in (*ENTRIES, *AGENTS):
            self.world.power_off(name)
        for name in AGENTS:
            self.world.endpoints[name] = None
        self.world.run(OUTAGE_SECONDS)
        self.world.log_decisions.clear()
        for name in ENTRIES:
            self._schedule_start(name, self._start_entry)
        for name in AGENTS:
            self._schedule_start(name, self._start_agent)
        self.world.run(START_SECONDS + START_SPREAD_SECONDS)

    def _schedule_start(self, name: str, start) -> None:
        delay = START_SECONDS + self.rng.random() * START_SPREAD_SECONDS
        self.world.after(delay, lambda: start(name))

    def _start_entry(self, name: str) -> None:
        self.world.add_entry(name)
        self._read_store(name)

    def _start_agent(self, name: str) -> None:
        self.world.add_agent(name)
        self._read_store(name)

    def _read_store(self, name: str) -> None:
        process = self.world.processes[name]
        addresses_read = AddressesRead(ENTRIES)
        self.world.after(
            STORE_READ_SECONDS, lambda: process.deliver_event(addresses_read)
        )

    def submit_jobs(self) -> list[str]:
        """Submit short jobs at all entries for a while, and return their names."""
        jobs = []
        for _ in range(CALLS_PER_ENTRY):
            for name in ENTRIES:
                job = f"j{len(jobs)}"
                jobs.append(job)
                self.world.submit(name, make_job(job, width=2, seconds=0.2))
            self.world.run(CALL_INTERVAL_SECONDS)
        return jobs

    def find_first_event_time(self, event: str) -> float:
        """Return when an event was first logged after power returned."""
        return min(
            at for at, _, note in self.world.log_decisions if note.event == event
        )


def test_runs_start_once_all_programs_run() -> None:
    power_loss = PowerLoss()
    power_loss.lose_power()
    started_at = power_loss.world.now
    power_loss.submit_jobs()
    assert power_loss.find_first_event_time("start_ordered") <= started_at + 0.1


def test_callers_are_served_in_time_once_all_programs_run() -> None:
    power_loss = PowerLoss()
    power_loss.lose_power()
    jobs = power_loss.submit_jobs()
    power_loss.world.run(2.0)
    ends = [power_loss.world.list_ends(job) for job in jobs]
    assert sum(end == ["completed"] for end in ends) >= 0.95 * len(jobs)
