"""Rows of the platform's store, and what this project keeps in them.

Other writers may put rows beside ours. Each row is decoded by itself, so that one
that can't be read leaves the others in force.
"""

import base64
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from godwitbank._internal.models.jobs import EndpointReport
from godwitbank._internal.utils.decoding import decode_json

MAX_PORT = 65535

EVACUATION_PREFIX = "evacuate/"
"""Start of the keys of rows that each ask for one zone to be emptied."""


class _WireRow(msgspec.Struct):
    key: str
    value: str = ""
    removed: bool = False
    part: str = ""


class _WireRows(msgspec.Struct, rename="kebab"):
    rows: list[msgspec.Raw] = []
    ver: int = 0
    has_more: bool = False


_row_decoder = msgspec.json.Decoder(_WireRow)
_rows_decoder = msgspec.json.Decoder(_WireRows)
_kept_decoder = msgspec.json.Decoder(EndpointReport)


class Row(NamedTuple):
    """One row that is there.

    :param part: the part of the table that it stands in; empty where the platform's
        own rows stand.
    """

    key: str
    value: bytes
    part: str = ""


class RowChange(NamedTuple):
    """A row that is there or was removed, whether its value can be decoded or not."""

    key: str
    part: str
    removed: bool


class ReadResult(NamedTuple):
    """What a read of rows returned.

    :param version: the store's newest version at that moment.
    :param undecodable_count: rows that could not be decoded.
    :param changes: all rows whose key could be decoded, in the store's order.
    :param has_more: whether there are rows behind these.
    """

    version: int
    rows: tuple[Row, ...]
    undecodable_count: int
    changes: tuple[RowChange, ...] = ()
    has_more: bool = False


def decode_rows(body: bytes) -> ReadResult:
    """Decode an answer with rows; those that were removed are left out.

    :raises msgspec.DecodeError: when it isn't the store's answer at all.
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
                rows.append(Row(row.key, value, row.part))
        except (msgspec.DecodeError, ValueError):
            undecodable_count += 1
    return ReadResult(
        wire.ver, tuple(rows), undecodable_count, tuple(changes), wire.has_more
    )


def find_evacuated_zones(
    changes: Iterable[RowChange], before: Iterable[str]
) -> frozenset[str]:
    """Find the zones that are evacuated after some changes.

    The row alone asks for it, whatever it holds.

    :param before: the zones that were evacuated before these changes.
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
    """Decode ``host:port``; ``None`` if it is anything else."""
    try:
        text = value.decode("ascii")
    except UnicodeDecodeError:
        return None
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        return None
    return text


def decode_stored_report(value: bytes) -> EndpointReport | None:
    """Decode a report that an agent has kept; ``None`` if it is anything else."""
    try:
        report = decode_json(_kept_decoder, value)
    except (msgspec.DecodeError, ValueError):
        return None
    if not report.instance or not report.service or min(report.capacity) < 0:
        return None
    return report
