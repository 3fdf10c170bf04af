"""Accepted documents in the platform's table.

One row per service holds the document in force; ``index`` holds the revision of
each service and ``head`` only the highest one, so that a poll reads a few bytes
however many services there are. All change in one transaction, with a row of
history.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from godwitbank._internal.exceptions import ConflictError, TableError
from godwitbank._internal.network.table import Put, Row, TableClient

HEAD_KEY = "head"
INDEX_KEY = "index"
MAX_APPLY_ATTEMPTS = 8
"""Tries of one apply against a table that loses answers or races."""

RETRY_DELAY_SECONDS = 0.2


class ApplyRequest(NamedTuple):
    """An operator's wish to put a document in force.

    :param expected_revision: revision that the document was edited from, or ``None``
        to replace whichever revision is current.
    :param operation: unique id of this wish, kept over retries.
    """

    service: str
    text: str
    operator: str
    operation: str
    expected_revision: int | None


class DocumentRegistry:
    """Reads and changes documents in the table."""

    def __init__(
        self, table: TableClient, deliver: Callable[[str, int, str], None]
    ) -> None:
        self._table = table
        self._deliver = deliver
        self._sequence = 0

    async def refresh(self, known: dict[str, int]) -> None:
        """Read what is newer than ``known`` and deliver it.

        :raises TableError: when the table gives no usable answer.
        """
        head = await self._table.read(HEAD_KEY)
        sequence = int(head.value) if head.value else 0
        if sequence <= self._sequence:
            return
        index = await self._table.read(INDEX_KEY)
        revisions = index.value or {}
        for service, revision in revisions.items():
            if revision > known.get(service, 0):
                row = await self._table.read(_name_row(service))
                if row.value:
                    value = row.value
                    self._deliver(service, int(value["revision"]), value["text"])
        # As far as the index went: a lagging read of it must not be taken for all
        # that the head promised, or a change would be missed until the next one.
        self._sequence = max(revisions.values(), default=0)

    async def apply(self, request: ApplyRequest) -> int:
        """Commit a document by compare-and-set on its revision.

        A lost answer is settled by reading back: the row names the operation
        that wrote it. Revisions come from one sequence, so they only rise.

        :return: the revision accepted.
        :raises ConflictError: when another operator's change came first.
        :raises TableError: when it can't be learnt whether it was accepted.
        """
        doubt: TableError | None = None
        for _ in range(MAX_APPLY_ATTEMPTS):
            try:
                if request.expected_revision is None:
                    request = await self._pin(request)
                revision = await self._try_apply(request)
            except TableError as error:
                doubt = error
                await asyncio.sleep(RETRY_DELAY_SECONDS)
                continue
            if revision is not None:
                return revision
        raise TableError(
            "it isn't known whether the document was accepted",
            context=str(doubt),
            remedy=f"apply again with --operation {request.operation}",
        )

    async def _pin(self, request: ApplyRequest) -> ApplyRequest:
        # Without this, a second try would take the winner of a race for the
        # document its operator meant to replace, and silently undo it.
        row = await self._table.read(_name_row(request.service))
        current = int(row.value["revision"]) if row.value else 0
        return request._replace(expected_revision=current)

    async def _find_done(self, request: ApplyRequest) -> int | None:
        # The row itself may already hold a later operator's document.
        name = _name_history(request.service, request.operation)
        row = await self._table.read(name)
        return int(row.value["revision"]) if row.value else None

    async def _try_apply(self, request: ApplyRequest) -> int | None:
        done = await self._find_done(request)
        if done is not None:
            return done
        row = await self._table.read(_name_row(request.service))
        current = int(row.value["revision"]) if row.value else 0
        if request.expected_revision != current:
            raise _make_conflict(row, request)
        head = await self._table.read(HEAD_KEY)
        index = await self._table.read(INDEX_KEY)
        revision = max(int(head.value or 0), current) + 1
        value = {
            "revision": revision,
            "text": request.text,
            "operator": request.operator,
            "operation": request.operation,
        }
        history = _name_history(request.service, request.operation)
        revisions = {**(index.value or {}), request.service: revision}
        puts = [
            Put(key=row.key, version=row.version, value=value),
            Put(key=history, version=0, value=value),
            Put(key=HEAD_KEY, version=head.version, value=revision),
            Put(key=INDEX_KEY, version=index.version, value=revisions),
        ]
        conflict = await self._table.write(puts)
        if conflict is None:
            self._deliver(request.service, revision, request.text)
            return revision
        return None


def _name_row(service: str) -> str:
    return f"document/{service}"


def _name_history(service: str, operation: str) -> str:
    return f"history/{service}/{operation}"


def _make_conflict(row: Row, request: ApplyRequest) -> ConflictError:
    value = row.value or {"revision": 0, "operator": "nobody"}
    return ConflictError(
        f"service {request.service!r} is at revision {value['revision']},"
        f" not {request.expected_revision}",
        context=f"changed by operator {value['operator']!r}",
        remedy="run 'godwitbank diff', merge, and apply again",
    )
