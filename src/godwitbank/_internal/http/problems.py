"""Problem details (RFC 9457) for everything that is refused or fails."""

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
    """What a reason means over HTTP."""

    status: int
    title: str
    remedy: str


def _make_kind(status: int, title: str, remedy: str) -> ProblemKind:
    return ProblemKind(status=status, title=title, remedy=remedy)


_AGAIN = "submit again after the time in Retry-After"
_CHECK = (
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
    Reason.NOT_READY: _make_kind(503, "not ready", _AGAIN),
    Reason.STOPPING: _make_kind(503, "stopping", "submit again to another entry"),
    Reason.NO_PROCESSOR: _make_kind(503, "no processor time left", _AGAIN),
    Reason.QUOTA: _make_kind(429, "quota exceeded", _AGAIN),
    Reason.QUEUE_FULL: _make_kind(503, "queue full", _AGAIN),
    Reason.DEADLINE_UNREACHABLE: _make_kind(503, "deadline unreachable", _AGAIN),
    Reason.DEADLINE_PASSED: _make_kind(504, "deadline passed", _CHECK),
    Reason.NO_ENDPOINT: _make_kind(503, "no endpoint", _AGAIN),
    Reason.STORE_UNAVAILABLE: _make_kind(503, "store unavailable", _AGAIN),
    Reason.DUPLICATE_REQUEST: _make_kind(
        409, "request id was used before", "look up what the first request did"
    ),
    Reason.ENDPOINT_FAILED: _make_kind(502, "endpoint failed", _CHECK),
    Reason.TASK_TIMEOUT: _make_kind(504, "task timed out", _CHECK),
    Reason.OUTCOME_UNKNOWN: _make_kind(502, "outcome unknown", _CHECK),
    Reason.CANCELLED: _make_kind(499, "cancelled", _CHECK),
    Reason.RETRIES_EXHAUSTED: _make_kind(503, "retries exhausted", _AGAIN),
}


def make_problem(failed: Failed, task_name: str | None = None) -> Response[bytes]:
    """Make the response for a failed submission."""
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
    """Make the response for a request that could not be understood or served."""
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
    """Turn the framework's own refusals into problem details."""
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
