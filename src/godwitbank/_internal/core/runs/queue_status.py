"""State of each queue at one entry, for operators."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import NamedTuple, TypedDict

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.runs.admission import HORIZONS_SECONDS
from godwitbank._internal.core.runs.dispatcher import Dispatcher
from godwitbank._internal.core.runs.queue_monitor import ShortageChange
from godwitbank._internal.models.jobs import QueueRules

_LAST = len(HORIZONS_SECONDS) - 1


class QueueFigures(NamedTuple):
    """Current load of one queue.

    :param asked: core-seconds per second that are asked for, over all entries.
    :param given: core-seconds per second that are given, over all entries.
    :param share: part of what all queues of the service are given; 0 to 1.
    :param waiting: core-seconds that wait at this entry and can still start in time.
    :param peer_waiting: such work of other entries for the agents of this one.
    :param wait: seconds that the work that goes before a new job takes; 0 before the
        first job.
    :param cores: cores of the endpoints that this entry reaches.
    :param age: age of the oldest peer's report in these figures, in seconds.
    """

    asked: float
    given: float
    share: float
    waiting: float
    peer_waiting: float
    wait: float
    cores: float
    age: float


class QueueStatus(TypedDict):
    """State of one queue on the status page.

    Jobs are counted since this entry started; ``refused`` and ``given_up`` by reason.
    """

    queue: str
    service: str
    priority: int
    short: bool
    load: dict[str, float]
    waiting_jobs: int
    accepted: int
    late: int
    preempted: int
    refused: dict[str, int]
    given_up: dict[str, int]


class QueueReader:
    """Reads the state of queues from an entry's components."""

    def __init__(self, dispatcher: Dispatcher, counts: Counts) -> None:
        self._dispatcher = dispatcher
        self._counts = counts

    def measure_all(
        self, queues: Iterable[QueueRules], now: float
    ) -> dict[str, QueueFigures]:
        """Measure the load of all queues of the configuration, by queue."""
        queues = list(queues)
        waiting = self._dispatcher.measure_waiting()
        loads = self._dispatcher.loads
        given = {each.name: loads.measure_given(each.name, now) for each in queues}
        totals: defaultdict[str, float] = defaultdict(float)
        for queue in queues:
            totals[queue.service] += given[queue.name]
        age = loads.measure_age(now)
        figures = {}
        for queue in queues:
            name, total = queue.name, totals[queue.service]
            cores = self._dispatcher.fleet.measure_capacity(queue.service, now)
            figures[name] = QueueFigures(
                asked=loads.measure_asked(name, now),
                given=given[name],
                share=given[name] / total if total > 0 else 0.0,
                waiting=waiting[name][_LAST] if name in waiting else 0.0,
                peer_waiting=loads.measure_peer_waiting(name, _LAST, now),
                wait=self._measure_wait(queue, waiting, now),
                cores=cores,
                age=age,
            )
        return figures

    def _measure_wait(
        self, queue: QueueRules, waiting: dict[str, list[float]], now: float
    ) -> float:
        """Return the wait that admission expects for another job like the last one."""
        slack = self._dispatcher.monitor.get_slack(queue.name)
        cores = self._dispatcher.fleet.measure_capacity(queue.service, now)
        if slack is None or cores <= 0:
            return 0.0
        queues = self._dispatcher.queues.find_service(queue.service)
        admission = self._dispatcher.admission
        ahead = admission.measure_ahead_of(queue, slack, waiting, queues, now)
        return (ahead.own + ahead.peers) / cores

    def describe_all(
        self, queues: Iterable[QueueRules], now: float
    ) -> list[QueueStatus]:
        """Describe all queues of the configuration."""
        queues = list(queues)
        figures = self.measure_all(queues, now)
        counts = self._counts.group_by_queue()
        jobs = Counter(
            job.queue.name for job in self._dispatcher.jobs.values() if not job.ran
        )
        return [
            self._describe(
                queue,
                figures[queue.name],
                counts.get(queue.name, Counts()),
                jobs[queue.name],
            )
            for queue in queues
        ]

    def _describe(
        self, queue: QueueRules, figures: QueueFigures, counts: Counts, jobs: int
    ) -> QueueStatus:
        return {
            "queue": queue.name,
            "service": queue.service,
            "priority": queue.priority,
            "short": self._dispatcher.monitor.is_short(queue.name),
            "load": round_figures(figures),
            "waiting_jobs": jobs,
            "accepted": counts.get("jobs_accepted"),
            "late": counts.get("jobs_late"),
            "preempted": counts.get("tasks_preempted"),
            "refused": counts.list_reasons("jobs_refused"),
            "given_up": counts.list_reasons("jobs_given_up"),
        }


def describe_change(change: ShortageChange, figures: QueueFigures) -> dict[str, object]:
    """Return the fields of a change's log line, with the load that it is due to."""
    return {
        "queue": change.queue,
        "s": round(change.seconds, 3),
        "refused": change.refused,
        "late": change.late,
        **round_figures(figures),
    }


def round_figures(figures: QueueFigures) -> dict[str, float]:
    """Return the figures of a queue by name, rounded for people."""
    return {name: round(value, 3) for name, value in figures._asdict().items()}
