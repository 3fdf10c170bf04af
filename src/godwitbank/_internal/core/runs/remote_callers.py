"""Callers of other entries whose jobs this entry serves.

The rest of the core knows callers by number. Callers of other entries have negative
numbers here; answers to them are sent back on the stream on which their job arrived.
"""

import itertools
from collections.abc import Iterable
from typing import NamedTuple

from godwitbank._internal.core.events import Send
from godwitbank._internal.core.runs.events import (
    AnswerCaller,
    CallerDisconnected,
    JobSubmitted,
    RunAction,
)
from godwitbank._internal.models.jobs import JobResult, JobSpec, StepSpec
from godwitbank._internal.models.resources import Resources
from godwitbank._internal.models.run_messages import Forward, Forwarded


class Origin(NamedTuple):
    """A job, and the stream on which another entry forwarded it."""

    stream: int
    job: str


class RemoteCallers:
    """Callers of other entries, by their numbers at this entry."""

    def __init__(self) -> None:
        self._origins: dict[int, Origin] = {}
        self._numbers = itertools.count(1)

    def accept_forward(self, stream: int, message: Forward) -> JobSubmitted:
        """Decode a forwarded job, and register its caller."""
        caller = self.add_caller(stream, message.job)
        steps = tuple(_decode_step(fields) for fields in message.steps)
        spec = JobSpec(message.job, message.queue, message.payload, steps)
        return JobSubmitted(caller, spec, message.timeout_seconds)

    def add_caller(self, stream: int, job: str) -> int:
        """Register a caller of another entry, and return its number."""
        caller = -next(self._numbers)
        self._origins[caller] = Origin(stream, job)
        return caller

    def is_remote(self, caller: int) -> bool:
        """Return whether a caller is connected to another entry."""
        return caller in self._origins

    def withdraw(self, stream: int, job: str) -> list[CallerDisconnected]:
        """Remove the callers of a job that another entry withdraws."""
        origin = Origin(stream, job)
        gone = [caller for caller, each in self._origins.items() if each == origin]
        return self._forget(gone)

    def drop_stream(self, stream: int) -> list[CallerDisconnected]:
        """Remove the callers that were to be answered on a closed stream."""
        gone = [
            caller for caller, each in self._origins.items() if each.stream == stream
        ]
        return self._forget(gone)

    def _forget(self, callers: list[int]) -> list[CallerDisconnected]:
        for caller in callers:
            del self._origins[caller]
        return [CallerDisconnected(caller) for caller in callers]

    def route_answers(self, actions: Iterable[RunAction]) -> list[RunAction]:
        """Replace answers to callers of other entries by messages to these entries."""
        routed: list[RunAction] = []
        for action in actions:
            if not isinstance(action, AnswerCaller) or action.caller > 0:
                routed.append(action)
                continue
            origin = self._origins.pop(action.caller, None)
            if origin is not None:
                routed.append(Send(origin.stream, _encode_result(action.result)))
        return routed


def _encode_result(result: JobResult) -> Forwarded:
    retry_after = -1.0 if result.retry_after is None else result.retry_after
    return Forwarded(result.job, result.end, result.reason, result.ran, retry_after)


def _decode_step(fields: list) -> StepSpec:
    step = StepSpec(*fields)
    return step._replace(needs=Resources(*step.needs), after=tuple(step.after))
