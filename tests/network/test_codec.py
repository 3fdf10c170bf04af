"""Frames survive any cut of the stream; garbage is refused."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitbank._internal.exceptions import FrameError
from godwitbank._internal.models.messages import Load, Start
from godwitbank._internal.models.tasks import TaskKey
from godwitbank._internal.network.codec import FrameReader, decode, encode

START = Start(TaskKey("s", 3, 1), "i", "desk", "c", "", 1.5, 2, b"payload")


@given(st.lists(st.integers(1, 40), min_size=1, max_size=30))
def test_any_cut_of_the_stream_gives_the_same_messages(cuts: list[int]) -> None:
    stream = encode(START) + encode(Load(1, 2)) + encode(START)
    reader = FrameReader()
    read = []
    place = 0
    for cut in [*cuts, len(stream)]:
        read += list(reader.feed(stream[place : place + cut]))
        place += cut
    assert read == [START, Load(1, 2), START]


@given(st.binary(max_size=200))
def test_garbage_is_refused_or_waits_for_more(data: bytes) -> None:
    try:
        list(FrameReader().feed(data))
    except FrameError as error:
        assert error.remedy


@pytest.mark.parametrize(
    "body", [b"", b"\xc0", b"\x90", b"\x91\xff", b"\x93\x09\xa1x\xa1y", b"\x91\x7f"]
)
def test_wrong_bodies(body: bytes) -> None:
    with pytest.raises(FrameError):
        decode(body)


def test_a_length_out_of_bounds_ends_the_stream() -> None:
    with pytest.raises(FrameError, match="too long"):
        list(FrameReader().feed(b"\xff\xff\xff\xff"))
