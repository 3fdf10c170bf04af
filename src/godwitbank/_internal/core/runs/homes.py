"""The home of a job: the entry that decides which entry may start it.

Each job has a home among the entries that are connected, chosen by rendezvous hashing
of the job's name. An entry starts no task of a job before the home has granted it, so
that two entries that receive the same job at once don't both start it. The home is
asked once per job. While it is unreachable, what is known about the jobs of lost
entries decides instead.
"""

import itertools
from collections import OrderedDict
from collections.abc import Callable
from functools import lru_cache
from hashlib import blake2b
from typing import NamedTuple

from godwitbank._internal.core.events import Send
from godwitbank._internal.core.runs.events import RunAction
from godwitbank._internal.core.runs.links import BUSY_TIMEOUT_SECONDS, Links
from godwitbank._internal.core.runs.ownership import JobOwnership
from godwitbank._internal.core.runs.reachability import PeerReachability
from godwitbank._internal.core.runs.relayed_requests import (
    AcquireRequest,
    RelayedRequest,
    RelayedRequests,
)
from godwitbank._internal.models.run_messages import Acquire, Acquired, Release

MAX_HOPS = 3
"""How often a request may be relayed. Entries that know different sets of peers may
each consider the other one the home for a short time, and would keep relaying it."""

GRANT_RETENTION_SECONDS = 60.0
"""Seconds after which a grant that was never released is dropped; longer than any
caller waits."""

HOME_CACHE_SIZE = 4096
"""Jobs whose home is cached, so that it isn't computed again for each lookup."""


class Grant(NamedTuple):
    """The permission of an entry to start a job.

    :param owner: the entry's incarnation.
    :param request_number: number of the entry's request; 0 if it took the job over
        without one.
    :param at: when it was granted, in seconds.
    """

    owner: str
    request_number: int
    at: float


class Route(NamedTuple):
    """The way to the entry that decides about a job.

    :param stream: towards the home; 0 if this entry decides.
    :param acting: whether the receiver is to decide in place of the home.
    """

    stream: int
    acting: bool


LOCAL_ROUTE = Route(0, False)


@lru_cache(maxsize=HOME_CACHE_SIZE)
def choose_home(job: str, addresses: tuple[str, ...]) -> str:
    """Choose the home of a job among entries, by rendezvous hashing."""

    def score(address: str) -> bytes:
        return blake2b(f"{job} {address}".encode(), digest_size=8).digest()

    return max(addresses, key=score)


class Grants:
    """Permissions to start jobs that this entry gave as their home."""

    def __init__(self) -> None:
        self._grants: OrderedDict[str, Grant] = OrderedDict()

    def add(self, job: str, owner: str, request_number: int, now: float) -> None:
        """Record that an entry may start a job."""
        self._grants.pop(job, None)
        self._grants[job] = Grant(owner, request_number, now)
        while now - next(iter(self._grants.values())).at > GRANT_RETENTION_SECONDS:
            self._grants.popitem(last=False)

    def find_owner(self, job: str) -> str:
        """Return the incarnation of a grant's owner, or an empty string."""
        grant = self._grants.get(job)
        return grant.owner if grant else ""

    def transfer(self, job: str, owner: str, now: float) -> None:
        """Record that another entry has taken over a job that was granted here."""
        if job in self._grants and self.find_owner(job) != owner:
            self.add(job, owner, 0, now)

    def remove(self, job: str, owner: str, request_number: int, now: float) -> None:
        """Remove a grant that its owner released.

        A release may be delayed on its way and arrive after the owner's next request
        for the same job; the newer grant is kept then. A release without a request
        number removes a numbered grant only once it is older than the timeout of a busy
        stream, the longest time for which an earlier release may have been delayed.
        """
        grant = self._grants.get(job)
        if grant is None or grant.owner != owner:
            return
        exact = grant.request_number == request_number or not grant.request_number
        if exact or (not request_number and now - grant.at > BUSY_TIMEOUT_SECONDS):
            del self._grants[job]

    def list_by_owner(self) -> dict[str, dict[str, float]]:
        """List the time at which each job was granted, by owner and job."""
        owned: dict[str, dict[str, float]] = {}
        for job, grant in self._grants.items():
            owned.setdefault(grant.owner, {})[job] = grant.at
        return owned


class Homes:
    """Requests jobs from their homes, and decides about jobs that have their home here.

    :param connects_to_all_agents: returns whether each agent has a stream to every
        entry, so that agents can tell which jobs of lost entries they run.
    :param is_synced: returns whether this entry knows which jobs other entries own.
    :param find_current_owner: returns the incarnation of the entry that owns a job, as
        far as this entry knows; empty if none does, ``None`` if that is undecided yet.
    """

    def __init__(
        self,
        links: Links,
        ownership: JobOwnership,
        reachability: PeerReachability,
        connects_to_all_agents: Callable[[], bool],
        is_synced: Callable[[], bool],
        find_current_owner: Callable[[str], str | None],
    ) -> None:
        self.grants = Grants()
        self.leaving = False
        self._links = links
        self._ownership = ownership
        self._reachability = reachability
        self._connects_to_all_agents = connects_to_all_agents
        self._is_synced = is_synced
        self._find_current_owner = find_current_owner
        self._waiting: list[AcquireRequest] = []
        self._relayed = RelayedRequests()
        self._request_numbers: dict[str, int] = {}
        self._released: dict[str, int] = {}
        self._counter = itertools.count(1)
        self._now = 0.0
        self._emit: Callable[[RunAction], None] = lambda action: None

    def begin_event(self, now: float, emit: Callable[[RunAction], None]) -> None:
        """Prepare for one event.

        :param now: time of the event, in seconds.
        :param emit: receives the actions to carry out.
        """
        self._now = now
        self._emit = emit

    # Choice of the home

    def find_route(self, job: str, exclude_self: bool = False) -> Route | None:
        """Find the way to a job's home.

        :param exclude_self: choose among the other entries only.
        :return: ``None`` if the home is a lost entry whose runs may still be alive, or
            if no other entry is left to choose from.
        """
        streams = self._reachability.list_relay_streams()
        peers = self._links.list_peers()
        for link in peers:
            streams.pop(link.hello.address, None)
        for link in peers:
            if not link.leaving:
                streams[link.hello.address] = link.stream
        own = self._links.addresses.own
        if not (self.leaving or exclude_self):
            streams[own] = 0
        lost: set[str] = set()
        if not self._connects_to_all_agents():
            lost = self._ownership.list_lost_addresses(self._now)
        addresses = {*streams, *lost}
        if not addresses:
            return None if exclude_self else LOCAL_ROUTE
        home = choose_home(job, tuple(sorted(addresses)))
        if home in lost:
            return None
        return Route(streams[home], False)

    def may_be_lost(self, job: str) -> bool:
        """Return whether a job's home may be a recently lost entry."""
        peers = [link.hello.address for link in self._links.list_peers()]
        lost = self._ownership.list_lost_addresses()
        addresses = {*peers, *lost, self._links.addresses.own}
        return choose_home(job, tuple(sorted(addresses))) in lost

    # Requests of this entry

    def request_job(self, job: str, route: Route) -> int:
        """Request permission from a job's home to start it here.

        :return: the number of the request.
        """
        self._released.pop(job, None)
        request_number = self._request_numbers[job] = next(self._counter)
        own = self._links.own_incarnation
        self._emit(
            Send(
                route.stream, Acquire(job, own, request_number, route.acting, MAX_HOPS)
            )
        )
        return request_number

    def release(self, job: str) -> None:
        """Record that no run of a job is left here, for the next announcement."""
        # Without its number, an earlier release that is still unannounced leaves the
        # grant at the home.
        unannounced = self._released.get(job, 0)
        self._released[job] = self._request_numbers.pop(job, unannounced)

    def announce_released(self) -> None:
        """Announce to their homes the jobs released since the last announcement."""
        if self._released:
            released, self._released = self._released, {}
            own = self._links.own_incarnation
            jobs, numbers = list(released), list(released.values())
            self.handle_release(Release(jobs, numbers, own, MAX_HOPS))

    # Requests of other entries

    def decide(self, job: str, owner: str, request_number: int = 0) -> str | None:
        """Decide which entry owns a job; it is granted to the requester if none does.

        :param owner: incarnation of the requesting entry.
        :return: incarnation of the owner; ``None`` if that can't be decided yet.
        """
        if self._relayed.is_decided_elsewhere(job):
            return None
        current_owner = self._find_current_owner(job)
        if current_owner in ("", owner):
            self.grants.add(job, owner, request_number, self._now)
            if owner == self._links.own_incarnation:
                self._released.pop(job, None)
            return owner
        return current_owner

    def handle_request(self, request: AcquireRequest) -> None:
        """Decide or relay a request, or queue it until either is possible."""
        if not self._process(request):
            self._waiting.append(request)

    def retry_waiting(self) -> None:
        """Try again to decide or relay the queued requests."""
        if self._waiting:
            waiting, self._waiting = self._waiting, []
            self._waiting = [each for each in waiting if not self._process(each)]

    def _process(self, request: AcquireRequest) -> bool:
        if self._relayed.is_decided_elsewhere(request.job):
            # The two entries would wait for each other if each decided for the other.
            if request.acting:
                self._answer(request, "")
            return request.acting
        route = self._choose_route(request)
        if route is None:
            return False
        if route.stream:
            self._relay(request, route)
            return True
        current_owner = self.decide(request.job, request.owner, request.request_number)
        if current_owner is None:
            return False
        self._answer(request, current_owner)
        return True

    def _answer(self, request: AcquireRequest, current_owner: str) -> None:
        answer = Acquired(
            request.job, request.owner, request.request_number, current_owner
        )
        self._emit(Send(request.stream, answer))

    def _choose_route(self, request: AcquireRequest) -> Route | None:
        if request.acting:
            return LOCAL_ROUTE if self._is_synced() else None
        route = self.find_route(request.job)
        if route != LOCAL_ROUTE or self._is_synced():
            return route
        # This entry has just joined and doesn't know the owners of jobs yet. The entry
        # that would be the home without it does.
        other = self.find_route(request.job, exclude_self=True)
        return other and other._replace(acting=True)

    def _relay(self, request: AcquireRequest, route: Route) -> None:
        job, owner, request_number, _, _, hops = request
        if hops == 0 or route.stream == request.stream:
            self._answer(request, "")
            return
        self._relayed.add(RelayedRequest(request, route.stream, route.acting))
        message = Acquire(job, owner, request_number, route.acting, hops - 1)
        self._emit(Send(route.stream, message))

    def handle_answer(self, stream: int, answer: Acquired) -> None:
        """Record the owner that a home named; relay the answer to the requester."""
        if answer.owner not in ("", self._links.own_incarnation):
            self._ownership.record(answer.job, 0.0, answer.owner, self._now)
        for request in self._relayed.pop_answered(stream, answer):
            self._emit(Send(request.stream, answer))

    def handle_release(self, release: Release) -> None:
        """Record and relay that no run of some jobs is left at an entry."""
        owner, hops = release.owner, release.hops
        relayed: dict[int, dict[str, int]] = {}
        for job, request_number in zip(
            release.jobs, release.request_numbers, strict=False
        ):
            self._record_release(job, owner, request_number)
            route = self.find_route(job)
            if route is not None and route.stream and hops:
                relayed.setdefault(route.stream, {})[job] = request_number
        for stream, jobs in relayed.items():
            remaining = Release(list(jobs), list(jobs.values()), owner, hops - 1)
            self._emit(Send(stream, remaining))

    def _record_release(self, job: str, owner: str, request_number: int) -> None:
        released_request = (job, owner, request_number)
        self._waiting = [each for each in self._waiting if each[:3] != released_request]
        self.grants.remove(job, owner, request_number, self._now)
        if self._ownership.find_owner(job) == owner:
            self._ownership.forget(job)

    def drop_stream(self, stream: int) -> None:
        """Drop the requests that came on a closed stream.

        Requests that were relayed on it are queued, to be relayed to another entry.
        """
        self._waiting = [each for each in self._waiting if each.stream != stream]
        self._waiting += self._relayed.pop_sent_on(stream)
        self._relayed.drop_received_on(stream)
