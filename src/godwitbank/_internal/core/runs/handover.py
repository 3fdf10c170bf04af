"""Jobs that go from one entry to another, and never run twice by it.

A caller whose connection broke submits the same job again, to any entry. Entries
tell each other what they take; the one that gets a job another has asks it to
stop first, and where entries can't reach each other the agents decide.
"""

from collections.abc import Callable
from random import Random

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.events import Send
from godwitbank._internal.core.runs.delays import Delayed
from godwitbank._internal.core.runs.dispatcher import Dispatcher
from godwitbank._internal.core.runs.events import Note, RunAction
from godwitbank._internal.core.runs.fleet import AgentView
from godwitbank._internal.core.runs.lease import LAPSE_SECONDS
from godwitbank._internal.core.runs.links import SILENCE, Link, Links
from godwitbank._internal.core.runs.ownership import (
    CLAIM_SECONDS,
    REMEMBER_SECONDS,
    YIELD_SECONDS,
    Takings,
)
from godwitbank._internal.core.runs.tellings import Tellings
from godwitbank._internal.core.runs.whereabouts import UNREACHED, Whereabouts
from godwitbank._internal.core.runs.work import Job
from godwitbank._internal.models.messages import Message
from godwitbank._internal.models.run_messages import (
    Claim,
    Claimed,
    Took,
    Yield,
    Yielded,
)

GRACE = LAPSE_SECONDS
"""Seconds for which an entry that has started, or stood still, waits for the others it
knows. What those have ordered that it doesn't hear of by then is over."""


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
        self._awake_since = now
        self._informed = False
        self._takings = Takings()
        self._delayed: dict[str, Delayed] = {}
        self._unsorted: dict[str, Job] = {}
        self._entries_per_agent = entries_per_agent
        dispatcher.is_unsure = self.is_unsure
        self.whereabouts = Whereabouts(links, self._takings, rng)
        self._relayed: dict[str, list[int]] = {}
        self._heard: set[str] = set()
        self._tellings = Tellings(links)
        self._yielding: dict[str, list[int]] = {}
        self._now = now
        self._out: Callable[[RunAction], None] = lambda action: None

    def begin(self, now: float, out: Callable[[RunAction], None]) -> None:
        """Prepare for one event."""
        self._now = now
        self._out = out
        self.whereabouts.begin(now, out)
        self._tellings.begin(out)

    def _note(self, event: str, request: str, **fields: object) -> None:
        self._out(Note(event, request, fields))

    def _send(self, stream: int, message: Message) -> None:
        self._out(Send(stream, message))

    @property
    def busy(self) -> bool:
        """Whether a job waits here."""
        return bool(self._delayed or self._unsorted)

    def has(self, job: str) -> bool:
        """Tell whether a job waits here."""
        return job in self._delayed or job in self._unsorted

    @property
    def informed(self) -> bool:
        """Whether it is known what other entries have taken.

        Those that can't be reached for ``GRACE`` are gone for their agents, too,
        which have stopped their runs by then.
        """
        if not self._informed:
            linked = {
                link.hello.address
                for link in self._links.list_peers()
                if link.hello.incarnation in self._heard
            }
            known = set(self._links.addresses.list_others())
            linked_all = bool(known) and known <= linked
            self._informed = linked_all or self._now - self._awake_since > GRACE
            if self._informed and known - linked:
                # They may be alive and cut off from here alone.
                self._lose_unreached(sorted(known - linked))
        return self._informed

    def wake(self) -> None:
        """Begin anew after this entry stood still: others may have taken its jobs.

        An entry that went on with its jobs at once started tasks that another one had
        taken over, before it had a stream to that one again.
        """
        self._informed = False
        self._awake_since = self._now
        self._heard.clear()

    @property
    def _sees_all_agents(self) -> bool:
        return self._links.addresses.count < self._entries_per_agent

    def _lose_unreached(self, addresses: list[str]) -> None:
        for address in addresses:
            unknown = UNREACHED + address
            self._takings.lose(unknown, self._awake_since)
            self.whereabouts.ask(address, unknown)

    def submit(self, job: Job) -> None:
        """Start a job, or let it wait until nothing of it runs elsewhere."""
        if self.informed:
            self._sort_in(job)
        else:
            # What other entries have taken isn't known yet; it might run twice.
            self._hold(job)

    def _hold(self, job: Job) -> None:
        # Others are told of it, too: two entries that wait for the same to be over
        # would start it at the same moment.
        name = job.spec.job
        if name not in self._unsorted:
            known_at = max(
                self._awake_since + GRACE, self._takings.find_over(job.arrival)
            )
            self._note_delay(name, "uninformed", known_at)
            self._tellings.tell(name, self._now)
        self._unsorted[name] = job

    def lose_caller(self, caller: int) -> None:
        """Forget the jobs that only a caller who is gone waits for."""
        for waiting in (self._unsorted, self._delayed):
            for name in [each for each in waiting if self._is_of(each, caller)]:
                del waiting[name]

    def _is_of(self, name: str, caller: int) -> bool:
        delayed = self._delayed.get(name)
        job = delayed.job if delayed else self._unsorted.get(name)
        return job is not None and caller in job.callers

    def give_up_expired(self) -> None:
        """Answer callers whose time is over while their jobs wait here.

        Whether another entry runs them isn't known.
        """
        for name, job in list(self._unsorted.items()):
            if job.deadline <= self._now:
                del self._unsorted[name]
                self._give_up_unknown(job)
        for delayed in self._delayed.values():
            if not delayed.abandoned and delayed.job.deadline <= self._now:
                delayed.abandoned = True
                self._give_up_unknown(delayed.job)

    def _give_up_unknown(self, job: Job) -> None:
        job.ran = True
        self._dispatcher.give_up(job, "deadline")

    def refuse_all(self, reason: str) -> None:
        """Refuse every job that waits here."""
        jobs = [*self._unsorted.values()]
        jobs += [each.job for each in self._delayed.values() if not each.abandoned]
        for job in jobs:
            self._dispatcher.refuse(job, reason)
        self._unsorted.clear()
        self._delayed.clear()

    def lose_peer(self, link: Link) -> None:
        """Note that a peer's last stream ended."""
        owner = link.hello.incarnation
        self._heard.discard(owner)
        # It may have proved its life to others later than to this entry, by as much as
        # may lie between two proofs.
        lived_at = min(self._now, link.heard_at + SILENCE)
        # Nothing is known of what others did while this entry stood still.
        lived_at = max(lived_at, self._awake_since)
        self.whereabouts.tell_lost(link, lived_at)
        if not link.leaving:
            self._takings.lose(owner, lived_at, link.told_at)
            if not self._links.list_peers():
                self.give_up_unsure("cut_off")
            self.whereabouts.ask(link.hello.address, owner)

    def give_up_unsure(self, reason: str) -> None:
        """Give up the jobs that others may have taken unheard.

        After this entry lost all others at once, their callers may be elsewhere. Agents
        that it doesn't meet can't tell; started here again, a task would run twice.
        """
        if self._sees_all_agents:
            return
        for job in list(self._dispatcher.jobs.values()):
            self._dispatcher.give_up(job, reason)

    def is_unsure(self) -> bool:
        """Tell whether a job that lost its runs may have been taken elsewhere."""
        return not self._sees_all_agents and self._is_blind()

    def _is_blind(self) -> bool:
        return self._takings.is_blind(self._now, self._sees_all_agents)

    def regain_peer(self, link: Link) -> None:
        """Note a peer's new stream, and tell it what was taken here."""
        lost = self.whereabouts.regain(link)
        if lost:
            self._takings.regain(lost)
        # A peer that was started later must know what was taken before, also by
        # entries that are gone: their runs may live on under a lease. One of them
        # is its own former process, whose callers come to the same address again.
        self._tellings.tell_all(link.stream, self._list_taken(), self._now)
        self._tellings.pass_on(link.stream, self._takings, self._now)

    def check(self) -> None:
        """Act on what has become due."""
        self._sort_in_all()
        self._answer_yields()

    def _sort_in(self, job: Job) -> None:
        spec = job.spec
        owner = self._takings.find(spec.job)
        if owner:
            self._ask_owner(job, owner)
            return
        if not self._is_blind():
            self._take(job)
        elif self._sees_all_agents:
            self._claim(job)
        elif not self._takings.concern(job.arrival):
            self._take(job)
        elif self._must_wait(job):
            self._hold(job)
        else:
            self._claim(job)

    def _must_wait(self, job: Job) -> bool:
        """Tell whether a lost entry may run a job that can't be asked for."""
        if self._sees_all_agents or self._takings.find(job.spec.job):
            return False
        return self._is_blind() and self._now < self._takings.find_over(job.arrival)

    def _sort_in_all(self) -> None:
        if not self._unsorted or not self.informed:
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
        over_at = self._takings.find_over(job.arrival)
        start_at = max(self._now + CLAIM_SECONDS, over_at)
        delayed = Delayed(job, self._now, start_at)
        delayed.claim(views)
        self._delayed[name] = delayed
        self._note_delay(name, "claimed", start_at)
        self._tellings.tell(name, self._now)
        for stream in views:
            self._send(stream, Claim(name))

    def hear_claimed(self, view: AgentView, message: Claimed) -> None:
        """Count off an agent that runs nothing of a job by others' orders."""
        delayed = self._delayed.get(message.job)
        if delayed is None:
            return
        if delayed.hear_claimed(view.stream, message.over) and self._knows_agents:
            self._start_now(delayed)

    @property
    def _knows_agents(self) -> bool:
        """Whether no agent can run a job that isn't asked for it."""
        young = self._now - self._awake_since < REMEMBER_SECONDS
        return not young and not self._dispatcher.fleet.misses(self._now)

    def _take(self, job: Job) -> None:
        self._dispatcher.submit(job)
        if job.spec.job in self._dispatcher.jobs:
            self._tellings.tell(job.spec.job, self._now)

    def tell_taken(self) -> None:
        """Tell other entries what was taken since the last time."""
        self._tellings.tell_rest(self._now)

    def _note_delay(self, name: str, reason: str, until: float) -> None:
        self._counts.add("jobs_delayed", reason)
        seconds = round(max(0.0, until - self._now), 3)
        self._note("job_delayed", name, reason=reason, s=seconds)

    def _ask_owner(self, job: Job, owner: str) -> None:
        name = job.spec.job
        link = self._links.find(owner)
        start_at = self._now + YIELD_SECONDS
        if link is not None:
            self._send(link.stream, Yield(name, ""))
        elif not self.whereabouts.pass_yield(name, owner):
            start_at = self._takings.find_lapse(owner, self._now)
        reason = "owner_gone" if link is None else "asked"
        self._note_delay(name, reason, start_at)
        self._delayed[name] = Delayed(job, self._now, start_at)
        self._tellings.tell(name, self._now)

    def hear_yielded(self, link: Link, message: Yielded) -> None:
        """Another entry has stopped a job."""
        del link
        for stream in self._relayed.pop(message.job, []):
            self._send(stream, Yielded(message.job))
        self._takings.forget(message.job)
        delayed = self._delayed.get(message.job)
        if delayed is not None and not delayed.claiming:
            self._claim_next(delayed)

    def _claim_next(self, delayed: Delayed) -> None:
        # The owner before may have claimed the job at agents; they take no runs
        # of it from this entry unless it claims it, too.
        del self._delayed[delayed.job.spec.job]
        if not delayed.abandoned:
            self._claim(delayed.job)

    def _start_now(self, delayed: Delayed) -> None:
        del self._delayed[delayed.job.spec.job]
        if not delayed.abandoned:
            self._take(delayed.job)

    def start_delayed(self) -> None:
        """Start the jobs that have waited long enough."""
        for name, delayed in list(self._delayed.items()):
            if delayed.start_at > self._now:
                continue
            if delayed.claiming:
                if self._is_claimed(delayed):
                    self._start_now(delayed)
                continue
            owner = self._takings.find(name)
            link = self._links.find(owner)
            if link is not None:
                # It answers, but has not said that all is stopped.
                delayed.start_at = self._now + YIELD_SECONDS
                self._send(link.stream, Yield(name, ""))
                continue
            if self.whereabouts.pass_yield(name, owner):
                delayed.start_at = self._now + YIELD_SECONDS
                continue
            lapse = self._takings.find_lapse(owner, self._now)
            if owner and lapse > self._now:
                delayed.start_at = lapse
                continue
            self._takings.forget(name)
            self._claim_next(delayed)

    def _is_claimed(self, delayed: Delayed) -> bool:
        views = self._dispatcher.fleet.views
        links = {stream: view.link for stream, view in views.items()}
        return delayed.may_start(links, self._now, not self._takings.confirmed)

    def hear_yield(self, link: Link, message: Yield) -> None:
        """Stop a job whose caller came to another entry, or pass that on."""
        if message.owner:
            owner = self._links.find(message.owner)
            if owner is not None:
                self._relayed.setdefault(message.job, []).append(link.stream)
                self._send(owner.stream, Yield(message.job, ""))
            return
        job = self._dispatcher.jobs.get(message.job)
        self._yielding.setdefault(message.job, []).append(link.stream)
        self._abandon(message.job)
        if job is not None:
            self._dispatcher.give_up(job, "submitted_elsewhere")

    def _abandon(self, name: str) -> None:
        held = self._unsorted.pop(name, None)
        if held is not None:
            self._dispatcher.refuse(held, "submitted_elsewhere")
        delayed = self._delayed.get(name)
        if delayed is not None and not delayed.abandoned:
            self._dispatcher.refuse(delayed.job, "submitted_elsewhere")
            delayed.abandoned = True

    def _answer_yields(self) -> None:
        for name, streams in list(self._yielding.items()):
            if name in self._dispatcher.jobs or name in self._delayed:
                continue
            del self._yielding[name]
            for stream in streams:
                self._send(stream, Yielded(name))

    def _list_taken(self) -> list[Job]:
        taken = [*self._dispatcher.jobs.values()]
        taken += [delayed.job for delayed in self._delayed.values()]
        taken += self._unsorted.values()
        return taken

    def hear_took(self, link: Link, message: Took) -> None:
        """Note what another entry has taken."""
        owner = message.owner or link.hello.incarnation
        if not message.owner:
            self._heard.add(owner)
            self._takings.regain(owner)
            self.whereabouts.pass_on(link, message)
        if owner == self._links.own_incarnation:
            return
        if self._links.find(owner) is None:
            self._takings.miss(owner, self._now)
        for name, age in zip(message.jobs, message.ages, strict=False):
            known = self._takings.get(name)
            if not message.owner and known and known.incarnation != owner:
                # It may not reach the one that had the job before.
                self._tellings.remind(link.stream, name, known, self._now)
            self._takings.note(name, age, owner, self._now)
            self._give_way(name, age)
            self._ask_earlier(name, age, owner)

    def _give_way(self, name: str, age: float) -> None:
        """Give up a job that another entry took later, for lost here.

        While this entry was cut off or suspended, the caller went to the other one.
        """
        job = self._dispatcher.jobs.get(name)
        if job is not None and self._now - job.arrival > age:
            self._dispatcher.give_up(job, "submitted_elsewhere")
        held = self._unsorted.get(name)
        if held is not None and self._now - held.arrival > age:
            self._abandon(name)

    def _ask_earlier(self, name: str, age: float, owner: str) -> None:
        """Ask an entry that had a job before this one, which claims it unknowing."""
        delayed = self._delayed.get(name)
        if delayed is None or delayed.abandoned or not delayed.claiming:
            return
        if self._now - delayed.job.arrival < age:
            del self._delayed[name]
            self._ask_owner(delayed.job, owner)
