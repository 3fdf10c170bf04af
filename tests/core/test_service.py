"""Admission and rank of one service."""

from random import Random

from returns.result import Success

from godwitbank._internal.core.catalog import Held
from godwitbank._internal.core.pool import AgentView
from godwitbank._internal.core.service import LAST_CALL, Service
from godwitbank._internal.models.document import ServiceDocument
from godwitbank._internal.models.tasks import Submission, TaskSpec
from tests.lib.world import DESK


def _make(agents: int = 4) -> Service:
    parsed = ServiceDocument.from_text(DESK)
    assert isinstance(parsed, Success)
    held = Held(1, DESK, parsed.unwrap())
    service = Service(held, Random(1), "a", 4.0, 0.0)
    for number in range(agents):
        view = AgentView(f"agent-{number}", 0.0)
        view.service = "desk"
        view.slots = 8
        view.connect(number + 1, "i", 0.0, 0.0)
        service.pool.views.append(view)
    return service


def _submit(count: int, deadline: float) -> Submission:
    tasks = tuple(TaskSpec("size-change", b"") for _ in range(count))
    return Submission("s", "desk", tasks, deadline)


def test_small_work_passes_large_work() -> None:
    service = _make()
    assert service.rank(_submit(1, 30), 0.0) < service.rank(_submit(460, 30), 0.0)


def test_nothing_is_passed_over_until_it_is_too_late() -> None:
    """A large job under overload is admitted, runs in part, and fails.

    Symptom: goodput falls although every slot is busy.
    Sequence: a job of 460 tasks is passed over by small ones until its deadline;
    what it ran by then was for nothing.
    Cause: a rank that lies beyond the deadline.
    """
    service = _make()
    large = _submit(460, 10.0)
    ideal = service.estimate_ideal(large, 0.0)
    assert 16 * ideal > 10
    assert service.rank(large, 0.0) <= 10 - LAST_CALL * ideal


def test_rank_is_never_before_arrival() -> None:
    service = _make()
    assert service.rank(_submit(460, 1.0), 0.5) == 0.5
