"""Service documents in force; only a higher revision replaces a document."""

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
    """Documents in force, by service.

    :ivar digest: checksum over all services and revisions, to compare catalogs.
    """

    def __init__(self) -> None:
        self._installed: dict[str, InstalledDocument] = {}
        self.digest = 0

    def install(self, service: str, revision: int, text: str) -> bool:
        """Install a document unless this revision or a higher one is in force.

        A read from a lagging replica, a process that resumes after a pause and a
        repeated message may all offer an old revision. Installing it would
        silently revert an accepted change.

        :return: whether the document was installed.
        """
        installed = self._installed.get(service)
        if installed is not None and installed.revision >= revision:
            return False
        parsed = ServiceDocument.from_text(text)
        if not isinstance(parsed, Success):
            # Only validated documents are accepted, so this one was written by a
            # newer version of the software; keep the document that can be parsed.
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
        """List the documents that are newer here than in another process.

        :param than: revision that the other process holds, by service.
        """
        return [
            (service, installed)
            for service, installed in self._installed.items()
            if installed.revision > than.get(service, 0)
        ]

    def _compute_digest(self) -> int:
        pairs = sorted(self.list_revisions().items())
        return crc32(repr(pairs).encode())
