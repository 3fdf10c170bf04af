"""Decoding of the JSON bodies that callers, endpoints and the store send.

The private structs mirror the wire format under the platform's names. The functions
return this project's own types, so that other modules don't depend on the format.
"""

from typing import Literal, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from godwitbank._internal.core.runs.shares import find_invalid_field
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
from godwitbank._internal.platform.fields import (
    Amount,
    Checkpoint,
    Count,
    Factor,
    InstanceId,
    Labels,
    Milliseconds,
    Name,
    SignedAmount,
    Text,
    WholeNumber,
)
from godwitbank._internal.utils.decoding import decode_json

MAX_PAYLOAD_BYTES = 4000
"""Largest payload of a job; the limit is the platform's."""

MAX_BODY_BYTES = 4 * 1024 * 1024
"""Largest body of a job, whatever operators allow. A job is forwarded in one frame,
which may be twice as long."""

MAX_JOB_TASKS = 10_000
"""Most tasks of one job. A body within the size limit could ask for millions."""


class _WireStruct(msgspec.Struct, rename="kebab"):
    """Base of wire structs; field names are in kebab case on the wire."""


class _Step(_WireStruct):
    count: WholeNumber = 0
    cpu: SignedAmount = 0
    mem_mb: SignedAmount = 0
    gpu: SignedAmount = 0
    # Run time of one task that the caller expects.
    estimate_ms: Milliseconds = 0
    after: list[WholeNumber] = []
    saves_progress: bool = False
    gang: bool = False
    same_rack: bool = False
    # Label that the endpoint must have; empty for any endpoint.
    requires: Text = ""
    # Rack that holds the input data; a task may run in another one.
    affinity: Text = ""
    # Most tasks of the step on one endpoint; 0 for no limit.
    anti_affinity: WholeNumber = 0
    speculative: bool = False
    long_running: bool = False
    fills: bool = False


class _Job(_WireStruct):
    spec: str = ""
    steps: list[_Step] = []
    best_effort: bool = False
    # Number of occurrences; 0 for a job that runs once.
    times: WholeNumber = 0


class _Route(_WireStruct):
    name: Text
    host: Text
    prefix: Text
    service: Text
    priority: WholeNumber = 0
    max_attempts: WholeNumber = 1
    stretch: Factor = 1.0
    # Added to the run time times stretch; it isn't the whole latency objective.
    target_latency_ms: Milliseconds = 0


class _Limits(_WireStruct):
    max_body_bytes: WholeNumber = 262144


class _Config(_WireStruct):
    version: WholeNumber
    routes: list[_Route] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _ReportedCapacity(_WireStruct):
    cpu: Amount
    mem_mb: Amount
    gpu: Amount = 0


class _Report(_WireStruct):
    # Fields without a default must be present and valid. A body that violates this
    # comes from a foreign writer; defaults would register an endpoint that doesn't
    # exist.
    service: Name
    address: Text
    state: Literal["ready", "draining"]
    capacity: _ReportedCapacity
    seq: WholeNumber
    # The kind of endpoint and its rack.
    labels: Labels = []
    clock_ms: WholeNumber = 0
    # Remaining time in which runs are slower because the endpoint has just started.
    cold_left_ms: Milliseconds = 0
    born: Count = 0
    # Time for which a draining endpoint stays at least.
    remaining_ms: Milliseconds | None = None


class _Exit(_WireStruct):
    born: Count = 0


class _RunningRow(msgspec.Struct, array_like=True):
    task: Text
    run: WholeNumber
    checkpoint: Checkpoint
    percent: WholeNumber
    # Some platforms append a fifth element; it is ignored.


class _EndedRow(msgspec.Struct, array_like=True):
    number: WholeNumber
    task: Text
    run: WholeNumber
    how: Text
    checkpoint: Checkpoint


class _RenewalAnswer(_WireStruct):
    clock_ms: WholeNumber = 0
    born: Count = 0
    running: list[_RunningRow] = []
    ended: list[_EndedRow] = []


class _OrderAnswer(_WireStruct):
    clock_ms: WholeNumber | None = None
    reason: Text = ""


_RUN_ENDS = {
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
_exit_decoder = msgspec.json.Decoder(_Exit)
_renewal_decoder = msgspec.json.Decoder(_RenewalAnswer)
_answer_decoder = msgspec.json.Decoder(_OrderAnswer)


class OrderAnswer(msgspec.Struct):
    """An endpoint's answer to an order to start or stop a run.

    :param clock: the endpoint's clock in milliseconds, or ``None`` if not given.
    :param reason: why the order was not carried out, or an empty string.
    """

    clock: int | None
    reason: str


def decode_job(job: str, queue: str, body: bytes) -> Result[JobSpec, str]:
    """Decode and validate a submitted job.

    :param job: id of the job, from the request's path.
    :param queue: name of the queue.
    :param body: body of the request.
    :return: the job, or a message about what is invalid.
    """
    try:
        wire = decode_json(_job_decoder, body)
    except msgspec.DecodeError as error:
        return Failure(str(error))
    problem = _find_problem(wire)
    if problem is not None:
        return Failure(problem)
    steps = tuple(_convert_step(step) for step in wire.steps)
    return Success(JobSpec(job, queue, wire.spec, steps))


def _find_problem(wire: _Job) -> str | None:
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

    :raises msgspec.DecodeError: when the value is no configuration, or a field of a
        queue is invalid.
    """
    wire = decode_json(_config_decoder, value)
    queues = tuple(_convert_route(route) for route in wire.routes)
    invalid_field = find_invalid_field(queues)
    if invalid_field is not None:
        raise msgspec.ValidationError(f"invalid value in {invalid_field}")
    max_body = min(wire.limits.max_body_bytes, MAX_BODY_BYTES)
    return Configuration(wire.version, queues, max_body)


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
    """Decode an endpoint's report about its own state.

    :param instance: id of the endpoint's boot, from the request's path.
    :param body: body of the request.
    :raises msgspec.DecodeError: when the body is no report, or the id can't be one.
    """
    msgspec.convert(instance, InstanceId)
    wire = decode_json(_report_decoder, body)
    capacity = wire.capacity
    return EndpointReport(
        instance,
        wire.service,
        Resources(capacity.cpu, capacity.mem_mb, capacity.gpu),
        tuple(wire.labels),
        wire.state == "draining",
        wire.clock_ms,
        wire.seq,
        wire.address,
        max(0.0, wire.cold_left_ms / 1000),
        wire.born,
        _convert_remaining(wire),
    )


def _convert_remaining(wire: _Report) -> float | None:
    if wire.state != "draining" or wire.remaining_ms is None:
        return None
    return max(0.0, wire.remaining_ms / 1000)


def decode_exit(body: bytes) -> int:
    """Decode an endpoint's announcement of its exit, which may have no body.

    :return: Unix time of the endpoint's start in milliseconds; 0 if it is not given.
    """
    try:
        return decode_json(_exit_decoder, body).born
    except msgspec.DecodeError:
        return 0


class RunLists(NamedTuple):
    """An endpoint's answer to a lease renewal.

    :param clock: the endpoint's clock in milliseconds.
    :param running: its current runs.
    :param ended: the runs that have ended.
    :param born: Unix time of the endpoint's start in milliseconds; 0 if it is unknown.
    """

    clock: int
    running: tuple[ListedRun, ...]
    ended: tuple[ListedEnd, ...]
    born: int


def decode_run_lists(body: bytes) -> RunLists:
    """Decode an endpoint's answer to a lease renewal.

    :raises msgspec.DecodeError: when the body has another format.
    """
    wire = decode_json(_renewal_decoder, body)
    running = tuple(
        ListedRun(row.task, row.run, row.checkpoint, row.percent)
        for row in wire.running
    )
    ended = tuple(
        ListedEnd(
            row.number,
            row.task,
            row.run,
            _RUN_ENDS.get(row.how, RunEnd.LOST),
            row.checkpoint,
        )
        for row in wire.ended
    )
    return RunLists(wire.clock_ms, running, ended, wire.born)


def decode_order_answer(body: bytes) -> OrderAnswer:
    """Decode an endpoint's answer to an order.

    An empty or malformed body gives an answer without clock and reason.
    """
    if not body:
        return OrderAnswer(None, "")
    try:
        wire = decode_json(_answer_decoder, body)
    except msgspec.DecodeError:
        return OrderAnswer(None, "")
    return OrderAnswer(wire.clock_ms, wire.reason)
