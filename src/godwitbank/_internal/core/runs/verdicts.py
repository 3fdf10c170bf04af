"""Possible answers of an endpoint to an order."""

from enum import StrEnum


class StartVerdict(StrEnum):
    """An endpoint's answer to a start order.

    With ``STARTED``, the run was started. With ``NO_ANSWER``, it is unknown whether the
    endpoint carries out the order. All other values mean that nothing was started.
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
    """Reason why a lease renewal returned no lists of runs."""

    FENCED = "fenced"
    OTHER_INSTANCE = "other_instance"
    REFUSED = "refused"
    NO_ANSWER = "no_answer"
