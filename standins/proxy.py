"""A fault-injecting TCP proxy, also used as the platform's balancer.

``python -m standins.proxy CONTROL LISTEN=TARGET[,TARGET...] ...`` forwards each
listening port, or ``HOST:PORT``, to its targets in turn. Commands come as JSON
lines on the control port:
``{"listen": 9000, "delay": 0.003, "freeze": "to_target", "cut": true}``.

* ``delay``: seconds added each way.
* ``freeze``: ``none``, ``to_target``, ``to_client`` or ``both``; bytes of the
  connections open now are lost, new connections work.
* ``hold``: the same ways; bytes of all connections, new ones too, wait until the
  hold ends and are delivered then, as after a partition of the network.
* ``cut``: close the connections open now.
* ``link``: the number of the one connection that ``freeze`` and ``cut`` mean.
* ``refuse``: close new connections at once.
* ``drop``: bytes to swallow from the next data towards the target.
* ``repeat``: send the next data towards the target twice.
* ``targets``: replace the targets.
"""

import asyncio
import itertools
import json
import sys
from typing import Any


class Pipe(asyncio.Protocol):
    """One side of a forwarded connection."""

    def __init__(self, connection: "ForwardedConnection", towards: str) -> None:
        self.connection = connection
        self.towards = towards
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Forward, after the faults have had their turn."""
        self.connection.forward(self.towards, data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other side too."""
        del exc
        self.connection.handle_close(self.towards)


class ForwardedConnection:
    """A client's connection and the one to its target."""

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
        """Pass bytes on."""
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
        """Pass on what was held."""
        held, self.held = self.held, []
        for towards, data in held:
            self.forward(towards, data)

    def write(self, towards: str, data: bytes) -> None:
        """Write bytes to an end, or keep them until it is connected."""
        end = self.transports[towards]
        if end is not None:
            end.write(data)
        elif towards == "to_target":
            self.unsent.append(data)

    def handle_close(self, towards: str) -> None:
        """One side ended: end the other, unless that would break the silence."""
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
        """Close both ends."""
        for end in self.transports.values():
            if end is not None:
                end.abort()


class Route:
    """A listening port and its targets."""

    def __init__(self, listen: str, targets: list[tuple[str, int]]) -> None:
        self.listen = listen
        self.targets = targets
        self.next_target = itertools.count()
        # Oldest first: a set would give another order each run.
        self.connections: dict[ForwardedConnection, None] = {}
        self.delay = 0.0
        self.hold = "none"
        self.refuse = False
        self.drop = 0
        self.repeat = False

    def apply_data_faults(self, data: bytes) -> bytes:
        """Drop or repeat bytes if told to."""
        dropped, self.drop = min(self.drop, len(data)), max(0, self.drop - len(data))
        data = data[dropped:]
        if self.repeat and data:
            self.repeat = False
            data += data
        return data

    def accept(self) -> Pipe:
        """Make the client's side of a new connection."""
        connection = ForwardedConnection(self)
        return ClientPipe(connection, "to_target")

    async def connect(
        self, connection: ForwardedConnection, client: asyncio.Transport
    ) -> None:
        """Connect to the next target that accepts."""
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
        """Obey a command."""
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
                for way in connection.frozen:
                    connection.frozen[way] = command["freeze"] in (way, "both")
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
    """The client's side; connects the other one."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect to a target."""
        super().connection_made(transport)
        assert self.transport is not None
        self.connecting = asyncio.ensure_future(
            self.connection.route.connect(self.connection, self.transport)
        )


def parse_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` or a bare port."""
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
