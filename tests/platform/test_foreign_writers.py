"""What other writers leave at the store or send as reports harms nobody else."""

import base64
import json
from collections.abc import Callable
from functools import partial

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from godwitbank._internal.models.jobs import EndpointReport
from godwitbank._internal.models.resources import Resources
from godwitbank._internal.platform.bodies import (
    decode_configuration,
    decode_job,
    decode_report,
    decode_run_lists,
)
from godwitbank._internal.platform.rows import (
    decode_address,
    decode_rows,
    decode_stored_report,
)

REPORT = {
    "service": "desk",
    "address": "10.0.0.1:8080",
    "state": "ready",
    "capacity": {"cpu": 16000, "mem-mb": 64, "gpu": 0},
    "labels": ["a", "r1-1"],
    "clock-ms": 5,
    "seq": 4,
}
ROW = {"key": "entry-0", "value": base64.b64encode(b"10.0.0.1:7720").decode()}

json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)


def _encode(value: object) -> bytes:
    return json.dumps(value).encode()


@pytest.mark.parametrize("field", ["service", "address", "state", "capacity", "seq"])
def test_a_report_with_a_field_missing_names_no_endpoint(field: str) -> None:
    body = {name: value for name, value in REPORT.items() if name != field}
    with pytest.raises(msgspec.DecodeError):
        decode_report("i-1", _encode(body))


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "asleep"},
        {"service": ""},
        {"service": 7},
        {"capacity": {"cpu": -1, "mem-mb": 64, "gpu": 0}},
        {"capacity": []},
        {"labels": "a"},
        {"seq": "4"},
        {"clock-ms": "soon"},
    ],
)
def test_a_report_with_a_value_that_is_no_such_thing_names_no_endpoint(
    changes: dict,
) -> None:
    # Symptom: runs go to an endpoint that isn't there. Sequence: another writer
    # reports a state or a type that the platform doesn't define. Cause: whatever
    # wasn't "draining" counted as ready, and what was missing as zero.
    with pytest.raises(msgspec.DecodeError):
        decode_report("i-1", _encode({**REPORT, **changes}))


@given(st.sampled_from(sorted(REPORT)), json_values, st.binary(max_size=40))
def test_any_report_is_decoded_or_refused(
    field: str, value: object, raw: bytes
) -> None:
    for body in (_encode({**REPORT, field: value}), raw):
        try:
            report = decode_report("i-1", body)
        except msgspec.DecodeError:
            continue
        assert report.service
        assert min(report.capacity) >= 0


def test_rows_that_can_not_be_read_leave_the_others_in_force() -> None:
    # Symptom: a new process finds no peers. Sequence: another writer puts a row
    # into the table of entries; reading fails, and is tried again for ever. Cause:
    # all rows were decoded as one.
    strange = [{"key": 7}, {"value": "%%"}, None, {"key": "x", "value": 3}, []]
    body = _encode({"ver": 9, "rows": [*strange, ROW, {"key": "y", "removed": True}]})
    read = decode_rows(body)
    assert read.version == 9
    assert [(row.key, row.value) for row in read.rows] == [
        ("entry-0", b"10.0.0.1:7720")
    ]
    assert read.undecodable_count == 5


@given(st.lists(json_values, max_size=4))
def test_any_rows_are_read_or_counted(rows: list) -> None:
    read = decode_rows(_encode({"ver": 1, "rows": [*rows, ROW]}))
    assert read.rows[-1].key == "entry-0"


@pytest.mark.parametrize(
    "value", [b"", b"\xff\xfe", b"no port", b"host:", b":7720", b"h:0", b"h:99999"]
)
def test_what_is_no_address_names_no_entry(value: bytes) -> None:
    assert decode_address(value) is None


def test_an_address_is_read() -> None:
    assert decode_address(b"10.0.0.1:7720") == "10.0.0.1:7720"


def test_a_kept_report_comes_back_as_it_was() -> None:
    report = EndpointReport(
        "i-1", "desk", Resources(16000, 64, 0), ("a",), False, 5, 4, "h:1"
    )
    assert decode_stored_report(msgspec.json.encode(report)) == report


@given(json_values, st.binary(max_size=40))
def test_any_kept_report_is_read_or_passed_over(value: object, raw: bytes) -> None:
    for body in (_encode(value), raw):
        kept = decode_stored_report(body)
        assert kept is None or min(kept.capacity) >= 0


@pytest.mark.parametrize(
    "lists",
    [
        {"running": [["t"]]},
        {"running": [["t", "1", "", 4]]},
        {"running": [[1, 1, "", 4]]},
        {"ended": [[1, "t"]]},
        {"ended": [["1", "t", 1, "done", ""]]},
        {"ended": [None]},
    ],
)
def test_lists_of_another_shape_are_refused_as_a_whole(lists: dict) -> None:
    # Symptom: an endpoint's lease is never renewed again and all its runs lapse.
    # Sequence: a row of the answer is too short. Cause: the error was none that
    # the caller of the decoder knew, so the renewal stayed under way for ever.
    with pytest.raises(msgspec.DecodeError):
        decode_run_lists(_encode({"clock-ms": 1, **lists}))


@given(st.sampled_from(["running", "ended"]), json_values, st.binary(max_size=40))
def test_any_lists_are_decoded_or_refused(
    field: str, value: object, raw: bytes
) -> None:
    for body in (_encode({"clock-ms": 1, field: value}), raw):
        try:
            decode_run_lists(body)
        except msgspec.DecodeError:
            continue


DEEP = b'{"x":' + b"[" * 100_000
"""JSON that is nested deeper than any decoder goes."""


@pytest.mark.parametrize(
    "decode",
    [
        decode_rows,
        decode_configuration,
        decode_run_lists,
        partial(decode_report, "i-1"),
    ],
)
def test_what_is_nested_too_deeply_is_refused_like_other_bytes(
    decode: Callable[[bytes], object],
) -> None:
    with pytest.raises(msgspec.DecodeError):
        decode(DEEP)


def test_a_job_that_is_nested_too_deeply_is_refused() -> None:
    decoded = decode_job("0" * 16, "checks", DEEP)
    assert isinstance(decoded, Failure)
