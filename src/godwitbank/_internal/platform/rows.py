"""Rows of the platform's store, and what this project keeps in them.

Other writers may put rows beside ours. Each row is decoded by itself, so that one
that can't be read leaves the others in force.
"""

import base64
from typing import NamedTuple

import msgspec

from godwitbank._internal.models.jobs import EndpointReport

MAX_PORT = 65535


class _WireRow(msgspec.Struct):
    key: str
    value: str = ""
    removed: bool = False


class _WireRows(msgspec.Struct):
    rows: list[msgspec.Raw] = []
    ver: int = 0


_row_decoder = msgspec.json.Decoder(_WireRow)
_rows_decoder = msgspec.json.Decoder(_WireRows)
_kept_decoder = msgspec.json.Decoder(EndpointReport)


class Row(NamedTuple):
    """One row that is there."""

    key: str
    value: bytes


class ReadRows(NamedTuple):
    """What a read of rows returned.

    :param version: the store's newest version at that moment.
    :param unreadable: rows that could not be decoded.
    """

    version: int
    rows: tuple[Row, ...]
    unreadable: int


def decode_rows(body: bytes) -> ReadRows:
    """Decode an answer with rows; those that were removed are left out.

    :raises msgspec.DecodeError: when it isn't the store's answer at all.
    """
    wire = _rows_decoder.decode(body)
    rows = []
    unreadable = 0
    for raw in wire.rows:
        try:
            row = _row_decoder.decode(raw)
            if not row.removed:
                rows.append(Row(row.key, base64.b64decode(row.value, validate=True)))
        except (msgspec.DecodeError, ValueError):
            unreadable += 1
    return ReadRows(wire.ver, tuple(rows), unreadable)


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


def decode_kept_report(value: bytes) -> EndpointReport | None:
    """Decode a report that an agent has kept; ``None`` if it is anything else."""
    try:
        report = _kept_decoder.decode(value)
    except (msgspec.DecodeError, ValueError):
        return None
    if not report.instance or not report.service or min(report.capacity) < 0:
        return None
    return report
