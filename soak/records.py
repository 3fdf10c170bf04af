"""Typed records of what callers, entries and endpoints observed."""

import json
from collections import defaultdict
from pathlib import Path
from typing import Any, NamedTuple

NEVER = float("inf")

MAX_LEASE_SECONDS = 1.0 / 0.98
"""Seconds that the longest lease, of 1 s, lasts on a clock that is 2 % slow."""


class Attempt(NamedTuple):
    """One attempt of a caller to submit a job.

    :param width: number of tasks of the job.
    :param sent_at: time of the request, in seconds since boot.
    :param ended_at: time of the response or error, in seconds since boot.
    :param status: HTTP status; 0 if the connection broke or couldn't be opened.
    :param state: final state of the job, if the response contains it.
    :param planned_only: whether only planned work was in progress during the attempt,
        and the attempt didn't fail at the caller's timeout or for want of a listener.
    """

    job: str
    width: int
    entry: str
    sent_at: float
    ended_at: float
    status: int
    state: str
    planned_only: bool


class Run(NamedTuple):
    """One run of a task at an endpoint; times are in seconds.

    :param endpoint: name of the agent that the endpoint belongs to.
    :param number: number of this run of the task.
    :param ended: time of the end; ``NEVER`` if no end was recorded.
    :param end: how the run ended; empty if it ended with the endpoint or hasn't ended.
    :param late: whether the order was carried out seconds after it was given.
    :param active_runs: number of active runs at the endpoint just after the start.
    :param drain_heard_at: when the endpoint's drain was acknowledged, or 0.
    :param evacuated_at: when the evacuation of its zone started, or 0.
    """

    endpoint: str
    task: str
    number: int
    began: float
    ended: float
    end: str
    late: bool
    active_runs: int
    drain_heard_at: float
    evacuated_at: float = 0.0

    @property
    def job(self) -> str:
        """Id of the job."""
        return self.task.partition(".")[0]


class JobEvent(NamedTuple):
    """A log event of an entry about a job; it shows that the entry read the request.

    :param at: time of the event, in seconds since boot.
    """

    entry: str
    job: str
    at: float


def read_job_events(folder: Path) -> list[JobEvent]:
    """Read the log events of all entries about jobs."""
    lines = [
        json.loads(line)
        for path in sorted(folder.glob("entry-*.log"))
        for line in path.read_text().splitlines()
        if line.startswith("{") and line.endswith("}") and '"job_' in line
    ]
    return [JobEvent(line["process"], line["request"], line["at"]) for line in lines]


def read_runs(folder: Path) -> list[Run]:
    """Read the runs of all endpoints from their logs."""
    runs: list[Run] = []
    for path in sorted(folder.glob("*-endpoint.log")):
        lines = [
            json.loads(line)
            for line in path.read_text().splitlines()
            if line.startswith("{") and line.endswith("}")
        ]
        runs += _pair_events(path.name.removesuffix("-endpoint.log"), lines)
    return runs


def _pair_events(endpoint: str, lines: list[dict[str, Any]]) -> list[Run]:
    runs: list[Run] = []
    open_runs: dict[tuple[str, int], Run] = {}
    paused_at = NEVER
    evacuated_at = 0.0
    for line in lines:
        if line["event"] == "began":
            run = Run(
                endpoint,
                line["task"],
                line["run"],
                line["at"],
                NEVER,
                "",
                line["late"],
                line["alive"],
                line["drain_heard_at"],
                evacuated_at,
            )
            open_runs[run.task, run.number] = run
        elif line["event"] == "ended":
            run = open_runs.pop((line["task"], line["run"]))
            runs.append(run._replace(ended=line["ended"], end=line["end"]))
        elif line["event"] in ("paused", "resumed"):
            paused_at = line["at"] if line["event"] == "paused" else NEVER
        elif line["event"] in ("evacuated", "taken back"):
            evacuated_at = line["at"] if line["event"] == "evacuated" else 0.0
        elif line["event"] == "killed":
            # The leases of a paused endpoint lapse, as it receives no renewal; it is
            # killed before it can log the end of its runs.
            ended = min(line["at"], paused_at + MAX_LEASE_SECONDS)
            runs += [run._replace(ended=ended) for run in open_runs.values()]
            open_runs.clear()
            paused_at = NEVER
    return runs + list(open_runs.values())


def group_by_task(runs: list[Run]) -> dict[str, list[Run]]:
    """Group runs by task, earliest first."""
    grouped: dict[str, list[Run]] = defaultdict(list)
    for run in sorted(runs, key=lambda run: run.began):
        grouped[run.task].append(run)
    return grouped


def group_by_job(attempts: list[Attempt]) -> dict[str, list[Attempt]]:
    """Group attempts by job, in the order in which they are listed."""
    grouped: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in attempts:
        grouped[attempt.job].append(attempt)
    return grouped
