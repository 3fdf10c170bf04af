"""Errors that a user may see: what happened, where, and how to mend it."""


class GodwitbankError(Exception):
    """Base of every expected failure; printed without a traceback."""

    def __init__(self, message: str, *, context: str = "", remedy: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.context = context
        self.remedy = remedy

    def __str__(self) -> str:
        lines = [self.message]
        if self.context:
            lines.append(f"  context: {self.context}")
        if self.remedy:
            lines.append(f"  remedy: {self.remedy}")
        return "\n".join(lines)


class SettingsError(GodwitbankError):
    """A settings file can't be used."""


class DocumentError(GodwitbankError):
    """A service document can't be accepted."""


class FrameError(GodwitbankError):
    """Bytes on a stream that are not a frame of this protocol version."""


class AddressInUseError(GodwitbankError):
    """A listening address is taken by another process."""


class TableError(GodwitbankError):
    """The platform's table service gave no usable answer."""


class ConflictError(GodwitbankError):
    """Another writer changed the row first."""


class UnreachableError(GodwitbankError):
    """No entry answered at the given address."""


class RefusedError(GodwitbankError):
    """An entry answered with a problem; the message carries its detail."""


class UsageError(GodwitbankError):
    """The command line was not understood."""
