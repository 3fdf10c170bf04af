"""Callers that keep connections open and retry when one breaks."""

import threading
import time
from random import Random

import httpx
from standins.platform_fleet import make_body

from godwitbank._internal.operations.clocks import read_boot_time
from soak.fleet import SoakFleet
from soak.records import Attempt

RETRY_AFTER_SECONDS = 1.3
"""Delay of a caller's retry after a broken connection (a figure from the users)."""

TIMEOUT_SECONDS = 10.0
MAX_ATTEMPTS = 4
DUPLICATE_SHARE = 0.15
"""Share of the jobs that are submitted to two entries at once."""

MEAN_PAUSE_SECONDS = 0.15
"""Mean pause of a caller between two jobs; four callers use about two thirds of the
capacity of three endpoints."""


class Callers:
    """Threads that submit jobs until they are stopped.

    :param count: number of threads.
    :param duplicates: whether some jobs are submitted to two entries at once.
    """

    def __init__(
        self, fleet: SoakFleet, seed: int, count: int, duplicates: bool = True
    ) -> None:
        self._duplicates = duplicates
        self.attempts: list[Attempt] = []
        self._fleet = fleet
        self._stop = threading.Event()
        self._planned_since: float | None = None
        self._threads = [
            threading.Thread(target=self._call_forever, args=(seed, number))
            for number in range(count)
        ]
        for thread in self._threads:
            thread.start()

    def set_planned_only(self, planned_only: bool) -> None:
        """Set whether from now on only planned work, such as restarts, is in progress.

        :param planned_only: ``False`` while faults may be in effect.
        """
        self._planned_since = read_boot_time() if planned_only else None

    def stop(self) -> None:
        """Wait until every caller has its response, and stop all of them."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _call_forever(self, seed: int, caller: int) -> None:
        rng = Random(seed * 1000 + caller)
        limits = httpx.Limits(max_keepalive_connections=8, keepalive_expiry=120.0)
        number = 0
        with httpx.Client(limits=limits, trust_env=False) as client:
            while not self._stop.is_set():
                number += 1
                self._submit(client, rng, f"{caller:04x}{number:012x}")
                self._stop.wait(rng.expovariate(1 / MEAN_PAUSE_SECONDS))

    def _submit(self, client: httpx.Client, rng: Random, job: str) -> None:
        width = rng.choice((1, 2, 2, 4, 8))
        body = make_body(width, rng.choice((0.05, 0.1, 0.1, 0.4, 1.2)))
        has_several_entries = len(self._fleet.entries) > 1
        if self._duplicates and has_several_entries and rng.random() < DUPLICATE_SHARE:
            self._submit_twice(client, rng, job, width, body)
            return
        until = read_boot_time() + TIMEOUT_SECONDS
        for _ in range(MAX_ATTEMPTS):
            entry = rng.choice(self._fleet.entries)
            attempt = self._send_attempt(client, job, width, body, entry, until)
            self.attempts.append(attempt)
            broken = attempt.status in (0, 502, 504)
            if not broken or read_boot_time() + RETRY_AFTER_SECONDS > until:
                return
            time.sleep(RETRY_AFTER_SECONDS)

    def _submit_twice(
        self, client: httpx.Client, rng: Random, job: str, width: int, body: str
    ) -> None:
        """Submit a job to two entries at once, as a retry by a balancer may do."""
        first, second = rng.sample(self._fleet.entries, 2)
        until = read_boot_time() + TIMEOUT_SECONDS

        def submit(entry: str) -> None:
            attempt = self._send_attempt(client, job, width, body, entry, until)
            self.attempts.append(attempt)

        other = threading.Thread(target=submit, args=(second,))
        other.start()
        submit(first)
        other.join()

    def _send_attempt(
        self,
        client: httpx.Client,
        job: str,
        width: int,
        body: str,
        entry: str,
        until: float,
    ) -> Attempt:
        fleet = self._fleet
        url = f"http://{fleet.find_advertised_ip(entry)}:{fleet.front}/checks/{job}"
        sent_at = read_boot_time()
        remaining_seconds = max(0.5, until - sent_at)
        headers = {
            "Host": "desk.example",
            "Deadline-Ms": str(int(remaining_seconds * 1000)),
        }
        status, state = 0, ""
        excused = False
        try:
            answer = client.post(
                url, content=body, headers=headers, timeout=remaining_seconds
            )
            status = answer.status_code
            state = answer.json().get("state", "")
        except httpx.ConnectError:
            # The connection was refused, so no request was accepted or cut off.
            excused = True
        except httpx.ReadTimeout:
            # The caller's own timeout; the entry did not cut off the request.
            excused = True
        except httpx.HTTPError:
            status = 0
        planned_since = self._planned_since
        planned_only = (
            planned_since is not None and sent_at >= planned_since and not excused
        )
        ended_at = read_boot_time()
        return Attempt(
            job, width, entry, sent_at, ended_at, status, state, planned_only
        )
