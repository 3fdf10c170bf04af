"""Which entry decides who may start a job.

Each job has a home among the entries that are there, by rendezvous hashing of its name.
An entry starts nothing of a job before its home has let it, so that two entries that
get one job at once don't both start it. The home is asked once a job; while it can't
be reached, what is known of lost entries decides.
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
from godwitbank._internal.models.run_messages import Acquire, Acquired, Release

MAX_HOPS = 3
"""Times that a request is passed on. Entries that know of different others may take
each other for the home for a moment."""

GRANT_RETENTION_SECONDS = 60.0
"""Seconds after which a grant that was never released is forgotten; longer than any
caller waits."""

HOME_CACHE_SIZE = 4096
"""Jobs whose home is remembered, so that it isn't worked out for each look."""


class Grant(NamedTuple):
    """The entry that was allowed to start a job.

    :param owner: its incarnation.
    :param number: of its request; 0 if it took the job over unasked.
    """

    owner: str
    number: int
    at: float


class AcquireRequest(NamedTuple):
    """A job that an entry wants.

    :param owner: the entry's incarnation.
    :param number: counts its requests.
    :param stream: where it, or one that passes it on, is answered.
    :param acting: whether this entry decides in place of the home.
    :param hops: how often it may still be passed on.
    """

    job: str
    owner: str
    number: int
    stream: int
    acting: bool
    hops: int


class Route(NamedTuple):
    """Where a request is decided.

    :param stream: the stream towards the home; 0: here.
    :param acting: whether the other end is to decide in place of the home.
    """

    stream: int
    acting: bool


LOCAL_ROUTE = Route(0, False)


@lru_cache(maxsize=HOME_CACHE_SIZE)
def choose_home(job: str, addresses: tuple[str, ...]) -> str:
    """Choose the home of a job among entries."""

    def score(address: str) -> bytes:
        return blake2b(f"{job} {address}".encode(), digest_size=8).digest()

    return max(addresses, key=score)


class Grants:
    """What this entry has decided as the home of jobs."""

    def __init__(self) -> None:
        self._grants: OrderedDict[str, Grant] = OrderedDict()

    def add(self, job: str, owner: str, number: int, now: float) -> None:
        """Note that an entry may start a job."""
        self._grants.pop(job, None)
        self._grants[job] = Grant(owner, number, now)
        while now - next(iter(self._grants.values())).at > GRANT_RETENTION_SECONDS:
            self._grants.popitem(last=False)

    def find_owner(self, job: str) -> str:
        """Find the incarnation that may start a job, or an empty string."""
        grant = self._grants.get(job)
        return grant.owner if grant else ""

    def transfer(self, job: str, owner: str, now: float) -> None:
        """Note that another entry has taken a job over."""
        if job in self._grants and self.find_owner(job) != owner:
            self.add(job, owner, 0, now)

    def remove(self, job: str, owner: str, number: int, now: float) -> None:
        """Forget a grant that its owner released.

        What it released may be an older one, if that took longer than its next request.
        """
        grant = self._grants.get(job)
        if grant is None or grant.owner != owner:
            return
        exact = grant.number == number or not grant.number
        if exact or (not number and now - grant.at > BUSY_TIMEOUT_SECONDS):
            del self._grants[job]

    def list_by_owner(self) -> dict[str, dict[str, float]]:
        """List when each job was granted, by owner and job."""
        owned: dict[str, dict[str, float]] = {}
        for job, grant in self._grants.items():
            owned.setdefault(grant.owner, {})[job] = grant.at
        return owned


class Homes:
    """Asks the homes of jobs, and decides as the home of others.

    :param sees_all_agents: tells whether agents can tell what lost entries run.
    :param is_informed: tells whether it is known here what other entries have taken.
    :param find_holder: tells which entry has a job, as far as this one knows; ``None``
        while that can't be told yet.
    """

    def __init__(
        self,
        links: Links,
        takings: JobOwnership,
        whereabouts: PeerReachability,
        sees_all_agents: Callable[[], bool],
        is_informed: Callable[[], bool],
        find_holder: Callable[[str], str | None],
    ) -> None:
        self.grants = Grants()
        self.leaving = False
        self._links = links
        self._takings = takings
        self._whereabouts = whereabouts
        self._sees_all_agents = sees_all_agents
        self._is_informed = is_informed
        self._find_holder = find_holder
        self._waiting: list[AcquireRequest] = []
        self._passed: dict[int, list[AcquireRequest]] = {}
        self._numbers: dict[str, int] = {}
        self._released: dict[str, int] = {}
        self._counter = itertools.count(1)
        self._now = 0.0
        self._out: Callable[[RunAction], None] = lambda action: None

    def begin_event(self, now: float, out: Callable[[RunAction], None]) -> None:
        """Prepare for one event."""
        self._now = now
        self._out = out

    # Who decides

    def find_route(self, job: str, exclude_self: bool = False) -> Route | None:
        """Find where a job is decided; ``None`` while its home may be gone or not."""
        streams = self._whereabouts.list_relay_streams()
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
        if not self._sees_all_agents():
            lost = self._takings.list_lost_addresses(self._now)
        addresses = {*streams, *lost}
        if not addresses:
            return None if exclude_self else LOCAL_ROUTE
        home = choose_home(job, tuple(sorted(addresses)))
        if home in lost:
            return None
        return Route(streams[home], False)

    def may_be_lost(self, job: str) -> bool:
        """Tell whether a job's home may be an entry that was lost lately."""
        peers = [link.hello.address for link in self._links.list_peers()]
        lost = self._takings.list_lost_addresses()
        addresses = {*peers, *lost, self._links.addresses.own}
        return choose_home(job, tuple(sorted(addresses))) in lost

    # As the one that wants a job

    def request_job(self, job: str, route: Route) -> int:
        """Ask a job's home whether this entry may start it.

        :return: the request's number.
        """
        self._released.pop(job, None)
        number = self._numbers[job] = next(self._counter)
        own = self._links.own_incarnation
        self._out(Send(route.stream, Acquire(job, own, number, route.acting, MAX_HOPS)))
        return number

    def release(self, job: str) -> None:
        """Tell a job's home that nothing of it is left here."""
        self._released[job] = self._numbers.pop(job, 0)

    def announce_released(self) -> None:
        """Tell homes of the jobs released since the last time."""
        if self._released:
            released, self._released = self._released, {}
            own = self._links.own_incarnation
            jobs, numbers = list(released), list(released.values())
            self.handle_release(Release(jobs, numbers, own, MAX_HOPS))

    # As the one that decides, or passes requests on

    def decide(self, job: str, owner: str, number: int = 0) -> str | None:
        """Decide which entry has a job, and let the one that asks start it if none has.

        :return: the incarnation of the one that has it; ``None`` if that isn't known.
        """
        holder = self._find_holder(job)
        if holder in ("", owner):
            self.grants.add(job, owner, number, self._now)
            if owner == self._links.own_incarnation:
                self._released.pop(job, None)
            return owner
        return holder

    def handle_request(self, request: AcquireRequest) -> None:
        """Decide a request, pass it on, or let it wait."""
        if not self._serve(request):
            self._waiting.append(request)

    def retry_waiting(self) -> None:
        """Look again at the requests that wait."""
        if self._waiting:
            waiting, self._waiting = self._waiting, []
            self._waiting = [each for each in waiting if not self._serve(each)]

    def _serve(self, request: AcquireRequest) -> bool:
        route = self._choose_route(request)
        if route is None:
            return False
        if route.stream:
            self._pass_on(request, route)
            return True
        holder = self.decide(request.job, request.owner, request.number)
        if holder is None:
            return False
        answer = Acquired(request.job, request.owner, request.number, holder)
        self._out(Send(request.stream, answer))
        return True

    def _choose_route(self, request: AcquireRequest) -> Route | None:
        if request.acting:
            return LOCAL_ROUTE if self._is_informed() else None
        route = self.find_route(request.job)
        if route != LOCAL_ROUTE or self._is_informed():
            return route
        # This entry has just joined; the home before it knows who has the job.
        other = self.find_route(request.job, exclude_self=True)
        return other and other._replace(acting=True)

    def _pass_on(self, request: AcquireRequest, route: Route) -> None:
        job, owner, number, _, _, hops = request
        if hops == 0 or route.stream == request.stream:
            self._out(Send(request.stream, Acquired(job, owner, number, "")))
            return
        self._passed.setdefault(route.stream, []).append(request)
        message = Acquire(job, owner, number, route.acting, hops - 1)
        self._out(Send(route.stream, message))

    def handle_answer(self, stream: int, answer: Acquired) -> None:
        """Pass an answer back to whom it is for."""
        if answer.owner not in ("", self._links.own_incarnation):
            self._takings.record(answer.job, 0.0, answer.owner, self._now)
        for request in list(self._passed.get(stream, ())):
            if request[:3] == answer[:3]:
                self._passed[stream].remove(request)
                self._out(Send(request.stream, answer))

    def handle_release(self, release: Release) -> None:
        """Note that nothing of some jobs is left at an entry, or pass that on."""
        owner, hops = release.owner, release.hops
        passed: dict[int, dict[str, int]] = {}
        for job, number in zip(release.jobs, release.request_numbers, strict=False):
            self._note_release(job, owner, number)
            route = self.find_route(job)
            if route is not None and route.stream and hops:
                passed.setdefault(route.stream, {})[job] = number
        for stream, jobs in passed.items():
            left = Release(list(jobs), list(jobs.values()), owner, hops - 1)
            self._out(Send(stream, left))

    def _note_release(self, job: str, owner: str, number: int) -> None:
        wanted = (job, owner, number)
        self._waiting = [each for each in self._waiting if each[:3] != wanted]
        self.grants.remove(job, owner, number, self._now)
        if self._takings.find_owner(job) == owner:
            self._takings.forget(job)

    def drop_stream(self, stream: int) -> None:
        """Forget who asked on a stream that ended; ask others what was passed on."""
        self._waiting = [each for each in self._waiting if each.stream != stream]
        self._waiting += self._passed.pop(stream, [])
        for target, requests in self._passed.items():
            left = [each for each in requests if each.stream != stream]
            self._passed[target] = left
