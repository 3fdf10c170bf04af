"""Handover of jobs between entries, so that no task runs twice at the same time.

The same job may be submitted at several entries, at once or one after the other. The
job's home grants it to one of them; callers at the other entries wait for that entry's
result. If the owner has no healthy stream to this entry, it is asked to stop the job
before the job starts here. Where entries can't reach each other at all, the agents
decide which entry's runs they keep.
"""

from collections.abc import Callable
from random import Random

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.events import Send
from godwitbank._internal.core.runs.agent_claims import AgentClaims, ClaimState
from godwitbank._internal.core.runs.delays import DelayedJob, YieldWaiters
from godwitbank._internal.core.runs.dispatcher import Dispatcher
from godwitbank._internal.core.runs.events import LogDecision, RunAction
from godwitbank._internal.core.runs.fleet import AgentView
from godwitbank._internal.core.runs.held_jobs import (
    HeldJobs,
    PendingRequest,
    sort_by_urgency,
)
from godwitbank._internal.core.runs.homes import LOCAL_ROUTE, Homes
from godwitbank._internal.core.runs.jobs import Job
from godwitbank._internal.core.runs.links import BUSY_TIMEOUT_SECONDS, Link, Links
from godwitbank._internal.core.runs.ownership import (
    YIELD_TIMEOUT_SECONDS,
    JobOwnership,
    Ownership,
)
from godwitbank._internal.core.runs.ownership_announcements import (
    OwnershipAnnouncements,
)
from godwitbank._internal.core.runs.reachability import PeerReachability
from godwitbank._internal.core.runs.readiness import Readiness
from godwitbank._internal.core.runs.relayed_requests import AcquireRequest
from godwitbank._internal.models.messages import Message
from godwitbank._internal.models.run_messages import (
    Acquire,
    Acquired,
    Claimed,
    Release,
    Took,
    Yield,
    Yielded,
)

RETRY_STREAM = -1
"""Placeholder for the stream of a request that no home decided. The job is requested
again the next time that delayed jobs are processed."""


class Handover:
    """Decides when a submitted job may start at this entry.

    :param entries_per_agent: the number of entries that each agent keeps a stream to.
    """

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
        self._ownership = JobOwnership()
        self._held = HeldJobs()
        self._entries_per_agent = entries_per_agent
        dispatcher.may_run_elsewhere = self.may_run_elsewhere
        dispatcher.on_job_removed = self._release
        self.reachability = PeerReachability(links, self._ownership, rng)
        self.homes = Homes(
            links,
            self._ownership,
            self.reachability,
            lambda: self._connects_to_all_agents,
            lambda: self.synced,
            self._find_current_owner,
        )
        self.join: Callable[[Job, Link], None] = lambda job, link: None
        """Makes the callers of a job wait for it at another entry."""
        self.has_transferred: Callable[[str], bool] = lambda job: False
        """Returns whether a job that this entry may start was forwarded elsewhere."""
        self._readiness = Readiness(links, self._ownership, self.reachability, now)
        self._announcements = OwnershipAnnouncements(links)
        self._claims = AgentClaims(
            dispatcher.fleet, self._held, self.homes, self._ownership, self._readiness
        )
        self._yields = YieldWaiters()
        self._now = now
        self._emit: Callable[[RunAction], None] = lambda action: None

    def begin_event(self, now: float, emit: Callable[[RunAction], None]) -> None:
        """Prepare for one event.

        :param now: time of the event, in seconds.
        :param emit: receives the actions to carry out.
        """
        self._now = now
        self._emit = emit
        self.reachability.begin_event(now, emit)
        self.homes.begin_event(now, emit)
        self._announcements.begin_event(emit)
        self._readiness.begin_event(now)
        self._claims.begin_event(now, emit)
        self._yields.begin_event(emit)

    def _log_decision(self, event: str, request: str, **fields: object) -> None:
        self._emit(LogDecision(event, request, fields))

    def _send(self, stream: int, message: Message) -> None:
        self._emit(Send(stream, message))

    @property
    def busy(self) -> bool:
        """Whether any job waits here for permission to start."""
        return bool(self._held)

    def find_waiting(self, name: str) -> Job | None:
        """Return a job that waits here to start, if callers wait for it."""
        return self._held.find(name)

    @property
    def synced(self) -> bool:
        """Whether this entry knows which jobs other entries own."""
        return self._readiness.synced

    def resume_after_pause(self) -> None:
        """Wait for announcements of other entries again after a process pause."""
        self._readiness.resume_after_pause()

    @property
    def _connects_to_all_agents(self) -> bool:
        """Whether each agent keeps a stream to every entry."""
        return self._links.addresses.count < self._entries_per_agent

    def submit(self, job: Job) -> None:
        """Start a job, or hold it until no run of it can be alive elsewhere."""
        if self.synced:
            self._resolve_owner(job)
        else:
            # Which jobs other entries own isn't known yet; one may run this job.
            self._hold(job)

    def _hold(self, job: Job) -> None:
        name = job.spec.job
        if name not in self._held.undecided:
            known_at = max(
                self._readiness.sync_deadline, self._ownership.get_last_expiry()
            )
            self._log_delay(name, "uninformed", known_at)
        self._held.undecided[name] = job

    def handle_caller_loss(self, caller: int) -> None:
        """Drop the waiting jobs that no caller but a disconnected one waits for."""
        for name in self._held.remove_caller(caller):
            self._release(name)

    def give_up_expired(self) -> None:
        """Answer the callers of jobs that become useless while they wait here.

        The answer says that the job may have run, as another entry may run it.
        """
        for job in self._held.abandon_expired(self._now):
            self._release(job.spec.job)
            reason = "deadline" if job.deadline <= self._now else "too_late"
            self._give_up_possibly_run(job, reason)

    def _give_up_possibly_run(self, job: Job, reason: str = "deadline") -> None:
        job.ran = True
        self._dispatcher.give_up(job, reason)

    def refuse_all(self, reason: str) -> None:
        """Refuse all jobs that wait here for permission to start."""
        for job in self._held.list_waiting():
            self._dispatcher.refuse(job, reason)
            self._release(job.spec.job)
        self._held.clear()

    def handle_peer_loss(self, link: Link) -> None:
        """React to the end of the last stream to a peer."""
        owner = link.hello.incarnation
        self._readiness.mark_lost(owner)
        # Other processes may have received a later heartbeat from the peer than this
        # entry did: later by up to the timeout of a busy stream, the longest interval
        # between two heartbeats.
        last_alive_at = min(self._now, link.last_received_at + BUSY_TIMEOUT_SECONDS)
        # This entry received nothing while its process was paused; the peer may have
        # been alive until the pause ended.
        last_alive_at = max(last_alive_at, self._readiness.active_since)
        self.reachability.announce_lost(link, last_alive_at)
        if not link.leaving:
            self._ownership.mark_lost(owner, link.hello.address, last_alive_at)
            if not self._links.list_peers():
                self.give_up_uncertain("cut_off")
            self.reachability.probe(link.hello.address, owner)
        # Other entries become the home of the jobs that the peer decided about. They
        # must know which of these jobs it has granted to this entry.
        self._announcements.announce_pending(self._now)

    def handle_stream_loss(self, stream: int) -> None:
        """Request jobs again whose request was sent on a closed stream."""
        self.homes.drop_stream(stream)
        self._retry_requests(stream)

    def _retry_requests(self, stream: int) -> None:
        for job in self._held.pop_requests(stream):
            self.submit(job)

    def leave(self) -> None:
        """Stop being the home of any job, and announce the grants of this entry.

        The entries that become the home of these jobs need them.
        """
        self.homes.leaving = True
        granted = self.homes.grants.list_by_owner()
        for link in self._links.list_peers():
            self._announcements.announce_grants(link.stream, granted, self._now)

    def give_up_uncertain(self, reason: str) -> None:
        """Give up the jobs that another entry may own without this entry's knowledge.

        When this entry loses all its peers at once, the callers of its jobs may have
        submitted them at another entry. The agents that run them there may have no
        stream to this entry and can't tell; if a task were started here again, it would
        run twice.
        """
        if self._connects_to_all_agents:
            return
        for job in list(self._dispatcher.jobs.values()):
            self._dispatcher.give_up(job, reason)

    def may_run_elsewhere(self) -> bool:
        """Return whether a job that lost its runs may by now have another owner."""
        return not self._connects_to_all_agents and self._may_miss_owners()

    def _may_miss_owners(self) -> bool:
        return self._ownership.may_be_incomplete(
            self._now, self._connects_to_all_agents
        )

    def handle_peer_connected(self, link: Link) -> None:
        """React to a new stream to a peer: announce the known owners of jobs on it."""
        lost = self.reachability.mark_connected(link)
        if lost:
            self._ownership.mark_connected(lost)
        self.reachability.probe_through(link)
        # A peer that was started later must know the earlier owners of jobs, also those
        # that are gone: their runs may be alive until a lease expires. One of them may
        # be the former process at the peer's address, whose callers submit their jobs
        # at the same address again.
        self._announcements.announce_all(link.stream, self._list_owned(), self._now)
        self._announcements.announce_unreachable_owners(
            link.stream, self._ownership, self._now
        )
        # Grants of jobs that were given up must not be announced: the peer would give
        # up its own runs of them.
        self.homes.announce_released()
        granted = self.homes.grants.list_by_owner()
        self._announcements.announce_grants(link.stream, granted, self._now)

    def process_due(self) -> None:
        """Process the yields, held jobs and requests that may proceed now."""
        self._answer_yields()
        self._resolve_undecided()
        self.homes.retry_waiting()

    def _resolve_owner(self, job: Job) -> None:
        name = job.spec.job
        owner = self._ownership.find_owner(name)
        if self._is_stopping(name):
            self._held.undecided[name] = job
        elif job.acquired:
            self.start(job)
        elif owner not in ("", self._links.own_incarnation):
            self._contact_owner(job, owner)
        else:
            self._acquire(job)

    def record_acquired(self, name: str) -> None:
        """Start a held job, as its owner has passed on the right to start it."""
        job = self._held.find(name)
        if job is None:
            return
        job.acquired = True
        if self._held.requests.pop(name, None) is not None:
            self.submit(job)

    def _is_stopping(self, name: str) -> bool:
        """Return whether an earlier submission of a job is still being stopped here."""
        return name in self._dispatcher.jobs or name in self._held.delayed

    def _acquire(self, job: Job) -> None:
        """Request a job from its home, or decide if this entry is the home."""
        name = job.spec.job
        route = self.homes.find_route(name)
        if route is None:
            self._hold(job)
        elif route == LOCAL_ROUTE:
            current_owner = self.homes.decide(name, self._links.own_incarnation)
            self._handle_decision(job, current_owner)
        else:
            request_number = self.homes.request_job(name, route)
            self._held.requests[name] = PendingRequest(
                job, route.stream, request_number
            )

    def find_home(self, name: str) -> Link | None:
        """Return the link to a job's home; ``None`` if it is here or unknown."""
        route = self.homes.find_route(name)
        return self._links.get(route.stream) if route and route.stream else None

    def try_acquire(self, name: str) -> bool:
        """Acquire a job that has no owner, if this entry is its home.

        :return: whether the job was acquired.
        """
        if (
            not self.synced
            or self._ownership.find_owner(name)
            or self._may_miss_owners()
        ):
            return False
        own = self._links.own_incarnation
        is_home = self.homes.find_route(name) == LOCAL_ROUTE
        return is_home and self.homes.decide(name, own) == own

    def _handle_decision(self, job: Job, current_owner: str | None) -> None:
        if current_owner is None:
            self._held.undecided[job.spec.job] = job
        elif current_owner == self._links.own_incarnation:
            self.start(job)
        else:
            self._contact_owner(job, current_owner)

    def _contact_owner(self, job: Job, owner: str) -> None:
        """Make a job's callers wait at its owner, or ask the owner to stop the job.

        The owner is asked to stop the job if it is unreachable or unresponsive.
        """
        link = self._links.find(owner)
        if link is not None and self._links.is_responsive(link, self._now):
            self.join(job, link)
        else:
            self._request_yield(job, owner)

    def start(self, job: Job) -> None:
        """Start a job that was granted to this entry.

        If a lost entry may still have runs of it, they are stopped first.
        """
        if job.contested or self._may_run_at_lost_peer(job):
            self._claim(job)
        else:
            self._dispatch(job)

    def _may_run_at_lost_peer(self, job: Job) -> bool:
        if not self._may_miss_owners():
            return False
        return self._connects_to_all_agents or self.homes.may_be_lost(job.spec.job)

    def handle_acquire(self, link: Link, message: Acquire) -> None:
        """Decide about a job that another entry requests, or relay the request."""
        job, owner, request_number, acting, hops = message
        request = AcquireRequest(job, owner, request_number, link.stream, acting, hops)
        self.homes.handle_request(request)

    def handle_acquired(self, link: Link, message: Acquired) -> None:
        """Process the answer of a job's home to a request."""
        self.homes.handle_answer(link.stream, message)
        pending = self._held.requests.get(message.job)
        own = message.requester == self._links.own_incarnation
        if (
            not own
            or pending is None
            or pending.request_number != message.request_number
        ):
            return
        if not message.owner:
            self._held.requests[message.job] = pending._replace(stream=RETRY_STREAM)
        else:
            del self._held.requests[message.job]
            self._handle_decision(pending.job, message.owner)

    def handle_release(self, link: Link, message: Release) -> None:
        """Record that no run of some jobs is left at another entry."""
        del link
        self.homes.handle_release(message)

    def _is_owned_here(self, name: str) -> bool:
        delayed = self._held.delayed.get(name)
        claiming = delayed is not None and delayed.claim_sent and not delayed.abandoned
        return name in self._dispatcher.jobs or claiming or self.has_transferred(name)

    def _find_current_owner(self, name: str) -> str | None:
        """Return the incarnation of the entry that owns a job.

        :return: empty if no entry owns it; ``None`` while its runs are being stopped.
        """
        own = self._links.own_incarnation
        job = self._dispatcher.jobs.get(name)
        if job is not None and job.ending:
            return None
        if self._is_owned_here(name):
            return own
        owner = self.homes.grants.find_owner(name) or self._ownership.find_owner(name)
        if owner in ("", own) or self._has_expired(owner):
            return ""
        return owner

    def _has_expired(self, owner: str) -> bool:
        """Return whether no run that an entry ordered can be alive any more."""
        if self._links.find(
            owner
        ) is not None or self.reachability.is_indirectly_reachable(owner):
            return False
        return self._ownership.get_expiry(owner, self._now) <= self._now

    def _release(self, name: str) -> None:
        self._announcements.forget(name)
        self.homes.release(name)

    def _must_wait(self, job: Job) -> bool:
        """Return whether a held job must wait longer.

        That is so while an earlier submission of it is being stopped here, and while
        its home may be a lost entry and neither an owner nor all agents can be asked.
        """
        if self._is_stopping(job.spec.job):
            return True
        if self._connects_to_all_agents or self._ownership.find_owner(job.spec.job):
            return False
        return self._may_miss_owners() and self.homes.find_route(job.spec.job) is None

    def _resolve_undecided(self) -> None:
        if not self._held.undecided or not self.synced:
            return
        for job in sort_by_urgency(self._held.undecided.values(), self._now):
            if not self._must_wait(job):
                del self._held.undecided[job.spec.job]
                self._resolve_owner(job)

    def _claim(self, job: Job) -> None:
        """Ask the agents to stop all runs of a job that other entries ordered.

        An unreachable entry may own the job. Without the claim, a task would run twice
        after the job's caller went from that entry to this one.
        """
        name = job.spec.job
        delayed = self._claims.hold(job)
        self._log_delay(name, "claimed", delayed.start_at)
        self._announcements.announce(name, self._now)
        self._claims.send(name)

    def handle_agent_connected(self, stream: int) -> None:
        """Claim the held jobs at an agent, too, that connects on a new stream."""
        self._claims.send_all(stream)

    def handle_claimed(self, view: AgentView, message: Claimed) -> None:
        """Process an agent's answer to the claim of a job."""
        state = self._claims.record_answer(view, message)
        if state is ClaimState.LOST:
            delayed = self._held.delayed.pop(message.job)
            self._release(message.job)
            if not delayed.abandoned:
                self._give_up_possibly_run(delayed.job, "claimed_elsewhere")
        elif state is ClaimState.GRANTED:
            self._start_now(self._held.delayed[message.job])

    def _dispatch(self, job: Job) -> None:
        name = job.spec.job
        self._dispatcher.submit(job)
        if name in self._dispatcher.jobs:
            self._announcements.announce(name, self._now)
        elif not self.has_transferred(name):
            self._release(name)

    def announce_changes(self) -> None:
        """Announce the jobs started and released since the last announcement."""
        self._announcements.announce_pending(self._now)
        self.homes.announce_released()

    def _log_delay(self, name: str, reason: str, until: float) -> None:
        self._counts.add("jobs_delayed", reason)
        seconds = round(max(0.0, until - self._now), 3)
        self._log_decision("job_delayed", name, reason=reason, s=seconds)

    def _request_yield(self, job: Job, owner: str) -> None:
        name = job.spec.job
        link = self._links.find(owner)
        start_at = self._now + YIELD_TIMEOUT_SECONDS
        if link is not None:
            self._send(link.stream, Yield(name, ""))
        elif not self.reachability.relay_yield(name, owner):
            start_at = self._ownership.get_expiry(owner, self._now)
        reason = "owner_gone" if link is None else "asked"
        self._log_delay(name, reason, start_at)
        self._held.delayed[name] = DelayedJob(job, self._now, start_at)

    def handle_yielded(self, link: Link, message: Yielded) -> None:
        """React to the message that no run of a job is left at another entry."""
        name = message.job
        self._yields.answer_relayed(name)
        delayed = self._held.delayed.get(name)
        awaited = delayed is not None and not delayed.claim_sent
        if awaited or self._ownership.find_owner(name) == link.hello.incarnation:
            self._ownership.forget(name)
        if delayed is not None and awaited:
            self._resubmit(delayed)

    def _resubmit(self, delayed: DelayedJob) -> None:
        del self._held.delayed[delayed.job.spec.job]
        if not delayed.abandoned:
            self.submit_contested(delayed.job)

    def submit_contested(self, job: Job) -> None:
        """Submit a job here that another entry has owned before."""
        # The previous owner may have claimed the job at agents. They accept no run of
        # it from this entry until this entry has claimed it, too.
        job.contested = True
        job.ran = True
        self.submit(job)

    def _start_now(self, delayed: DelayedJob) -> None:
        del self._held.delayed[delayed.job.spec.job]
        if not delayed.abandoned:
            self._dispatch(delayed.job)

    def start_delayed(self) -> None:
        """Start the delayed jobs whose wait is over, or extend their wait."""
        self._retry_requests(RETRY_STREAM)
        for name, delayed in list(self._held.delayed.items()):
            if delayed.start_at > self._now:
                continue
            if delayed.claim_sent:
                if self._claims.may_start(delayed):
                    self._start_now(delayed)
                continue
            owner = self._ownership.find_owner(name)
            link = self._links.find(owner)
            if link is not None:
                # The owner is reachable but hasn't confirmed that all runs are stopped.
                delayed.start_at = self._now + YIELD_TIMEOUT_SECONDS
                self._send(link.stream, Yield(name, ""))
                continue
            if self.reachability.relay_yield(name, owner):
                delayed.start_at = self._now + YIELD_TIMEOUT_SECONDS
                continue
            expiry = self._ownership.get_expiry(owner, self._now)
            if owner and expiry > self._now:
                delayed.start_at = expiry
                continue
            self._ownership.forget(name)
            self._resubmit(delayed)

    def handle_yield(self, link: Link, message: Yield) -> None:
        """Stop a job whose caller came to another entry, or relay that to its owner."""
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
                self._move_callers(job, link)
            self._dispatcher.give_up(job, "submitted_elsewhere")

    def _move_callers(self, job: Job, link: Link) -> None:
        """Make the remaining callers of a job wait at the entry that takes it over."""
        if job.callers and not job.ending:
            waiting = Job(job.spec, job.queue, 0, self._now, job.deadline - self._now)
            waiting.callers, job.callers = job.callers, []
            self.join(waiting, link)

    def record_forwarded(self, name: str, server: str) -> None:
        """Record that a job may still run at the entry that it was forwarded to.

        :param server: incarnation of that entry.
        """
        self._ownership.record(name, 0.0, server, self._now)
        self.homes.grants.transfer(name, server, self._now)
        home = self.find_home(name)
        if home is not None:
            ownership = Ownership(server, self._now)
            self._announcements.announce_previous_owner(
                home.stream, name, ownership, self._now
            )

    def handle_join(self, link: Link, name: str) -> None:
        """Register an entry whose caller was to wait here for a job that isn't here.

        It gets ``Yielded`` once no run of the job is left here. If the job has another
        known owner, that is announced to it at once.
        """
        known = self._ownership.get(name)
        if known is not None and known.incarnation != link.hello.incarnation:
            self._announcements.announce_previous_owner(
                link.stream, name, known, self._now
            )
        self._yields.add(name, link.stream)

    def _abandon(self, name: str) -> None:
        delayed = self._held.delayed.get(name)
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

    def _list_owned(self) -> list[Job]:
        """List the jobs that may have runs ordered by this entry.

        Other jobs here still wait for permission to start.
        """
        owned = [*self._dispatcher.jobs.values()]
        owned += [each.job for each in self._held.delayed.values() if each.claim_sent]
        return owned

    def handle_took(self, link: Link, message: Took) -> None:
        """Record the jobs that another entry owns, or that it knows the owner of."""
        owner = message.owner or link.hello.incarnation
        if not message.owner:
            self._readiness.record_announcement(owner)
            self._ownership.mark_connected(owner)
            self.reachability.forward_ownership(link, message)
        if owner == self._links.own_incarnation:
            return
        if self._links.find(owner) is None:
            self._ownership.record_unreachable(owner, self._now)
        for name, age in zip(message.jobs, message.ages, strict=False):
            known = self._ownership.get(name)
            if not message.owner and known and known.incarnation != owner:
                # The new owner may have no contact to the previous one.
                self._announcements.announce_previous_owner(
                    link.stream, name, known, self._now
                )
            self._ownership.record(name, age, owner, self._now)
            self.homes.grants.transfer(
                name, self._ownership.find_owner(name), self._now
            )
            self._yield_to_later_owner(name, age, link if not message.owner else None)
            self._request_yield_of_earlier_owner(name, age, owner)

    def _yield_to_later_owner(
        self, name: str, age: float, new_owner: Link | None
    ) -> None:
        """Give up a job if another entry became its owner later than this entry.

        Its caller went to the other entry while this one was cut off or suspended.

        :param age: seconds since the other entry became the owner.
        :param new_owner: link to the other entry, if it is connected.
        """
        job = self._dispatcher.jobs.get(name)
        if job is not None and self._now - job.arrival > age:
            if new_owner is not None:
                self._move_callers(job, new_owner)
            self._dispatcher.give_up(job, "submitted_elsewhere")

    def _request_yield_of_earlier_owner(
        self, name: str, age: float, owner: str
    ) -> None:
        """Ask an earlier owner to yield a job, instead of claiming it at the agents.

        Nothing was known of that owner when this entry claimed the job.

        :param age: seconds since the other entry became the owner.
        """
        delayed = self._held.delayed.get(name)
        if delayed is None or delayed.abandoned or not delayed.claim_sent:
            return
        if self._now - delayed.job.arrival < age:
            del self._held.delayed[name]
            self._request_yield(delayed.job, owner)
