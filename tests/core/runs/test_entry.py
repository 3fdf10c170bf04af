"""Shutdown of an entry, its configuration, and its answers to callers."""

import pytest

from godwitbank._internal.core.events import Dial
from godwitbank._internal.core.runs.events import ConfigurationRead
from godwitbank._internal.models.jobs import Configuration
from tests.core.runs.test_happy_path import make_world
from tests.core.runs.test_silent_streams import RECOVERY_SECONDS
from tests.lib.run_cluster import QUEUE, RunCluster, make_job


def test_stopping_entry_finishes_accepted_jobs() -> None:
    world = make_world()
    world.submit("entry-0", make_job("j1", width=4, seconds=3.0))
    world.run(0.1)
    world.stop("entry-0")
    world.run(4.0)
    assert world.list_ends("j1") == ["completed"]
    assert "entry-0" in world.shut_down


def test_stopping_entry_refuses_jobs_that_it_cannot_finish() -> None:
    # Guards against a connection that is closed without an answer: seconds after
    # SIGTERM a request arrives on a kept-alive connection, and the process exits before
    # the job is done. A process that exits soon must not accept such a job.
    world = make_world()
    world.submit("entry-0", make_job("old", width=4, seconds=4.0))
    world.run(0.1)
    world.stop("entry-0")
    world.run(3.5)
    world.submit("entry-0", make_job("short", seconds=0.3))
    world.submit("entry-0", make_job("long", seconds=2.0))
    world.run(2.0)
    assert world.list_ends("short") == ["completed"]
    assert world.list_ends("long") == ["refused"]
    assert not world.results["long"][0].ran


def test_all_callers_are_answered_before_shutdown_completes() -> None:
    # Guards against the same failure for a job that takes longer than expected.
    world = make_world()
    world.submit("entry-0", make_job("slow", width=4, seconds=9.0))
    world.run(0.1)
    world.stop("entry-0")
    world.run(6.0)
    assert world.list_ends("slow") == ["given_up"]
    assert "entry-0" in world.shut_down
    world.submit("entry-0", make_job("after", seconds=0.1))
    world.run(0.1)
    assert world.list_ends("after") == ["refused"]


def test_configuration_reaches_entries_that_cannot_read_the_store() -> None:
    # Guards against an entry that serves an old configuration while the store answers
    # another entry only. Entries must also send the configuration to each other.
    world = make_world()
    newer = Configuration(7, (QUEUE._replace(prefix="/new/"),), 10**6)
    world.processes["entry-0"].deliver_event(ConfigurationRead(newer))
    world.run(0.05)
    core = world.processes["entry-1"].core
    assert core.routes.version == 7
    assert core.find_queue("desk", "/checks/x") is None
    assert core.find_queue("desk", "/new/x") is not None


def test_older_configuration_is_never_installed() -> None:
    # Guards against a configuration that reverts when a delayed read of an older
    # version arrives after a newer version.
    world = make_world()
    core = world.processes["entry-0"].core
    newer = Configuration(7, (QUEUE,), 10**6)
    for configuration in (newer, newer._replace(version=6)):
        world.processes["entry-0"].deliver_event(ConfigurationRead(configuration))
    assert core.routes.version == 7


def test_new_entry_is_announced_to_agents_by_another_entry() -> None:
    world = make_world(entries=1)
    entry = world.add_entry("entry-new")
    world.run(1.0)
    assert len(entry.core.dispatcher.fleet.views) == 3


def test_longest_matching_prefix_selects_the_queue() -> None:
    world = make_world(entries=1)
    core = world.processes["entry-0"].core
    inner = QUEUE._replace(name="inner", prefix="/checks/inner/")
    configuration = Configuration(9, (QUEUE, inner), 10**6)
    world.processes["entry-0"].deliver_event(ConfigurationRead(configuration))
    assert core.find_queue("desk", "/checks/inner/1").name == "inner"
    assert core.find_queue("desk", "/checks/1").name == "checks"
    assert core.find_queue("other", "/checks/1") is None


def test_metrics_tell_the_version_in_force() -> None:
    world = make_world(entries=1)
    core = world.processes["entry-0"].core
    for version in (3, 7):
        newer = Configuration(version, (QUEUE,), 10**6)
        world.processes["entry-0"].deliver_event(ConfigurationRead(newer))
    assert core.counts.get("configuration_version") == 7


def open_second_stream(world: RunCluster) -> None:
    """Open a second stream between two entries, as if both had dialled at once."""
    dialling = world.processes["entry-1"]
    world.perform(dialling, [Dial("entry-0")])
    world.run(0.1)


def silence_newest_streams(world: RunCluster) -> None:
    """Lose all further frames on the newest stream between two entries."""
    for name in ("entry-0", "entry-1"):
        process = world.processes[name]
        newest = process.core.links.list_peers()[0]
        process.streams[newest.stream].loses_frames = True


@pytest.mark.parametrize("dead_before", [0.0, 0.2, 0.4, 0.6])
def test_version_lost_with_a_stream_is_sent_on_the_other_stream(
    dead_before: float,
) -> None:
    world = make_world()
    open_second_stream(world)
    silence_newest_streams(world)
    world.run(dead_before)
    newer = Configuration(7, (QUEUE,), 10**6)
    world.processes["entry-0"].deliver_event(ConfigurationRead(newer))
    world.run(RECOVERY_SECONDS)
    assert world.processes["entry-1"].core.routes.version == 7


@pytest.mark.parametrize("dead_before", [0.0, 0.2, 0.4, 0.6])
def test_evacuation_lost_with_a_stream_is_sent_on_the_other_stream(
    dead_before: float,
) -> None:
    world = make_world()
    world.without_store.add("entry-1")
    open_second_stream(world)
    silence_newest_streams(world)
    world.run(dead_before)
    world.evacuate("zone-2")
    world.run(RECOVERY_SECONDS)
    assert world.processes["entry-1"].core.evacuations.covers("zone-2")
