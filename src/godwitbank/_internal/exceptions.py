"""Expected errors, whose messages are shown to the user."""


class GodwitbankError(Exception):
    """Base class of the expected errors, which are printed without a traceback.

    :param message: what happened.
    :param context: where it happened, such as a file or a setting.
    :param remedy: what the user can do about it.
    """

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
    """A settings file is missing or invalid."""


class DocumentError(GodwitbankError):
    """A service document can't be read or is invalid."""


class FrameError(GodwitbankError):
    """A stream received bytes that are not a frame of this protocol version."""


class MessageError(GodwitbankError):
    """A message can't be encoded as a frame."""


class AddressInUseError(GodwitbankError):
    """A listening address is in use by another process."""


class TableError(GodwitbankError):
    """The platform's table service returned no usable answer."""


class ConflictError(GodwitbankError):
    """Another writer has changed the row in the meantime."""


class UnreachableError(GodwitbankError):
    """No entry answered at the given address."""


class RefusedError(GodwitbankError):
    """An entry answered with a problem; the message carries its detail."""


class UsageError(GodwitbankError):
    """The command line is invalid."""
