"""Answers to requests that couldn't be sent to the process that was to serve them."""

from godwitbank._internal.models.jobs import JobEnd
from godwitbank._internal.models.messages import Message
from godwitbank._internal.models.run_messages import Forward, Forwarded

WAITING_DOES_NOT_HELP = -1.0


def get_request(message: Message) -> str:
    """Return the id of the job or task of a message; empty if it has none."""
    request = getattr(message, "task", "") or getattr(message, "job", "")
    return str(request)


def refuse_forward(message: Forward) -> Forwarded:
    """Make the result of a job that wasn't forwarded: nothing of it ran."""
    reason = "unencodable"
    return Forwarded(message.job, JobEnd.REFUSED, reason, False, WAITING_DOES_NOT_HELP)
