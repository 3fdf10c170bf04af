"""Case 7: a job that asks for too much ends the entry that forwards it."""

import json
import random
import subprocess
import threading
import time

import httpx

from review.lib_2.fleet import Fleet, Record, has_trouble, make_body, play

AGENTS = 4
ENTRIES = 3
BURST_ENTRIES = 2
USUAL_CALLERS = 34
BURST_CALLERS = 60
"""1.8 times as many as usual."""

BURST_SECONDS = 4.0
POISON_SECONDS = 3.0
POISON_SHARE = 0.05
BURSTS = 4
PAUSE_SECONDS = 3.0
RESTART_DELAY_SECONDS = 0.3
ALLOWED_ENDS = 2
"""The day counts 0 if processes of a machine end by themselves three times."""

IMPOSSIBLE_CPU = 10**20
"""Thousandths of a core that no endpoint will ever have."""


class Platform(threading.Thread):
    """Starts entries again after they have ended, as the platform does."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        super().__init__(daemon=True)
        self.ends: dict[str, int] = {}
        self.is_over = threading.Event()
        self._fleet = fleet
        self._record = record

    def run(self) -> None:
        """Look after the entries until the case is over."""
        while not self.is_over.wait(0.05):
            for number in range(ENTRIES):
                entry = f"entry-{number}"
                process: subprocess.Popen = self._fleet.processes[entry]
                if process.poll() is None:
                    continue
                self.ends[entry] = self.ends.get(entry, 0) + 1
                self._record.write(f"{entry} ended by itself: {process.returncode}")
                time.sleep(RESTART_DELAY_SECONDS)
                self._fleet.start_entry(entry)


class Burst:
    """Callers of one entry, some of whose jobs can never be done for a while."""

    def __init__(self, fleet: Fleet, record: Record, entry: str, number: int) -> None:
        self._record = record
        self._entry = entry
        self._url = f"http://{fleet.find_ip(entry)}:{fleet.front}/checks/"
        self._number = number
        self._began = time.monotonic()
        self.answers: dict[str, int] = {}
        self._threads = [
            threading.Thread(target=self._call, args=(caller,), daemon=True)
            for caller in range(BURST_CALLERS)
        ]

    def run(self) -> None:
        """Let all callers call, and wait until they have ended."""
        for thread in self._threads:
            thread.start()
        for thread in self._threads:
            thread.join()

    def _call(self, caller: int) -> None:
        draw = random.Random(f"{self._number} {caller}")
        if caller >= USUAL_CALLERS:
            time.sleep(0.5)
        sent = 0
        with httpx.Client(trust_env=False, timeout=3.0) as client:
            while (age := time.monotonic() - self._began) < BURST_SECONDS:
                sent += 1
                in_time = age >= BURST_SECONDS - POISON_SECONDS
                impossible = in_time and draw.random() < POISON_SHARE
                job = f"{self._number:04x}{caller:04x}{sent:08x}"
                if impossible and has_trouble():
                    body = make_impossible_body()
                    self._record.write(f"impossible job {job} to {self._entry}")
                else:
                    body = make_body(2, 0.02)
                answer = submit(client, self._url + job, body)
                self.answers[answer] = self.answers.get(answer, 0) + 1
                if answer == "none":
                    time.sleep(0.1)


def submit(client: httpx.Client, url: str, body: str) -> str:
    """Submit a job and return the status of the answer, or ``none``."""
    headers = {"Host": "desk.example", "Deadline-Ms": "1500"}
    try:
        return str(client.post(url, content=body, headers=headers).status_code)
    except httpx.HTTPError:
        return "none"


def make_impossible_body() -> str:
    """Make the body of a job that can never be done."""
    step = {"count": 4, "cpu": IMPOSSIBLE_CPU, "mem-mb": 64, "estimate-ms": 900}
    return json.dumps({"spec": "0.9", "steps": [step], "best-effort": True})


def case(fleet: Fleet, record: Record) -> bool:
    """Let many users come at once to one entry after the other."""
    fleet.start(ENTRIES, AGENTS)
    platform = Platform(fleet, record)
    platform.start()
    for number in range(BURSTS * BURST_ENTRIES):
        entry = f"entry-{number // BURSTS}"
        burst = Burst(fleet, record, entry, number)
        record.write(f"{BURST_CALLERS} callers come to {entry}")
        burst.run()
        record.write(f"answers: {dict(sorted(burst.answers.items()))}")
        time.sleep(PAUSE_SECONDS)
    platform.is_over.set()
    platform.join()
    too_many = sum(ends > ALLOWED_ENDS for ends in platform.ends.values())
    for entry, ends in sorted(platform.ends.items()):
        record.write(f"{entry} ended by itself {ends} times")
    if too_many >= BURST_ENTRIES:
        record.write(f"Fault: processes of {too_many} of {AGENTS + ENTRIES} machines")
    return too_many < BURST_ENTRIES


if __name__ == "__main__":
    play(case)
