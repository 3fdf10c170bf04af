"""One seed: faults in series and overlapping, then calm, then planned work alone."""

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
"""Faults that may overlap."""

PAUSE_CHOICES_SECONDS = (0.05, 0.2, 0.6)
"""Seconds between one fault and the next."""

CONFIGURATION_BOUND_SECONDS = 5.0
"""Seconds after connections went silent in which a change must be in force: until
processes are held to bounds, and the bound (users' figures)."""

MOVED_ROUTE = {**ROUTE, "name": "moved", "prefix": "/moved/"}


class SeedResult(NamedTuple):
    """What a seed showed.

    :param faults: promises that were broken; empty if all held.
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
    """Play one seed and check what callers and endpoints saw.

    :param seconds: how long faults come.
    :param newer: whether the newer kinds of faults come, too.
    """
    fleet = SoakFleet(folder, entries, agents)
    callers = Callers(fleet, seed, CALLERS, duplicates=extended)
    try:
        rng = Random(seed)
        faults = FaultInjector(fleet, rng, extended)
        injected_faults = _disturb(faults, rng, seconds)
        broken = [f"{name} ended by itself" for name in fleet.list_unexpected_exits()]
        faults.restore_all()
        fleet.wait_all_ready()
        _wait_served(fleet, seed)
        callers.set_planned_only(True)
        _restart_entries(fleet)
        callers.set_planned_only(False)
        _change_configuration(fleet)
    finally:
        callers.stop()
        fleet.stop()
    runs = read_runs(folder)
    broken += find_violations(callers.attempts, runs, read_job_events(folder), CORES)
    jobs = len({attempt.job for attempt in callers.attempts})
    return SeedResult(seed, broken, injected_faults, jobs, len(runs))


def _disturb(faults: FaultInjector, rng: Random, seconds: float) -> list[str]:
    injected_faults: list[str] = []
    order = itertools.count()
    open_faults: list[tuple[float, int, Undo]] = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        while open_faults and open_faults[0][0] <= time.monotonic():
            heapq.heappop(open_faults)[2]()
        if len(open_faults) < MAX_OVERLAPPING_FAULTS:
            fault = faults.inject()
            injected_faults.append(
                f"{time.monotonic():.3f} {fault.description} for {fault.seconds}"
            )
            ends_at = time.monotonic() + fault.seconds
            heapq.heappush(open_faults, (ends_at, next(order), fault.undo))
        time.sleep(rng.choice(PAUSE_CHOICES_SECONDS))
    for _, _, undo in sorted(open_faults, key=lambda each: each[:2]):
        undo()
    return injected_faults


def _wait_served(fleet: SoakFleet, seed: int) -> None:
    numbers = itertools.count(1)
    for entry in fleet.entries:

        def is_served(entry: str = entry) -> bool:
            job = f"f{seed % 0xFFFF:04x}{next(numbers):011x}"
            return fleet.submit(entry, job).status_code == 200

        wait_for(is_served, f"a job served by {entry} after the faults")


def _restart_entries(fleet: SoakFleet) -> None:
    """Stop each entry and start it again, callers' connections open all the while."""
    for name in fleet.entries:
        fleet.stop_process(name, signal.SIGTERM)
        fleet.wait_exited(name)
        fleet.start_process(name)
        fleet.wait_ready(name, len(fleet.agents))


def _change_configuration(fleet: SoakFleet) -> None:
    """Replace the route while all that entries could hear of it by goes silent.

    The old one must go everywhere in time, and never come back.
    """
    fleet.freeze_connections()
    fleet.write_routes(10**6, [MOVED_ROUTE])
    for name in fleet.entries:
        is_moved = partial(_is_moved, fleet, name)
        wait_for(is_moved, f"the new route at {name}", CONFIGURATION_BOUND_SECONDS)
    for name in fleet.entries:
        assert _is_moved(fleet, name), f"{name} went back to an older configuration"


def _is_moved(fleet: SoakFleet, name: str) -> bool:
    new = fleet.call("GET", name, "/moved/").status_code
    old = fleet.call("GET", name, "/checks/").status_code
    return (new, old) == (200, 404)
