"""The agent process: sockets, endpoint calls and timers around the agent core."""

import asyncio
import contextlib
import signal
import time
import uuid

from absl import logging

from godwitbank._internal.core.agent import AgentCore
from godwitbank._internal.core.announcements import Announcements
from godwitbank._internal.core.events import (
    Action,
    CloseStream,
    Drained,
    EndpointAnnounced,
    EndpointLeft,
    RunEnded,
    RunTask,
    Send,
    StopRequested,
)
from godwitbank._internal.core.identity import Identity, Timing, make_hello
from godwitbank._internal.exceptions import FrameError
from godwitbank._internal.http.agent import Announcement, make_app
from godwitbank._internal.models.addresses import parse_address
from godwitbank._internal.models.messages import (
    Ending,
    Message,
    Peers,
    Role,
)
from godwitbank._internal.models.settings import AgentSettings
from godwitbank._internal.network.codec import FrameReader, encode
from godwitbank._internal.network.endpoint import EndpointClient
from godwitbank._internal.network.streams import StreamCallbacks, StreamTable
from godwitbank._internal.operations.inbox import Inbox, wait_unless_failed
from godwitbank._internal.operations.metrics import Exporter
from godwitbank._internal.operations.server import HttpServer
from godwitbank._internal.operations.sockets import bind

ANNOUNCE_TIMEOUT_SECONDS = 1.0
"""Timeout for connecting to an entry, announcing this agent and reading the reply."""

READ_SIZE_BYTES = 65536


class AgentProcess:
    """An agent: its core, HTTP server, streams and connection to the endpoint."""

    def __init__(self, settings: AgentSettings) -> None:
        self.settings = settings
        address = settings.advertised or settings.stream
        identity = Identity(settings.name, uuid.uuid4().hex, address, settings.zone)
        timing = Timing(settings.heartbeat, settings.silence)
        self.core = AgentCore(identity, timing, time.monotonic())
        self.exporter = Exporter(self.core.counts)
        self._announcements = Announcements(settings.balancer)
        self._stopping = asyncio.Event()
        self._drained = asyncio.Event()
        self._endpoint: EndpointClient | None = None
        self._endpoint_url = ""
        self._run_tasks: set[asyncio.Task[None]] = set()
        self._inbox = Inbox(
            self.core, self._perform, lambda: self.core.next_wakeup, time.monotonic
        )
        self._hello = make_hello(identity, Role.AGENT)
        events = StreamCallbacks(self._inbox.put, self.core.counts.add)
        self._streams = StreamTable(events, self._hello)

    # Methods called by the HTTP application

    async def handle_announcement(self, announcement: Announcement) -> None:
        """Register the endpoint or renew its registration.

        Returns when the core has processed the announcement.
        """
        if announcement["url"] != self._endpoint_url:
            self._endpoint_url = announcement["url"]
            self._endpoint = EndpointClient(
                announcement["url"], announcement["connections"]
            )
        event = EndpointAnnounced(
            announcement["service"],
            announcement["slots"],
            announcement["lease_seconds"],
            announcement["instance"],
        )
        await self._process_event(event)

    async def handle_departure(self) -> None:
        """Record that the endpoint is leaving.

        Returns when the core has processed the departure.
        """
        await self._process_event(EndpointLeft())

    async def _process_event(self, event: object) -> None:
        # The HTTP response describes the core's state. Flush first, so that it
        # describes the state after this event: an endpoint that reads "leaving" in
        # the response must be able to rely on it.
        self._inbox.put(event)
        await self._inbox.flush()

    # Actions

    def _perform(self, actions: list[Action]) -> None:
        writes: dict[int, list[Message]] = {}
        for action in actions:
            if isinstance(action, Send):
                writes.setdefault(action.stream, []).append(action.message)
            elif isinstance(action, RunTask):
                self._run_task(action)
            elif isinstance(action, CloseStream):
                self._streams.write(action.stream, writes.pop(action.stream, []))
                self._streams.close(action.stream, action.reason == "silence")
                logging.info("closed stream %d: %s", action.stream, action.reason)
            elif isinstance(action, Drained):
                self._drained.set()
        for stream, messages in writes.items():
            self._streams.write(stream, messages)

    def _run_task(self, action: RunTask) -> None:
        task = asyncio.create_task(self._run_on_endpoint(action))
        self._run_tasks.add(task)
        task.add_done_callback(self._run_tasks.discard)

    async def _run_on_endpoint(self, action: RunTask) -> None:
        if self._endpoint is None:
            detail = b"no endpoint"
            ending = Ending.ENDPOINT_FAILED
            ended = RunEnded(action.key, ending, 0, "text/plain", detail, 0.0)
        else:
            ended = await self._endpoint.run(action)
        self.exporter.record("run", ended.run_time)
        self._inbox.put(ended)

    # Announcements to entries

    async def _announce_periodically(self) -> None:
        while True:
            connected = self.core.list_entries()
            targets = self._announcements.choose_targets(connected, time.monotonic())
            await asyncio.gather(*(self._announce_to(each) for each in targets))
            await asyncio.sleep(self.settings.announce)

    async def _announce_to(self, address: str) -> None:
        try:
            async with asyncio.timeout(ANNOUNCE_TIMEOUT_SECONDS):
                self._announcements.add_entries(await self._fetch_entries(address))
        except (OSError, TimeoutError, FrameError, EOFError):
            self.core.counts.add("announcements_failed")
            self._announcements.remove_entry(address)

    async def _fetch_entries(self, address: str) -> list[str]:
        host, port = parse_address(address)
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(encode(self._hello))
            frames = FrameReader()
            while data := await reader.read(READ_SIZE_BYTES):
                for message in frames.feed(data):
                    if isinstance(message, Peers):
                        return [str(entry) for entry in message.entries]
            raise EOFError
        finally:
            writer.close()

    # Lifecycle

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, wait for running tasks, then shut down."""
        http_socket = bind(self.settings.http, "http")
        stream_socket = bind(self.settings.stream, "stream")
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stopping.set)
        core_task = asyncio.create_task(self._inbox.run())
        server = await loop.create_server(
            self._streams.make_accepted_stream, sock=stream_socket
        )
        http = HttpServer(make_app(self), http_socket)
        await http.start()
        announcer = asyncio.create_task(self._announce_periodically())
        logging.info(
            "agent %s is listening on %s", self.settings.name, self.settings.stream
        )
        await wait_unless_failed(self._stopping, core_task)
        logging.info("agent %s is draining", self.settings.name)
        self._inbox.put(StopRequested())
        await wait_unless_failed(self._drained, core_task)
        announcer.cancel()
        server.close()
        await http.stop()
        self._streams.close_all()
        core_task.cancel()
        for task in (announcer, core_task):
            with contextlib.suppress(asyncio.CancelledError):
                await task
        if self._endpoint is not None:
            await self._endpoint.close()
        logging.info("agent %s stopped", self.settings.name)
