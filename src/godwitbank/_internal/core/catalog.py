"""Accepted service documents, of which only a higher revision replaces one."""

from typing import NamedTuple
from zlib import crc32

from returns.result import Success

from godwitbank._internal.models.document import ServiceDocument


class InstalledDocument(NamedTuple):
    """A document in force in this process."""

    revision: int
    text: str
    document: ServiceDocument


class Catalog:
    """Documents in force, by service."""

    def __init__(self) -> None:
        self._installed: dict[str, InstalledDocument] = {}
        self.digest = 0

    def install(self, service: str, revision: int, text: str) -> bool:
        """Put a document in force unless one at least as new already is.

        A read from a lagging replica, a paused process that wakes, or a stream
        that repeats itself all offer old revisions; without this comparison an
        accepted change would silently be undone.

        :return: whether the document is now in force and was not before.
        """
        installed = self._installed.get(service)
        if installed is not None and installed.revision >= revision:
            return False
        parsed = ServiceDocument.from_text(text)
        if not isinstance(parsed, Success):
            # Only checked documents are accepted, so this one was written by a
            # newer version; keep the one that is understood.
            return False
        self._installed[service] = InstalledDocument(revision, text, parsed.unwrap())
        self.digest = self._compute_digest()
        return True

    def find(self, service: str) -> InstalledDocument | None:
        """Find the document in force for a service."""
        return self._installed.get(service)

    def list_revisions(self) -> dict[str, int]:
        """List the revision in force for each service."""
        return {
            service: installed.revision
            for service, installed in self._installed.items()
        }

    def list_newer(self, than: dict[str, int]) -> list[tuple[str, InstalledDocument]]:
        """List what is newer here than in another process."""
        return [
            (service, installed)
            for service, installed in self._installed.items()
            if installed.revision > than.get(service, 0)
        ]

    def _compute_digest(self) -> int:
        pairs = sorted(self.list_revisions().items())
        return crc32(repr(pairs).encode())
