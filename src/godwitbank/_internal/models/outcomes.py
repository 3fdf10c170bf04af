"""Outcomes of submissions, as reported to callers."""

from enum import StrEnum
from typing import NamedTuple


class Ran(StrEnum):
    """Whether any task of a failed submission may have run."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class Reason(StrEnum):
    """Why a submission failed; each reason has a counter and a problem type."""

    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_CLASS = "unknown_class"
    MISSING_REQUEST_ID = "missing_request_id"
    NOT_READY = "not_ready"
    STOPPING = "stopping"
    NO_PROCESSOR = "no_processor"
    QUOTA = "quota_exceeded"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_PASSED = "deadline_passed"
    NO_ENDPOINT = "no_endpoint"
    STORE_UNAVAILABLE = "store_unavailable"
    DUPLICATE_REQUEST = "duplicate_request"
    ENDPOINT_FAILED = "endpoint_failed"
    TASK_TIMEOUT = "task_timeout"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CANCELLED = "cancelled"
    RETRIES_EXHAUSTED = "retries_exhausted"


class TaskAnswer(NamedTuple):
    """The complete response of an endpoint to one task.

    :param status: HTTP status of the response.
    :param content_type: media type of the body.
    :param body: the body, unchanged.
    """

    status: int
    content_type: str
    body: bytes


class Complete(NamedTuple):
    """Every task of a submission was answered."""

    submission: str
    answers: tuple[TaskAnswer, ...]


class Failed(NamedTuple):
    """A submission failed as a whole.

    :param ran: ``NOT_RUN`` only if no task of it can have started.
    :param retry_after: seconds after which it may be submitted again, or
        ``None`` if waiting alone doesn't help.
    :param task: index of the task whose failure decided the outcome, or ``None``.
    """

    submission: str
    reason: Reason
    ran: Ran
    detail: str
    retry_after: float | None = None
    task: int | None = None


Outcome = Complete | Failed
