"""Heartbeats, timeouts and probes of streams."""

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
    """Make links with one stream to an entry, by default those of an agent."""
    links = Links("agent-0", "agent-0#1", NOW, limit)
    hello = Hello(1, Role.ENTRY, "entry-0", "entry-0#1", "entry-0", "zone-1")
    link = links.add_stream(STREAM, hello, "entry-0", NOW)
    assert link is not None
    if busy:
        link.busy_since = NOW
    return links, link


def test_busy_stream_times_out_early() -> None:
    links, _ = make_links(busy=True)
    assert not links.list_timed_out(NOW + BUSY_TIMEOUT_SECONDS - 0.01)
    assert links.list_timed_out(NOW + BUSY_TIMEOUT_SECONDS + 0.01)


def test_idle_stream_times_out_later() -> None:
    links, _ = make_links(busy=False)
    assert not links.list_timed_out(NOW + IDLE_TIMEOUT_SECONDS - 0.01)
    assert links.list_timed_out(NOW + IDLE_TIMEOUT_SECONDS + 0.01)


def test_timeout_of_new_work_starts_when_it_is_sent() -> None:
    # Guards against a run that is given up as soon as it is sent, because the time
    # without frames before it was sent counted towards the timeout.
    links, link = make_links(busy=False)
    link.busy_since = NOW + 3.0
    assert not links.list_timed_out(NOW + 3.0)
    assert links.list_timed_out(NOW + 3.0 + BUSY_TIMEOUT_SECONDS + 0.01)


def test_frames_delayed_by_a_network_cut_are_rejected() -> None:
    # Guards against a task that runs twice: a link is cut with runs in flight, and
    # recovers after the other end has given them up. Orders that were sent before
    # that arrive then, and must not count as new.
    links, _ = make_links(busy=True)
    assert links.record_frame(STREAM, NOW + BUSY_TIMEOUT_SECONDS + 0.01) is None


def test_paused_process_closes_all_streams() -> None:
    # Guards against a task that runs twice: an entry is suspended with a job waiting,
    # the caller submits the job to another entry, and the first one resumes and starts
    # it. Idle streams don't time out early enough to prevent that.
    links, _ = make_links(busy=False)
    assert not links.begin_event(NOW + BUSY_TIMEOUT_SECONDS - 0.01)
    assert links.begin_event(NOW + 2 * BUSY_TIMEOUT_SECONDS)


def test_heartbeats_are_frequent_only_on_busy_streams() -> None:
    for busy, interval in (
        (True, BUSY_HEARTBEAT_SECONDS),
        (False, IDLE_HEARTBEAT_SECONDS),
    ):
        links, link = make_links(busy)
        assert links.list_due_heartbeats(NOW + interval - 0.01) == []
        assert links.list_due_heartbeats(NOW + interval + 1.0) == [link]


def test_sent_frame_replaces_a_heartbeat() -> None:
    links, link = make_links(busy=True)
    links.record_sent(
        [Send(STREAM, StopRun("j1.0.0.0", 1))], NOW + BUSY_HEARTBEAT_SECONDS
    )
    assert links.list_due_heartbeats(NOW + BUSY_HEARTBEAT_SECONDS + 0.1) == []
    assert links.list_due_heartbeats(NOW + 2 * BUSY_HEARTBEAT_SECONDS + 0.1) == [link]


def test_rate_of_peer_heartbeats_is_bounded() -> None:
    links, _ = make_links(busy=False, limit=None)
    links.addresses.add([f"entry-{number}" for number in range(4)], NOW)
    few_interval = links.peer_heartbeat_seconds
    links.addresses.add([f"entry-{number}" for number in range(30)], NOW)
    assert 4 / few_interval <= 100
    assert 30 / links.peer_heartbeat_seconds <= 100


def test_idle_stream_is_probed_once_and_times_out_without_an_answer() -> None:
    links, link = make_links(busy=False)
    probed_at = NOW + 1.0
    assert links.start_probes(probed_at) == [link]
    assert links.start_probes(probed_at) == []
    assert link.is_overdue(probed_at)
    assert links.list_timed_out(probed_at + PROBE_TIMEOUT_SECONDS + 0.01) == [link]


def test_frame_answers_a_pending_probe() -> None:
    links, link = make_links(busy=False)
    links.start_probes(NOW + 1.0)
    assert links.record_frame(STREAM, NOW + 1.01) is link
    assert not link.is_probe_pending
    assert not links.list_timed_out(NOW + 1.0 + PROBE_TIMEOUT_SECONDS + 0.01)


def test_streams_with_a_recent_frame_are_not_probed() -> None:
    links, link = make_links(busy=False)
    links.record_frame(STREAM, NOW + 1.0)
    assert links.start_probes(NOW + 1.0 + MISSED_HEARTBEAT_SECONDS - 0.01) == []


def test_mark_idle_reports_an_overdue_stream() -> None:
    links, link = make_links(busy=True)
    links.record_frame(STREAM, NOW + 0.5)
    assert not link.mark_idle(NOW + 0.5 + MISSED_HEARTBEAT_SECONDS - 0.01)
    link.busy_since = NOW + 0.6
    assert link.mark_idle(NOW + 0.5 + MISSED_HEARTBEAT_SECONDS + 0.01)
    assert not link.mark_idle(NOW + 9.0)
