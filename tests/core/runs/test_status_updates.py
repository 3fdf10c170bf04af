"""How often entries are told of an endpoint's room."""

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
USUAL_CPU = 1600.0


def make_link(stream: int = 1) -> Link:
    """Make an entry's stream."""
    hello = Hello(1, Role.ENTRY, "entry-0", "entry-0#1", "entry-0:1", "zone-1")
    return Link(stream, hello, "", NOW)


def make_links(count: int) -> list[Link]:
    """Make the streams of some entries."""
    return [make_link(stream) for stream in range(1, count + 1)]


def make_room(cpu: int, seen: int = 0) -> Room:
    """Make what an entry is told of room."""
    return Room(cpu, 65536, 0, 0, seen)


def list_due(
    bulletins: StatusUpdates,
    room: Room,
    now: float,
    news: EndpointNews = NEWS,
    at_once: bool = False,
) -> list:
    """List what the one entry is told at some moment."""
    bulletins.begin_round(make_links(ENTRIES), USUAL_CPU, now)
    return bulletins.list_due(make_link(), news, room, at_once)


def make_told(room: Room) -> StatusUpdates:
    """Make bulletins whose entry was told some room at first."""
    bulletins = StatusUpdates()
    assert list_due(bulletins, room, NOW) == [NEWS, room]
    return bulletins


def test_an_entry_hears_with_the_end_of_its_run_what_room_there_is() -> None:
    bulletins = make_told(make_room(16000))
    room = make_room(14400, seen=1)
    assert list_due(bulletins, room, NOW + 0.001, at_once=True) == [room]


def test_an_entry_that_only_sent_a_start_counts_it_in_by_itself() -> None:
    # Symptom: agents and entries spend their time on news about room. Cause: each
    # start was answered by what room was left, which its sender had counted before.
    bulletins = make_told(make_room(16000))
    assert list_due(bulletins, make_room(14400, seen=1), NOW + 0.001) == []


def test_other_changes_wait_and_are_told_together() -> None:
    bulletins = make_told(make_room(16000))
    pause = UPDATE_INTERVAL_SECONDS * ENTRIES
    assert list_due(bulletins, make_room(9000), NOW + 0.001) == []
    assert bulletins.next_wakeup() == NOW + pause
    last = make_room(8000)
    assert list_due(bulletins, last, NOW + pause) == [last]
    assert bulletins.next_wakeup() > NOW + pause


def test_one_timer_serves_all_entries() -> None:
    # Symptom: an agent uses twice the processor time. Cause: the pause ran for each
    # entry by itself, so that ten of them woke the agent ten times as often.
    bulletins = make_told(make_room(16000))
    assert list_due(bulletins, make_room(9000), NOW + 0.01, at_once=True)
    assert list_due(bulletins, make_room(8000), NOW + 0.011) == []
    assert bulletins.next_wakeup() == NOW + UPDATE_INTERVAL_SECONDS * ENTRIES


def test_news_of_the_endpoint_never_wait() -> None:
    bulletins = make_told(make_room(16000))
    closed = NEWS._replace(accepts_runs=False)
    assert list_due(bulletins, make_room(9000), NOW + 0.001, closed) == [closed]


def test_a_new_stream_is_told_everything() -> None:
    bulletins = make_told(make_room(16000))
    bulletins.remove_stream(1)
    room = make_room(16000)
    assert list_due(bulletins, room, NOW + 0.001) == [NEWS, room]


def test_few_entries_are_told_at_once() -> None:
    bulletins = StatusUpdates()
    for cpu in (16000, 9000):
        bulletins.begin_round(make_links(4), USUAL_CPU, NOW)
        due = bulletins.list_due(make_link(), NEWS, make_room(cpu), False)
        assert due[-1].cpu == cpu


def tell_all(bulletins: StatusUpdates, room: Room, now: float) -> list[int]:
    """Tell all entries what is due; return the streams that were told of room."""
    told = []
    for link in bulletins.begin_round(make_links(ENTRIES), USUAL_CPU, now):
        if room in bulletins.list_due(link, NEWS, room, False):
            told.append(link.stream)
    return told


def test_all_are_told_at_once_that_there_is_no_room_left() -> None:
    bulletins = StatusUpdates()
    tell_all(bulletins, make_room(16000), NOW)
    assert not tell_all(bulletins, make_room(3000), NOW + 0.001)
    assert len(tell_all(bulletins, make_room(1500), NOW + 0.002)) == ENTRIES


def test_few_at_a_time_are_told_at_once_that_there_is_room_again() -> None:
    bulletins = StatusUpdates()
    tell_all(bulletins, make_room(0), NOW)
    heard: list[int] = []
    for step in range(1, ENTRIES // MAX_IMMEDIATE_UPDATES + 1):
        told = tell_all(bulletins, make_room(1600), NOW + step / 1000)
        assert len(told) == MAX_IMMEDIATE_UPDATES
        heard += told
    assert sorted(heard) == list(range(1, ENTRIES + 1))


def test_whoever_was_told_longest_ago_is_told_first_of_room() -> None:
    bulletins = StatusUpdates()
    tell_all(bulletins, make_room(0), NOW)
    first = tell_all(bulletins, make_room(1600), NOW + 0.001)
    tell_all(bulletins, make_room(0), NOW + 0.002)
    second = tell_all(bulletins, make_room(1600), NOW + 0.003)
    assert not set(first) & set(second)
