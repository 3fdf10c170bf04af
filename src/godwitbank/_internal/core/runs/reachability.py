"""Reachability of lost entries through other entries.

An entry that loses a peer probes it through others, and answers the probes of others.
"""

from collections.abc import Callable
from random import Random

from godwitbank._internal.core.events import Send
from godwitbank._internal.core.runs.events import LogDecision, RunAction
from godwitbank._internal.core.runs.indirect_probes import IndirectProbes, ProbeRequests
from godwitbank._internal.core.runs.links import BUSY_TIMEOUT_SECONDS, Link, Links
from godwitbank._internal.core.runs.ownership import JobOwnership
from godwitbank._internal.models.messages import Message
from godwitbank._internal.models.run_messages import Locate, Located, Took, Yield

UNREACHED_PREFIX = "unreached "
"""Prefix of the name of an entry that was never reached: its incarnation is unknown."""


class PeerReachability:
    """Probes lost peers through other entries, and answers such probes of others."""

    def __init__(self, links: Links, ownership: JobOwnership, rng: Random) -> None:
        self._links = links
        self._ownership = ownership
        self._probes = IndirectProbes(rng)
        self._probe_requests = ProbeRequests()
        self._lost: dict[str, str] = {}
        self._relays: dict[str, int] = {}
        self._last_alive_at: dict[str, float] = {}
        self._now = 0.0
        self._emit: Callable[[RunAction], None] = lambda action: None

    def begin_event(self, now: float, emit: Callable[[RunAction], None]) -> None:
        """Prepare for one event.

        :param now: time of the event, in seconds.
        :param emit: receives the actions to carry out.
        """
        self._now = now
        self._emit = emit

    def _send(self, stream: int, message: Message) -> None:
        self._emit(Send(stream, message))

    # Probes of this entry

    def probe(self, address: str, owner: str) -> None:
        """Ask other entries whether they reach a lost one.

        :param owner: the name under which its jobs are recorded: its incarnation, or
            ``UNREACHED_PREFIX`` with its address.
        """
        self._lost[address] = owner
        peers = [
            link for link in self._links.list_peers() if link.hello.address != address
        ]
        for link in self._probes.start(address, peers):
            self._send(link.stream, Locate(address))

    def probe_through(self, link: Link) -> None:
        """Ask an entry that has just connected whether it reaches the lost ones.

        An entry that loses all its peers at once has nobody to ask until one of them
        is back. The peer may be reconnecting to the others itself, so its denial
        confirms no loss; it answers again as soon as it reaches one.
        """
        recently_lost = self._ownership.list_lost_addresses()
        for address in self._lost:
            if address in recently_lost and not self._probes.is_reachable(address):
                self._send(link.stream, Locate(address))

    def handle_located(self, link: Link, message: Located) -> None:
        """Process an answer to a probe."""
        address = message.address
        if message.reachable:
            self._relays[message.incarnation] = link.stream
        was_relay = self._probes.is_reachable_through(link.stream, address)
        gone = self._probes.handle_answer(link.stream, address, message.reachable)
        owner = self._lost.get(address)
        if owner is None:
            return
        if message.reachable:
            self._handle_reachable(owner, message)
        elif not self._probes.is_reachable(address):
            self._handle_unreachable(owner, message)
            if was_relay:
                self._probe_again(address)
        if gone or message.reachable:
            self._emit(
                LogDecision("peer_located", "", {"address": address, "gone": gone})
            )
        if gone:
            self._ownership.confirm_lost(owner)

    def _handle_reachable(self, owner: str, message: Located) -> None:
        if owner in (message.incarnation, UNREACHED_PREFIX + message.address):
            self._ownership.mark_indirectly_reachable(owner, self._now)
            return
        # A new process listens at that address; the lost one is gone.
        self._ownership.confirm_lost(owner)

    def _handle_unreachable(self, owner: str, message: Located) -> None:
        self._relays.pop(owner, None)
        known = message.incarnation in ("", owner) or owner.startswith(UNREACHED_PREFIX)
        if known and message.age >= 0:
            self._ownership.mark_lost_again(owner, self._now - message.age)
            self._ownership.update_last_alive(owner, self._now - message.age)

    def _probe_again(self, address: str) -> None:
        owner = self._lost[address]
        self._ownership.mark_lost_again(owner, self._now)
        self.probe(address, owner)

    def relay_yield(self, job: str, owner: str) -> bool:
        """Ask an unreachable entry to stop a job, through another one that reaches it.

        :return: whether any entry is known to reach it.
        """
        relay = self._relays.get(owner)
        if relay is None:
            return False
        self._send(relay, Yield(job, owner))
        return True

    def is_indirectly_reachable(self, owner: str) -> bool:
        """Return whether another entry reaches one that is unreachable from here."""
        return owner in self._relays

    def list_relay_streams(self) -> dict[str, int]:
        """List streams to entries that reach lost ones, by the lost ones' addresses."""
        reached = self._probes.list_reachable()
        return {
            address: stream
            for address, stream in reached.items()
            if address in self._lost
        }

    def mark_connected(self, link: Link) -> str:
        """Record that an entry is connected.

        :return: the name of the lost entry that it turned out to be, if that was never
            reached before; else an empty string.
        """
        self._probes.forget(link.hello.address)
        self._relays.pop(link.hello.incarnation, None)
        lost = self._lost.pop(link.hello.address, "")
        # An earlier process at that address stays lost, as its runs may be alive.
        return lost if lost.startswith(UNREACHED_PREFIX) else ""

    def handle_stream_loss(self, stream: int) -> None:
        """Drop a closed stream to an entry, and probe through others in its place."""
        self._probe_requests.drop_stream(stream)
        self._relays = {
            owner: each for owner, each in self._relays.items() if each != stream
        }
        for address in self._probes.drop_stream(stream):
            if address in self._lost:
                self._probe_again(address)

    # Probes of other entries

    def handle_locate(self, link: Link, message: Locate) -> None:
        """Record a probe, and answer it at once if the probed entry is unreachable.

        A peer also counts as unreachable if nothing was received from it for as long as
        its agents wait before they stop its runs. Otherwise, all new jobs at the
        requester would wait until the stream to the peer has timed out here, too.
        """
        self._probe_requests.add(message.address, link.stream, self._now)
        last_received = [
            each.last_received_at
            for each in self._links.list_peers()
            if each.hello.address == message.address
        ]
        if not last_received or self._now - last_received[0] > BUSY_TIMEOUT_SECONDS:
            age = self._measure_age(message.address, last_received)
            self._send(link.stream, Located(message.address, False, "", age))

    def _measure_age(self, address: str, last_received: list[float]) -> float:
        if last_received:
            return self._now - last_received[0]
        last_alive_at = self._last_alive_at.get(address)
        return -1.0 if last_alive_at is None else self._now - last_alive_at

    def handle_peer_alive(self, link: Link) -> None:
        """React to a frame from a peer: announce it and its jobs to its probers."""
        owner = link.hello.incarnation
        for stream in self._probe_requests.handle_alive(link.hello.address):
            self._send(stream, Located(link.hello.address, True, owner, 0.0))
            owned = self._ownership.list_by_owner().get(owner, {})
            ages = [self._now - owned_job.at for owned_job in owned.values()]
            self._send(stream, Took(list(owned), ages, owner))

    def forward_ownership(self, link: Link, message: Took) -> None:
        """Forward a peer's announcement to the entries that can't reach it."""
        owner = link.hello.incarnation
        subscribers = self._probe_requests.list_subscribers(
            link.hello.address, self._now
        )
        for stream in subscribers:
            self._send(stream, Took(message.jobs, message.ages, owner))

    def announce_lost(self, link: Link, last_alive_at: float) -> None:
        """Tell the entries that probe a peer that it is lost here, too.

        :param last_alive_at: the latest time at which it may have been alive.
        """
        address = link.hello.address
        self._last_alive_at[address] = last_alive_at
        lost = Located(
            address, False, link.hello.incarnation, self._now - last_alive_at
        )
        for stream in self._probe_requests.handle_loss(address, self._now):
            self._send(stream, lost)
