"""Exit statuses of the commands."""

from enum import IntEnum

from godwitbank._internal.exceptions import (
    ConflictError,
    DocumentError,
    GodwitbankError,
    UnreachableError,
    UsageError,
)


class Status(IntEnum):
    """Exit status of a command.

    The values are documented in ``docs/OPERATIONS.md``; scripts may rely on them.
    """

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    WRONG_DOCUMENT = 3
    CONFLICT = 4
    UNREACHABLE = 5
    NOT_RUN = 6
    MAY_HAVE_RUN = 7
    TIMED_OUT = 8
    DIFFERENT = 9
    INTERRUPTED = 130


_ERROR_STATUSES: tuple[tuple[type[GodwitbankError], Status], ...] = (
    (UsageError, Status.USAGE),
    (DocumentError, Status.WRONG_DOCUMENT),
    (ConflictError, Status.CONFLICT),
    (UnreachableError, Status.UNREACHABLE),
)


def find_status(error: GodwitbankError) -> Status:
    """Return the exit status of a program that an expected error ended."""
    for kind, status in _ERROR_STATUSES:
        if isinstance(error, kind):
            return status
    return Status.ERROR
