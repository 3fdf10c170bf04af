"""What an endpoint may answer to an order."""

from enum import StrEnum


class StartVerdict(StrEnum):
    """An endpoint's answer to an order to start.

    All but ``STARTED`` and ``NO_ANSWER`` mean that nothing was done.
    """

    STARTED = "started"
    FENCED = "fenced"
    SUPERSEDED = "superseded"
    LAPSED = "lapsed"
    NO_ROOM = "no_room"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    OTHER_INSTANCE = "other_instance"
    UNREACHABLE = "unreachable"
    NO_ANSWER = "no_answer"


class RenewalVerdict(StrEnum):
    """Why a lease renewal brought no lists."""

    FENCED = "fenced"
    OTHER_INSTANCE = "other_instance"
    REFUSED = "refused"
    NO_ANSWER = "no_answer"
