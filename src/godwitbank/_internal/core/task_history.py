"""An agent's records of tasks: the last check against starting a task twice.

A task may start only if there is no record of an earlier start of it. If the record
of a started task has been dropped and an entry queries the task, the answer "never
started" would be false and the task would run twice. So dropping a record raises a
watermark to its start bound (``start_by``), and a query about a start with a bound no
later than the watermark is answered with "unknown".
"""

from collections import OrderedDict
from enum import Enum, auto
from typing import NamedTuple

from godwitbank._internal.core.events import RunEnded
from godwitbank._internal.models.messages import Verdict
from godwitbank._internal.models.tasks import TaskKey

RETENTION_SECONDS = 60.0
"""Seconds for which a record is kept after its start bound."""

REQUEST_RETENTION_SECONDS = 600.0
"""Seconds for which the result of a non-idempotent request can be recalled."""

MAX_RECORDS = 100_000
"""Most records; above it the oldest are dropped and the watermark rises."""

MAX_REQUESTS = 2_000
"""Most results of non-idempotent requests kept to be recalled."""

MAX_REQUEST_BYTES = 32 * 1024 * 1024
"""Most bytes of such results together; a single one may have megabytes."""


class TaskName(NamedTuple):
    """Identifies a task, whatever the attempt."""

    submission: str
    position: int


class RecordState(Enum):
    """State of a task at this agent.

    ``FENCED`` means that the recorded attempt and earlier ones never start here.
    """

    FENCED = auto()
    RUNNING = auto()
    FINISHED = auto()


class TaskRecord:
    """Record of one task.

    :ivar start_by: time after which the attempt must not start.
    :ivar ending: result, until the entry has acknowledged it.
    :ivar entry: incarnation of the entry that sent the start.
    """

    __slots__ = ("attempt", "state", "start_by", "ending", "entry")

    def __init__(
        self, attempt: int, state: RecordState, start_by: float, entry: str
    ) -> None:
        self.attempt = attempt
        self.state = state
        self.start_by = start_by
        self.ending: RunEnded | None = None
        self.entry = entry


class TaskHistory:
    """Records of started and fenced tasks, limited in age and number.

    :param retention: seconds for which a record is kept after its start bound.
    :param max_records: most records.
    """

    def __init__(
        self, retention: float = RETENTION_SECONDS, max_records: int = MAX_RECORDS
    ) -> None:
        self._records: OrderedDict[TaskName, TaskRecord] = OrderedDict()
        self._requests: OrderedDict[str, TaskName] = OrderedDict()
        self._request_times: dict[str, float] = {}
        self._request_endings: dict[str, RunEnded] = {}
        self._request_bytes = 0
        self._retention = retention
        self._max_records = max_records
        self._watermark = float("-inf")

    def __len__(self) -> int:
        return len(self._records)

    def find(self, key: TaskKey) -> TaskRecord | None:
        """Find the record of a task, whatever the attempt."""
        return self._records.get(TaskName(key.submission, key.position))

    def fence(self, key: TaskKey, start_by: float, entry: str) -> None:
        """Record that this attempt and all earlier ones never start here."""
        name = TaskName(key.submission, key.position)
        record = self._records.get(name)
        if record is None:
            self._records[name] = TaskRecord(
                key.attempt, RecordState.FENCED, start_by, entry
            )
            return
        if record.state is RecordState.FENCED:
            record.attempt = max(record.attempt, key.attempt)
            record.start_by = max(record.start_by, start_by)

    def is_fenced(self, key: TaskKey) -> bool:
        """Return whether this attempt was declared never to start."""
        record = self.find(key)
        return (
            record is not None
            and record.state is RecordState.FENCED
            and record.attempt >= key.attempt
        )

    def record_start(
        self, key: TaskKey, start_by: float, entry: str, request_id: str, now: float
    ) -> None:
        """Record a start; the caller has checked that it is allowed."""
        name = TaskName(key.submission, key.position)
        self._records.pop(name, None)
        self._records[name] = TaskRecord(
            key.attempt, RecordState.RUNNING, start_by, entry
        )
        if request_id:
            self._requests[request_id] = name
            self._request_times[request_id] = now

    def record_end(self, ending: RunEnded, request_id: str) -> TaskRecord | None:
        """Record the result of a started task.

        :return: the task's record, if there is one.
        """
        record = self.find(ending.key)
        if record is not None:
            record.state = RecordState.FINISHED
            record.ending = ending
        if request_id in self._requests:
            self._request_endings[request_id] = ending
            self._request_bytes += len(ending.body)
        return record

    def acknowledge(self, key: TaskKey) -> None:
        """Drop a result that its entry has received; the record of the start stays."""
        record = self.find(key)
        if record is not None:
            record.ending = None

    def resolve(self, key: TaskKey, start_by: float, entry: str) -> Verdict:
        """Return the state of a start, and fence it if it was never received."""
        record = self.find(key)
        if record is None:
            if start_by <= self._watermark:
                return Verdict.UNKNOWN
            self.fence(key, start_by, entry)
            return Verdict.FENCED
        if record.state is RecordState.RUNNING:
            return Verdict.RUNNING
        if record.state is RecordState.FINISHED:
            return Verdict.FINISHED if record.ending else Verdict.UNKNOWN
        self.fence(key, start_by, entry)
        return Verdict.FENCED

    def has_request(self, request_id: str) -> bool:
        """Return whether a non-idempotent request was started here."""
        return request_id in self._requests

    def recall(self, request_id: str) -> tuple[Verdict, RunEnded | None]:
        """Find the state of a non-idempotent request, and its result if finished."""
        if request_id not in self._requests:
            return Verdict.UNKNOWN, None
        ending = self._request_endings.get(request_id)
        if ending is None:
            return Verdict.RUNNING, None
        return Verdict.FINISHED, ending

    def expire(self, now: float) -> None:
        """Drop old and excess records, raising the watermark to their start bounds."""
        while self._records:
            name, record = next(iter(self._records.items()))
            expired = record.start_by + self._retention < now
            if not expired and len(self._records) <= self._max_records:
                break
            if record.state is RecordState.RUNNING:
                # The record of a running task must stay, as nothing else can answer
                # queries about the task; it moves to the end and is checked later.
                self._records.move_to_end(name)
                if expired or all(
                    each.state is RecordState.RUNNING for each in self._records.values()
                ):
                    break
                continue
            del self._records[name]
            self._watermark = max(self._watermark, record.start_by)
        while self._requests:
            request_id = next(iter(self._requests))
            expired = self._request_times[request_id] + REQUEST_RETENTION_SECONDS < now
            too_many = len(self._requests) > MAX_REQUESTS
            if not (expired or too_many or self._request_bytes > MAX_REQUEST_BYTES):
                break
            del self._requests[request_id]
            del self._request_times[request_id]
            ending = self._request_endings.pop(request_id, None)
            self._request_bytes -= len(ending.body) if ending else 0
