"""The shell round the agent's core for leased runs: streams, orders, timers."""

import asyncio
import contextlib
import signal
from collections.abc import Coroutine
from typing import Any, Protocol

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.events import CloseStream, Dial, Send, StopRequested
from godwitbank._internal.core.identity import Identity, make_hello
from godwitbank._internal.core.runs.agent import RunAgentCore
from godwitbank._internal.core.runs.deployment import DEFAULT_DEPLOYMENT, Deployment
from godwitbank._internal.core.runs.events import (
    AddressesRead,
    LagMeasured,
    LogDecision,
    OrderStart,
    OrderStop,
    RenewalAnswered,
    RenewalFailed,
    RenewLease,
    RunAction,
    ShutdownComplete,
    StartAnswered,
    StoredReportRead,
    StoreReport,
)
from godwitbank._internal.models.jobs import EndpointReport
from godwitbank._internal.models.messages import Message, Role
from godwitbank._internal.network.streams import StreamEvents, StreamTable
from godwitbank._internal.operations.clocks import read_boot_time
from godwitbank._internal.operations.decisions import DecisionLog
from godwitbank._internal.operations.inbox import Inbox, wait_unless_failed
from godwitbank._internal.operations.lag import AGENT_PERIOD, LagMeter
from godwitbank._internal.operations.metrics import Exporter

STOP_SECONDS = 4.5
"""Longest wait for running tasks after SIGTERM; the process is killed at 6 s,
and its successor needs the rest to take over the endpoint."""

MAX_LOGGED_WRITERS = 100
"""Instances whose refused reports are logged; all are counted."""

SETTLE_SECONDS = 0.2
"""Time the last outcomes get to leave the sockets before the process ends."""


class Orders(Protocol):
    """Calls to the endpoint beside the agent."""

    async def start(self, order: OrderStart) -> StartAnswered:
        """Order a start."""

    async def stop(self, order: OrderStop) -> None:
        """Order a stop; whether it was heard shows in the next renewal."""

    async def renew(self, order: RenewLease) -> RenewalAnswered | RenewalFailed:
        """Renew the lease and fetch the lists."""

    async def close(self) -> None:
        """Close connections."""


class ReportKeeper(Protocol):
    """Keeps the endpoint's last report where a restarted agent finds it."""

    async def store_report(self, report: EndpointReport) -> None:
        """Keep a report; failing to is no harm but a wait after a restart."""

    async def read_stored_report(self) -> EndpointReport | None:
        """Find the report that was kept last."""


class RunAgentProcess:
    """One agent for leased runs."""

    def __init__(
        self,
        identity: Identity,
        orders: Orders,
        keeper: ReportKeeper,
        log: DecisionLog,
        counts: Counts,
        deployment: Deployment = DEFAULT_DEPLOYMENT,
    ) -> None:
        self.core = RunAgentCore(
            identity, read_boot_time(), counts, deployment=deployment
        )
        self.exporter = Exporter(self.core.counts)
        self.stopping = asyncio.Event()
        self._quiet = asyncio.Event()
        self._orders = orders
        self._keeper = keeper
        self._log = log
        self._incarnation = identity.incarnation
        self._tasks: set[asyncio.Task[None]] = set()
        self._refused_reports: set[str] = set()
        self._inbox = Inbox(
            self.core, self._perform, lambda: self.core.next_wakeup, read_boot_time
        )
        self._lag = LagMeter(AGENT_PERIOD, read_boot_time, self._hear_lag)
        events = StreamEvents(self._inbox.put, self.core.counts.add)
        self.streams = StreamTable(events, make_hello(identity, Role.AGENT))

    def put(self, event: object) -> None:
        """Hand an event to the core."""
        self._inbox.put(event)

    def refuse_report(self, instance: str, reason: str) -> None:
        """Count a report that names no endpoint, and log each writer's first one."""
        self.core.counts.add("reports_refused")
        if instance in self._refused_reports:
            return
        if len(self._refused_reports) < MAX_LOGGED_WRITERS:
            self._refused_reports.add(instance)
            fields = {"instance": instance, "reason": reason}
            self._log.write("report_refused", "", fields)

    def learn_entries(self, addresses: tuple[str, ...]) -> None:
        """Take stream addresses of entries."""
        self._inbox.put(AddressesRead(addresses))

    def _hear_lag(self, seconds: float) -> None:
        self.exporter.record("loop_lag", seconds)
        self._inbox.put(LagMeasured(seconds))

    def _perform(self, actions: list[RunAction]) -> None:
        writes: dict[int, list[Message]] = {}
        for action in actions:
            if isinstance(action, Send):
                writes.setdefault(action.stream, []).append(action.message)
            elif isinstance(action, LogDecision):
                self._log.write(action.event, action.request, action.fields)
            elif isinstance(action, OrderStart):
                self._spawn(self._start(action))
            elif isinstance(action, RenewLease):
                self._spawn(self._renew(action))
            elif isinstance(action, OrderStop):
                self._spawn(self._orders.stop(action))
            elif isinstance(action, StoreReport):
                self._spawn(self._keeper.store_report(action.report))
            elif isinstance(action, CloseStream):
                self.streams.write(action.stream, writes.pop(action.stream, []))
                self.streams.close(action.stream, action.reason == "silence")
            elif isinstance(action, Dial):
                self.streams.dial(action.address)
            elif isinstance(action, ShutdownComplete):
                self._quiet.set()
        for stream, messages in writes.items():
            self.streams.write(stream, messages)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start(self, order: OrderStart) -> None:
        began = read_boot_time()
        answer = await self._orders.start(order)
        self.exporter.record("start_order", read_boot_time() - began)
        self._inbox.put(answer)

    async def _renew(self, order: RenewLease) -> None:
        self._inbox.put(await self._orders.renew(order))

    async def _recall(self) -> None:
        report = await self._keeper.read_stored_report()
        if report is not None:
            self._inbox.put(StoredReportRead(report))

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT; then let running tasks finish."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        owner = asyncio.create_task(self._inbox.run())
        self._lag.start()
        self._spawn(self._recall())
        self._log.write("started", "", {"incarnation": self._incarnation})
        await wait_unless_failed(self.stopping, owner)
        self._inbox.put(StopRequested())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STOP_SECONDS):
                await wait_unless_failed(self._quiet, owner)
        await asyncio.sleep(SETTLE_SECONDS)
        self._lag.stop()
        self.streams.close_all()
        owner.cancel()
        await self._orders.close()
        self._log.write("stopped", "", {"lines_dropped": self._log.dropped})
        self._log.close()
