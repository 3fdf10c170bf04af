"""Exit statuses of the commands."""

from enum import IntEnum


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
