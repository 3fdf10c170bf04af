"""Planned stops are graceful: no request is cut off or needlessly refused."""

import ssl
import threading
from functools import partial

import httpx
import pytest
from standins.fleet import Fleet, ManagedProcess, wait_for

from tests.lib.fleet_helpers import base_url, start_desk

pytestmark = pytest.mark.processes

UNUSED_TLS = ssl.create_default_context()
"""TLS context shared by all calls. By default, each httpx call makes one and loads all
certificate authorities, which took 2.3 cores, more than all processes under test."""


class LoadGenerator:
    """Callers that send requests through the balancer until stopped.

    :ivar failures: text of each failed request.
    :ivar answered: number of successful requests.
    """

    def __init__(self, fleet: Fleet, callers: int = 12) -> None:
        self.failures: list[str] = []
        self.answered = 0
        self._url = f"http://127.0.0.1:{fleet.balancer_http}/v1/services/desk/requests"
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._call, daemon=True) for _ in range(callers)
        ]
        for thread in self._threads:
            thread.start()

    def _call(self) -> None:
        body = {"class": "size-change", "payload": {"run_ms": 40}}
        while not self._stop.is_set():
            try:
                answer = httpx.post(self._url, json=body, timeout=30, verify=UNUSED_TLS)
            except httpx.HTTPError as error:
                self.failures.append(repr(error))
                continue
            if answer.status_code == 200:
                self.answered += 1
            else:
                self.failures.append(answer.text)

    def finish(self) -> None:
        """Stop the callers."""
        self._stop.set()
        for thread in self._threads:
            thread.join(30)


def _is_unready(entry: ManagedProcess) -> bool:
    return (
        httpx.get(f"{base_url(entry)}/v1/ready", verify=UNUSED_TLS).status_code == 503
    )


def test_rolling_restart_fails_no_request(fleet: Fleet) -> None:
    """Replace all processes of the fleet, one after the other, under load.

    Callers send requests through the balancer during the rollout. A process that exited
    before its requests ended, or refused what another process could have served, would
    make a clerk see an error.
    """
    start_desk(fleet, entries=2, agents=3)
    load = LoadGenerator(fleet)
    try:
        replace_processes(fleet)
        wait_for_answers(load)
    finally:
        load.finish()
    assert load.failures == []
    assert load.answered > 100


def replace_processes(fleet: Fleet) -> None:
    """Replace each entry and each agent, one after the other."""
    for _ in range(2):
        fleet.start_entry()
        fleet.update_balancer()
        old = fleet.entries[0]
        old.stop()
        # The entry reports itself unready, which a balancer notices with a delay.
        wait_for(partial(_is_unready, old), "it to be unready")
        fleet.entries.remove(old)
        fleet.update_balancer()
        assert old.process.wait(30) == 0
        fleet.wait_for_agents(3)
    for agent in list(fleet.agents):
        agent.stop()
        assert agent.process.wait(30) == 0
        fleet.restart_agent(agent)
        fleet.wait_for_agents(3)


def wait_for_answers(load: LoadGenerator) -> None:
    """Wait until the new processes have answered some requests."""
    answered = load.answered
    wait_for(lambda: load.answered >= answered + 20, "answers after the rollout")
