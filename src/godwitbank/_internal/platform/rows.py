"""Decoding of the rows of the platform's store.

Other writers may put rows into the same tables. Each row is decoded separately, so that
a malformed one doesn't make the others unusable.
"""

import base64
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from godwitbank._internal.models.jobs import EndpointReport
from godwitbank._internal.models.resources import Resources
from godwitbank._internal.platform.fields import (
    MAX_TEXT_CHARACTERS,
    Amount,
    Count,
    InstanceId,
    Labels,
    Name,
    Seconds,
    Text,
    WholeNumber,
)
from godwitbank._internal.utils.decoding import decode_json, parse_whole_number

MAX_PORT = 65535

EVACUATION_PREFIX = "evacuate/"
"""Prefix of the keys of evacuation rows; the availability zone's name follows it."""


class _WireRow(msgspec.Struct):
    key: Text
    value: str = ""
    removed: bool = False
    part: Text = ""
    ver: WholeNumber = 0


class _WireRows(msgspec.Struct, rename="kebab"):
    rows: list[msgspec.Raw] = []
    ver: WholeNumber = 0
    has_more: bool = False


class _StoredReport(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    instance: InstanceId
    service: Name
    capacity: tuple[Amount, Amount, Amount]
    labels: Labels
    draining: bool
    clock: WholeNumber
    sequence: WholeNumber
    address: Text
    cold_left: Seconds = 0.0
    born: Count = 0
    remaining: Seconds | None = None


_row_decoder = msgspec.json.Decoder(_WireRow)
_rows_decoder = msgspec.json.Decoder(_WireRows)
_stored_report_decoder = msgspec.json.Decoder(_StoredReport)


class Row(NamedTuple):
    """An existing row.

    :param part: part of the table that holds the row; empty for the part of the
        platform's own rows.
    :param version: version of the store at which it was last written.
    """

    key: str
    value: bytes
    part: str = ""
    version: int = 0


class RowChange(NamedTuple):
    """A row that was written or removed, whether or not its value can be decoded."""

    key: str
    part: str
    removed: bool


class ReadResult(NamedTuple):
    """The result of one read of rows.

    :param version: newest version of the store at the time of the read.
    :param rows: existing rows that could be decoded.
    :param undecodable_count: number of rows that could not be decoded.
    :param changes: all rows whose key could be decoded, in the store's order.
    :param has_more: whether more rows follow on another page.
    """

    version: int
    rows: tuple[Row, ...]
    undecodable_count: int
    changes: tuple[RowChange, ...] = ()
    has_more: bool = False


def decode_rows(body: bytes) -> ReadResult:
    """Decode the store's answer to a read.

    Removed rows are among the changes only, not among the rows.

    :raises msgspec.DecodeError: when the body as a whole has another format.
    """
    wire = decode_json(_rows_decoder, body)
    rows = []
    changes = []
    undecodable_count = 0
    for raw in wire.rows:
        try:
            row = decode_json(_row_decoder, raw)
            changes.append(RowChange(row.key, row.part, row.removed))
            if not row.removed:
                value = base64.b64decode(row.value, validate=True)
                rows.append(Row(row.key, value, row.part, row.ver))
        except (msgspec.DecodeError, ValueError):
            undecodable_count += 1
    return ReadResult(
        wire.ver, tuple(rows), undecodable_count, tuple(changes), wire.has_more
    )


def find_evacuated_zones(
    changes: Iterable[RowChange], before: Iterable[str]
) -> frozenset[str]:
    """Find the zones that are evacuated after some changes.

    A zone is evacuated as long as its row exists, whatever the row's value.

    :param changes: changes of rows, the oldest first.
    :param before: zones that were evacuated before these changes.
    """
    zones = set(before)
    for change in changes:
        zone = change.key.removeprefix(EVACUATION_PREFIX)
        if change.part or zone == change.key:
            continue
        if change.removed:
            zones.discard(zone)
        else:
            zones.add(zone)
    return frozenset(zones)


def decode_address(value: bytes) -> str | None:
    """Decode an address ``host:port``, or return ``None`` if the value is none."""
    try:
        text = value.decode("ascii")
    except UnicodeDecodeError:
        return None
    host, _, text_of_port = text.rpartition(":")
    port = parse_whole_number(text_of_port)
    if not host or len(text) > MAX_TEXT_CHARACTERS or port is None:
        return None
    return text if 0 < port <= MAX_PORT else None


def decode_stored_report(value: bytes) -> EndpointReport | None:
    """Decode a report that an agent has stored.

    :return: the report, or ``None`` if the value is no valid one.
    """
    try:
        stored = decode_json(_stored_report_decoder, value)
    except (msgspec.DecodeError, ValueError):
        return None
    return EndpointReport(
        stored.instance,
        stored.service,
        Resources(*stored.capacity),
        tuple(stored.labels),
        stored.draining,
        stored.clock,
        stored.sequence,
        stored.address,
        stored.cold_left,
        stored.born,
        stored.remaining,
    )
