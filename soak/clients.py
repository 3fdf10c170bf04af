"""Callers: they keep connections open, and come again when one breaks."""

import threading
import time
from random import Random

import httpx
from standins.platform_fleet import make_body

from godwitbank._internal.operations.clocks import read_boot_time
from soak.fleet import SoakFleet
from soak.records import Attempt

RETRY_AFTER_SECONDS = 1.3
"""Wait of a caller after a broken connection (users' figure)."""

TIMEOUT_SECONDS = 10.0
MAX_ATTEMPTS = 4
DUPLICATE_SHARE = 0.15
"""Share of the jobs that are handed in at two entries at once."""

MEAN_PAUSE_SECONDS = 0.15
"""Mean wait of a caller between two jobs; four of them fill some two thirds of a
deployment of three endpoints."""


class Callers:
    """Threads that hand jobs in until told to stop.

    :param twice: whether some jobs are handed in at two entries at once.
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

    def set_planned_only(self, planned: bool) -> None:
        """Note that from now on nothing but planned work is under way, or not."""
        self._planned_since = read_boot_time() if planned else None

    def stop(self) -> None:
        """Let every caller have its answer, and end."""
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
                self._hand_in(client, rng, f"{caller:04x}{number:012x}")
                self._stop.wait(rng.expovariate(1 / MEAN_PAUSE_SECONDS))

    def _hand_in(self, client: httpx.Client, rng: Random, job: str) -> None:
        width = rng.choice((1, 2, 2, 4, 8))
        body = make_body(width, rng.choice((0.05, 0.1, 0.1, 0.4, 1.2)))
        several = len(self._fleet.entries) > 1
        if self._duplicates and several and rng.random() < DUPLICATE_SHARE:
            self._hand_in_twice(client, rng, job, width, body)
            return
        until = read_boot_time() + TIMEOUT_SECONDS
        for _ in range(MAX_ATTEMPTS):
            entry = rng.choice(self._fleet.entries)
            attempt = self._try(client, job, width, body, entry, until)
            self.attempts.append(attempt)
            broken = attempt.status in (0, 502, 504)
            if not broken or read_boot_time() + RETRY_AFTER_SECONDS > until:
                return
            time.sleep(RETRY_AFTER_SECONDS)

    def _hand_in_twice(
        self, client: httpx.Client, rng: Random, job: str, width: int, body: str
    ) -> None:
        """Hand a job in at two entries at once, as a retry in a balancer may."""
        first, second = rng.sample(self._fleet.entries, 2)
        until = read_boot_time() + TIMEOUT_SECONDS

        def hand_in(entry: str) -> None:
            attempt = self._try(client, job, width, body, entry, until)
            self.attempts.append(attempt)

        other = threading.Thread(target=hand_in, args=(second,))
        other.start()
        hand_in(first)
        other.join()

    def _try(
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
        left = max(0.5, until - sent_at)
        headers = {"Host": "desk.example", "Deadline-Ms": str(int(left * 1000))}
        status, state = 0, ""
        excused = False
        try:
            answer = client.post(url, content=body, headers=headers, timeout=left)
            status = answer.status_code
            state = answer.json().get("state", "")
        except httpx.ConnectError:
            # Nobody listens: no request was taken, so none was cut.
            excused = True
        except httpx.ReadTimeout:
            # The caller's own time limit; the entry was not the one to break off.
            excused = True
        except httpx.HTTPError:
            status = 0
        since = self._planned_since
        planned = since is not None and sent_at >= since and not excused
        ended_at = read_boot_time()
        return Attempt(job, width, entry, sent_at, ended_at, status, state, planned)
