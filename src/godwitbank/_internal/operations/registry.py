"""Stores accepted service documents in the platform's table.

One row per service holds its current document. The row ``index`` holds the revision
of each service, and the row ``head`` only the highest revision, so that a poll reads a
few bytes regardless of the number of services. A change updates all of them, and adds
a history row, in one transaction.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from godwitbank._internal.exceptions import ConflictError, TableError
from godwitbank._internal.network.table import Put, Row, TableClient

HEAD_KEY = "head"
INDEX_KEY = "index"
MAX_APPLY_ATTEMPTS = 8
"""Maximum attempts to apply one document. An attempt fails if the table's response is
lost or another change is committed first."""

RETRY_DELAY_SECONDS = 0.2


class ApplyRequest(NamedTuple):
    """An operator's request to install a document.

    :param operator: name of the operator.
    :param operation: unique id of this request, the same for all its retries.
    :param expected_revision: revision that the document was edited from, or ``None``
        to replace whichever revision is current.
    """

    service: str
    text: str
    operator: str
    operation: str
    expected_revision: int | None


class DocumentRegistry:
    """Reads and changes documents in the table.

    :param deliver: called with the service, revision and text of each document that was
        read or applied.
    """

    def __init__(
        self, table: TableClient, deliver: Callable[[str, int, str], None]
    ) -> None:
        self._table = table
        self._deliver = deliver
        self._last_revision = 0

    async def refresh(self, known: dict[str, int]) -> None:
        """Read and deliver the documents that are newer than ``known``.

        :param known: highest revision already known, by service.
        :raises TableError: if the table returns no usable response.
        """
        head = await self._table.read(HEAD_KEY)
        head_revision = int(head.value) if head.value else 0
        if head_revision <= self._last_revision:
            return
        index = await self._table.read(INDEX_KEY)
        revisions = index.value or {}
        for service, revision in revisions.items():
            if revision > known.get(service, 0):
                row = await self._table.read(_make_document_key(service))
                if row.value:
                    value = row.value
                    self._deliver(service, int(value["revision"]), value["text"])
        # Continue from the index, not from the head: the index may have been read from
        # a replica that lags behind. Recording the head's revision would then skip a
        # change until the next one is made.
        self._last_revision = max(revisions.values(), default=0)

    async def apply(self, request: ApplyRequest) -> int:
        """Commit a document by compare-and-set on its revision.

        If a response is lost, the outcome is determined by reading back: the history
        row is named after the operation that wrote it. All services share one sequence
        of revisions, so revisions only increase.

        :return: the accepted revision.
        :raises ConflictError: if another operator's change was committed first.
        :raises TableError: if it can't be determined whether the document was accepted.
        """
        last_error: TableError | None = None
        for _ in range(MAX_APPLY_ATTEMPTS):
            try:
                if request.expected_revision is None:
                    request = await self._pin_expected_revision(request)
                revision = await self._try_apply(request)
            except TableError as error:
                last_error = error
                await asyncio.sleep(RETRY_DELAY_SECONDS)
                continue
            if revision is not None:
                return revision
        raise TableError(
            "it isn't known whether the document was accepted",
            context=str(last_error),
            remedy=f"apply again with --operation {request.operation}",
        )

    async def _pin_expected_revision(self, request: ApplyRequest) -> ApplyRequest:
        # Fixes the revision to be replaced before the first attempt. Otherwise a retry
        # after a lost race would take the winner's document for the one that this
        # operator meant to replace, and silently undo the winner's change.
        row = await self._table.read(_make_document_key(request.service))
        current = int(row.value["revision"]) if row.value else 0
        return request._replace(expected_revision=current)

    async def _find_applied_revision(self, request: ApplyRequest) -> int | None:
        # Reads the history row, as the document row may already hold the document of
        # a later operation.
        history_key = _make_history_key(request.service, request.operation)
        row = await self._table.read(history_key)
        return int(row.value["revision"]) if row.value else None

    async def _try_apply(self, request: ApplyRequest) -> int | None:
        applied = await self._find_applied_revision(request)
        if applied is not None:
            return applied
        row = await self._table.read(_make_document_key(request.service))
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
        history_key = _make_history_key(request.service, request.operation)
        revisions = {**(index.value or {}), request.service: revision}
        puts = [
            Put(key=row.key, version=row.version, value=value),
            Put(key=history_key, version=0, value=value),
            Put(key=HEAD_KEY, version=head.version, value=revision),
            Put(key=INDEX_KEY, version=index.version, value=revisions),
        ]
        conflict = await self._table.write(puts)
        if conflict is None:
            self._deliver(request.service, revision, request.text)
            return revision
        return None


def _make_document_key(service: str) -> str:
    return f"document/{service}"


def _make_history_key(service: str, operation: str) -> str:
    return f"history/{service}/{operation}"


def _make_conflict(row: Row, request: ApplyRequest) -> ConflictError:
    value = row.value or {"revision": 0, "operator": "nobody"}
    return ConflictError(
        f"service {request.service!r} is at revision {value['revision']},"
        f" not {request.expected_revision}",
        context=f"changed by operator {value['operator']!r}",
        remedy="run 'godwitbank diff', merge, and apply again",
    )
