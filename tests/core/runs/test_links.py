"""Who is alive, and who fell silent."""

from godwitbank._internal.core.events import Send
from godwitbank._internal.core.runs.links import (
    BUSY_HEARTBEAT_SECONDS,
    BUSY_TIMEOUT_SECONDS,
    IDLE_HEARTBEAT_SECONDS,
    IDLE_TIMEOUT_SECONDS,
    MISSED_HEARTBEAT_SECONDS,
    PROBE_TIMEOUT_SECONDS,
    Link,
    Links,
)
from godwitbank._internal.models.messages import Hello, Role
from godwitbank._internal.models.run_messages import StopRun

NOW = 100.0
STREAM = 1


def make_links(busy: bool, limit: int | None = 8) -> tuple[Links, Link]:
    """Make an agent's links with one stream to an entry."""
    links = Links("agent-0", "agent-0#1", NOW, limit)
    hello = Hello(1, Role.ENTRY, "entry-0", "entry-0#1", "entry-0", "zone-1")
    link = links.add_stream(STREAM, hello, "entry-0", NOW)
    assert link is not None
    if busy:
        link.busy_since = NOW
    return links, link


def test_a_busy_stream_is_dead_after_a_short_silence() -> None:
    links, _ = make_links(busy=True)
    assert not links.list_timed_out(NOW + BUSY_TIMEOUT_SECONDS - 0.01)
    assert links.list_timed_out(NOW + BUSY_TIMEOUT_SECONDS + 0.01)


def test_an_idle_stream_may_be_silent_for_longer() -> None:
    links, _ = make_links(busy=False)
    assert not links.list_timed_out(NOW + IDLE_TIMEOUT_SECONDS - 0.01)
    assert links.list_timed_out(NOW + IDLE_TIMEOUT_SECONDS + 0.01)


def test_work_sent_after_a_long_silence_gets_its_time() -> None:
    # Symptom: a run is given up the moment it is sent. Cause: the silence before
    # anything was in flight was counted against its agent.
    links, link = make_links(busy=False)
    link.busy_since = NOW + 3.0
    assert not links.list_timed_out(NOW + 3.0)
    assert links.list_timed_out(NOW + 3.0 + BUSY_TIMEOUT_SECONDS + 0.01)


def test_what_a_cut_held_up_is_not_acted_on() -> None:
    # Symptom: a task runs twice. Sequence: a link is cut with runs in flight and heals
    # after its other end has given them up; orders sent before arrive. Cause: they
    # were taken for new.
    links, _ = make_links(busy=True)
    assert links.record_frame(STREAM, NOW + BUSY_TIMEOUT_SECONDS + 0.01) is None


def test_a_process_that_stood_still_gives_up_all_streams() -> None:
    # Symptom: a task runs twice. Sequence: an entry is suspended with a job waiting;
    # the job's caller goes to another entry; the first wakes up and starts the job.
    # Cause: a stream with nothing in flight doesn't show that time has passed.
    links, _ = make_links(busy=False)
    assert not links.begin_event(NOW + BUSY_TIMEOUT_SECONDS - 0.01)
    assert links.begin_event(NOW + 2 * BUSY_TIMEOUT_SECONDS)


def test_life_is_proved_often_only_while_runs_depend_on_it() -> None:
    for busy, pause in (
        (True, BUSY_HEARTBEAT_SECONDS),
        (False, IDLE_HEARTBEAT_SECONDS),
    ):
        links, link = make_links(busy)
        assert links.list_due_heartbeats(NOW + pause - 0.01) == []
        assert links.list_due_heartbeats(NOW + pause + 1.0) == [link]


def test_what_is_sent_proves_life() -> None:
    links, link = make_links(busy=True)
    links.record_sent(
        [Send(STREAM, StopRun("j1.0.0.0", 1))], NOW + BUSY_HEARTBEAT_SECONDS
    )
    assert links.list_due_heartbeats(NOW + BUSY_HEARTBEAT_SECONDS + 0.1) == []
    assert links.list_due_heartbeats(NOW + 2 * BUSY_HEARTBEAT_SECONDS + 0.1) == [link]


def test_an_entry_proves_its_life_to_others_as_often_whatever_their_number() -> None:
    links, _ = make_links(busy=False, limit=None)
    links.addresses.add([f"entry-{number}" for number in range(4)], NOW)
    few = links.peer_heartbeat_seconds
    links.addresses.add([f"entry-{number}" for number in range(30)], NOW)
    assert 4 / few <= 100
    assert 30 / links.peer_heartbeat_seconds <= 100


def test_an_idle_stream_is_probed_once_another_fell_silent() -> None:
    links, link = make_links(busy=False)
    asked_at = NOW + 1.0
    assert links.start_probes(asked_at) == [link]
    assert links.start_probes(asked_at) == []
    assert link.is_overdue(asked_at)
    assert links.list_timed_out(asked_at + PROBE_TIMEOUT_SECONDS + 0.01) == [link]


def test_a_frame_ends_the_doubt_of_a_stream_that_was_probed() -> None:
    links, link = make_links(busy=False)
    links.start_probes(NOW + 1.0)
    assert links.record_frame(STREAM, NOW + 1.01) is link
    assert not link.is_probe_pending
    assert not links.list_timed_out(NOW + 1.0 + PROBE_TIMEOUT_SECONDS + 0.01)


def test_streams_heard_just_now_are_not_probed() -> None:
    links, link = make_links(busy=False)
    links.record_frame(STREAM, NOW + 1.0)
    assert links.start_probes(NOW + 1.0 + MISSED_HEARTBEAT_SECONDS - 0.01) == []


def test_a_stream_that_ends_its_work_in_silence_is_told_of() -> None:
    links, link = make_links(busy=True)
    links.record_frame(STREAM, NOW + 0.5)
    assert not link.mark_idle(NOW + 0.5 + MISSED_HEARTBEAT_SECONDS - 0.01)
    link.busy_since = NOW + 0.6
    assert link.mark_idle(NOW + 0.5 + MISSED_HEARTBEAT_SECONDS + 0.01)
    assert not link.mark_idle(NOW + 9.0)
