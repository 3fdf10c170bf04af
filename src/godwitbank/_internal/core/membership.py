"""Agents and other entries known to one entry, and the streams it dials to them.

All of it is soft state: learned from greetings and from other processes, dropped
after a long time without contact, and rebuilt within seconds.
"""

from collections.abc import Callable

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.events import Action, Dial
from godwitbank._internal.core.identity import Identity
from godwitbank._internal.core.peers import PeerView
from godwitbank._internal.core.pool import AgentView

DISCOVERY_ALONE_SECONDS = 0.5
DISCOVERY_SECONDS = 10.0
"""Seconds between dials of the balancer, without and with a connected entry."""

FORGET_SECONDS = 60.0
"""Seconds after which an unreachable agent or entry is no longer dialled."""


class Membership:
    """Known agents and entries, and their streams."""

    def __init__(
        self, identity: Identity, balancer: str, counts: Counts, now: float
    ) -> None:
        self.agents: dict[str, AgentView] = {}
        self.peers: dict[str, PeerView] = {}
        self.agent_streams: dict[int, AgentView] = {}
        self.peer_streams: dict[int, PeerView] = {}
        self._identity = identity
        self._balancer = balancer
        self._counts = counts
        self._next_discovery = now
        self._emit: Callable[[Action], None] = lambda action: None
        self._now = now

    def begin_event(self, now: float, emit: Callable[[Action], None]) -> None:
        """Set the time and the receiver of actions for the event being handled."""
        self._now = now
        self._emit = emit

    def is_balancer(self, address: str) -> bool:
        """Return whether an address is the balancer's rather than a process's."""
        return address == self._balancer

    def find_by_stream(self, stream: int) -> AgentView | PeerView | None:
        """Find the process at the remote end of a stream that this entry dialled."""
        return self.agent_streams.get(stream) or self.peer_streams.get(stream)

    def list_entries(self) -> list[str]:
        """List the addresses of this entry and of the connected ones."""
        connected = [peer.address for peer in self.peers.values() if peer.stream]
        return [self._identity.address, *connected]

    def record_agent(self, address: str) -> None:
        """Record an agent's address and dial it."""
        view = self.agents.get(address)
        if view is None:
            self.agents[address] = AgentView(address, self._now)
            self._counts.add("agents_learnt")
        elif view.stream is None:
            # The agent is known to be up, so skip the rest of the dial delay.
            view.dial_at = self._now
        self.dial_agents()

    def record_peer(self, address: str) -> None:
        """Record another entry's address and dial it."""
        if address in (self._identity.address, "") or address in self.peers:
            return
        self.peers[address] = PeerView(address, self._now)
        self._counts.add("peers_learnt")
        self.dial_peers()

    def dial_agents(self) -> None:
        """Dial every disconnected agent whose dial delay is over."""
        for view in self.agents.values():
            self._dial(view)

    def dial_peers(self) -> None:
        """Dial every disconnected entry whose dial delay is over."""
        for peer in self.peers.values():
            self._dial(peer)

    def _dial(self, view: AgentView | PeerView) -> None:
        if view.stream is None and not view.dialling and view.dial_at <= self._now:
            view.dialling = True
            self._emit(Dial(view.address))

    def record_failed_dial(self, address: str) -> None:
        """Increase the delay before the next dial to an address."""
        view = self.agents.get(address) or self.peers.get(address)
        if view is not None:
            view.postpone_dial(self._now)

    def discover_entries(self) -> None:
        """Dial the balancer to discover other entries, if it is due.

        A connected entry names the others, so infrequent dials suffice to rejoin
        groups of entries that don't know of each other.
        """
        if not self._balancer or self._now < self._next_discovery:
            return
        alone = not any(peer.stream for peer in self.peers.values())
        self._next_discovery = self._now + (
            DISCOVERY_ALONE_SECONDS if alone else DISCOVERY_SECONDS
        )
        self._emit(Dial(self._balancer))

    def forget_peers(self) -> None:
        """Drop entries that have been unreachable for a long time."""
        for peer in list(self.peers.values()):
            if (
                peer.stream is None
                and self._now - peer.last_received_at > FORGET_SECONDS
            ):
                del self.peers[peer.address]
