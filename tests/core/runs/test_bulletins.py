"""How often entries are told of an endpoint's room."""

from godwitbank._internal.core.runs.bulletins import PAUSE_SECONDS, Bulletins
from godwitbank._internal.core.runs.links import Link
from godwitbank._internal.models.messages import Hello, Role
from godwitbank._internal.models.run_messages import EndpointNews, Room

NOW = 100.0
NEWS = EndpointNews("i-1", "desk", 16000, 65536, 0, [], True, True)
ENTRIES = 4


def make_link(stream: int = 1) -> Link:
    """Make an entry's stream."""
    hello = Hello(1, Role.ENTRY, "entry-0", "entry-0#1", "entry-0:1", "zone-1")
    return Link(stream, hello, "", NOW)


def make_room(cpu: int, seen: int = 0) -> Room:
    """Make what an entry is told of room."""
    return Room(cpu, 65536, 0, 0, seen)


def make_told(room: Room) -> Bulletins:
    """Make bulletins whose first entry was told some room at first."""
    bulletins = Bulletins()
    bulletins.begin(ENTRIES)
    assert bulletins.list_due(make_link(), NEWS, room, NOW) == [NEWS, room]
    return bulletins


def test_an_entry_hears_at_once_of_its_own_starts() -> None:
    bulletins = make_told(make_room(16000))
    room = make_room(14400, seen=1)
    bulletins.begin(ENTRIES)
    assert bulletins.list_due(make_link(), NEWS, room, NOW + 0.001) == [room]


def test_other_changes_wait_and_are_told_together() -> None:
    bulletins = make_told(make_room(16000))
    pause = PAUSE_SECONDS * ENTRIES
    bulletins.begin(ENTRIES)
    assert bulletins.list_due(make_link(), NEWS, make_room(9000), NOW + 0.001) == []
    assert bulletins.next_wakeup() == NOW + pause
    last = make_room(8000)
    bulletins.begin(ENTRIES)
    assert bulletins.list_due(make_link(), NEWS, last, NOW + pause) == [last]
    assert bulletins.next_wakeup() > NOW + pause


def test_news_of_the_endpoint_never_wait() -> None:
    bulletins = make_told(make_room(16000))
    closed = NEWS._replace(open=False)
    bulletins.begin(ENTRIES)
    due = bulletins.list_due(make_link(), closed, make_room(9000), NOW + 0.001)
    assert due == [closed]


def test_a_new_stream_is_told_everything() -> None:
    bulletins = make_told(make_room(16000))
    bulletins.forget(1)
    bulletins.begin(ENTRIES)
    room = make_room(16000)
    assert bulletins.list_due(make_link(), NEWS, room, NOW) == [NEWS, room]
