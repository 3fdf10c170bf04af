"""The entry's HTTP interface for callers, operators and monitoring."""

import asyncio
import time
from typing import Annotated, Any, Protocol

import httptools  # noqa: F401  imported to fail at startup, not later in the server
from litestar import Litestar, Request, Response, get, post, put
from litestar.exceptions import ClientException, HTTPException
from litestar.openapi.config import OpenAPIConfig
from litestar.params import HeaderParameter
from returns.result import Success

from godwitbank import __version__
from godwitbank._internal.core.entry import EntryCore
from godwitbank._internal.exceptions import ConflictError, TableError
from godwitbank._internal.http.bodies import (
    JSON_MEDIA_TYPE,
    ParsedSubmission,
    encode_job_answer,
    parse_job,
    parse_request,
)
from godwitbank._internal.http.disconnect import await_disconnect
from godwitbank._internal.http.problems import (
    METRICS_MEDIA_TYPE,
    handle_http_error,
    make_problem,
    make_request_problem,
)
from godwitbank._internal.models.document import ServiceDocument
from godwitbank._internal.models.outcomes import Complete, Failed, Outcome
from godwitbank._internal.models.settings import EntrySettings
from godwitbank._internal.models.tasks import TaskSpec
from godwitbank._internal.operations.metrics import Exporter
from godwitbank._internal.operations.registry import ApplyRequest, DocumentRegistry
from godwitbank._internal.operations.status import describe_entry
from godwitbank._internal.utils.decoding import parse_whole_number

MAX_DOCUMENT_BYTES = 256 * 1024
IdempotencyKey = Annotated[str, HeaderParameter(name="Idempotency-Key")]


class Entry(Protocol):
    """Interface of the entry process that the application uses."""

    core: EntryCore
    exporter: Exporter
    registry: DocumentRegistry
    settings: EntrySettings
    stopping: asyncio.Event

    @property
    def ready(self) -> bool:
        """Whether the load balancer should route callers to this entry."""

    def find_max_deadline_seconds(
        self, service: str, tasks: tuple[TaskSpec, ...]
    ) -> float:
        """Return the longest deadline of the tasks' classes, in seconds."""

    async def submit(
        self, service: str, tasks: tuple[TaskSpec, ...], seconds: float
    ) -> Outcome:
        """Pass a submission to the core and wait for its outcome."""

    def drain_agent(self, agent: str, operator: str) -> bool:
        """Ask an agent to drain; return whether it is connected."""


class CallerGoneError(Exception):
    """The caller disconnected, so no response can be sent."""


async def _await_outcome(
    process: Entry, request: Request, service: str, parsed: ParsedSubmission
) -> Outcome:
    seconds = process.find_max_deadline_seconds(service, parsed.tasks)
    if parsed.deadline_seconds:
        seconds = min(seconds, parsed.deadline_seconds)
    outcome_task = asyncio.ensure_future(process.submit(service, parsed.tasks, seconds))
    disconnect_task = asyncio.ensure_future(await_disconnect(request.receive))
    try:
        await asyncio.wait(
            {outcome_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED
        )
        if outcome_task.done():
            return outcome_task.result()
        outcome_task.cancel()
        raise CallerGoneError
    finally:
        disconnect_task.cancel()


def _make_caller_handlers(process: Entry) -> list[Any]:
    @post(
        "/v1/services/{service:str}/requests",
        summary="Run one task and answer with the endpoint's answer.",
        status_code=200,
    )
    async def submit_request(
        service: str, request: Request, idempotency_key: IdempotencyKey = ""
    ) -> Response[bytes]:
        started_at = time.monotonic()
        parsed = parse_request(await request.body(), idempotency_key)
        if not isinstance(parsed, Success):
            return _make_body_problem(parsed.failure())
        outcome = await _await_outcome(process, request, service, parsed.unwrap())
        process.exporter.record("request", time.monotonic() - started_at)
        if isinstance(outcome, Failed):
            return make_problem(outcome)
        answer = outcome.answers[0]
        headers = {"Godwitbank-Submission": outcome.submission}
        return Response(
            answer.body,
            status_code=answer.status,
            media_type=answer.content_type,
            headers=headers,
        )

    @post(
        "/v1/services/{service:str}/jobs",
        summary="Run up to 460 tasks; answer with all answers or a failure.",
        status_code=200,
    )
    async def submit_job(service: str, request: Request) -> Response[bytes]:
        started_at = time.monotonic()
        result = parse_job(await request.body())
        if not isinstance(result, Success):
            return _make_body_problem(result.failure())
        parsed = result.unwrap()
        outcome = await _await_outcome(process, request, service, parsed)
        process.exporter.record("job", time.monotonic() - started_at)
        if isinstance(outcome, Complete):
            body = encode_job_answer(
                outcome.submission, parsed.task_ids, outcome.answers
            )
            return Response(body, media_type=JSON_MEDIA_TYPE)
        name = None if outcome.task is None else parsed.task_ids[outcome.task]
        return make_problem(outcome, name)

    return [submit_request, submit_job]


def _make_body_problem(detail: str) -> Response[bytes]:
    return make_request_problem(
        400, "malformed_body", detail, "mend the body; see /schema"
    )


def _make_operator_handlers(process: Entry) -> list[Any]:
    @put("/v1/services/{service:str}/document", summary="Accept a document.")
    async def apply_document(
        service: str,
        request: Request,
        operation: Annotated[str, HeaderParameter(name="Operation-Id")],
        operator: Annotated[str, HeaderParameter(name="Operator")],
        expected: Annotated[str, HeaderParameter(name="If-Match")] = "",
    ) -> Response[bytes] | dict[str, Any]:
        text = (await request.body()).decode(errors="replace")
        parsed = ServiceDocument.from_text(text)
        if not isinstance(parsed, Success):
            detail = str(parsed.failure())
            return make_request_problem(
                422, "wrong_document", detail, "mend the document"
            )
        if parsed.unwrap().name != service:
            detail = f"the document is of {parsed.unwrap().name!r}"
            return make_request_problem(
                422, "wrong_service", detail, "apply it to its service"
            )
        expected_revision = parse_whole_number(expected.strip('"'))
        if expected and expected_revision is None:
            return make_request_problem(
                400, "wrong_revision", expected, "give If-Match a revision"
            )
        apply_request = ApplyRequest(
            service, text, operator, operation, expected_revision
        )
        try:
            revision = await process.registry.apply(apply_request)
        except ConflictError as error:
            return make_request_problem(409, "conflict", str(error), error.remedy)
        except TableError as error:
            return make_request_problem(
                503, "acceptance_unknown", str(error), error.remedy, "may_have_run"
            )
        return {"service": service, "revision": revision}

    @get("/v1/services/{service:str}/document", summary="Show a document in force.")
    async def show_document(service: str) -> Response[bytes]:
        installed = process.core.catalog.find(service)
        if installed is None:
            return make_request_problem(
                404, "unknown_service", service, "apply its document"
            )
        headers = {"ETag": f'"{installed.revision}"'}
        text = installed.text.encode()
        return Response(text, media_type="application/toml", headers=headers)

    @get("/v1/status", summary="Show what this entry knows.")
    async def show_status() -> dict[str, Any]:
        return describe_entry(process.core, process.ready)

    @post("/v1/agents/{agent:str}/drain", summary="Ask an agent to leave.")
    async def drain(
        agent: str, operator: Annotated[str, HeaderParameter(name="Operator")]
    ) -> Response[bytes] | dict[str, Any]:
        if not process.drain_agent(agent, operator):
            remedy = "see 'godwitbank status' for the agents connected"
            return make_request_problem(404, "unknown_agent", agent, remedy)
        return {"agent": agent, "draining": True}

    return [apply_document, show_document, show_status, drain]


def _make_monitoring_handlers(process: Entry) -> list[Any]:
    @get("/v1/health", summary="Say that this process lives.")
    async def show_health() -> dict[str, str]:
        return {"status": "alive"}

    @get("/v1/ready", summary="Say whether the balancer should send callers here.")
    async def show_ready() -> Response[dict[str, bool]]:
        status = 200 if process.ready else 503
        return Response({"ready": process.ready}, status_code=status)

    @get("/metrics", summary="Counters and percentiles.", media_type="text/plain")
    async def show_metrics() -> Response[bytes]:
        return Response(process.exporter.render(), media_type=METRICS_MEDIA_TYPE)

    return [show_health, show_ready, show_metrics]


def _handle_caller_disconnect(
    request: Request, error: CallerGoneError
) -> Response[bytes]:
    del request, error
    return Response(b"", status_code=499)


def make_app(process: Entry) -> Litestar:
    """Create the HTTP application of an entry."""

    async def add_connection_header(response: Response) -> Response:
        if process.stopping.is_set():
            # Otherwise the caller could reuse a keep-alive connection that the
            # stopping server closes before it answers the next request.
            response.headers["Connection"] = "close"
        return response

    return Litestar(
        route_handlers=[
            *_make_caller_handlers(process),
            *_make_operator_handlers(process),
            *_make_monitoring_handlers(process),
        ],
        request_max_body_size=process.settings.max_body,
        after_request=add_connection_header,
        exception_handlers={
            ClientException: handle_http_error,
            HTTPException: handle_http_error,
            CallerGoneError: _handle_caller_disconnect,
        },
        openapi_config=OpenAPIConfig(title="godwitbank", version=__version__),
        logging_config=None,
    )
