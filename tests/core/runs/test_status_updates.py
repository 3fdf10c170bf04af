"""Tests how often entries are sent updates about an endpoint's free capacity."""

from godwitbank._internal.core.runs.links import Link
from godwitbank._internal.core.runs.status_updates import (
    MAX_IMMEDIATE_UPDATES,
    UPDATE_INTERVAL_SECONDS,
    StatusUpdates,
)
from godwitbank._internal.models.messages import Hello, Role
from godwitbank._internal.models.run_messages import EndpointNews, Room

NOW = 100.0
NEWS = EndpointNews("i-1", "desk", 16000, 65536, 0, [], True, True, False)
ENTRIES = 10
TYPICAL_CPU = 1600.0


def make_link(stream: int = 1) -> Link:
    """Make the link to an entry."""
    hello = Hello(1, Role.ENTRY, "entry-0", "entry-0#1", "entry-0:1", "zone-1")
    return Link(stream, hello, "", NOW)


def make_links(count: int) -> list[Link]:
    """Make the links to several entries."""
    return [make_link(stream) for stream in range(1, count + 1)]


def make_room(cpu: int, seen: int = 0) -> Room:
    """Make an update about free capacity."""
    return Room(cpu, 65536, 0, 0, seen)


def list_due(
    updates: StatusUpdates,
    room: Room,
    now: float,
    news: EndpointNews = NEWS,
    immediate: bool = False,
) -> list:
    """List the messages that are due for the first entry at a given time."""
    updates.begin_round(make_links(ENTRIES), TYPICAL_CPU, now)
    return updates.list_due(make_link(), news, room, immediate)


def make_updates(room: Room) -> StatusUpdates:
    """Make status updates whose first entry was sent an initial update."""
    updates = StatusUpdates()
    assert list_due(updates, room, NOW) == [NEWS, room]
    return updates


def test_entry_is_sent_the_free_capacity_with_the_end_of_its_run() -> None:
    updates = make_updates(make_room(16000))
    room = make_room(14400, seen=1)
    assert list_due(updates, room, NOW + 0.001, immediate=True) == [room]


def test_entry_that_only_ordered_a_start_gets_no_update() -> None:
    # Guards against agents and entries that spend their time on updates because each
    # start order is answered with the free capacity that is left. The entry has
    # subtracted its own order already.
    updates = make_updates(make_room(16000))
    assert list_due(updates, make_room(14400, seen=1), NOW + 0.001) == []


def test_other_changes_are_postponed_and_sent_together() -> None:
    updates = make_updates(make_room(16000))
    interval = UPDATE_INTERVAL_SECONDS * ENTRIES
    assert list_due(updates, make_room(9000), NOW + 0.001) == []
    assert updates.next_wakeup() == NOW + interval
    last = make_room(8000)
    assert list_due(updates, last, NOW + interval) == [last]
    assert updates.next_wakeup() > NOW + interval


def test_one_timer_serves_all_entries() -> None:
    # Guards against an agent that uses twice the processor time: with an interval per
    # entry, ten entries wake the agent ten times as often.
    updates = make_updates(make_room(16000))
    assert list_due(updates, make_room(9000), NOW + 0.01, immediate=True)
    assert list_due(updates, make_room(8000), NOW + 0.011) == []
    assert updates.next_wakeup() == NOW + UPDATE_INTERVAL_SECONDS * ENTRIES


def test_changes_of_the_endpoint_are_sent_immediately() -> None:
    updates = make_updates(make_room(16000))
    closed = NEWS._replace(accepts_runs=False)
    assert list_due(updates, make_room(9000), NOW + 0.001, closed) == [closed]


def test_new_stream_is_sent_everything() -> None:
    updates = make_updates(make_room(16000))
    updates.remove_stream(1)
    room = make_room(16000)
    assert list_due(updates, room, NOW + 0.001) == [NEWS, room]


def test_few_entries_are_updated_immediately() -> None:
    updates = StatusUpdates()
    for cpu in (16000, 9000):
        updates.begin_round(make_links(4), TYPICAL_CPU, NOW)
        due = updates.list_due(make_link(), NEWS, make_room(cpu), False)
        assert due[-1].cpu == cpu


def update_all(updates: StatusUpdates, room: Room, now: float) -> list[int]:
    """Send all due updates; return the streams that were sent the free capacity."""
    updated = []
    for link in updates.begin_round(make_links(ENTRIES), TYPICAL_CPU, now):
        if room in updates.list_due(link, NEWS, room, False):
            updated.append(link.stream)
    return updated


def test_all_entries_are_told_immediately_that_capacity_is_used_up() -> None:
    updates = StatusUpdates()
    update_all(updates, make_room(16000), NOW)
    assert not update_all(updates, make_room(3000), NOW + 0.001)
    assert len(update_all(updates, make_room(1500), NOW + 0.002)) == ENTRIES


def test_few_entries_at_a_time_are_told_that_capacity_is_free_again() -> None:
    updates = StatusUpdates()
    update_all(updates, make_room(0), NOW)
    updated_streams: list[int] = []
    for step in range(1, ENTRIES // MAX_IMMEDIATE_UPDATES + 1):
        updated = update_all(updates, make_room(1600), NOW + step / 1000)
        assert len(updated) == MAX_IMMEDIATE_UPDATES
        updated_streams += updated
    assert sorted(updated_streams) == list(range(1, ENTRIES + 1))


def test_least_recently_updated_entry_is_told_first_of_free_capacity() -> None:
    updates = StatusUpdates()
    update_all(updates, make_room(0), NOW)
    first = update_all(updates, make_room(1600), NOW + 0.001)
    update_all(updates, make_room(0), NOW + 0.002)
    second = update_all(updates, make_room(1600), NOW + 0.003)
    assert not set(first) & set(second)
