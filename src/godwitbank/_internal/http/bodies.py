"""Bodies of callers' requests, decoded and checked."""

import math
from typing import NamedTuple, NotRequired, TypedDict

import msgspec
from returns.result import Failure, Result, Success

from godwitbank._internal.models.outcomes import TaskAnswer
from godwitbank._internal.models.tasks import MAX_TASKS, TaskSpec
from godwitbank._internal.utils.decoding import decode_json

MAX_NAME_CHARACTERS = 200
"""Longest task id, class name or request id, in characters."""

MAX_DEADLINE_SECONDS = 3600.0
JSON_MEDIA_TYPE = "application/json"


TaskBody = TypedDict(
    "TaskBody",
    {
        "id": str,
        "class": str,
        "payload": NotRequired[msgspec.Raw],
        "request_id": NotRequired[str],
    },
)
"""One task of a job as a caller writes it."""

RequestBody = TypedDict(
    "RequestBody",
    {
        "class": str,
        "payload": NotRequired[msgspec.Raw],
        "request_id": NotRequired[str],
        "deadline_seconds": NotRequired[float],
    },
)
"""A single request as a caller writes it."""


class JobBody(TypedDict):
    """A job as a caller writes it."""

    tasks: list[TaskBody]
    deadline_seconds: NotRequired[float]


class ParsedSubmission(NamedTuple):
    """A submission ready for the core.

    :param deadline_seconds: the caller's deadline, or 0 for the document's.
    """

    task_ids: tuple[str, ...]
    tasks: tuple[TaskSpec, ...]
    deadline_seconds: float


_job_decoder = msgspec.json.Decoder(JobBody)
_request_decoder = msgspec.json.Decoder(RequestBody)


def parse_job(body: bytes) -> Result[ParsedSubmission, str]:
    """Parse a job; the failure says what is wrong."""
    try:
        job = decode_json(_job_decoder, body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(str(error))
    tasks = job["tasks"]
    if not 1 <= len(tasks) <= MAX_TASKS:
        return Failure(f"{len(tasks)} tasks; a job has 1 to {MAX_TASKS}")
    names = tuple(task["id"] for task in tasks)
    if len(set(names)) != len(names):
        return Failure("two tasks have the same id")
    specs = tuple(_make_spec(task) for task in tasks)
    request_ids = [spec.request_id for spec in specs if spec.request_id]
    if len(set(request_ids)) != len(request_ids):
        return Failure("two tasks have the same request_id")
    return _check(ParsedSubmission(names, specs, job.get("deadline_seconds", 0.0)))


def parse_request(body: bytes, key: str) -> Result[ParsedSubmission, str]:
    """Parse a single request.

    :param key: value of the ``Idempotency-Key`` header, or empty.
    """
    try:
        request = decode_json(_request_decoder, body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(str(error))
    spec = _make_spec(request)
    if key and spec.request_id and key != spec.request_id:
        return Failure("request_id and Idempotency-Key differ")
    spec = spec._replace(request_id=spec.request_id or key)
    return _check(
        ParsedSubmission(("request",), (spec,), request.get("deadline_seconds", 0.0))
    )


def _make_spec(task: "TaskBody | RequestBody") -> TaskSpec:
    payload = bytes(task.get("payload", b"null"))  # type: ignore[arg-type]
    return TaskSpec(task["class"], payload, task.get("request_id", ""))


def _check(parsed: ParsedSubmission) -> Result[ParsedSubmission, str]:
    for name in (*parsed.task_ids, *(task.class_name for task in parsed.tasks)):
        if not 1 <= len(name) <= MAX_NAME_CHARACTERS:
            return Failure(
                f"ids and class names have 1 to {MAX_NAME_CHARACTERS} characters"
            )
    if any(len(task.request_id) > MAX_NAME_CHARACTERS for task in parsed.tasks):
        return Failure(f"request ids have at most {MAX_NAME_CHARACTERS} characters")
    seconds = parsed.deadline_seconds
    if not math.isfinite(seconds) or not 0 <= seconds <= MAX_DEADLINE_SECONDS:
        return Failure(f"deadline_seconds lies between 0 and {MAX_DEADLINE_SECONDS:g}")
    return Success(parsed)


def encode_job_answer(
    submission: str, names: tuple[str, ...], answers: tuple[TaskAnswer, ...]
) -> bytes:
    """Encode the whole answer to a job."""
    rows = [
        {
            "id": name,
            "status": answer.status,
            "content_type": answer.content_type,
            "body": _embed(answer),
        }
        for name, answer in zip(names, answers, strict=True)
    ]
    whole = {"status": "complete", "submission": submission, "answers": rows}
    return msgspec.json.encode(whole)


def _embed(answer: TaskAnswer) -> object:
    # The agent has checked that a JSON answer is JSON; splicing it in unparsed
    # keeps numbers and key order exactly as the endpoint wrote them.
    if answer.content_type.startswith(JSON_MEDIA_TYPE):
        return msgspec.Raw(answer.body)
    return answer.body.decode("utf-8", errors="replace")
