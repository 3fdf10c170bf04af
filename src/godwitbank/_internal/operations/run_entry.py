"""The entry process for jobs of leased runs: streams, callers and timers."""

import asyncio
import itertools
import signal
from random import Random
from typing import TYPE_CHECKING

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.events import CloseStream, Dial, Send, StopRequested
from godwitbank._internal.core.identity import Identity, make_hello
from godwitbank._internal.core.runs.deployment import DEFAULT_DEPLOYMENT, Deployment
from godwitbank._internal.core.runs.entry import RunEntryCore
from godwitbank._internal.core.runs.events import (
    AddressesRead,
    AnswerCaller,
    CallerDisconnected,
    ConfigurationRead,
    EvacuationRead,
    JobCancelled,
    JobSubmitted,
    LagMeasured,
    LogDecision,
    RunAction,
    ShutdownComplete,
)
from godwitbank._internal.models.jobs import (
    Configuration,
    Evacuation,
    JobEnd,
    JobResult,
    JobSpec,
)
from godwitbank._internal.models.messages import Message, Role
from godwitbank._internal.network.streams import StreamCallbacks, StreamTable
from godwitbank._internal.operations.clocks import read_boot_time
from godwitbank._internal.operations.decisions import DecisionLog
from godwitbank._internal.operations.inbox import Inbox, wait_unless_failed
from godwitbank._internal.operations.lag import ENTRY_INTERVAL_SECONDS, LagMeter
from godwitbank._internal.operations.metrics import Exporter

if TYPE_CHECKING:
    from godwitbank._internal.operations.exposition import QueueGauge

FINAL_SEND_SECONDS = 0.2
"""Time for the last stop orders to be sent before the process closes its sockets."""


class RunEntryProcess:
    """An entry for jobs of leased runs."""

    def __init__(
        self,
        identity: Identity,
        rng: Random,
        log: DecisionLog,
        counts: Counts,
        deployment: Deployment = DEFAULT_DEPLOYMENT,
    ) -> None:
        self.core = RunEntryCore(
            identity, rng, read_boot_time(), counts, deployment=deployment
        )
        self.exporter = Exporter(self.core.counts, self._list_gauges)
        self.stopping = asyncio.Event()
        self._shutdown_complete = asyncio.Event()
        self._core_task: asyncio.Task[None] | None = None
        self._log = log
        self._incarnation = identity.incarnation
        self._caller_ids = itertools.count(1)
        self._callers: dict[int, asyncio.Future[JobResult]] = {}
        self._inbox = Inbox(
            self.core, self._perform, lambda: self.core.next_wakeup, read_boot_time
        )
        self._lag_meter = LagMeter(
            ENTRY_INTERVAL_SECONDS, read_boot_time, self._handle_lag
        )
        events = StreamCallbacks(self._inbox.put, self.core.counts.add)
        self.streams = StreamTable(events, make_hello(identity, Role.ENTRY))

    # Methods called by the HTTP application and the store's watcher

    async def submit(self, spec: JobSpec, timeout_seconds: float) -> JobResult:
        """Pass a job to the core and wait for its result.

        Cancelling this call tells the core that the caller disconnected.

        :param timeout_seconds: seconds that the caller waits for the result.
        """
        started_at = read_boot_time()
        caller = next(self._caller_ids)
        loop = asyncio.get_running_loop()
        future: asyncio.Future[JobResult] = loop.create_future()
        self._callers[caller] = future
        self._inbox.put(JobSubmitted(caller, spec, timeout_seconds))
        try:
            result = await future
            self.exporter.record(f"job_{result.end}", read_boot_time() - started_at)
            return result
        except asyncio.CancelledError:
            self._inbox.put(CallerDisconnected(caller))
            self.exporter.record("caller_gone", read_boot_time() - started_at)
            raise
        finally:
            self._callers.pop(caller, None)

    def shed(self, job: str) -> JobResult:
        """Refuse a caller before its request is read, to shed load.

        :param job: id of the job.
        """
        self.core.counts.add("jobs_refused", "no_processor")
        lag = round(self.core.pressure.lag, 3)
        retry_times = self.core.dispatcher.retry_times
        retry = retry_times.compute_without_job("no_processor", read_boot_time())
        fields = {"reason": "no_processor", "lag": lag, "unread": True}
        self._log.write("job_refused", job, {**fields, **retry.describe()})
        return JobResult(job, JobEnd.REFUSED, "no_processor", False, retry.seconds)

    async def cancel(self, job: str) -> bool:
        """Cancel a job.

        :param job: id of the job.
        :return: whether the job was in flight at this entry.
        """
        in_flight = self.core.intake.has_job(job)
        self._inbox.put(JobCancelled(job))
        await self._inbox.flush()
        return in_flight

    def install_configuration(self, configuration: Configuration) -> None:
        """Install a configuration that was read from the store."""
        self._inbox.put(ConfigurationRead(configuration))

    def update_evacuation(self, evacuation: Evacuation) -> None:
        """Install the set of evacuated zones that was read from the store."""
        self._inbox.put(EvacuationRead(evacuation))

    def count_entries(self) -> int:
        """Count the known entries, including this one."""
        return self.core.links.addresses.count + 1

    def add_entry_addresses(self, addresses: tuple[str, ...]) -> None:
        """Add stream addresses of entries to dial."""
        self._inbox.put(AddressesRead(addresses))

    def _handle_lag(self, seconds: float) -> None:
        self.exporter.record("loop_lag", seconds)
        self._inbox.put(LagMeasured(seconds))

    def _list_gauges(self) -> list["QueueGauge"]:
        # Imported at the first scrape, as callers wait while a process starts.
        from godwitbank._internal.operations.exposition import QueueGauge

        return [
            QueueGauge(f"queue_{name}", queue, value)
            for queue, figures in self.core.measure_queues().items()
            for name, value in figures._asdict().items()
        ]

    # Actions

    def _perform(self, actions: list[RunAction]) -> None:
        writes: dict[int, list[Message]] = {}
        for action in actions:
            if isinstance(action, Send):
                writes.setdefault(action.stream, []).append(action.message)
            elif isinstance(action, LogDecision):
                self._log.write(action.event, action.request, action.fields)
            elif isinstance(action, AnswerCaller):
                self._answer(action)
            elif isinstance(action, CloseStream):
                self.streams.write(action.stream, writes.pop(action.stream, []))
                self.streams.close(action.stream, action.reason == "silence")
            elif isinstance(action, Dial):
                self.streams.dial(action.address)
            elif isinstance(action, ShutdownComplete):
                self._shutdown_complete.set()
        for stream, messages in writes.items():
            self.streams.write(stream, messages)

    def _answer(self, action: AnswerCaller) -> None:
        future = self._callers.get(action.caller)
        if future is not None and not future.done():
            future.set_result(action.result)

    # Lifecycle

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish the accepted jobs."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stopping.set)
        self._core_task = asyncio.create_task(self._inbox.run())
        self._lag_meter.start()
        self._log.write("started", "", {"incarnation": self._incarnation})
        await wait_unless_failed(self.stopping, self._core_task)
        self._inbox.put(StopRequested())
        await wait_unless_failed(self._shutdown_complete, self._core_task)

    async def close(self) -> None:
        """Close the streams; all callers must have been answered."""
        await asyncio.sleep(FINAL_SEND_SECONDS)
        self.streams.close_all()
        self._lag_meter.stop()
        if self._core_task is not None:
            self._core_task.cancel()
        self._log.write("stopped", "", {"lines_dropped": self._log.dropped})
        self._log.close()
