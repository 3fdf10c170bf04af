"""Bodies that callers, endpoints and the store send, decoded once.

Each wire type carries the platform's names; what leaves this module are the
product's types.
"""

from typing import Annotated, Literal

import msgspec
from returns.result import Failure, Result, Success

from godwitbank._internal.models.jobs import (
    Configuration,
    EndpointReport,
    JobSpec,
    ListedEnd,
    ListedRun,
    QueueRules,
    RunEnd,
    StepSpec,
)
from godwitbank._internal.models.resources import Resources
from godwitbank._internal.utils.decoding import decode_json

MAX_PAYLOAD_BYTES = 4000
"""Bytes of a job's payload (platform's bound)."""

MAX_JOB_TASKS = 10_000
"""Tasks of one job; a body of the size allowed could ask for millions."""


class _Wire(msgspec.Struct, rename="kebab"):
    """Names on the wire are in kebab case."""


class _Step(_Wire):
    count: int = 0
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    # Milliseconds.
    estimate_ms: float = 0
    after: list[int] = []
    saves_progress: bool = False
    gang: bool = False
    same_rack: bool = False
    # A label the endpoint must carry.
    requires: str = ""
    # The rack of the data, not of the task.
    affinity: str = ""
    # Most tasks of the step on one endpoint.
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False
    fills: bool = False


class _Job(_Wire):
    spec: str = ""
    steps: list[_Step] = []
    best_effort: bool = False
    # Occurrences; 0 is a job that runs once.
    times: int = 0


class _Route(_Wire):
    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    # Added to the stretched run time; not the whole objective.
    target_latency_ms: float = 0


class _Limits(_Wire):
    max_body_bytes: int = 262144


class _Config(_Wire):
    version: int
    routes: list[_Route] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


_Amount = Annotated[int, msgspec.Meta(ge=0)]


class _ReportedCapacity(_Wire):
    cpu: _Amount
    mem_mb: _Amount
    gpu: _Amount = 0


class _Report(_Wire):
    # What is missing or of another kind here was written by somebody else: a
    # default would make an endpoint of it.
    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    state: Literal["ready", "draining"]
    capacity: _ReportedCapacity
    seq: int
    # The endpoint's kind and its rack.
    labels: list[str] = []
    clock_ms: int = 0
    # How much longer runs take longer after the endpoint's start.
    cold_left_ms: float = 0


class _RunningRow(msgspec.Struct, array_like=True):
    task: str
    run: int
    checkpoint: str
    percent: int
    # Some platforms add a figure, which is not read.


class _EndedRow(msgspec.Struct, array_like=True):
    number: int
    task: str
    run: int
    how: str
    checkpoint: str


class _Hold(_Wire):
    clock_ms: int = 0
    running: list[_RunningRow] = []
    ended: list[_EndedRow] = []


class _OrderAnswer(_Wire):
    clock_ms: int | None = None
    reason: str = ""


_ENDS = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LOST,
    "broken": RunEnd.LOST,
    "alone": RunEnd.LOST,
}

_job_decoder = msgspec.json.Decoder(_Job)
_config_decoder = msgspec.json.Decoder(_Config)
_report_decoder = msgspec.json.Decoder(_Report)
_hold_decoder = msgspec.json.Decoder(_Hold)
_answer_decoder = msgspec.json.Decoder(_OrderAnswer)


class OrderAnswer(msgspec.Struct):
    """An endpoint's answer to an order.

    :param clock: its clock in milliseconds, or ``None``.
    :param reason: why nothing was done, or an empty string.
    """

    clock: int | None
    reason: str


def decode_job(job: str, queue: str, body: bytes) -> Result[JobSpec, str]:
    """Decode a submitted job, or say what is wrong with it."""
    try:
        wire = decode_json(_job_decoder, body)
    except msgspec.DecodeError as error:
        return Failure(str(error))
    fault = _find_fault(wire)
    if fault is not None:
        return Failure(fault)
    steps = tuple(_convert_step(step) for step in wire.steps)
    return Success(JobSpec(job, queue, wire.spec, steps))


def _find_fault(wire: _Job) -> str | None:
    if not wire.best_effort or wire.times:
        return "only jobs with best-effort, and without times, can be run here"
    if not wire.steps:
        return "a job needs a step"
    if len(wire.spec.encode()) > MAX_PAYLOAD_BYTES:
        return f"spec is longer than {MAX_PAYLOAD_BYTES} bytes"
    if sum(max(step.count, 0) for step in wire.steps) > MAX_JOB_TASKS:
        return f"a job has at most {MAX_JOB_TASKS} tasks"
    for position, step in enumerate(wire.steps):
        if step.count < 1 or min(step.cpu, step.mem_mb, step.gpu) < 0:
            return f"step {position}: count must be 1 or more, resources 0 or more"
        if any(not 0 <= each < position for each in step.after):
            return f"step {position}: after may name earlier steps only"
        if step.gang or step.long_running or step.fills:
            return f"step {position}: gang, long-running and fills can't be run here"
    return None


def _convert_step(step: _Step) -> StepSpec:
    return StepSpec(
        step.count,
        Resources(step.cpu, step.mem_mb, step.gpu),
        step.estimate_ms / 1000,
        tuple(step.after),
        step.requires,
        step.affinity,
        step.anti_affinity,
        step.saves_progress,
    )


def decode_configuration(value: bytes) -> Configuration:
    """Decode the operators' configuration.

    :raises msgspec.DecodeError: when it isn't one.
    """
    wire = decode_json(_config_decoder, value)
    queues = tuple(_convert_route(route) for route in wire.routes)
    return Configuration(wire.version, queues, wire.limits.max_body_bytes)


def _convert_route(route: _Route) -> QueueRules:
    return QueueRules(
        route.name,
        route.host,
        route.prefix,
        route.service,
        route.priority,
        route.max_attempts,
        route.stretch,
        route.target_latency_ms / 1000,
    )


def decode_report(instance: str, body: bytes) -> EndpointReport:
    """Decode an endpoint's report about itself.

    :raises msgspec.DecodeError: when it isn't one.
    """
    wire = decode_json(_report_decoder, body)
    room = wire.capacity
    return EndpointReport(
        instance,
        wire.service,
        Resources(room.cpu, room.mem_mb, room.gpu),
        tuple(wire.labels),
        wire.state == "draining",
        wire.clock_ms,
        wire.seq,
        wire.address,
        max(0.0, wire.cold_left_ms / 1000),
    )


def decode_run_lists(
    body: bytes,
) -> tuple[int, tuple[ListedRun, ...], tuple[ListedEnd, ...]]:
    """Decode an endpoint's clock, what it runs, and what ended.

    :raises msgspec.DecodeError: when it isn't that.
    """
    wire = decode_json(_hold_decoder, body)
    running = tuple(
        ListedRun(row.task, row.run, row.checkpoint, row.percent)
        for row in wire.running
    )
    ended = tuple(
        ListedEnd(
            row.number,
            row.task,
            row.run,
            _ENDS.get(row.how, RunEnd.LOST),
            row.checkpoint,
        )
        for row in wire.ended
    )
    return wire.clock_ms, running, ended


def decode_order_answer(body: bytes) -> OrderAnswer:
    """Decode an endpoint's answer to an order; an empty body says nothing."""
    if not body:
        return OrderAnswer(None, "")
    try:
        wire = decode_json(_answer_decoder, body)
    except msgspec.DecodeError:
        return OrderAnswer(None, "")
    return OrderAnswer(wire.clock_ms, wire.reason)
