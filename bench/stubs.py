"""Runs many stub agents or entries in one process, to measure the cost of each.

``python -m bench.stubs agents COUNT ENTRY_STREAM FIRST_PORT`` runs agents with the real
core and streams, whose endpoints only wait. ``python -m bench.stubs entries COUNT
AGENT_STREAM`` opens the streams of entries to one agent and keeps them alive.
"""

import asyncio
import json
import sys
import time
import uuid
from typing import Any

from godwitbank._internal.core.agent import AgentCore
from godwitbank._internal.core.events import (
    Action,
    CloseStream,
    EndpointAnnounced,
    RunEnded,
    RunTask,
    Send,
)
from godwitbank._internal.core.identity import Identity, Timing, make_hello
from godwitbank._internal.models.addresses import parse_address
from godwitbank._internal.models.messages import (
    PROTOCOL_VERSION,
    Ending,
    Heartbeat,
    Hello,
    Role,
)
from godwitbank._internal.network.codec import encode
from godwitbank._internal.network.streams import StreamCallbacks, StreamTable
from godwitbank._internal.operations.inbox import Inbox

SLOTS = 64
LEASE_SECONDS = 1e9
ANNOUNCE_INTERVAL_SECONDS = 1.0
HEARTBEAT_INTERVAL_SECONDS = 1.0


class StubAgent:
    """An agent whose endpoint only waits for the run time of each task."""

    def __init__(self, number: int, port: int) -> None:
        address = f"127.0.0.1:{port}"
        identity = Identity(f"stub-{number}", uuid.uuid4().hex, address, "a")
        self.core = AgentCore(identity, Timing(), time.monotonic())
        self.inbox = Inbox(
            self.core,
            self.perform_actions,
            lambda: self.core.next_wakeup,
            time.monotonic,
        )
        self.hello = make_hello(identity, Role.AGENT)
        callbacks = StreamCallbacks(self.inbox.put, self.core.counts.add)
        self.streams = StreamTable(callbacks, self.hello)

    def perform_actions(self, actions: list[Action]) -> None:
        """Perform the core's actions; those a stub doesn't need are ignored."""
        writes: dict[int, list[Any]] = {}
        for action in actions:
            if isinstance(action, Send):
                writes.setdefault(action.stream, []).append(action.message)
            elif isinstance(action, RunTask):
                seconds = json.loads(action.payload)["run_ms"] / 1000
                loop = asyncio.get_running_loop()
                loop.call_later(seconds, self.finish_task, action, seconds)
            elif isinstance(action, CloseStream):
                self.streams.close(action.stream, timed_out=False)
        for stream, messages in writes.items():
            self.streams.write(stream, messages)

    def finish_task(self, task: RunTask, seconds: float) -> None:
        """Report the end of a task as an endpoint would."""
        content_type = "application/json"
        ended = RunEnded(
            task.key, Ending.ANSWERED, 200, content_type, task.payload, seconds
        )
        self.inbox.put(ended)

    async def run(self, port: int, entry: str) -> None:
        """Accept streams, and greet one entry until an entry connects.

        :param port: port to listen on.
        :param entry: stream address of the entry.
        """
        loop = asyncio.get_running_loop()
        await loop.create_server(self.streams.make_accepted_stream, "127.0.0.1", port)
        inbox_task = asyncio.create_task(self.inbox.run())
        self.inbox.put(EndpointAnnounced("desk", SLOTS, LEASE_SECONDS))
        while True:
            if not self.core.list_entries():
                host, entry_port = parse_address(entry)
                _, writer = await asyncio.open_connection(host, entry_port)
                writer.write(encode(self.hello))
                await asyncio.sleep(ANNOUNCE_INTERVAL_SECONDS)
                writer.close()
            await asyncio.sleep(ANNOUNCE_INTERVAL_SECONDS)
            assert not inbox_task.done()


async def run_agents(first_port: int, count: int, entry: str) -> None:
    """Run stub agents that listen on consecutive ports."""
    agents = [StubAgent(number, first_port + number) for number in range(count)]
    await asyncio.gather(
        *(agent.run(first_port + n, entry) for n, agent in enumerate(agents))
    )


async def run_entries(count: int, agent: str) -> None:
    """Open the streams of stub entries to one agent and send heartbeats on them."""
    host, port = parse_address(agent)
    writers = []
    for number in range(count):
        _, writer = await asyncio.open_connection(host, port)
        name = f"stub-{number}"
        address = f"127.0.0.1:{number + 1}"
        hello = Hello(PROTOCOL_VERSION, Role.ENTRY, name, name, address, "a")
        writer.write(encode(hello))
        writers.append(writer)
    while True:
        for writer in writers:
            writer.write(encode(Heartbeat(time.monotonic(), 0, 0, 0.0, 0, 0)))
        await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)


def main() -> None:
    """Run the stubs given on the command line."""
    role, count, address = sys.argv[1:4]
    if role == "entries":
        asyncio.run(run_entries(int(count), address))
    else:
        asyncio.run(run_agents(int(sys.argv[4]), int(count), address))


if __name__ == "__main__":
    main()
