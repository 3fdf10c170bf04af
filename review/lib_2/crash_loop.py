"""Case 8: a foreign report ends each agent whose endpoint is gone, again and again."""

import json
import signal
import subprocess
import threading
import time

import httpx

from review.lib_2.fleet import Fleet, Record, has_trouble, play

AGENTS = 11
ENTRIES = 2
CRASHED_AGENTS = 2
CRASH_SECONDS = 4.5
"""``for_s`` of the crash; the endpoints never come back."""

CONTACT_SECONDS = 3.0
"""``contact-ms`` of the settings."""

WATCH_SECONDS = 15.0
REPORT_SECONDS = 1.5
RESTART_DELAY_SECONDS = 0.3
ALLOWED_ENDS = 2
"""The day counts 0 if processes of a machine end by themselves three times."""

OUT_OF_RANGE = 10**20
"""A number that isn't one of 64 bits."""


def send_foreign_reports(fleet: Fleet, record: Record, stop: threading.Event) -> None:
    """Send reports of another writer, one to each agent in each interval."""
    sequence = 0
    while not stop.wait(REPORT_SECONDS / AGENTS):
        agent = f"agent-{sequence % AGENTS}"
        sequence += 1
        ip = fleet.find_ip(agent)
        body = {
            "service": "not-named-here",
            "address": f"{ip}:{fleet.app}",
            "state": "ready",
            "capacity": {"cpu": OUT_OF_RANGE, "mem-mb": 65536, "gpu": 0},
            "clock-ms": 1000,
            "seq": sequence,
        }
        url = f"http://{ip}:{fleet.control}/-/instances/i-other-writer"
        try:
            answer = httpx.put(url, content=json.dumps(body), trust_env=False)
            record.write(f"report of another writer to {agent}: {answer.status_code}")
        except httpx.HTTPError:
            record.write(f"report of another writer to {agent}: no answer")


class Platform(threading.Thread):
    """Starts agents again after they have ended, as the platform does."""

    def __init__(self, fleet: Fleet, record: Record, stop: threading.Event) -> None:
        super().__init__(daemon=True)
        self.ends: dict[str, list[float]] = {}
        self._fleet = fleet
        self._record = record
        self._stop_event = stop

    def run(self) -> None:
        """Look after the agents until the case is over."""
        while not self._stop_event.wait(0.05):
            for number in range(AGENTS):
                agent = f"agent-{number}"
                process: subprocess.Popen = self._fleet.processes[agent]
                if process.poll() is None:
                    continue
                self.ends.setdefault(agent, []).append(time.monotonic())
                self._record.write(f"{agent} ended by itself: {process.returncode}")
                time.sleep(RESTART_DELAY_SECONDS)
                self._fleet.start_agent(agent)


def case(fleet: Fleet, record: Record) -> bool:
    """Lose two endpoints for good, and watch the agents after that."""
    fleet.start(ENTRIES, AGENTS)
    stop = threading.Event()
    platform = Platform(fleet, record, stop)
    platform.start()
    writer = threading.Thread(
        target=send_foreign_reports, args=(fleet, record, stop), daemon=True
    )
    writer.start()
    time.sleep(2 * REPORT_SECONDS)
    crashed = [f"agent-{number}" for number in range(CRASHED_AGENTS)]
    if has_trouble():
        for agent in crashed:
            fleet.kill(f"{agent}-endpoint", signal.SIGKILL)
            record.write(f"the endpoint of {agent} is lost for good")
    calm_from = time.monotonic() + CRASH_SECONDS + CONTACT_SECONDS
    time.sleep(CRASH_SECONDS + CONTACT_SECONDS + WATCH_SECONDS)
    stop.set()
    platform.join()
    writer.join()
    too_many = 0
    for agent, ends in sorted(platform.ends.items()):
        calm = sum(at > calm_from for at in ends)
        too_many += calm > ALLOWED_ENDS
        record.write(
            f"{agent} ended by itself {len(ends)} times, {calm} of them later than "
            f"{CRASH_SECONDS + CONTACT_SECONDS} s after its endpoint was lost"
        )
    if too_many >= CRASHED_AGENTS:
        record.write(f"FAULT: processes of {too_many} of {AGENTS + ENTRIES} machines")
    return too_many < CRASHED_AGENTS


if __name__ == "__main__":
    play(case)
