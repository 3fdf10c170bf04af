"""The agent process for leased runs: streams, endpoint calls and timers."""

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
from godwitbank._internal.core.runs.verdicts import RenewalVerdict, StartVerdict
from godwitbank._internal.models.jobs import EndpointReport
from godwitbank._internal.models.messages import Message, Role
from godwitbank._internal.network.streams import StreamCallbacks, StreamTable
from godwitbank._internal.operations.clocks import read_boot_time
from godwitbank._internal.operations.decisions import DecisionLog
from godwitbank._internal.operations.inbox import Inbox, wait_unless_failed
from godwitbank._internal.operations.lag import AGENT_INTERVAL_SECONDS, LagMeter
from godwitbank._internal.operations.metrics import Exporter

DRAIN_TIMEOUT_SECONDS = 4.5
"""Maximum wait for running tasks after SIGTERM. The process is killed after 6 s, and
its successor needs the remaining time to take over the endpoint."""

MAX_LOGGED_INSTANCES = 100
"""Maximum number of instances whose refused reports are logged. All are counted."""

FINAL_SEND_SECONDS = 0.2
"""Time for the last outcomes to be sent before the process closes its sockets."""


class EndpointControl(Protocol):
    """Calls to the endpoint next to the agent."""

    async def start(self, order: OrderStart) -> StartAnswered:
        """Order the endpoint to start a run."""

    async def stop(self, order: OrderStop) -> None:
        """Order the endpoint to stop a run.

        The next lease renewal shows whether the endpoint received the order.
        """

    async def renew(self, order: RenewLease) -> RenewalAnswered | RenewalFailed:
        """Renew the lease and fetch the endpoint's lists of runs."""

    async def close(self) -> None:
        """Close the connections to the endpoint."""


class ReportStore(Protocol):
    """Stores the endpoint's last report, so that a restarted agent can read it."""

    async def store_report(self, report: EndpointReport) -> None:
        """Store a report, retrying until it succeeds or a later one is to be stored."""

    async def read_stored_report(self) -> EndpointReport | None:
        """Read the report that was stored last, if any."""


class RunAgentProcess:
    """An agent for leased runs.

    :param endpoint_control: calls to the endpoint.
    :param report_store: storage for the endpoint's last report.
    :param log: log of decisions.
    :param counts: counters of the process.
    """

    def __init__(
        self,
        identity: Identity,
        endpoint_control: EndpointControl,
        report_store: ReportStore,
        log: DecisionLog,
        counts: Counts,
        deployment: Deployment = DEFAULT_DEPLOYMENT,
    ) -> None:
        self.core = RunAgentCore(
            identity, read_boot_time(), counts, deployment=deployment
        )
        self.exporter = Exporter(self.core.counts)
        self.stopping = asyncio.Event()
        self._shutdown_complete = asyncio.Event()
        self._endpoint_control = endpoint_control
        self._report_store = report_store
        self._log = log
        self._incarnation = identity.incarnation
        self._tasks: set[asyncio.Task[None]] = set()
        self._refused_reports: set[str] = set()
        self._inbox = Inbox(
            self.core, self._perform, lambda: self.core.next_wakeup, read_boot_time
        )
        self._lag_meter = LagMeter(
            AGENT_INTERVAL_SECONDS, read_boot_time, self._handle_lag
        )
        events = StreamCallbacks(self._inbox.put, self.core.counts.add)
        self.streams = StreamTable(events, make_hello(identity, Role.AGENT))

    def put(self, event: object) -> None:
        """Queue an event for the core."""
        self._inbox.put(event)

    def record_refused_report(self, instance: str, reason: str) -> None:
        """Count a report that doesn't describe an endpoint; log each instance's first.

        :param instance: instance id under which the report was sent.
        :param reason: why the report was refused.
        """
        self.core.counts.add("reports_refused")
        if instance in self._refused_reports:
            return
        if len(self._refused_reports) < MAX_LOGGED_INSTANCES:
            self._refused_reports.add(instance)
            fields = {"instance": instance, "reason": reason}
            self._log.write("report_refused", "", fields)

    def add_entry_addresses(self, addresses: tuple[str, ...]) -> None:
        """Add stream addresses of entries to dial."""
        self._inbox.put(AddressesRead(addresses))

    def _handle_lag(self, seconds: float) -> None:
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
                self._spawn(self._endpoint_control.stop(action))
            elif isinstance(action, StoreReport):
                self._spawn(self._report_store.store_report(action.report))
            elif isinstance(action, CloseStream):
                self.streams.write(action.stream, writes.pop(action.stream, []))
                self.streams.close(action.stream, action.reason == "silence")
            elif isinstance(action, Dial):
                self.streams.dial(action.address)
            elif isinstance(action, ShutdownComplete):
                self._shutdown_complete.set()
        for stream, messages in writes.items():
            self.streams.write(stream, messages)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start(self, order: OrderStart) -> None:
        started_at = read_boot_time()
        try:
            answer = await self._endpoint_control.start(order)
        except Exception as error:  # noqa: BLE001
            # Without an answer of any kind the core would wait for this call for good.
            self._record_failed_call("start", order.task, error)
            verdict = StartVerdict.NO_ANSWER
            answer = StartAnswered(order.task, order.run, verdict, order.token, None)
        self.exporter.record("start_order", read_boot_time() - started_at)
        self._inbox.put(answer)

    async def _renew(self, order: RenewLease) -> None:
        try:
            answer = await self._endpoint_control.renew(order)
        except Exception as error:  # noqa: BLE001
            self._record_failed_call("renew", "", error)
            answer = RenewalFailed(order.renewal, RenewalVerdict.NO_ANSWER, None)
        self._inbox.put(answer)

    def _record_failed_call(self, call: str, request: str, error: Exception) -> None:
        self.core.counts.add("calls_failed", call)
        fields = {"call": call, "error": f"{type(error).__name__}: {error}"}
        self._log.write("call_failed", request, fields)

    async def _restore_report(self) -> None:
        report = await self._report_store.read_stored_report()
        if report is not None:
            self._inbox.put(StoredReportRead(report))

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then wait for running tasks and shut down."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stopping.set)
        core_task = asyncio.create_task(self._inbox.run())
        self._lag_meter.start()
        self._spawn(self._restore_report())
        self._log.write("started", "", {"incarnation": self._incarnation})
        await wait_unless_failed(self.stopping, core_task)
        self._inbox.put(StopRequested())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DRAIN_TIMEOUT_SECONDS):
                await wait_unless_failed(self._shutdown_complete, core_task)
        await asyncio.sleep(FINAL_SEND_SECONDS)
        self._lag_meter.stop()
        self.streams.close_all()
        core_task.cancel()
        await self._endpoint_control.close()
        self._log.write("stopped", "", {"lines_dropped": self._log.dropped})
        self._log.close()
