"""Every planned stop is graceful: no request is cut, none refused in vain."""

import ssl
import threading
from functools import partial

import httpx
import pytest
from standins.fleet import Fleet, Running, wait_for

from tests.lib.fleet_helpers import base_url, start_desk

pytestmark = pytest.mark.processes

UNUSED_TLS = ssl.create_default_context()
"""Made once: a client makes one a call otherwise, which loads all certificate
authorities and took 2.3 cores, more than all processes under test."""


class Load:
    """Callers that send requests through the balancer until told to stop."""

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


def _is_unready(entry: Running) -> bool:
    return (
        httpx.get(f"{base_url(entry)}/v1/ready", verify=UNUSED_TLS).status_code == 503
    )


def test_rolling_restart_cuts_and_refuses_nothing(fleet: Fleet) -> None:
    """The whole fleet is replaced, one process after the other, under load.

    Symptom: a clerk sees an error during a rollout.
    Sequence: each entry is replaced by a new one, then each agent, while
    callers send requests through the balancer.
    Cause: a process that exits before its requests, or refuses what another
    could have taken.
    """
    start_desk(fleet, entries=2, agents=3)
    load = Load(fleet)
    try:
        replace_all(fleet)
        await_answers(load)
    finally:
        load.finish()
    assert load.failures == []
    assert load.answered > 100


def replace_all(fleet: Fleet) -> None:
    """Replace each entry and each agent, one after the other."""
    for _ in range(2):
        fleet.start_entry()
        fleet.balance()
        old = fleet.entries[0]
        old.stop()
        # The balancer notices by the entry's own word, a little late.
        wait_for(partial(_is_unready, old), "it to be unready")
        fleet.entries.remove(old)
        fleet.balance()
        assert old.process.wait(30) == 0
        fleet.await_agents(3)
    for agent in list(fleet.agents):
        agent.stop()
        assert agent.process.wait(30) == 0
        fleet.restart_agent(agent)
        fleet.await_agents(3)


def await_answers(load: Load) -> None:
    """Wait until callers are answered by what replaced the old processes."""
    answered = load.answered
    wait_for(lambda: load.answered >= answered + 20, "answers after the rollout")
