"""What callers saw, and what endpoints wrote down, as typed records."""

import json
from collections import defaultdict
from pathlib import Path
from typing import Any, NamedTuple

NEVER = float("inf")

MAX_LEASE_SECONDS = 1.0 / 0.98
"""Seconds of the longest lease, on a clock that is 2 % slow."""


class Attempt(NamedTuple):
    """One try of a caller to hand a job in.

    :param status: HTTP status; 0 if the connection broke or none came about.
    :param state: how the job ended, if the answer says so.
    :param planned: whether only planned work was under way all the while.
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
    """One run of a task at one boot of an endpoint.

    :param late: the order was carried out seconds after it was given.
    :param alive: runs at work there just after this one began.
    :param drain_heard_at: when the endpoint's drain was acknowledged, or 0.
    :param evacuated_at: since when its zone is evacuated, or 0.
    :param end: how it ended; empty if the endpoint was killed meanwhile.
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
    """An entry wrote down something about a job, so it has read its request."""

    entry: str
    job: str
    at: float


def read_job_events(folder: Path) -> list[JobEvent]:
    """Read when each entry wrote down something about a job."""
    lines = [
        json.loads(line)
        for path in sorted(folder.glob("entry-*.log"))
        for line in path.read_text().splitlines()
        if line.startswith("{") and line.endswith("}") and '"job_' in line
    ]
    return [JobEvent(line["process"], line["request"], line["at"]) for line in lines]


def read_runs(folder: Path) -> list[Run]:
    """Read what all endpoints have written down."""
    runs: list[Run] = []
    for path in sorted(folder.glob("*-endpoint.log")):
        lines = [
            json.loads(line)
            for line in path.read_text().splitlines()
            if line.startswith("{") and line.endswith("}")
        ]
        runs += _pair(path.name.removesuffix("-endpoint.log"), lines)
    return runs


def _pair(endpoint: str, lines: list[dict[str, Any]]) -> list[Run]:
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
            # A paused endpoint gets no renewal, so its runs lapse though it can't
            # write that down before it is killed.
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
    """Group attempts by job, in the order in which they ended."""
    grouped: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in attempts:
        grouped[attempt.job].append(attempt)
    return grouped
