"""The entry process: sockets, table access and timers around the entry core."""

import asyncio
import contextlib
import signal
import time
import uuid
from random import Random
from typing import Any

from absl import logging

from godwitbank._internal.core.entry import EntryCore
from godwitbank._internal.core.events import (
    Action,
    CallerDisconnected,
    ClaimsFailed,
    ClaimsWritten,
    CloseStream,
    Dial,
    DocumentRead,
    DrainRequested,
    ReleaseClaims,
    Reply,
    Send,
    Submitted,
    TableRead,
    WriteClaims,
)
from godwitbank._internal.core.identity import Identity, Timing, make_hello
from godwitbank._internal.core.pressure import Pressure
from godwitbank._internal.exceptions import TableError
from godwitbank._internal.http.entry import make_app
from godwitbank._internal.models.messages import Message, Role
from godwitbank._internal.models.outcomes import Failed, Outcome, Ran, Reason
from godwitbank._internal.models.settings import EntrySettings
from godwitbank._internal.models.tasks import Submission, TaskSpec
from godwitbank._internal.network.streams import StreamCallbacks, StreamTable
from godwitbank._internal.network.table import Put, TableClient
from godwitbank._internal.operations.inbox import Inbox, wait_unless_failed
from godwitbank._internal.operations.lag import ENTRY_INTERVAL_SECONDS, LagMeter
from godwitbank._internal.operations.metrics import Exporter
from godwitbank._internal.operations.registry import DocumentRegistry
from godwitbank._internal.operations.server import HttpServer
from godwitbank._internal.operations.sockets import bind

POLL_INTERVAL_SECONDS = 2.0
"""Interval between reads of the table's head row."""

CLAIM_TTL_SECONDS = 7 * 24 * 3600.0
"""How long the table keeps a claim. A request id must not be reused after that, as the
repetition would no longer be detected."""

REFUSAL_LAG_SECONDS = 1.0
"""Event loop lag from which an overloaded entry refuses submissions. Deadlines here are
in seconds: a burst of callers that delays the loop by tenths of a second is still
served in time."""


class EntryProcess:
    """An entry: its core, HTTP server, streams and access to the table."""

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        seed = settings.seed or uuid.uuid4().int
        identity = Identity(
            settings.name, uuid.uuid4().hex, settings.stream, settings.zone
        )
        timing = Timing(settings.heartbeat, settings.silence, settings.start_window)
        self.core = EntryCore(
            identity, timing, Random(seed), time.monotonic(), settings.balancer
        )
        self.exporter = Exporter(self.core.counts)
        self.table = TableClient(settings.table)
        self.registry = DocumentRegistry(self.table, self._deliver_document)
        self.stopping = asyncio.Event()
        self.draining = False
        self._inbox = Inbox(
            self.core, self._perform, lambda: self.core.next_wakeup, time.monotonic
        )
        hello = make_hello(identity, Role.ENTRY)
        events = StreamCallbacks(self._inbox.put, self.core.counts.add)
        self._streams = StreamTable(events, hello)
        self.pressure = Pressure()
        self._lag_meter = LagMeter(
            ENTRY_INTERVAL_SECONDS, time.monotonic, self.handle_lag
        )
        self._callers: dict[str, asyncio.Future[Outcome]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    # Methods called by the HTTP application

    async def submit(
        self, service: str, tasks: tuple[TaskSpec, ...], seconds: float
    ) -> Outcome:
        """Pass a submission to the core and wait for its outcome.

        Cancelling this call tells the core that the caller disconnected.

        :param seconds: seconds until the submission's deadline.
        """
        submission = uuid.uuid4().hex
        if self.draining:
            detail = "this entry is stopping"
            return Failed(submission, Reason.STOPPING, Ran.NOT_RUN, detail, 0.0)
        if self.pressure.overloaded and self.pressure.lag >= REFUSAL_LAG_SECONDS:
            # The submission would be processed late, and accepting it would further
            # delay the submissions already accepted.
            detail = f"this entry is {self.pressure.lag:.3f} s behind"
            return Failed(submission, Reason.NO_PROCESSOR, Ran.NOT_RUN, detail, 1.0)
        if not self.core.ready:
            detail = "this entry has not learnt the configuration yet"
            return Failed(submission, Reason.NOT_READY, Ran.NOT_RUN, detail, 1.0)
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Outcome] = loop.create_future()
        self._callers[submission] = future
        deadline = time.monotonic() + seconds
        self._inbox.put(Submitted(Submission(submission, service, tasks, deadline)))
        try:
            return await future
        except asyncio.CancelledError:
            self._inbox.put(CallerDisconnected(submission))
            raise
        finally:
            self._callers.pop(submission, None)

    def handle_lag(self, seconds: float) -> None:
        """Record the measured event loop lag.

        :param seconds: lag in seconds.
        """
        self.exporter.record("loop_lag", seconds)
        change = self.pressure.observe(seconds, time.monotonic())
        if change is not None:
            self.core.counts.add("pressure_changes", change.event)
            logging.info("%s: event loop lag is %.3f s", change.event, change.lag)

    def find_max_deadline_seconds(
        self, service: str, tasks: tuple[TaskSpec, ...]
    ) -> float:
        """Return the longest deadline of the tasks' classes, in seconds.

        It is 1 second if the service or all the classes are unknown.
        """
        installed = self.core.catalog.find(service)
        if installed is None:
            return 1.0
        classes = installed.document.classes
        deadlines = [
            classes[task.class_name].deadline_seconds
            for task in tasks
            if task.class_name in classes
        ]
        return max(deadlines, default=1.0)

    def drain_agent(self, agent: str, operator: str) -> bool:
        """Ask an agent to drain.

        :param operator: name of the operator who requests it.
        :return: whether the agent is connected; if not, nothing is done.
        """
        connected = any(
            view.process == agent and view.stream is not None
            for view in self.core.membership.agents.values()
        )
        if connected:
            self._inbox.put(DrainRequested(agent, operator))
        return connected

    @property
    def ready(self) -> bool:
        """Whether the load balancer should route callers to this entry."""
        return self.core.ready and not self.stopping.is_set()

    def _deliver_document(self, service: str, revision: int, text: str) -> None:
        self._inbox.put(DocumentRead(service, revision, text))

    # Actions

    def _perform(self, actions: list[Action]) -> None:
        writes: dict[int, list[Message]] = {}
        for action in actions:
            if isinstance(action, Send):
                writes.setdefault(action.stream, []).append(action.message)
            elif isinstance(action, Reply):
                self._reply(action.outcome)
            elif isinstance(action, CloseStream):
                self._streams.write(action.stream, writes.pop(action.stream, []))
                self._streams.close(action.stream, action.reason == "silence")
                logging.info("closed stream %d: %s", action.stream, action.reason)
            elif isinstance(action, Dial):
                self._streams.dial(action.address)
            elif isinstance(action, WriteClaims):
                self._spawn(self._write_claims(action))
            elif isinstance(action, ReleaseClaims):
                self._spawn(self._release_claims(action))
        for stream, messages in writes.items():
            self._streams.write(stream, messages)

    def _reply(self, outcome: Outcome) -> None:
        future = self._callers.get(outcome.submission)
        if future is not None and not future.done():
            future.set_result(outcome)

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _write_claims(self, action: WriteClaims) -> None:
        try:
            held_by_others = await self._commit_claims(action)
        except TableError as error:
            logging.warning("failed to write claims: %s", error)
            self._inbox.put(ClaimsFailed(action.batch))
            return
        written = {token: key for key, token in action.claims.items()}
        self._inbox.put(ClaimsWritten(action.batch, held_by_others, written))

    async def _commit_claims(self, action: WriteClaims) -> dict[str, str]:
        # Returns the keys that other claimants hold, with their tokens. A transaction
        # is applied as a whole or not at all, so these rows are removed and the rest
        # is tried again. A row that already holds our own token was written by an
        # earlier attempt whose response was lost.
        held_by_others: dict[str, str] = {}
        versions = dict.fromkeys(action.claims, 0)
        while versions:
            puts = [
                Put(key=key, version=version, value=action.claims[key])
                for key, version in versions.items()
            ]
            conflict = await self.table.write(puts, CLAIM_TTL_SECONDS)
            if conflict is None:
                break
            for key, row in conflict.rows.items():
                if row.value == action.claims[key]:
                    del versions[key]
                elif row.version == 0:
                    versions[key] = 0
                elif row.value == action.supersedes.get(key):
                    versions[key] = row.version
                else:
                    held_by_others[key] = str(row.value)
                    del versions[key]
        return held_by_others

    async def _release_claims(self, action: ReleaseClaims) -> None:
        try:
            await self.table.delete(action.claims)
        except TableError as error:
            logging.warning("failed to release claims: %s", error)

    async def _poll_table(self) -> None:
        while True:
            try:
                await self.registry.refresh(self.core.catalog.list_revisions())
                self._inbox.put(TableRead())
            except TableError as error:
                self.core.counts.add("table_reads_failed")
                logging.debug("failed to read the table: %s", error)
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    # Lifecycle

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain and return."""
        http_socket = bind(self.settings.http, "http")
        stream_socket = bind(self.settings.stream, "stream")
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stopping.set)
        core_task = asyncio.create_task(self._inbox.run())
        poller = asyncio.create_task(self._poll_table())
        self._lag_meter.start()
        server = await loop.create_server(
            self._streams.make_accepted_stream, sock=stream_socket
        )
        http = HttpServer(make_app(self), http_socket)
        await http.start()
        logging.info(
            "entry %s is listening on %s", self.settings.name, self.settings.http
        )
        await wait_unless_failed(self.stopping, core_task)
        await self._drain(http)
        poller.cancel()
        self._lag_meter.stop()
        server.close()
        self._streams.close_all()
        core_task.cancel()
        for task in (poller, core_task):
            with contextlib.suppress(asyncio.CancelledError):
                await task
        await self.table.close()
        logging.info("entry %s stopped", self.settings.name)

    async def _drain(self, http: HttpServer) -> None:
        # The load balancer keeps routing callers here until it has seen that this
        # entry is not ready. Refusing them now would fail requests that another
        # entry could have accepted.
        logging.info(
            "not ready; accepting requests for another %.1f s before stopping",
            self.settings.unready_delay,
        )
        await asyncio.sleep(self.settings.unready_delay)
        await http.stop()
        self.draining = True
