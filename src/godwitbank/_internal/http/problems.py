"""Problem details (RFC 9457) for refused and failed requests."""

import math
from typing import TypedDict

import msgspec
from litestar import Request, Response
from litestar.exceptions import HTTPException

from godwitbank._internal.models.outcomes import Failed, Ran, Reason

PROBLEM_MEDIA_TYPE = "application/problem+json"
METRICS_MEDIA_TYPE = "text/plain; version=0.0.4"
TYPE_PREFIX = "urn:godwitbank:problem:"


class ProblemKind(TypedDict):
    """HTTP representation of a failure reason.

    :param status: HTTP status code.
    :param title: title of the problem.
    :param remedy: what the caller can do.
    """

    status: int
    title: str
    remedy: str


def _make_kind(status: int, title: str, remedy: str) -> ProblemKind:
    return ProblemKind(status=status, title=title, remedy=remedy)


_RETRY_LATER = "submit again after the time in Retry-After"
_CHECK_FIRST = (
    "check what happened before submitting again;"
    " with the same request id no work runs twice"
)

PROBLEM_KINDS: dict[Reason, ProblemKind] = {
    Reason.UNKNOWN_SERVICE: _make_kind(
        404, "unknown service", "apply its document, or mend the service's name"
    ),
    Reason.UNKNOWN_CLASS: _make_kind(422, "unknown class", "use a class it lists"),
    Reason.MISSING_REQUEST_ID: _make_kind(
        422, "missing request id", "send request_id or Idempotency-Key"
    ),
    Reason.NOT_READY: _make_kind(503, "not ready", _RETRY_LATER),
    Reason.STOPPING: _make_kind(503, "stopping", "submit again to another entry"),
    Reason.NO_PROCESSOR: _make_kind(503, "no processor time left", _RETRY_LATER),
    Reason.QUOTA: _make_kind(429, "quota exceeded", _RETRY_LATER),
    Reason.QUEUE_FULL: _make_kind(503, "queue full", _RETRY_LATER),
    Reason.DEADLINE_UNREACHABLE: _make_kind(503, "deadline unreachable", _RETRY_LATER),
    Reason.DEADLINE_PASSED: _make_kind(504, "deadline passed", _CHECK_FIRST),
    Reason.NO_ENDPOINT: _make_kind(503, "no endpoint", _RETRY_LATER),
    Reason.STORE_UNAVAILABLE: _make_kind(503, "store unavailable", _RETRY_LATER),
    Reason.DUPLICATE_REQUEST: _make_kind(
        409, "request id was used before", "look up what the first request did"
    ),
    Reason.ENDPOINT_FAILED: _make_kind(502, "endpoint failed", _CHECK_FIRST),
    Reason.TASK_TIMEOUT: _make_kind(504, "task timed out", _CHECK_FIRST),
    Reason.OUTCOME_UNKNOWN: _make_kind(502, "outcome unknown", _CHECK_FIRST),
    Reason.CANCELLED: _make_kind(499, "cancelled", _CHECK_FIRST),
    Reason.RETRIES_EXHAUSTED: _make_kind(503, "retries exhausted", _RETRY_LATER),
}


def make_problem(failed: Failed, task_name: str | None = None) -> Response[bytes]:
    """Make the response for a failed submission.

    :param task_name: the caller's id of the task that failed, if it is known.
    """
    kind = PROBLEM_KINDS[failed.reason]
    body = {
        "type": TYPE_PREFIX + failed.reason,
        "title": kind["title"],
        "status": kind["status"],
        "detail": failed.detail,
        "submission": failed.submission,
        "ran": failed.ran,
        "remedy": kind["remedy"],
    }
    if task_name is not None:
        body["task"] = task_name
    headers = {}
    if failed.retry_after is not None:
        body["retry_after"] = round(failed.retry_after, 3)
        headers["Retry-After"] = str(math.ceil(failed.retry_after))
    return _respond(body, kind["status"], headers)


def make_request_problem(
    status: int, name: str, detail: str, remedy: str, ran: str = Ran.NOT_RUN
) -> Response[bytes]:
    """Make the response for a request that is invalid or can't be served.

    :param name: kind of the problem, the last part of its type URN.
    :param detail: what is wrong with this request.
    :param remedy: what the caller can do.
    :param ran: whether any task may have run.
    """
    body = {
        "type": TYPE_PREFIX + name,
        "title": name.replace("_", " "),
        "status": status,
        "detail": detail,
        "ran": ran,
        "remedy": remedy,
    }
    return _respond(body, status, {})


def handle_http_error(request: Request, error: HTTPException) -> Response[bytes]:
    """Convert errors raised by Litestar into problem details."""
    del request
    names = {413: "body_too_large", 404: "not_found", 405: "method_not_allowed"}
    name = names.get(error.status_code, "bad_request")
    return make_request_problem(error.status_code, name, error.detail, "see /schema")


def _respond(
    body: dict[str, object], status: int, headers: dict[str, str]
) -> Response[bytes]:
    return Response(
        content=msgspec.json.encode(body),
        status_code=status,
        media_type=PROBLEM_MEDIA_TYPE,
        headers=headers,
    )
