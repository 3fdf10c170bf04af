"""Jobs that other entries forward for their callers."""

from godwitbank._internal.core.events import Send
from godwitbank._internal.core.runs.events import AnswerCaller
from godwitbank._internal.core.runs.remote_callers import RemoteCallers
from godwitbank._internal.models.jobs import JobEnd, JobResult, JobSpec, StepSpec
from godwitbank._internal.models.resources import Resources
from godwitbank._internal.models.run_messages import Forward, Forwarded
from godwitbank._internal.network.codec import decode, encode

SPEC = JobSpec(
    "0123456789abcdef",
    "checks",
    "payload",
    (
        StepSpec(3, Resources(1600, 64, 0), 0.4),
        StepSpec(1, Resources(100, 8, 1), 1.5, (0,), "a", "r1-3", 2, True),
    ),
)
LENGTH_PREFIX_BYTES = 4
"""Size of the length prefix of a frame."""


def test_a_job_is_unchanged_after_it_was_forwarded() -> None:
    steps = [list(step) for step in SPEC.steps]
    sent = Forward(SPEC.job, SPEC.queue, SPEC.payload, steps, 1.5, False)
    received = decode(encode(sent)[LENGTH_PREFIX_BYTES:])
    assert isinstance(received, Forward)
    event = RemoteCallers().accept_forward(7, received)
    assert (event.spec, event.timeout_seconds) == (SPEC, 1.5)
    assert event.caller < 0


def test_answers_go_back_on_the_stream_on_which_the_job_arrived() -> None:
    remote_callers = RemoteCallers()
    steps = [list(step) for step in SPEC.steps]
    event = remote_callers.accept_forward(
        7, Forward(SPEC.job, SPEC.queue, "", steps, 1.5, False)
    )
    result = JobResult(SPEC.job, JobEnd.FAILED, "attempts", True)
    own = AnswerCaller(1, result)
    (kept, sent) = remote_callers.route_answers(
        [own, AnswerCaller(event.caller, result)]
    )
    assert kept is own
    assert isinstance(sent, Send)
    assert (sent.stream, sent.message) == (
        7,
        Forwarded(SPEC.job, "failed", "attempts", True, -1.0),
    )
    assert remote_callers.route_answers([AnswerCaller(event.caller, result)]) == []
