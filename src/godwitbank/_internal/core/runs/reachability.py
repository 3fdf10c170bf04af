"""What becomes of an entry that another one has lost: questions, what is passed on."""

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
"""Prefix of what an entry is known by that was never reached: it has no incarnation."""


class PeerReachability:
    """Asks others for lost entries, and answers them."""

    def __init__(self, links: Links, takings: JobOwnership, rng: Random) -> None:
        self._links = links
        self._takings = takings
        self._witnesses = IndirectProbes(rng)
        self._testimony = ProbeRequests()
        self._lost: dict[str, str] = {}
        self._told_by: dict[str, int] = {}
        self._lived: dict[str, float] = {}
        self._now = 0.0
        self._out: Callable[[RunAction], None] = lambda action: None

    def begin_event(self, now: float, out: Callable[[RunAction], None]) -> None:
        """Prepare for one event."""
        self._now = now
        self._out = out

    def _send(self, stream: int, message: Message) -> None:
        self._out(Send(stream, message))

    # As the one that has lost an entry

    def probe(self, address: str, owner: str) -> None:
        """Ask others for an entry.

        :param owner: what it is known by among those that took jobs.
        """
        self._lost[address] = owner
        peers = [
            link for link in self._links.list_peers() if link.hello.address != address
        ]
        for link in self._witnesses.start(address, peers):
            self._send(link.stream, Locate(address))

    def handle_located(self, link: Link, message: Located) -> None:
        """Take an answer."""
        address = message.address
        if message.reachable:
            self._told_by[message.incarnation] = link.stream
        spoke_for = self._witnesses.is_reachable_through(link.stream, address)
        gone = self._witnesses.handle_answer(link.stream, address, message.reachable)
        owner = self._lost.get(address)
        if owner is None:
            return
        if message.reachable:
            self._hear_reached(owner, message)
        elif not self._witnesses.is_reachable(address):
            self._hear_unreached(owner, message)
            if spoke_for:
                self._ask_again(address)
        if gone or message.reachable:
            self._out(
                LogDecision("peer_located", "", {"address": address, "gone": gone})
            )
        if gone:
            self._takings.confirm_lost(owner)

    def _hear_reached(self, owner: str, message: Located) -> None:
        if owner in (message.incarnation, UNREACHED_PREFIX + message.address):
            self._takings.mark_indirectly_reachable(owner, self._now)
            return
        # Another process answers at its address; the one that was lost is gone.
        self._takings.confirm_lost(owner)

    def _hear_unreached(self, owner: str, message: Located) -> None:
        self._told_by.pop(owner, None)
        known = message.incarnation in ("", owner) or owner.startswith(UNREACHED_PREFIX)
        if known and message.age >= 0:
            self._takings.mark_lost_again(owner, self._now - message.age)
            self._takings.update_last_alive(owner, self._now - message.age)

    def _ask_again(self, address: str) -> None:
        owner = self._lost[address]
        self._takings.mark_lost_again(owner, self._now)
        self.probe(address, owner)

    def relay_yield(self, job: str, owner: str) -> bool:
        """Ask an entry out of reach to stop a job, by one that reaches it.

        :return: whether there is one.
        """
        witness = self._told_by.get(owner)
        if witness is None:
            return False
        self._send(witness, Yield(job, owner))
        return True

    def is_indirectly_reachable(self, owner: str) -> bool:
        """Tell whether an entry out of reach is reached by another one."""
        return owner in self._told_by

    def list_relay_streams(self) -> dict[str, int]:
        """List streams to entries that reach lost ones, by these ones' addresses."""
        reached = self._witnesses.list_reachable()
        return {
            address: stream
            for address, stream in reached.items()
            if address in self._lost
        }

    def mark_connected(self, link: Link) -> str:
        """Note that an entry is reached; returns what it was known by while lost."""
        self._witnesses.forget(link.hello.address)
        self._told_by.pop(link.hello.incarnation, None)
        lost = self._lost.pop(link.hello.address, "")
        # An earlier process at its address stays lost: its runs may live on.
        return lost if lost.startswith(UNREACHED_PREFIX) else ""

    def drop_stream(self, stream: int) -> None:
        """Note that a stream to an entry ended; others are asked in its place."""
        self._testimony.drop_stream(stream)
        self._told_by = {
            owner: each for owner, each in self._told_by.items() if each != stream
        }
        for address in self._witnesses.drop_stream(stream):
            if address in self._lost:
                self._ask_again(address)

    # As the one that is asked

    def handle_locate(self, link: Link, message: Locate) -> None:
        """Note a question, and answer it at once if the entry is not reached.

        One that has been silent for as long as its agents wait is as good as lost;
        else all new jobs would wait until this entry has given it up, too.
        """
        self._testimony.add(message.address, link.stream, self._now)
        heard_at = [
            each.last_received_at
            for each in self._links.list_peers()
            if each.hello.address == message.address
        ]
        if not heard_at or self._now - heard_at[0] > BUSY_TIMEOUT_SECONDS:
            age = self._measure_age(message.address, heard_at)
            self._send(link.stream, Located(message.address, False, "", age))

    def _measure_age(self, address: str, heard_at: list[float]) -> float:
        if heard_at:
            return self._now - heard_at[0]
        lived_at = self._lived.get(address)
        return -1.0 if lived_at is None else self._now - lived_at

    def handle_peer_alive(self, link: Link) -> None:
        """Note that an entry lives; tell those that asked, and what it has taken."""
        owner = link.hello.incarnation
        for stream in self._testimony.handle_alive(link.hello.address):
            self._send(stream, Located(link.hello.address, True, owner, 0.0))
            taken = self._takings.list_by_owner().get(owner, {})
            ages = [self._now - taking.at for taking in taken.values()]
            self._send(stream, Took(list(taken), ages, owner))

    def forward_ownership(self, link: Link, message: Took) -> None:
        """Tell those that can't reach an entry what it has taken."""
        owner = link.hello.incarnation
        followers = self._testimony.list_subscribers(link.hello.address, self._now)
        for stream in followers:
            self._send(stream, Took(message.jobs, message.ages, owner))

    def announce_lost(self, link: Link, lived_at: float) -> None:
        """Tell those that asked for an entry that it is lost here, too.

        :param lived_at: by when it proved its life for the last time.
        """
        address = link.hello.address
        self._lived[address] = lived_at
        lost = Located(address, False, link.hello.incarnation, self._now - lived_at)
        for stream in self._testimony.handle_loss(address, self._now):
            self._send(stream, lost)
