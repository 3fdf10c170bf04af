"""Delay until an entry sees a change in the store, in spite of failing connections."""

import asyncio
import base64
import json
import math
from collections.abc import Mapping
from typing import NamedTuple

import pytest

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.runs.deployment import DEFAULT_DEPLOYMENT, Deployment
from godwitbank._internal.core.runs.poll_limits import PollLimits
from godwitbank._internal.models.jobs import Configuration, Evacuation
from godwitbank._internal.network.http_client import NoAnswerError
from godwitbank._internal.platform.operators import OperatorTableWatcher, Subscriber
from godwitbank._internal.platform.store import StoreClient
from tests.lib.virtual_time import run_in_virtual_time

FAULT_OFFSETS_SECONDS = [step * 0.07 for step in range(40)]
"""Seconds by which a fault is shifted, so that it hits each phase of a poll and of its
timeout."""

TOO_DEEP_JSON = b'{"x":' + b"[" * 100_000
"""JSON that is nested more deeply than decoders support."""

WARMUP_SECONDS = 5.0
"""Seconds before the first fault, in virtual time."""

DELIVERY_SECONDS = 0.1
OUTAGE_SECONDS = 10.0

DEPLOYMENTS = [
    Deployment(fault_free_seconds=2.0, change_bound_seconds=1.0),
    DEFAULT_DEPLOYMENT,
    Deployment(fault_free_seconds=4.0, change_bound_seconds=3.0),
    Deployment(fault_free_seconds=1.5, change_bound_seconds=2.5),
]


class Row(NamedTuple):
    """One version of the operators' configuration row."""

    version: int
    revision: int
    value: bytes


def make_row(version: int, revision: int, routes: object = ()) -> Row:
    """Make the row of a configuration."""
    body = {"version": version, "routes": routes}
    return Row(version, revision, json.dumps(body).encode())


class FakeStore:
    """Answers polls; calls that are open when it goes silent are never answered.

    :ivar latency: delay of each answer, in seconds.
    :ivar garbage: malformed answer to be sent in place of rows, if any.
    :ivar silent_until: time until which new calls get no answer either.
    :ivar polls: times of the polls.
    """

    def __init__(self) -> None:
        self.row = make_row(1, 1)
        self.latency = 0.004
        self.garbage: bytes | None = None
        self.silent_until = -math.inf
        self.polls: list[float] = []
        self._broken = asyncio.Event()
        self._changed = asyncio.Event()

    def write(self, row: Row) -> None:
        """Replace the row by another version."""
        self.row = row
        self._changed.set()
        self._changed = asyncio.Event()

    def silence(self, seconds: float = 0.0) -> None:
        """Make open connections silent forever, and new ones for some seconds."""
        self.silent_until = asyncio.get_running_loop().time() + seconds
        self._broken.set()
        self._broken = asyncio.Event()

    async def read(self, path: str, query: dict[str, str], seconds: float) -> bytes:
        """Answer a poll, unless its connection goes silent meanwhile."""
        loop = asyncio.get_running_loop()
        self.polls.append(loop.time())
        until = loop.time() + seconds
        answer = asyncio.ensure_future(self._answer(path, query))
        broken = asyncio.ensure_future(self._wait_for_break())
        first = asyncio.FIRST_COMPLETED
        done, _ = await asyncio.wait(
            {answer, broken}, timeout=seconds, return_when=first
        )
        broken.cancel()
        if answer in done and broken not in done:
            return answer.result()
        answer.cancel()
        await asyncio.sleep(until - loop.time())
        raise NoAnswerError("no answer within the timeout")

    async def _wait_for_break(self) -> None:
        if asyncio.get_running_loop().time() >= self.silent_until:
            await self._broken.wait()

    async def _answer(self, path: str, query: dict[str, str]) -> bytes:
        await asyncio.sleep(self.latency)
        if self.garbage is not None:
            return self.garbage
        if path == "/-/rows-feed":
            await self._await_change(query)
            if self.row.revision <= int(query["after"]):
                return self._render([])
        value = base64.b64encode(self.row.value).decode()
        return self._render([{"key": "config", "value": value}])

    async def _await_change(self, query: dict[str, str]) -> None:
        if self.row.revision <= int(query["after"]):
            changed = asyncio.ensure_future(self._changed.wait())
            await asyncio.wait({changed}, timeout=int(query["wait-ms"]) / 1000)
            changed.cancel()

    def _render(self, rows: list[dict[str, str]]) -> bytes:
        return json.dumps({"ver": self.row.revision, "rows": rows}).encode()

    def close(self) -> None:
        """Do nothing; there are no connections."""


class RecordingLog:
    """Records the events written to the log."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, Mapping[str, object]]] = []

    def write(self, event: str, request: str, fields: Mapping[str, object]) -> None:
        """Record one event."""
        del request
        self.lines.append((event, fields))


class WatcherHarness:
    """An entry's watcher with a fake store.

    :ivar received_at: times at which versions of the configuration were received first.
    """

    def __init__(self, deployment: Deployment, entries: int = 3) -> None:
        self.store = FakeStore()
        self.log = RecordingLog()
        self.received_at: dict[int, float] = {}
        self.counts = Counts()
        client = StoreClient(self.store, "entry-0", self.log, self.counts)  # type: ignore[arg-type]
        subscriber = Subscriber(self._evacuate, self._configure, lambda: entries)
        poll_limits = PollLimits.from_deployment(deployment)
        self._watcher = OperatorTableWatcher(
            client,
            subscriber,
            poll_limits,
            self.log,  # type: ignore[arg-type]
            self.counts,
        )

    async def __aenter__(self) -> "WatcherHarness":
        self._task = asyncio.ensure_future(self._watcher.run())
        return self

    async def __aexit__(self, *details: object) -> None:
        self._task.cancel()

    def _evacuate(self, evacuation: Evacuation) -> None:
        del evacuation

    def _configure(self, configuration: Configuration) -> None:
        now = asyncio.get_running_loop().time()
        self.received_at.setdefault(configuration.version, now)


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
@pytest.mark.parametrize("latency", [0.004, 0.24])
def test_a_lone_entry_sees_a_change_after_its_connections_went_silent(
    deployment: Deployment, latency: float
) -> None:
    async def run_scenario(offset: float) -> None:
        async with WatcherHarness(deployment) as harness:
            harness.store.latency = latency
            await asyncio.sleep(WARMUP_SECONDS + offset)
            harness.store.silence()
            harness.store.write(make_row(2, 5))
            await asyncio.sleep(deployment.change_timeout_seconds)
            assert 2 in harness.received_at

    for offset in FAULT_OFFSETS_SECONDS:
        run_in_virtual_time(run_scenario(offset))


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
@pytest.mark.parametrize("silence", [0.5, 4.5, 21.0])
@pytest.mark.parametrize("calm", [0.0, WARMUP_SECONDS])
def test_a_lone_entry_sees_a_change_after_the_store_was_silent(
    deployment: Deployment, silence: float, calm: float
) -> None:
    async def run_scenario(offset: float) -> None:
        async with WatcherHarness(deployment) as harness:
            await asyncio.sleep(calm + offset)
            harness.store.silence(silence)
            await asyncio.sleep(silence)
            harness.store.write(make_row(2, 5))
            await asyncio.sleep(deployment.change_timeout_seconds)
            assert 2 in harness.received_at

    for offset in FAULT_OFFSETS_SECONDS:
        run_in_virtual_time(run_scenario(offset))


@pytest.mark.parametrize("garbage", [b"", b"{", TOO_DEEP_JSON, b'{"rows": 7}'])
def test_a_malformed_answer_does_not_end_the_watcher(garbage: bytes) -> None:
    async def run_scenario() -> None:
        async with WatcherHarness(DEFAULT_DEPLOYMENT) as harness:
            await asyncio.sleep(WARMUP_SECONDS)
            harness.store.garbage = garbage
            await asyncio.sleep(WARMUP_SECONDS)
            harness.store.garbage = None
            harness.store.write(make_row(2, 5))
            await asyncio.sleep(DEFAULT_DEPLOYMENT.change_timeout_seconds)
            assert 2 in harness.received_at

    run_in_virtual_time(run_scenario())


def test_a_version_after_an_undecodable_one_is_received() -> None:
    async def run_scenario() -> None:
        async with WatcherHarness(DEFAULT_DEPLOYMENT) as harness:
            await asyncio.sleep(WARMUP_SECONDS)
            harness.store.write(make_row(2, 5, routes="none"))
            await asyncio.sleep(WARMUP_SECONDS)
            harness.store.write(make_row(3, 6))
            await asyncio.sleep(DELIVERY_SECONDS)
            assert sorted(harness.received_at) == [1, 3]
            assert harness.counts.get("rows_unusable", "op") == 1

    run_in_virtual_time(run_scenario())


@pytest.mark.parametrize("entries", [1, 3, 35, 1300, 5000])
def test_polls_of_all_entries_stay_within_their_share_of_reads(entries: int) -> None:
    seconds = 100.0

    async def run_scenario() -> None:
        async with WatcherHarness(DEFAULT_DEPLOYMENT, entries) as harness:
            await asyncio.sleep(seconds)
            share = DEFAULT_DEPLOYMENT.store_reads_per_second / 5 / entries
            assert len(harness.store.polls) <= 2 + seconds * min(1.0, share)

    run_in_virtual_time(run_scenario())


def test_the_log_shows_how_long_the_store_was_silent() -> None:
    async def run_scenario() -> None:
        async with WatcherHarness(DEFAULT_DEPLOYMENT) as harness:
            await asyncio.sleep(WARMUP_SECONDS)
            harness.store.silence(OUTAGE_SECONDS)
            harness.store.write(make_row(2, 5))
            await asyncio.sleep(OUTAGE_SECONDS + WARMUP_SECONDS)
            lost, read = harness.log.lines[-4], harness.log.lines[-1]
            assert [event for event, _ in harness.log.lines[1:]] == [
                "operators_not_read",
                "store_lost",
                "store_regained",
                "operators_read",
            ]
            assert lost[1]["error"] == "NoAnswerError"
            assert lost[1]["reason"] == "no answer within the timeout"
            silence = read[1]["silence"]
            assert isinstance(silence, float) and silence > OUTAGE_SECONDS

    run_in_virtual_time(run_scenario())
