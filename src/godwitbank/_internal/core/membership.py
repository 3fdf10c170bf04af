"""Agents and entries that one entry has heard of, and whom it dials.

All of it is soft state: learnt from whoever says hello, forgotten after a long
silence, rebuilt in seconds.
"""

from collections.abc import Callable

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.events import Action, Dial
from godwitbank._internal.core.identity import Identity
from godwitbank._internal.core.peers import PeerView
from godwitbank._internal.core.pool import AgentView

DISCOVERY_ALONE_SECONDS = 0.5
DISCOVERY_SECONDS = 10.0
"""Seconds between looks through the balancer, alone and in company."""

FORGET_SECONDS = 60.0
"""Seconds after which an unreachable agent or entry is no longer dialled."""


class Membership:
    """Who is there, as far as one entry knows."""

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
        """Set the time and the sink of actions for the event being handled."""
        self._now = now
        self._emit = emit

    def is_balancer(self, address: str) -> bool:
        """Tell whether an address is the balancer's and not a process's."""
        return address == self._balancer

    def find_by_stream(self, stream: int) -> AgentView | PeerView | None:
        """Find who is at the other end of a stream that was dialled."""
        return self.agent_streams.get(stream) or self.peer_streams.get(stream)

    def list_entries(self) -> list[str]:
        """List the addresses of this entry and those connected."""
        connected = [peer.address for peer in self.peers.values() if peer.stream]
        return [self._identity.address, *connected]

    def record_agent(self, address: str) -> None:
        """Note that an agent is there, and dial it."""
        view = self.agents.get(address)
        if view is None:
            self.agents[address] = AgentView(address, self._now)
            self._counts.add("agents_learnt")
        elif view.stream is None:
            # It says that it is there, so don't wait out the dial delay.
            view.dial_at = self._now
        self.dial_agents()

    def record_peer(self, address: str) -> None:
        """Note that another entry is there, and dial it."""
        if address in (self._identity.address, "") or address in self.peers:
            return
        self.peers[address] = PeerView(address, self._now)
        self._counts.add("peers_learnt")
        self.dial_peers()

    def dial_agents(self) -> None:
        """Dial every agent whose time has come."""
        for view in self.agents.values():
            self._dial(view)

    def dial_peers(self) -> None:
        """Dial every entry whose time has come."""
        for peer in self.peers.values():
            self._dial(peer)

    def _dial(self, view: AgentView | PeerView) -> None:
        if view.stream is None and not view.dialling and view.dial_at <= self._now:
            view.dialling = True
            self._emit(Dial(view.address))

    def record_failed_dial(self, address: str) -> None:
        """Wait longer before the next dial to an address."""
        view = self.agents.get(address) or self.peers.get(address)
        if view is not None:
            view.postpone_dial(self._now)

    def discover_entries(self) -> None:
        """Look for entries through the balancer, rarely.

        Once one is connected the rest follow from it, so a rare look is enough
        to heal a split.
        """
        if not self._balancer or self._now < self._next_discovery:
            return
        alone = not any(peer.stream for peer in self.peers.values())
        self._next_discovery = self._now + (
            DISCOVERY_ALONE_SECONDS if alone else DISCOVERY_SECONDS
        )
        self._emit(Dial(self._balancer))

    def forget_peers(self) -> None:
        """Forget entries that have been silent for long."""
        for peer in list(self.peers.values()):
            if peer.stream is None and self._now - peer.heard_at > FORGET_SECONDS:
                del self.peers[peer.address]
