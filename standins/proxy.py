"""A fault-injecting TCP proxy, also used as a stand-in for the platform's balancer.

``python -m standins.proxy CONTROL LISTEN=TARGET[,TARGET...] ...`` forwards each
listening port, or ``HOST:PORT``, to its targets in round-robin order. The control port
accepts commands as JSON lines:
``{"listen": 9000, "delay": 0.003, "freeze": "to_target", "cut": true}``.

* ``delay``: seconds of delay added in each direction.
* ``freeze``: ``none``, ``to_target``, ``to_client`` or ``both``; data in these
  directions is discarded on the connections that are open now, and new connections
  work.
* ``hold``: the same directions; data of all connections, including new ones, is
  buffered and delivered when the hold ends, as after a network partition.
* ``cut``: close the connections that are open now.
* ``link``: apply ``freeze`` and ``cut`` only to the connection with this number,
  modulo the number of open connections; the oldest one has number 0.
* ``refuse``: close new connections at once.
* ``drop``: number of bytes to discard from the next data towards the target.
* ``repeat``: send the next data towards the target twice.
* ``targets``: replace the targets.
"""

import asyncio
import itertools
import json
import sys
from typing import Any


class Pipe(asyncio.Protocol):
    """One side of a forwarded connection.

    :param towards: direction of the data received here: ``to_target`` or
        ``to_client``.
    """

    def __init__(self, connection: "ForwardedConnection", towards: str) -> None:
        self.connection = connection
        self.towards = towards
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Forward the data, subject to the injected faults."""
        self.connection.forward(self.towards, data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other side too, unless the connection is frozen."""
        del exc
        self.connection.handle_close(self.towards)


class ForwardedConnection:
    """The connection of a client and the connection to its target."""

    def __init__(self, route: "Route") -> None:
        self.route = route
        self.frozen = {"to_target": False, "to_client": False}
        self.unsent: list[bytes] = []
        self.held: list[tuple[str, bytes]] = []
        self.transports: dict[str, asyncio.Transport | None] = {
            "to_target": None,
            "to_client": None,
        }

    def forward(self, towards: str, data: bytes) -> None:
        """Forward, hold or discard data, as the injected faults demand."""
        if self.frozen[towards]:
            return
        if self.route.hold in (towards, "both"):
            self.held.append((towards, data))
            return
        if towards == "to_target":
            data = self.route.apply_data_faults(data)
        if self.route.delay:
            loop = asyncio.get_running_loop()
            loop.call_later(self.route.delay, self.write, towards, data)
        else:
            self.write(towards, data)

    def deliver_held(self) -> None:
        """Forward the data that was held."""
        held, self.held = self.held, []
        for towards, data in held:
            self.forward(towards, data)

    def write(self, towards: str, data: bytes) -> None:
        """Write data to one side; buffer it until the target is connected."""
        transport = self.transports[towards]
        if transport is not None:
            transport.write(data)
        elif towards == "to_target":
            self.unsent.append(data)

    def handle_close(self, towards: str) -> None:
        """Close the other side after one side has closed.

        A frozen connection stays open: a close would tell its peer about the fault.
        """
        if any(self.frozen.values()):
            return
        other = self.transports[towards]
        if other is not None:
            if self.route.delay:
                asyncio.get_running_loop().call_later(self.route.delay, other.close)
            else:
                other.close()
        self.route.connections.pop(self, None)

    def cut(self) -> None:
        """Abort both connections."""
        for transport in self.transports.values():
            if transport is not None:
                transport.abort()


class Route:
    """A listening port and its targets."""

    def __init__(self, listen: str, targets: list[tuple[str, int]]) -> None:
        self.listen = listen
        self.targets = targets
        self.next_target = itertools.count()
        # Ordered by age, oldest first; a set would have a different order in each run.
        self.connections: dict[ForwardedConnection, None] = {}
        self.delay = 0.0
        self.hold = "none"
        self.refuse = False
        self.drop = 0
        self.repeat = False

    def apply_data_faults(self, data: bytes) -> bytes:
        """Apply ``drop`` and ``repeat`` to data towards the target."""
        dropped, self.drop = min(self.drop, len(data)), max(0, self.drop - len(data))
        data = data[dropped:]
        if self.repeat and data:
            self.repeat = False
            data += data
        return data

    def accept(self) -> Pipe:
        """Create the client's side of a new connection."""
        connection = ForwardedConnection(self)
        return ClientPipe(connection, "to_target")

    async def connect(
        self, connection: ForwardedConnection, client: asyncio.Transport
    ) -> None:
        """Connect to the next target that accepts; abort the client if none does."""
        connection.transports["to_client"] = client
        if self.refuse:
            client.abort()
            return
        self.connections[connection] = None
        loop = asyncio.get_running_loop()
        for _ in range(len(self.targets)):
            host, port = self.targets[next(self.next_target) % len(self.targets)]
            try:
                transport, _ = await loop.create_connection(
                    lambda: Pipe(connection, "to_client"), host, port
                )
            except OSError:
                continue
            connection.transports["to_target"] = transport
            for data in connection.unsent:
                transport.write(data)
            return
        client.abort()

    def apply_command(self, command: dict[str, Any]) -> None:
        """Apply a command; see the module's docstring."""
        for name in ("delay", "refuse", "drop", "repeat", "hold"):
            if name in command:
                setattr(self, name, command[name])
        if "hold" in command:
            for connection in self.connections:
                connection.deliver_held()
        if "targets" in command:
            self.targets = [parse_address(each) for each in command["targets"]]
        if "freeze" in command:
            for connection in self._select(command):
                for direction in connection.frozen:
                    connection.frozen[direction] = command["freeze"] in (
                        direction,
                        "both",
                    )
        if command.get("cut"):
            for connection in self._select(command):
                connection.cut()
                self.connections.pop(connection, None)

    def _select(self, command: dict[str, Any]) -> list[ForwardedConnection]:
        connections = list(self.connections)
        if "link" in command and connections:
            return [connections[command["link"] % len(connections)]]
        return connections


class ClientPipe(Pipe):
    """The client's side of a connection; opens the connection to the target."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and connect to a target."""
        super().connection_made(transport)
        assert self.transport is not None
        self.connecting = asyncio.ensure_future(
            self.connection.route.connect(self.connection, self.transport)
        )


def parse_address(address: str) -> tuple[str, int]:
    """Split ``HOST:PORT``; a bare port means 127.0.0.1."""
    host, _, port = address.rpartition(":")
    return host or "127.0.0.1", int(port)


async def serve(control_port: int, routes: list[Route]) -> None:
    """Forward until killed."""
    by_address = {route.listen: route for route in routes}
    loop = asyncio.get_running_loop()
    for route in routes:
        await loop.create_server(route.accept, *parse_address(route.listen))

    async def handle_commands(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while line := await reader.readline():
            command = json.loads(line)
            by_address[str(command["listen"])].apply_command(command)
            writer.write(b"{}\n")
        writer.close()

    server = await asyncio.start_server(handle_commands, "127.0.0.1", control_port)
    await server.serve_forever()


def main() -> None:
    """Read the command line and serve."""
    routes = []
    for argument in sys.argv[2:]:
        listen, _, targets = argument.partition("=")
        routes.append(
            Route(listen, [parse_address(each) for each in targets.split(",")])
        )
    asyncio.run(serve(int(sys.argv[1]), routes))


if __name__ == "__main__":
    main()
