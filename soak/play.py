"""Run one seed: overlapping faults, then recovery, then planned work alone."""

import heapq
import itertools
import signal
import time
from functools import partial
from pathlib import Path
from random import Random
from typing import NamedTuple

from standins.fleet import wait_for
from standins.platform_fleet import CORES, ROUTE

from soak.checks import find_violations
from soak.clients import Callers
from soak.faults import FaultInjector, Undo
from soak.fleet import SoakFleet
from soak.records import read_job_events, read_runs

CALLERS = 5
MAX_OVERLAPPING_FAULTS = 4
"""Maximum number of faults in effect at once."""

PAUSE_CHOICES_SECONDS = (0.05, 0.2, 0.6)
"""Seconds between one fault and the next; one of these is chosen at random."""

CONFIGURATION_BOUND_SECONDS = 5.0
"""Seconds after connections were frozen within which a change of configuration must be
in effect: the time until the bounds apply to processes, plus the bound itself (both
figures from the users)."""

MOVED_ROUTE = {**ROUTE, "name": "moved", "prefix": "/moved/"}


class SeedResult(NamedTuple):
    """The result of one seed.

    :param violations: violations of guarantees; empty if all guarantees held.
    :param injected_faults: descriptions of the injected faults, each with its time.
    :param jobs: number of jobs that were submitted.
    :param runs: number of runs that endpoints recorded.
    """

    seed: int
    violations: list[str]
    injected_faults: list[str]
    jobs: int
    runs: int


def run_seed(
    seed: int,
    seconds: float,
    folder: Path,
    entries: int,
    agents: int,
    extended: bool = True,
) -> SeedResult:
    """Run one seed and check what callers and endpoints recorded.

    :param seconds: seconds during which faults are injected.
    :param folder: folder for settings files and logs.
    :param entries: number of entries.
    :param agents: number of agents, each with an endpoint.
    :param extended: whether to include the further kinds of faults (see
        ``FaultInjector``) and jobs that are submitted to two entries at once.
    """
    fleet = SoakFleet(folder, entries, agents)
    callers = Callers(fleet, seed, CALLERS, duplicates=extended)
    try:
        rng = Random(seed)
        injector = FaultInjector(fleet, rng, extended)
        injected_faults = _inject_faults(injector, rng, seconds)
        violations = [
            f"{name} ended by itself" for name in fleet.list_unexpected_exits()
        ]
        injector.restore_all()
        fleet.wait_all_ready()
        _wait_until_served(fleet, seed)
        callers.set_planned_only(True)
        _restart_entries(fleet)
        callers.set_planned_only(False)
        _change_configuration(fleet)
    finally:
        callers.stop()
        fleet.stop()
    runs = read_runs(folder)
    violations += find_violations(
        callers.attempts, runs, read_job_events(folder), CORES
    )
    jobs = len({attempt.job for attempt in callers.attempts})
    return SeedResult(seed, violations, injected_faults, jobs, len(runs))


def kill_all_under_load(folder: Path, entries: int, agents: int) -> SeedResult:
    """Kill all entries and agents under load, and start them again.

    :param folder: folder for settings files and logs.
    :param entries: number of entries.
    :param agents: number of agents, each with an endpoint.
    """
    fleet = SoakFleet(folder, entries, agents)
    callers = Callers(fleet, 0, CALLERS, duplicates=True)
    try:
        _wait_until_served(fleet, 1)
        fault = FaultInjector(fleet, Random(0)).kill_all()
        fault.undo()
        fleet.wait_all_ready()
        _wait_until_served(fleet, 2)
    finally:
        callers.stop()
        fleet.stop()
    runs = read_runs(folder)
    violations = find_violations(callers.attempts, runs, read_job_events(folder), CORES)
    jobs = len({attempt.job for attempt in callers.attempts})
    return SeedResult(0, violations, [fault.description], jobs, len(runs))


def _inject_faults(injector: FaultInjector, rng: Random, seconds: float) -> list[str]:
    injected_faults: list[str] = []
    fault_numbers = itertools.count()
    active_faults: list[tuple[float, int, Undo]] = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        while active_faults and active_faults[0][0] <= time.monotonic():
            heapq.heappop(active_faults)[2]()
        if len(active_faults) < MAX_OVERLAPPING_FAULTS:
            fault = injector.inject()
            injected_faults.append(
                f"{time.monotonic():.3f} {fault.description} for {fault.seconds}"
            )
            ends_at = time.monotonic() + fault.seconds
            heapq.heappush(active_faults, (ends_at, next(fault_numbers), fault.undo))
        time.sleep(rng.choice(PAUSE_CHOICES_SECONDS))
    for _, _, undo in sorted(active_faults, key=lambda each: each[:2]):
        undo()
    return injected_faults


def _wait_until_served(fleet: SoakFleet, seed: int) -> None:
    numbers = itertools.count(1)
    for entry in fleet.entries:

        def is_served(entry: str = entry) -> bool:
            job = f"f{seed % 0xFFFF:04x}{next(numbers):011x}"
            return fleet.submit(entry, job).status_code == 200

        wait_for(is_served, f"a job served by {entry} after the faults")


def _restart_entries(fleet: SoakFleet) -> None:
    """Restart each entry in turn while callers keep their connections open."""
    for name in fleet.entries:
        fleet.stop_process(name, signal.SIGTERM)
        fleet.wait_exited(name)
        fleet.start_process(name)
        fleet.wait_ready(name, len(fleet.agents))


def _change_configuration(fleet: SoakFleet) -> None:
    """Replace the route while all connections that could deliver it are frozen.

    Every entry must replace the old route in time, and must not return to it.
    """
    fleet.freeze_connections()
    fleet.write_routes(10**6, [MOVED_ROUTE])
    for name in fleet.entries:
        is_moved = partial(_is_moved, fleet, name)
        wait_for(is_moved, f"the new route at {name}", CONFIGURATION_BOUND_SECONDS)
    for name in fleet.entries:
        assert _is_moved(fleet, name), f"{name} returned to an older configuration"


def _is_moved(fleet: SoakFleet, name: str) -> bool:
    new = fleet.call("GET", name, "/moved/").status_code
    old = fleet.call("GET", name, "/checks/").status_code
    return (new, old) == (200, 404)
