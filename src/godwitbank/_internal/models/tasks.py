"""Jobs and tasks as the cores see them."""

from typing import NamedTuple

MAX_TASKS = 460
"""Most tasks in one job (the users' bound)."""


class TaskKey(NamedTuple):
    """Names one attempt to start one task.

    :param submission: the entry's unique id of the submission.
    :param position: position of the task in its submission.
    :param attempt: counts up for each start sent; an attempt is sent once.
    """

    submission: str
    position: int
    attempt: int


class TaskSpec(NamedTuple):
    """One task as submitted.

    :param class_name: class of work, as named in the service's document.
    :param payload: JSON body for the endpoint.
    :param request_id: the caller's idempotency key, or an empty string.
    """

    class_name: str
    payload: bytes
    request_id: str = ""


class Submission(NamedTuple):
    """A job or single request that owes one answer to one caller.

    :param submission: unique id, minted by the entry.
    :param deadline: seconds on the entry's monotonic clock.
    """

    submission: str
    service: str
    tasks: tuple[TaskSpec, ...]
    deadline: float
