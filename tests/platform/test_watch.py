"""How soon an entry hears of a change by itself, whatever fails on the way."""

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

PHASES = [step * 0.07 for step in range(40)]
"""Seconds by which the moment of a fault is shifted, over a look and its failure."""

DEEP = b'{"x":' + b"[" * 100_000
"""JSON that is nested deeper than any decoder goes."""

CALM = 5.0
"""Seconds, of the loop that never waits, before the first fault."""

SOON = 0.1
LONG = 10.0

BOUNDS = [
    Deployment(fault_free_seconds=2.0, change_bound_seconds=1.0),
    DEFAULT_DEPLOYMENT,
    Deployment(fault_free_seconds=4.0, change_bound_seconds=3.0),
    Deployment(fault_free_seconds=1.5, change_bound_seconds=2.5),
]


class Row(NamedTuple):
    """The operators' row, as some version of theirs."""

    version: int
    revision: int
    value: bytes


def make_row(version: int, revision: int, routes: object = ()) -> Row:
    """Make a row of a version."""
    body = {"version": version, "routes": routes}
    return Row(version, revision, json.dumps(body).encode())


class FakeStore:
    """Answers looks; calls under way while it is silent are never answered.

    :ivar latency: seconds that each answer takes.
    :ivar garbage: what is answered in place of rows, if anything.
    :ivar silent_until: until when new calls get no answer, either.
    """

    def __init__(self) -> None:
        self.row = make_row(1, 1)
        self.latency = 0.004
        self.garbage: bytes | None = None
        self.silent_until = -math.inf
        self.looks: list[float] = []
        self._broken = asyncio.Event()
        self._changed = asyncio.Event()

    def write(self, row: Row) -> None:
        """Put another version in place."""
        self.row = row
        self._changed.set()
        self._changed = asyncio.Event()

    def silence(self, seconds: float = 0.0) -> None:
        """Let open connections go silent for good, and new ones for a while."""
        self.silent_until = asyncio.get_running_loop().time() + seconds
        self._broken.set()
        self._broken = asyncio.Event()

    async def read(self, path: str, query: dict[str, str], seconds: float) -> bytes:
        """Answer a look, unless the connection goes silent meanwhile."""
        loop = asyncio.get_running_loop()
        self.looks.append(loop.time())
        until = loop.time() + seconds
        answer = asyncio.ensure_future(self._answer(path, query))
        broken = asyncio.ensure_future(self._break())
        first = asyncio.FIRST_COMPLETED
        done, _ = await asyncio.wait(
            {answer, broken}, timeout=seconds, return_when=first
        )
        broken.cancel()
        if answer in done and broken not in done:
            return answer.result()
        answer.cancel()
        await asyncio.sleep(until - loop.time())
        raise NoAnswerError("given up")

    async def _break(self) -> None:
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
        """Close nothing."""


class KeptLog:
    """Keeps the decisions written to it."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, Mapping[str, object]]] = []

    def write(self, event: str, request: str, fields: Mapping[str, object]) -> None:
        """Keep one line."""
        del request
        self.lines.append((event, fields))


class Scene:
    """An entry's watch of a store, and what it was told."""

    def __init__(self, deployment: Deployment, entries: int = 3) -> None:
        self.store = FakeStore()
        self.log = KeptLog()
        self.heard_at: dict[int, float] = {}
        self.counts = Counts()
        client = StoreClient(self.store, "entry-0", self.log, self.counts)  # type: ignore[arg-type]
        subscriber = Subscriber(self._evacuate, self._configure, lambda: entries)
        poll_limits = PollLimits.from_deployment(deployment)
        self._watch = OperatorTableWatcher(
            client, subscriber, poll_limits, self.log, self.counts
        )  # type: ignore[arg-type]

    async def __aenter__(self) -> "Scene":
        self._running = asyncio.ensure_future(self._watch.run())
        return self

    async def __aexit__(self, *details: object) -> None:
        self._running.cancel()

    def _evacuate(self, evacuation: Evacuation) -> None:
        del evacuation

    def _configure(self, configuration: Configuration) -> None:
        now = asyncio.get_running_loop().time()
        self.heard_at.setdefault(configuration.version, now)


@pytest.mark.parametrize("deployment", BOUNDS)
@pytest.mark.parametrize("latency", [0.004, 0.24])
def test_an_entry_alone_hears_of_a_change_after_its_connections_fell_silent(
    deployment: Deployment, latency: float
) -> None:
    async def play(phase: float) -> None:
        async with Scene(deployment) as scene:
            scene.store.latency = latency
            await asyncio.sleep(CALM + phase)
            scene.store.silence()
            scene.store.write(make_row(2, 5))
            await asyncio.sleep(deployment.change_timeout_seconds)
            assert 2 in scene.heard_at

    for phase in PHASES:
        run_in_virtual_time(play(phase))


@pytest.mark.parametrize("deployment", BOUNDS)
@pytest.mark.parametrize("silence", [0.5, 4.5, 21.0])
@pytest.mark.parametrize("calm", [0.0, CALM])
def test_an_entry_alone_hears_of_a_change_after_the_store_was_silent(
    deployment: Deployment, silence: float, calm: float
) -> None:
    async def play(phase: float) -> None:
        async with Scene(deployment) as scene:
            await asyncio.sleep(calm + phase)
            scene.store.silence(silence)
            await asyncio.sleep(silence)
            scene.store.write(make_row(2, 5))
            await asyncio.sleep(deployment.change_timeout_seconds)
            assert 2 in scene.heard_at

    for phase in PHASES:
        run_in_virtual_time(play(phase))


@pytest.mark.parametrize("garbage", [b"", b"{", DEEP, b'{"rows": 7}'])
def test_an_answer_that_can_not_be_read_ends_no_watch(garbage: bytes) -> None:
    async def play() -> None:
        async with Scene(DEFAULT_DEPLOYMENT) as scene:
            await asyncio.sleep(CALM)
            scene.store.garbage = garbage
            await asyncio.sleep(CALM)
            scene.store.garbage = None
            scene.store.write(make_row(2, 5))
            await asyncio.sleep(DEFAULT_DEPLOYMENT.change_timeout_seconds)
            assert 2 in scene.heard_at

    run_in_virtual_time(play())


def test_a_version_that_can_not_be_decoded_hides_no_later_one() -> None:
    async def play() -> None:
        async with Scene(DEFAULT_DEPLOYMENT) as scene:
            await asyncio.sleep(CALM)
            scene.store.write(make_row(2, 5, routes="none"))
            await asyncio.sleep(CALM)
            scene.store.write(make_row(3, 6))
            await asyncio.sleep(SOON)
            assert sorted(scene.heard_at) == [1, 3]
            assert scene.counts.get("rows_unusable", "op") == 1

    run_in_virtual_time(play())


@pytest.mark.parametrize("entries", [1, 3, 35, 1300, 5000])
def test_looks_of_all_entries_stay_below_their_share_of_the_reads(entries: int) -> None:
    seconds = 100.0

    async def play() -> None:
        async with Scene(DEFAULT_DEPLOYMENT, entries) as scene:
            await asyncio.sleep(seconds)
            share = DEFAULT_DEPLOYMENT.store_reads_per_second / 5 / entries
            assert len(scene.store.looks) <= 2 + seconds * min(1.0, share)

    run_in_virtual_time(play())


def test_the_log_tells_how_long_the_store_was_not_heard() -> None:
    async def play() -> None:
        async with Scene(DEFAULT_DEPLOYMENT) as scene:
            await asyncio.sleep(CALM)
            scene.store.silence(LONG)
            scene.store.write(make_row(2, 5))
            await asyncio.sleep(LONG + CALM)
            lost, read = scene.log.lines[-4], scene.log.lines[-1]
            assert [event for event, _ in scene.log.lines[1:]] == [
                "operators_not_read",
                "store_lost",
                "store_regained",
                "operators_read",
            ]
            assert lost[1]["error"] == "NoAnswerError"
            silence = read[1]["silence"]
            assert isinstance(silence, float) and silence > LONG

    run_in_virtual_time(play())
