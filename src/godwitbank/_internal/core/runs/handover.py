"""Jobs that go from one entry to another, and never run twice by it.

The same job may be submitted at several entries, at once or one after the other. The
job's home lets one of them start it; the others' callers wait for that one's result.
Where it can't be reached it is asked to stop first, and where entries can't reach each
other the agents decide.
"""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.events import Send
from godwitbank._internal.core.runs.delays import DelayedJob, YieldWaiters
from godwitbank._internal.core.runs.dispatcher import Dispatcher
from godwitbank._internal.core.runs.events import LogDecision, RunAction
from godwitbank._internal.core.runs.fleet import AgentView
from godwitbank._internal.core.runs.homes import LOCAL_ROUTE, AcquireRequest, Homes
from godwitbank._internal.core.runs.jobs import Job
from godwitbank._internal.core.runs.links import BUSY_TIMEOUT_SECONDS, Link, Links
from godwitbank._internal.core.runs.ownership import (
    CLAIM_TIMEOUT_SECONDS,
    YIELD_TIMEOUT_SECONDS,
    JobOwnership,
    Ownership,
)
from godwitbank._internal.core.runs.ownership_announcements import (
    OwnershipAnnouncements,
)
from godwitbank._internal.core.runs.reachability import PeerReachability
from godwitbank._internal.core.runs.readiness import Readiness
from godwitbank._internal.models.messages import Message
from godwitbank._internal.models.run_messages import (
    Acquire,
    Acquired,
    Claim,
    Claimed,
    Release,
    Took,
    Yield,
    Yielded,
)

RETRY_STREAM = -1
"""Stream of a job whose home wasn't found, and is looked for again with the next look
at what waits."""


class PendingRequest(NamedTuple):
    """A job whose home was asked whether it may start here.

    :param stream: on which it was asked.
    :param number: of the request.
    """

    job: Job
    stream: int
    number: int


class Handover:
    """Decides when a job that was handed over may start at this entry."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        links: Links,
        counts: Counts,
        now: float,
        rng: Random,
        entries_per_agent: int,
    ) -> None:
        self._dispatcher = dispatcher
        self._links = links
        self._counts = counts
        self._takings = JobOwnership()
        self._delayed: dict[str, DelayedJob] = {}
        self._unsorted: dict[str, Job] = {}
        self._asked: dict[str, PendingRequest] = {}
        self._entries_per_agent = entries_per_agent
        dispatcher.may_run_elsewhere = self.may_run_elsewhere
        dispatcher.on_job_removed = self._release
        self.reachability = PeerReachability(links, self._takings, rng)
        self.homes = Homes(
            links,
            self._takings,
            self.reachability,
            lambda: self._sees_all_agents,
            lambda: self.synced,
            self._find_holder,
        )
        self.join: Callable[[Job, Link], None] = lambda job, link: None
        """Lets the callers of a job wait for it at another entry."""
        self.has_transferred: Callable[[str], bool] = lambda job: False
        """Tells whether a job that this entry may start was handed on to another."""
        self._readiness = Readiness(links, self._takings, self.reachability, now)
        self._tellings = OwnershipAnnouncements(links)
        self._yields = YieldWaiters()
        self._now = now
        self._out: Callable[[RunAction], None] = lambda action: None

    def begin_event(self, now: float, out: Callable[[RunAction], None]) -> None:
        """Prepare for one event."""
        self._now = now
        self._out = out
        self.reachability.begin_event(now, out)
        self.homes.begin_event(now, out)
        self._tellings.begin_event(out)
        self._readiness.begin_event(now)
        self._yields.begin_event(out)

    def _note(self, event: str, request: str, **fields: object) -> None:
        self._out(LogDecision(event, request, fields))

    def _send(self, stream: int, message: Message) -> None:
        self._out(Send(stream, message))

    @property
    def busy(self) -> bool:
        """Whether a job waits here."""
        return bool(self._delayed or self._unsorted or self._asked)

    def find_waiting(self, name: str) -> Job | None:
        """Find a job that waits here for its callers."""
        if name in self._asked:
            return self._asked[name].job
        delayed = self._delayed.get(name)
        if delayed is not None:
            return None if delayed.abandoned else delayed.job
        return self._unsorted.get(name)

    @property
    def synced(self) -> bool:
        """Whether it is known what other entries have taken."""
        return self._readiness.synced

    def resume_after_pause(self) -> None:
        """Begin anew after this entry stood still."""
        self._readiness.resume_after_pause()

    @property
    def _sees_all_agents(self) -> bool:
        return self._links.addresses.count < self._entries_per_agent

    def submit(self, job: Job) -> None:
        """Start a job, or let it wait until nothing of it runs elsewhere."""
        if self.synced:
            self._sort_in(job)
        else:
            # What other entries have taken isn't known yet; it might run twice.
            self._hold(job)

    def _hold(self, job: Job) -> None:
        name = job.spec.job
        if name not in self._unsorted:
            known_at = max(
                self._readiness.sync_deadline, self._takings.get_last_expiry()
            )
            self._note_delay(name, "uninformed", known_at)
        self._unsorted[name] = job

    def handle_caller_loss(self, caller: int) -> None:
        """Forget the jobs that only a caller who is gone waits for."""
        for name, job in self._list_waiting():
            if caller not in job.callers:
                continue
            job.callers.remove(caller)
            if not job.callers:
                for waiting in (self._unsorted, self._delayed, self._asked):
                    waiting.pop(name, None)
                self._release(name)

    def _list_waiting(self) -> list[tuple[str, Job]]:
        waiting = list(self._unsorted.items())
        waiting += [(name, asked.job) for name, asked in self._asked.items()]
        waiting += [
            (name, delayed.job)
            for name, delayed in self._delayed.items()
            if not delayed.abandoned
        ]
        return waiting

    def give_up_expired(self) -> None:
        """Answer callers whose time is over while their jobs wait here.

        Whether another entry runs them isn't known.
        """
        for name, job in self._list_waiting():
            if job.deadline <= self._now:
                self._unsorted.pop(name, None)
                self._asked.pop(name, None)
                if name in self._delayed:
                    self._delayed[name].abandoned = True
                self._release(name)
                self._give_up_unknown(job)

    def _give_up_unknown(self, job: Job, reason: str = "deadline") -> None:
        job.ran = True
        self._dispatcher.give_up(job, reason)

    def refuse_all(self, reason: str) -> None:
        """Refuse every job that waits here."""
        for _, job in self._list_waiting():
            self._dispatcher.refuse(job, reason)
            self._release(job.spec.job)
        self._unsorted.clear()
        self._asked.clear()
        self._delayed.clear()

    def handle_peer_loss(self, link: Link) -> None:
        """Note that a peer's last stream ended."""
        owner = link.hello.incarnation
        self._readiness.mark_lost(owner)
        # It may have proved its life to others later than to this entry, by as much as
        # may lie between two proofs.
        lived_at = min(self._now, link.last_received_at + BUSY_TIMEOUT_SECONDS)
        # Nothing is known of what others did while this entry stood still.
        lived_at = max(lived_at, self._readiness.active_since)
        self.reachability.announce_lost(link, lived_at)
        if not link.leaving:
            self._takings.mark_lost(owner, link.hello.address, lived_at)
            if not self._links.list_peers():
                self.give_up_uncertain("cut_off")
            self.reachability.probe(link.hello.address, owner)
        # Whoever is asked in its place must know what it had let others start.
        self._tellings.announce_pending(self._now)

    def drop_stream(self, stream: int) -> None:
        """Ask others what was asked on a stream that has ended."""
        self.homes.drop_stream(stream)
        self._ask_again(stream)

    def _ask_again(self, stream: int) -> None:
        for name, asked in list(self._asked.items()):
            if asked.stream == stream:
                del self._asked[name]
                self.submit(asked.job)

    def leave(self) -> None:
        """Tell others what this entry has decided, as it decides nothing any more."""
        self.homes.leaving = True
        granted = self.homes.grants.list_by_owner()
        for link in self._links.list_peers():
            self._tellings.announce_grants(link.stream, granted, self._now)

    def give_up_uncertain(self, reason: str) -> None:
        """Give up the jobs that others may have taken unheard.

        After this entry lost all others at once, their callers may be elsewhere. Agents
        that it doesn't meet can't tell; started here again, a task would run twice.
        """
        if self._sees_all_agents:
            return
        for job in list(self._dispatcher.jobs.values()):
            self._dispatcher.give_up(job, reason)

    def may_run_elsewhere(self) -> bool:
        """Tell whether a job that lost its runs may have been taken elsewhere."""
        return not self._sees_all_agents and self._is_blind()

    def _is_blind(self) -> bool:
        return self._takings.may_be_incomplete(self._now, self._sees_all_agents)

    def handle_peer_connected(self, link: Link) -> None:
        """Note a peer's new stream, and tell it what was taken here."""
        lost = self.reachability.mark_connected(link)
        if lost:
            self._takings.mark_connected(lost)
        # A peer that was started later must know what was taken before, also by
        # entries that are gone: their runs may live on under a lease. One of them
        # is its own former process, whose callers come to the same address again.
        self._tellings.announce_all(link.stream, self._list_taken(), self._now)
        self._tellings.announce_unreachable_owners(
            link.stream, self._takings, self._now
        )
        granted = self.homes.grants.list_by_owner()
        self._tellings.announce_grants(link.stream, granted, self._now)

    def process_due(self) -> None:
        """Act on what has become due."""
        self._answer_yields()
        self._sort_in_all()
        self.homes.retry_waiting()

    def _sort_in(self, job: Job) -> None:
        name = job.spec.job
        owner = self._takings.find_owner(name)
        if self._is_stopping(name):
            self._unsorted[name] = job
        elif owner not in ("", self._links.own_incarnation):
            self._reach_owner(job, owner)
        else:
            self._acquire(job)

    def _is_stopping(self, name: str) -> bool:
        """Tell whether an earlier submission of a job is being stopped here."""
        return name in self._dispatcher.jobs or name in self._delayed

    def _acquire(self, job: Job) -> None:
        """Ask the job's home whether it may start here."""
        name = job.spec.job
        route = self.homes.find_route(name)
        if route is None:
            self._hold(job)
        elif route == LOCAL_ROUTE:
            holder = self.homes.decide(name, self._links.own_incarnation)
            self._hear_holder(job, holder)
        else:
            number = self.homes.request_job(name, route)
            self._asked[name] = PendingRequest(job, route.stream, number)

    def find_home(self, name: str) -> Link | None:
        """Find the entry that decides about a job, if it is another one."""
        route = self.homes.find_route(name)
        return self._links.get(route.stream) if route and route.stream else None

    def try_acquire(self, name: str) -> bool:
        """Tell whether this entry decides about a job, and may start it."""
        if not self.synced or self._takings.find_owner(name) or self._is_blind():
            return False
        own = self._links.own_incarnation
        is_home = self.homes.find_route(name) == LOCAL_ROUTE
        return is_home and self.homes.decide(name, own) == own

    def _hear_holder(self, job: Job, holder: str | None) -> None:
        if holder is None:
            self._unsorted[job.spec.job] = job
        elif holder == self._links.own_incarnation:
            self.start(job)
        else:
            self._reach_owner(job, holder)

    def _reach_owner(self, job: Job, owner: str) -> None:
        """Let a job's callers wait at the entry that has it, or stop that one."""
        link = self._links.find(owner)
        if link is not None and self._links.is_responsive(link, self._now):
            self.join(job, link)
        else:
            self._ask_owner(job, owner)

    def start(self, job: Job) -> None:
        """Start a job that this entry may start."""
        if job.contested or self._may_run_unheard(job):
            self._claim(job)
        else:
            self._take(job)

    def _may_run_unheard(self, job: Job) -> bool:
        if not self._is_blind():
            return False
        return self._sees_all_agents or self.homes.may_be_lost(job.spec.job)

    def handle_acquire(self, link: Link, message: Acquire) -> None:
        """Decide whether another entry may start a job, or pass the question on."""
        job, owner, number, acting, hops = message
        request = AcquireRequest(job, owner, number, link.stream, acting, hops)
        self.homes.handle_request(request)

    def handle_acquired(self, link: Link, message: Acquired) -> None:
        """Take the answer of a job's home."""
        self.homes.handle_answer(link.stream, message)
        asked = self._asked.get(message.job)
        own = message.requester == self._links.own_incarnation
        if not own or asked is None or asked.number != message.request_number:
            return
        if not message.owner:
            self._asked[message.job] = asked._replace(stream=RETRY_STREAM)
        else:
            del self._asked[message.job]
            self._hear_holder(asked.job, message.owner)

    def handle_release(self, link: Link, message: Release) -> None:
        """Note that nothing of some jobs is left at another entry."""
        del link
        self.homes.handle_release(message)

    def _is_here(self, name: str) -> bool:
        delayed = self._delayed.get(name)
        claiming = delayed is not None and delayed.claim_sent and not delayed.abandoned
        return name in self._dispatcher.jobs or claiming or self.has_transferred(name)

    def _find_holder(self, name: str) -> str | None:
        """Find the entry that has a job; ``None`` while its runs are being stopped."""
        own = self._links.own_incarnation
        job = self._dispatcher.jobs.get(name)
        if job is not None and job.ending:
            return None
        if self._is_here(name):
            return own
        owner = self.homes.grants.find_owner(name) or self._takings.find_owner(name)
        if owner in ("", own) or self._is_over(owner):
            return ""
        return owner

    def _is_over(self, owner: str) -> bool:
        """Tell whether nothing runs by the orders of an entry any more."""
        if self._links.find(
            owner
        ) is not None or self.reachability.is_indirectly_reachable(owner):
            return False
        return self._takings.get_expiry(owner, self._now) <= self._now

    def _release(self, name: str) -> None:
        self._tellings.forget(name)
        self.homes.release(name)

    def _must_wait(self, job: Job) -> bool:
        """Tell whether a lost entry may run a job that can't be asked for."""
        if self._is_stopping(job.spec.job):
            return True
        if self._sees_all_agents or self._takings.find_owner(job.spec.job):
            return False
        return self._is_blind() and self.homes.find_route(job.spec.job) is None

    def _sort_in_all(self) -> None:
        if not self._unsorted or not self.synced:
            return
        for job in list(self._unsorted.values()):
            if not self._must_wait(job):
                del self._unsorted[job.spec.job]
                self._sort_in(job)

    def _claim(self, job: Job) -> None:
        """Ask the agents to stop what others run of a job.

        An entry that can't be reached may have taken it. A failure shows as a
        task that runs twice after its caller went from one entry to the other. An
        agent that doesn't answer may run it until the lost entry's orders are over.
        """
        name = job.spec.job
        views = self._dispatcher.fleet.views
        if not views:
            self._take(job)
            return
        start_at = self._now + CLAIM_TIMEOUT_SECONDS
        if self.homes.may_be_lost(name):
            start_at = max(start_at, self._takings.get_last_expiry())
        delayed = DelayedJob(job, self._now, start_at)
        delayed.record_claim(views)
        self._delayed[name] = delayed
        self._note_delay(name, "claimed", start_at)
        self._tellings.announce(name, self._now)
        for stream in views:
            self._send(stream, Claim(name))

    def handle_claimed(self, view: AgentView, message: Claimed) -> None:
        """Count off an agent that runs nothing of a job by others' orders."""
        delayed = self._delayed.get(message.job)
        if delayed is None or not delayed.claim_sent:
            return
        if message.claim_lost:
            del self._delayed[message.job]
            self._release(message.job)
            if not delayed.abandoned:
                self._give_up_unknown(delayed.job, "claimed_elsewhere")
            return
        if (
            delayed.handle_claimed(view.stream, message.all_ended)
            and self._knows_agents
        ):
            self._start_now(delayed)

    @property
    def _knows_agents(self) -> bool:
        """Whether no agent can run a job that isn't asked for it."""
        young = self._readiness.is_recently_active
        return not young and not self._dispatcher.fleet.has_lost_agents(self._now)

    def _take(self, job: Job) -> None:
        name = job.spec.job
        self._dispatcher.submit(job)
        if name in self._dispatcher.jobs:
            self._tellings.announce(name, self._now)
        elif not self.has_transferred(name):
            self._release(name)

    def announce_changes(self) -> None:
        """Tell other entries what was taken and released since the last time."""
        self._tellings.announce_pending(self._now)
        self.homes.announce_released()

    def _note_delay(self, name: str, reason: str, until: float) -> None:
        self._counts.add("jobs_delayed", reason)
        seconds = round(max(0.0, until - self._now), 3)
        self._note("job_delayed", name, reason=reason, s=seconds)

    def _ask_owner(self, job: Job, owner: str) -> None:
        name = job.spec.job
        link = self._links.find(owner)
        start_at = self._now + YIELD_TIMEOUT_SECONDS
        if link is not None:
            self._send(link.stream, Yield(name, ""))
        elif not self.reachability.relay_yield(name, owner):
            start_at = self._takings.get_expiry(owner, self._now)
        reason = "owner_gone" if link is None else "asked"
        self._note_delay(name, reason, start_at)
        self._delayed[name] = DelayedJob(job, self._now, start_at)

    def handle_yielded(self, link: Link, message: Yielded) -> None:
        """Another entry has stopped a job."""
        name = message.job
        self._yields.answer_relayed(name)
        delayed = self._delayed.get(name)
        awaited = delayed is not None and not delayed.claim_sent
        if awaited or self._takings.find_owner(name) == link.hello.incarnation:
            self._takings.forget(name)
        if delayed is not None and awaited:
            self._acquire_next(delayed)

    def _acquire_next(self, delayed: DelayedJob) -> None:
        del self._delayed[delayed.job.spec.job]
        if not delayed.abandoned:
            self.submit_contested(delayed.job)

    def submit_contested(self, job: Job) -> None:
        """Start a job that another entry has had, once its home lets it."""
        # That one may have claimed the job at agents; they take no runs of it from
        # this entry unless it claims it, too.
        job.contested = True
        job.ran = True
        self.submit(job)

    def _start_now(self, delayed: DelayedJob) -> None:
        del self._delayed[delayed.job.spec.job]
        if not delayed.abandoned:
            self._take(delayed.job)

    def start_delayed(self) -> None:
        """Start the jobs that have waited long enough."""
        self._ask_again(RETRY_STREAM)
        for name, delayed in list(self._delayed.items()):
            if delayed.start_at > self._now:
                continue
            if delayed.claim_sent:
                if self._is_claimed(delayed):
                    self._start_now(delayed)
                continue
            owner = self._takings.find_owner(name)
            link = self._links.find(owner)
            if link is not None:
                # It answers, but has not said that all is stopped.
                delayed.start_at = self._now + YIELD_TIMEOUT_SECONDS
                self._send(link.stream, Yield(name, ""))
                continue
            if self.reachability.relay_yield(name, owner):
                delayed.start_at = self._now + YIELD_TIMEOUT_SECONDS
                continue
            lapse = self._takings.get_expiry(owner, self._now)
            if owner and lapse > self._now:
                delayed.start_at = lapse
                continue
            self._takings.forget(name)
            self._acquire_next(delayed)

    def _is_claimed(self, delayed: DelayedJob) -> bool:
        views = self._dispatcher.fleet.views
        links = {stream: view.link for stream, view in views.items()}
        return delayed.may_start(
            links, self._now, not self._takings.all_losses_confirmed
        )

    def handle_yield(self, link: Link, message: Yield) -> None:
        """Stop a job whose caller came to another entry, or pass that on."""
        if message.owner not in ("", self._links.own_incarnation):
            owner = self._links.find(message.owner)
            if owner is not None:
                self._yields.relay(message, link.stream, owner.stream)
            return
        job = self._dispatcher.jobs.get(message.job)
        self._yields.add(message.job, link.stream)
        self._abandon(message.job)
        if job is not None:
            if not message.owner:
                self._join_taker(job, link)
            self._dispatcher.give_up(job, "submitted_elsewhere")

    def _join_taker(self, job: Job, link: Link) -> None:
        """Let the callers of a job that goes to another entry wait there."""
        if job.callers and not job.ending:
            waiting = Job(job.spec, job.queue, 0, self._now, job.deadline - self._now)
            waiting.callers, job.callers = job.callers, []
            self.join(waiting, link)

    def record_forwarded(self, name: str, server: str) -> None:
        """Note that a job which this entry had handed on may still run there."""
        self._takings.record(name, 0.0, server, self._now)
        self.homes.grants.transfer(name, server, self._now)
        home = self.find_home(name)
        if home is not None:
            taking = Ownership(server, self._now)
            self._tellings.announce_previous_owner(home.stream, name, taking, self._now)

    def handle_join(self, link: Link, name: str) -> None:
        """Tell an entry whose caller wants to wait here that the job isn't here.

        It is told so once nothing of it runs here any more.
        """
        known = self._takings.get(name)
        if known is not None and known.incarnation != link.hello.incarnation:
            self._tellings.announce_previous_owner(link.stream, name, known, self._now)
        self._yields.add(name, link.stream)

    def _abandon(self, name: str) -> None:
        delayed = self._delayed.get(name)
        if delayed is not None and not delayed.abandoned:
            self._dispatcher.refuse(delayed.job, "submitted_elsewhere")
            delayed.abandoned = True

    def _answer_yields(self) -> None:
        for name in self._yields.list_jobs():
            if self._is_stopping(name):
                continue
            if self.find_waiting(name) is None:
                self._release(name)
                self.homes.announce_released()
            self._yields.answer(name)

    def _list_taken(self) -> list[Job]:
        """List the jobs that may have runs here; others wait until they may start."""
        taken = [*self._dispatcher.jobs.values()]
        taken += [each.job for each in self._delayed.values() if each.claim_sent]
        return taken

    def handle_took(self, link: Link, message: Took) -> None:
        """Note what another entry has taken."""
        owner = message.owner or link.hello.incarnation
        if not message.owner:
            self._readiness.record_announcement(owner)
            self._takings.mark_connected(owner)
            self.reachability.forward_ownership(link, message)
        if owner == self._links.own_incarnation:
            return
        if self._links.find(owner) is None:
            self._takings.record_unreachable(owner, self._now)
        for name, age in zip(message.jobs, message.ages, strict=False):
            known = self._takings.get(name)
            if not message.owner and known and known.incarnation != owner:
                # It may not reach the one that had the job before.
                self._tellings.announce_previous_owner(
                    link.stream, name, known, self._now
                )
            self._takings.record(name, age, owner, self._now)
            self.homes.grants.transfer(name, self._takings.find_owner(name), self._now)
            self._give_way(name, age, link if not message.owner else None)
            self._ask_earlier(name, age, owner)

    def _give_way(self, name: str, age: float, taker: Link | None) -> None:
        """Give up a job that another entry took later, for lost here.

        While this entry was cut off or suspended, the caller went to the other one.

        :param taker: the other entry, if it is reached.
        """
        job = self._dispatcher.jobs.get(name)
        if job is not None and self._now - job.arrival > age:
            if taker is not None:
                self._join_taker(job, taker)
            self._dispatcher.give_up(job, "submitted_elsewhere")

    def _ask_earlier(self, name: str, age: float, owner: str) -> None:
        """Ask an entry that had a job before this one, which claims it unknowing."""
        delayed = self._delayed.get(name)
        if delayed is None or delayed.abandoned or not delayed.claim_sent:
            return
        if self._now - delayed.job.arrival < age:
            del self._delayed[name]
            self._ask_owner(delayed.job, owner)
