"""Callers that submit jobs and cancel them, each call on a connection of its own."""

import json
import threading
import time
from typing import NamedTuple

import httpx
from standins.fleet import wait_for

from review.lib.deployment import Deployment

BEGIN_TIMEOUT_SECONDS = 5.0


class Answer(NamedTuple):
    """The answer to a call.

    :param at: time of its arrival on the monotonic clock, in seconds.
    :param status: status of the response; 0 if none came.
    """

    at: float
    status: int
    text: str


def call(
    fleet: Deployment,
    method: str,
    entry: str,
    path: str,
    content: str = "",
    deadline_ms: int = 10_000,
    host: str = "",
) -> Answer:
    """Send a request to an entry on a new connection, and wait for the answer.

    :param host: address to connect to; by default that of the entry.
    """
    url = f"http://{host or fleet.find_ip(entry)}:{fleet.front}{path}"
    headers = {
        "Host": "desk.example",
        "Deadline-Ms": str(deadline_ms),
        "Content-Type": "application/json",
    }
    try:
        response = httpx.request(
            method,
            url,
            content=content,
            headers=headers,
            timeout=deadline_ms / 1000 + 2,
            trust_env=False,
        )
    except httpx.HTTPError as error:
        return Answer(time.monotonic(), 0, type(error).__name__)
    return Answer(time.monotonic(), response.status_code, response.text)


def make_job(width: int, seconds: float, cpu: int = 1000) -> str:
    """Make the body of a best-effort job with one step.

    :param width: number of tasks.
    :param seconds: run time of each task.
    :param cpu: need of each task, in thousandths of a core.
    """
    step = {
        "count": width,
        "cpu": cpu,
        "mem-mb": 64,
        "estimate-ms": int(seconds * 1000),
    }
    return json.dumps({"spec": str(seconds), "steps": [step], "best-effort": True})


def wait_until_begun(fleet: Deployment, agents: list[str], jobs: list[str]) -> None:
    """Wait until a task of each job has begun at an endpoint."""

    def have_begun() -> bool:
        begun = {run["task"].partition(".")[0] for run in fleet.read_runs(agents)}
        return begun >= set(jobs)

    wait_for(have_begun, "the start of all jobs", BEGIN_TIMEOUT_SECONDS)


class Submission(threading.Thread):
    """A caller that submits a job and waits for its result.

    :ivar sent_at: time of the request on the monotonic clock, in seconds.
    :ivar answer: the answer, once it has come.
    """

    def __init__(self, fleet: Deployment, entry: str, job: str, body: str) -> None:
        super().__init__(daemon=True)
        self.entry = entry
        self.job = job
        self.sent_at = 0.0
        self.answer: Answer | None = None
        self.fleet = fleet
        self._body = body

    def run(self) -> None:
        """Submit the job and wait."""
        self.sent_at = time.monotonic()
        self.answer = call(
            self.fleet,
            "POST",
            self.entry,
            f"/checks/{self.job}",
            self._body,
            host=self.find_host(),
        )

    def find_host(self) -> str:
        """Find the address to connect to."""
        return self.fleet.find_ip(self.entry)
