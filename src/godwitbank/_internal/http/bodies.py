"""Decodes and validates the bodies of callers' requests."""

import math
from typing import NamedTuple, NotRequired, TypedDict

import msgspec
from returns.result import Failure, Result, Success

from godwitbank._internal.models.outcomes import TaskAnswer
from godwitbank._internal.models.tasks import MAX_TASKS, TaskSpec
from godwitbank._internal.utils.decoding import decode_json

MAX_NAME_CHARACTERS = 200
"""Maximum length of a task id, class name or request id."""

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
"""Request body: one task of a job."""

RequestBody = TypedDict(
    "RequestBody",
    {
        "class": str,
        "payload": NotRequired[msgspec.Raw],
        "request_id": NotRequired[str],
        "deadline_seconds": NotRequired[float],
    },
)
"""Request body: a single request."""


class JobBody(TypedDict):
    """Request body: a job."""

    tasks: list[TaskBody]
    deadline_seconds: NotRequired[float]


class ParsedSubmission(NamedTuple):
    """A validated submission.

    :param task_ids: the caller's ids of the tasks, in the order of ``tasks``.
    :param tasks: tasks for the core.
    :param deadline_seconds: the caller's deadline in seconds from now, or 0 to use the
        deadline in the service document.
    """

    task_ids: tuple[str, ...]
    tasks: tuple[TaskSpec, ...]
    deadline_seconds: float


_job_decoder = msgspec.json.Decoder(JobBody)
_request_decoder = msgspec.json.Decoder(RequestBody)


def parse_job(body: bytes) -> Result[ParsedSubmission, str]:
    """Parse a job.

    :return: the submission, or a failure with a description of the error.
    """
    try:
        job = decode_json(_job_decoder, body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(str(error))
    tasks = job["tasks"]
    if not 1 <= len(tasks) <= MAX_TASKS:
        return Failure(f"{len(tasks)} tasks; a job has 1 to {MAX_TASKS}")
    task_ids = tuple(task["id"] for task in tasks)
    if len(set(task_ids)) != len(task_ids):
        return Failure("two tasks have the same id")
    specs = tuple(_make_spec(task) for task in tasks)
    request_ids = [spec.request_id for spec in specs if spec.request_id]
    if len(set(request_ids)) != len(request_ids):
        return Failure("two tasks have the same request_id")
    return _validate(
        ParsedSubmission(task_ids, specs, job.get("deadline_seconds", 0.0))
    )


def parse_request(body: bytes, idempotency_key: str) -> Result[ParsedSubmission, str]:
    """Parse a single request.

    :param idempotency_key: value of the ``Idempotency-Key`` header, or empty.
    :return: the submission, or a failure with a description of the error.
    """
    try:
        request = decode_json(_request_decoder, body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(str(error))
    spec = _make_spec(request)
    if idempotency_key and spec.request_id and idempotency_key != spec.request_id:
        return Failure("request_id and Idempotency-Key differ")
    spec = spec._replace(request_id=spec.request_id or idempotency_key)
    return _validate(
        ParsedSubmission(("request",), (spec,), request.get("deadline_seconds", 0.0))
    )


def _make_spec(task: "TaskBody | RequestBody") -> TaskSpec:
    payload = bytes(task.get("payload", b"null"))  # type: ignore[arg-type]
    return TaskSpec(task["class"], payload, task.get("request_id", ""))


def _validate(parsed: ParsedSubmission) -> Result[ParsedSubmission, str]:
    for name in (*parsed.task_ids, *(task.class_name for task in parsed.tasks)):
        if not 1 <= len(name) <= MAX_NAME_CHARACTERS:
            return Failure(
                f"ids and class names have 1 to {MAX_NAME_CHARACTERS} characters"
            )
    if any(len(task.request_id) > MAX_NAME_CHARACTERS for task in parsed.tasks):
        return Failure(f"request ids have at most {MAX_NAME_CHARACTERS} characters")
    if not all(_is_header_value(task.request_id) for task in parsed.tasks):
        return Failure("request_id has printable ASCII characters only")
    seconds = parsed.deadline_seconds
    if not math.isfinite(seconds) or not 0 <= seconds <= MAX_DEADLINE_SECONDS:
        return Failure(f"deadline_seconds lies between 0 and {MAX_DEADLINE_SECONDS:g}")
    return Success(parsed)


def _is_header_value(text: str) -> bool:
    """Return whether a text can be sent to an endpoint in a header."""
    return text.isascii() and text.isprintable()


def encode_job_answer(
    submission: str, task_ids: tuple[str, ...], answers: tuple[TaskAnswer, ...]
) -> bytes:
    """Encode the response to a completed job.

    :param submission: id of the submission.
    :param task_ids: the caller's ids of the tasks.
    :param answers: the endpoints' answers, in the order of ``task_ids``.
    """
    encoded_answers = [
        {
            "id": task_id,
            "status": answer.status,
            "content_type": answer.content_type,
            "body": _embed(answer),
        }
        for task_id, answer in zip(task_ids, answers, strict=True)
    ]
    response = {
        "status": "complete",
        "submission": submission,
        "answers": encoded_answers,
    }
    return msgspec.json.encode(response)


def _embed(answer: TaskAnswer) -> object:
    # The agent has validated JSON answers. Embedding them unparsed preserves numbers
    # and the order of keys exactly as the endpoint wrote them.
    if answer.content_type.startswith(JSON_MEDIA_TYPE):
        return msgspec.Raw(answer.body)
    return answer.body.decode("utf-8", errors="replace")
