"""Tests of entries that get more jobs than their processor can handle.

They guard against callers of one availability zone getting their answers too late or
never, even long after the load has dropped again, while other zones serve theirs, and
hardly any caller is refused. Some entries of the zone were cut off, their callers moved
to the others, and a burst came. A turn of the event loops of the remaining small
entries then took 0.3 s instead of some milliseconds; it grew from 50 to 350 ms within
half a second. Those entries accepted every job and sent start orders for callers that
had disconnected. Their view of the free capacity was outdated, so half of their orders
were returned and sent again. Without a limit on processor time the zone served the same
load as well as the others.

The cause was that jobs were accepted by the free capacity of the endpoints alone. The
processor time of the entry itself wasn't considered, nor that of its peers, which had
some to spare.
"""

from functools import partial
from random import Random

import pytest

from godwitbank._internal.core.runs.events import LagMeasured
from godwitbank._internal.models.resources import Resources
from tests.lib.busy_process import BusyProcess, Callers
from tests.lib.run_cluster import RunCluster, make_job

SMALL_ENTRY_CORES, LARGE_ENTRY_CORES = 0.25, 2.0
"""Cores of a small and of a large entry."""

CAPACITY_JOBS_PER_SECOND = 93.0
"""Jobs of two tasks that a small entry can handle per second. One takes 2.7 ms of
processor time by the costs in ``busy_process``, reports of free capacity included."""

TIMEOUT_SECONDS = 1.5
OBJECTIVE_SECONDS = 0.3
"""Seconds in which a job of two tasks of 0.15 s should be done: 1.6 times the run time
plus 60 ms."""

PROMPT_SECONDS = 0.25
"""Seconds in which a caller that can't be served should be refused: a sixth of its
timeout, which leaves enough time to try elsewhere."""


class Zone:
    """Entries with little processor time, and endpoints with ample capacity."""

    def __init__(self, shares: list[float]) -> None:
        self.world = RunCluster(seed=3)
        self.world.checking = False
        self.entries = [f"entry-{number}" for number in range(len(shares))]
        for name, share in zip(self.entries, shares, strict=True):
            self.world.add_entry(name, partial(BusyProcess, share=share))
        for number in range(10):
            self.world.add_agent(f"agent-{number}", Resources(64000, 10**6, 0))
        self.world.run(3.0)
        self.callers = Callers(self.world, TIMEOUT_SECONDS)
        self._rng = Random(5)
        self._number = 0

    def submit_jobs(
        self, entries: list[str], per_second: float, seconds: float
    ) -> None:
        """Submit jobs to random ones of some entries for some seconds."""
        until = self.world.now + seconds
        while self.world.now < until:
            self.world.run(self._rng.expovariate(per_second))
            self._number += 1
            spec = make_job(f"job{self._number}", width=2, seconds=0.15, cpu=1000)
            self.callers.submit(self._rng.choice(entries), spec)

    def wait_for_answers(self) -> None:
        """Run until every caller was answered or has timed out."""
        self.world.run(2 * TIMEOUT_SECONDS + 2.0)

    def measure_unanswered_share(self) -> float:
        """Return the share of callers without an answer within their timeout."""
        times = [
            self.callers.find_answer_seconds(asked) for asked in self.callers.submitted
        ]
        late = [time for time in times if time is None or time > TIMEOUT_SECONDS]
        return len(late) / len(times)

    def measure_done_share(self, since: float = 0.0) -> float:
        """Return the share of jobs submitted since a time that were done in time."""
        asked = [each for each in self.callers.submitted if each.submitted_at >= since]
        done = [
            each for each in asked if self.callers.is_completed(each, OBJECTIVE_SECONDS)
        ]
        return len(done) / len(asked)

    def measure_prompt_refusal_share(self) -> float:
        """Return the share of refusals that came promptly, or 1 if there were none."""
        times = [
            self.callers.find_answer_seconds(asked) or 0.0
            for asked in self.callers.submitted
            if "refused" in self.world.list_ends(asked.spec.job)[:1]
        ]
        prompt = [time for time in times if time <= PROMPT_SECONDS]
        return len(prompt) / len(times) if times else 1.0


def test_jobs_are_forwarded_to_entries_with_spare_processor_time() -> None:
    zone = Zone([SMALL_ENTRY_CORES, LARGE_ENTRY_CORES, LARGE_ENTRY_CORES])
    zone.submit_jobs(zone.entries[:1], 1.9 * CAPACITY_JOBS_PER_SECOND, 4.0)
    zone.wait_for_answers()
    assert zone.measure_unanswered_share() <= 0.01
    assert zone.measure_done_share() >= 0.95


@pytest.mark.parametrize("times", [1.6, 1.9])
def test_callers_are_refused_at_once_while_no_entry_has_processor_time(
    times: float,
) -> None:
    # The jobs that can be served are still served, except for a fifth of them, as the
    # refusals take processor time, too.
    zone = Zone([SMALL_ENTRY_CORES, SMALL_ENTRY_CORES])
    zone.submit_jobs(zone.entries, 2 * times * CAPACITY_JOBS_PER_SECOND, 4.0)
    zone.wait_for_answers()
    assert zone.measure_unanswered_share() <= 0.01
    assert zone.measure_prompt_refusal_share() >= 0.99
    assert zone.measure_done_share() >= 0.8 / times


def test_service_recovers_when_the_load_drops_again() -> None:
    zone = Zone([SMALL_ENTRY_CORES, SMALL_ENTRY_CORES])
    zone.submit_jobs(zone.entries, 2 * 1.9 * CAPACITY_JOBS_PER_SECOND, 3.0)
    since = zone.world.now + 1.0
    zone.submit_jobs(zone.entries, 2 * 0.7 * CAPACITY_JOBS_PER_SECOND, 4.0)
    zone.wait_for_answers()
    assert zone.measure_done_share(since) >= 0.99


def test_an_entry_with_enough_processor_time_serves_all_jobs() -> None:
    zone = Zone([SMALL_ENTRY_CORES, LARGE_ENTRY_CORES])
    zone.submit_jobs(zone.entries[:1], 0.7 * CAPACITY_JOBS_PER_SECOND, 4.0)
    zone.wait_for_answers()
    assert zone.measure_unanswered_share() == 0.0
    assert zone.measure_done_share() >= 0.99


def test_agents_without_processor_time_get_less_work() -> None:
    # Guards against late jobs while endpoints have free capacity. Agents on a slow VM
    # acted on orders a quarter of a second late. Their endpoints were as fast as others
    # and had the most free capacity, as little was started there, so entries that only
    # considered speed and capacity preferred them.
    world = RunCluster(seed=4)
    world.add_entry("entry-0")
    for number in range(4):
        world.add_agent(f"agent-{number}", Resources(64000, 10**6, 0))
    world.run(3.0)
    lagging = world.processes["agent-0"]
    for _ in range(40):
        lagging.deliver_event(LagMeasured(0.25))
        world.run(0.05)
    for number in range(20):
        world.submit("entry-0", make_job(f"job{number}", width=2, seconds=0.15))
        world.run(0.1)
    sent = [note for _, _, note in world.log_decisions if note.event == "run_sent"]
    sent_to_lagging = [note for note in sent if note.fields["agent"] == "agent-0"]
    assert len(sent) == 40
    assert len(sent_to_lagging) == 0
