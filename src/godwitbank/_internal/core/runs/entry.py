"""The entry's decisions about jobs of leased runs: who is there, what is in force."""

from collections.abc import Callable
from random import Random

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.events import (
    CloseStream,
    Dial,
    Received,
    Send,
    StopRequested,
    StreamClosed,
    StreamOpened,
    Tick,
)
from godwitbank._internal.core.identity import Identity, make_hello
from godwitbank._internal.core.runs.dispatcher import COME_BACK, Dispatcher
from godwitbank._internal.core.runs.events import (
    AddressesRead,
    Answer,
    CallerGone,
    ConfigurationRead,
    JobCancelled,
    JobSubmitted,
    Note,
    Quiet,
    RunAction,
)
from godwitbank._internal.core.runs.fleet import AgentView
from godwitbank._internal.core.runs.links import PULSE, Link, Links
from godwitbank._internal.core.runs.ownership import (
    LAPSE_SECONDS,
    YIELD_SECONDS,
    Takings,
)
from godwitbank._internal.core.runs.routes import RouteTable
from godwitbank._internal.core.runs.work import Job
from godwitbank._internal.models.jobs import (
    Configuration,
    JobEnd,
    JobResult,
    QueueRules,
)
from godwitbank._internal.models.messages import (
    PROTOCOL_VERSION,
    Goodbye,
    Hello,
    Message,
    Peers,
    Role,
)
from godwitbank._internal.models.run_messages import (
    Claim,
    Claimed,
    EndpointNews,
    Holding,
    Pulse,
    Room,
    Rules,
    RunBegun,
    RunOutcome,
    Took,
    Yield,
    Yielded,
)

TICK = 0.05
"""Seconds between looks at deadlines while jobs are in flight."""


GRACE = 0.9
"""Seconds after its start in which an entry waits for those it knows; above the
``SILENCE`` after which agents stop an entry's runs, and the time that takes."""

UNREADY_SECONDS = 2.5
"""Seconds after SIGTERM in which callers may still arrive: the balancer looks
once a second and takes two misses."""

STOP_SECONDS = 5.2
"""Seconds after SIGTERM at which the last jobs are given up; the process is
killed at 6 s, and the answers must be out before."""


class Delayed:
    """A job whose start waits until others' runs of it are gone.

    :param abandoned: it won't be started here; a third entry waits in turn.
    :param claiming: agents were asked to stop others' runs of it.
    :param claimed_at: streams of the agents that have not answered yet.
    """

    __slots__ = ("job", "start_at", "abandoned", "claiming", "claimed_at")

    def __init__(self, job: Job, start_at: float) -> None:
        self.job = job
        self.start_at = start_at
        self.abandoned = False
        self.claiming = False
        self.claimed_at: set[int] = set()


class RunEntryCore:
    """Decides for one entry; driven by events, answers with actions."""

    def __init__(self, identity: Identity, rng: Random, now: float) -> None:
        self.identity = identity
        self.counts = Counts()
        self.links = Links(identity.address, identity.incarnation, now)
        self.routes = RouteTable()
        self.dispatcher = Dispatcher(identity.zone, rng, self.counts, now)
        self.stopping = False
        self._stopped_at = 0.0
        self._booted_at = now
        self._informed = False
        self._takings = Takings(now)
        self._delayed: dict[str, Delayed] = {}
        self._unsorted: list[Job] = []
        self._yielding: dict[str, list[int]] = {}
        self._tick_at = now
        self._quiet = False
        self._out: list[RunAction] = []
        self._now = now
        self._handlers: dict[type, Callable] = {
            AddressesRead: self._learn,
            ConfigurationRead: self._read_configuration,
            JobSubmitted: self._submit,
            CallerGone: self._lose_caller,
            JobCancelled: self._cancel,
            StreamOpened: self._open,
            StreamClosed: self._close,
            Received: self._receive,
            StopRequested: self._stop,
            Tick: self._tick,
        }
        self._agent_receivers: dict[type, Callable] = {
            RunOutcome: self.dispatcher.hear_outcome,
            RunBegun: self.dispatcher.hear_begun,
            Room: self._hear_room,
            EndpointNews: self._hear_news,
            Holding: self._hear_holding,
            Claimed: self._hear_claimed,
            Pulse: self._ignore,
        }
        self._peer_receivers: dict[type, Callable] = {
            Pulse: self._hear_pulse,
            Rules: self._hear_rules,
            Peers: self._hear_peers,
            Took: self._hear_took,
            Yield: self._hear_yield,
            Yielded: self._hear_yielded,
            Goodbye: self._hear_goodbye,
        }

    def handle(self, event: object, now: float) -> list[RunAction]:
        """Take one event and return what has to be done."""
        self._now = now
        self._out = []
        self.dispatcher.begin(now, self._out.append)
        self._handlers[type(event)](event)
        self._sort_in_all()
        self._answer_yields()
        self._check_quiet()
        return self._out

    @property
    def next_wakeup(self) -> float:
        """Time at which a ``Tick`` is next needed."""
        return min(self.links.next_wakeup(), self._tick_at)

    @property
    def informed(self) -> bool:
        """Whether it is known what other entries have taken.

        Those that can't be reached for ``GRACE`` are gone for their agents, too,
        which have stopped their runs by then.
        """
        if not self._informed:
            linked = {link.hello.address for link in self._list_peers()}
            known = set(self.links.list_known()) - {self.identity.address}
            linked_all = bool(known) and known <= linked
            self._informed = linked_all or self._now - self._booted_at > GRACE
            if self._informed and known - linked:
                # They may be alive and cut off from here alone.
                self._takings.lose("unreached", self._now)
        return self._informed

    @property
    def ready(self) -> bool:
        """Whether the balancer should send callers here."""
        return bool(self.routes.version) and self.informed and not self.stopping

    def find_queue(self, host: str, path: str) -> QueueRules | None:
        """Find the queue of a request."""
        return self.routes.find(host, path)

    def count_waiting(self, queue: str) -> int:
        """Count a queue's jobs here of which nothing was sent to an agent."""
        return sum(
            job.queue.name == queue and not job.ran
            for job in self.dispatcher.jobs.values()
        )

    def describe(self) -> dict[str, object]:
        """Describe this entry's state for a status page."""
        return {
            "entry": self.identity.process,
            "version": self.routes.version,
            "jobs": len(self.dispatcher.jobs),
            "agents": [
                {"agent": view.address, "open": view.open, "free": list(view.free)}
                for view in self.dispatcher.fleet.views.values()
            ],
            "peers": [link.hello.process for link in self._list_peers()],
        }

    def _note(self, event: str, request: str = "", **fields: object) -> None:
        self._out.append(Note(event, request, fields))

    def _send(self, stream: int, message: Message) -> None:
        self._out.append(Send(stream, message))

    # Jobs

    def _submit(self, event: JobSubmitted) -> None:
        spec = event.spec
        queue = self.routes.get(spec.queue)
        if queue is None:
            self._refuse_early(event, "unknown_queue")
            return
        known = self.dispatcher.jobs.get(spec.job)
        if known is not None and not known.ending:
            # Its caller's first connection broke; it asks again here.
            self.counts.add("jobs_joined")
            self._note("job_joined", spec.job)
            known.callers.append(event.caller)
            known.deadline = self._now + event.patience
            return
        if known is not None or spec.job in self._delayed:
            self._refuse_early(event, "stopping_before")
            return
        job = Job(spec, queue, event.caller, self._now, event.patience)
        if not self.informed:
            # What other entries have taken isn't known yet; it might run twice.
            self._unsorted.append(job)
            return
        self._sort_in(job)

    def _sort_in(self, job: Job) -> None:
        spec = job.spec
        owner = self._takings.find(spec.job)
        if owner:
            self._ask_owner(job, owner)
            return
        if self._takings.is_blind(self._now):
            self._claim(job)
            return
        self._take(job)

    def _sort_in_all(self) -> None:
        if not self._unsorted or not self.informed:
            return
        waiting, self._unsorted = self._unsorted, []
        for job in waiting:
            if job.callers:
                self._sort_in(job)

    def _claim(self, job: Job) -> None:
        """Ask the agents to stop what others run of a job.

        An entry that can't be reached may have taken it. A failure shows as a
        task that runs twice after its caller went from one entry to the other.
        """
        name = job.spec.job
        views = self.dispatcher.fleet.views
        if not views:
            self._take(job)
            return
        delayed = Delayed(job, self._now + LAPSE_SECONDS)
        delayed.claiming = True
        delayed.claimed_at = set(views)
        self._delayed[name] = delayed
        self.counts.add("jobs_delayed", "claimed")
        self._tell_taken(name)
        for stream in views:
            self._send(stream, Claim(name))

    def _hear_claimed(self, view: AgentView, message: Claimed) -> None:
        delayed = self._delayed.get(message.job)
        if delayed is None:
            return
        if view.stream not in delayed.claimed_at:
            return
        delayed.claimed_at.discard(view.stream)
        if delayed.claimed_at:
            return
        delayed.start_at = self.dispatcher.fleet.lapsed_at
        if delayed.start_at <= self._now:
            self._start_now(delayed)

    def _take(self, job: Job) -> None:
        self.dispatcher.submit(job)
        if job.spec.job in self.dispatcher.jobs:
            self._tell_taken(job.spec.job)

    def _tell_taken(self, name: str) -> None:
        for link in self._list_peers():
            self._send(link.stream, Took([name], [0.0]))

    def _refuse_early(self, event: JobSubmitted, reason: str) -> None:
        self.counts.add("jobs_refused", reason)
        self._note("job_refused", event.spec.job, reason=reason)
        job = event.spec.job
        result = JobResult(job, JobEnd.REFUSED, reason, False, COME_BACK)
        self._out.append(Answer(event.caller, result))

    def _ask_owner(self, job: Job, owner: str) -> None:
        name = job.spec.job
        link = self.links.find(owner)
        start_at = self._now + YIELD_SECONDS
        if link is None:
            start_at = self._takings.find_lapse(owner, self._now)
        else:
            self._send(link.stream, Yield(name))
        self.counts.add("jobs_delayed", "owner_gone" if link is None else "asked")
        self._note("job_delayed", name, s=round(start_at - self._now, 3))
        self._delayed[name] = Delayed(job, start_at)
        self._tell_taken(name)

    def _hear_yielded(self, link: Link, message: Yielded) -> None:
        del link
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

    def _start_delayed(self) -> None:
        for name, delayed in list(self._delayed.items()):
            if delayed.start_at > self._now:
                continue
            if delayed.claiming:
                # Whoever hasn't answered by now has let its leases lapse.
                self._start_now(delayed)
                continue
            owner = self._takings.find(name)
            link = self.links.find(owner)
            if link is not None:
                # It answers, but has not said that all is stopped.
                delayed.start_at = self._now + YIELD_SECONDS
                self._send(link.stream, Yield(name))
                continue
            lapse = self._takings.find_lapse(owner, self._now)
            if owner and lapse > self._now:
                delayed.start_at = lapse
                continue
            self._takings.forget(name)
            self._claim_next(delayed)

    def _hear_yield(self, link: Link, message: Yield) -> None:
        job = self.dispatcher.jobs.get(message.job)
        self._yielding.setdefault(message.job, []).append(link.stream)
        self._abandon(message.job)
        if job is not None:
            self.dispatcher.give_up(job, "submitted_elsewhere")

    def _abandon(self, name: str) -> None:
        delayed = self._delayed.get(name)
        if delayed is not None and not delayed.abandoned:
            self.dispatcher.refuse(delayed.job, "submitted_elsewhere")
            delayed.abandoned = True

    def _answer_yields(self) -> None:
        for name, streams in list(self._yielding.items()):
            if name in self.dispatcher.jobs or name in self._delayed:
                continue
            del self._yielding[name]
            for stream in streams:
                self._send(stream, Yielded(name))

    def _lose_caller(self, event: CallerGone) -> None:
        for job in self._unsorted:
            job.callers = [each for each in job.callers if each != event.caller]
        for delayed in list(self._delayed.values()):
            if event.caller in delayed.job.callers:
                del self._delayed[delayed.job.spec.job]
        for job in list(self.dispatcher.jobs.values()):
            if event.caller not in job.callers:
                continue
            job.callers.remove(event.caller)
            if not job.callers:
                self.dispatcher.give_up(job, "caller_gone")

    def _cancel(self, event: JobCancelled) -> None:
        job = self.dispatcher.jobs.get(event.job)
        if job is not None:
            self.dispatcher.give_up(job, "cancelled")

    # Streams

    def _learn(self, event: AddressesRead) -> None:
        before = self.links.list_known()
        self.links.learn(event.addresses, self._now)
        self._dial()
        if self.links.list_known() != before:
            self._tell_entries()

    def _tell_entries(self) -> None:
        peers = Peers(self.links.list_known(), [])
        for link in self.links:
            self._send(link.stream, peers)

    def _dial(self) -> None:
        self._out += [Dial(address) for address in self.links.list_due(self._now)]

    def _list_peers(self) -> list[Link]:
        peers = {
            link.hello.incarnation: link
            for link in self.links
            if link.hello.role == Role.ENTRY
        }
        return list(peers.values())

    def _open(self, event: StreamOpened) -> None:
        hello = event.greeting
        if not isinstance(hello, Hello) or hello.version != PROTOCOL_VERSION:
            self.counts.add("streams_refused", "greeting")
            self._out.append(CloseStream(event.stream, "unknown greeting"))
            return
        link = self.links.open(event.stream, hello, event.address, self._now)
        if link is None:
            self._out.append(CloseStream(event.stream, "self"))
            return
        if not event.address:
            self._send(event.stream, make_hello(self.identity, Role.ENTRY))
        self._note("stream_opened", role=hello.role, process=hello.process)
        if hello.role == Role.AGENT:
            self._open_agent(link)
            return
        self._takings.regain(hello.incarnation)
        before = self.links.list_known()
        self.links.learn([hello.address], self._now)
        self._dial()
        if self.links.list_known() != before:
            self._tell_entries()
        self._send(event.stream, Peers(self.links.list_known(), []))
        # A peer that was started later must know what was taken before.
        self._tell_all_taken(event.stream)
        self._send_rules(event.stream)

    def _tell_all_taken(self, stream: int) -> None:
        taken = [*self.dispatcher.jobs.values()]
        taken += [delayed.job for delayed in self._delayed.values()]
        ages = [self._now - job.arrival for job in taken]
        self._send(stream, Took([job.spec.job for job in taken], ages))

    def _open_agent(self, link: Link) -> None:
        hello = link.hello
        fleet = self.dispatcher.fleet
        old = fleet.find(hello.address)
        if old is not None:
            self._out.append(CloseStream(old.stream, "replaced"))
            self._close(StreamClosed(old.stream))
        fleet.add(link.stream, hello.address, hello.incarnation, hello.zone, self._now)
        self._send(link.stream, Peers(self.links.list_known(), []))

    def _close(self, event: StreamClosed) -> None:
        link = self.links.close(event.stream, event.address, self._now)
        if link is None:
            return
        self.counts.add("streams_lost", link.hello.role)
        self._note("stream_lost", role=link.hello.role, process=link.hello.process)
        view = self.dispatcher.fleet.views.get(event.stream)
        if view is not None:
            self.dispatcher.lose_view(view)
        elif self.links.find(link.hello.incarnation) is None:
            if not link.leaving:
                self._takings.lose(link.hello.incarnation, self._now)
            self.dispatcher.admission.forget(link.hello.incarnation)

    def _drop_link(self, stream: int, reason: str) -> None:
        self.counts.add("streams_closed", reason)
        self._out.append(CloseStream(stream, reason))
        self._close(StreamClosed(stream))

    def _receive(self, event: Received) -> None:
        link = self.links.hear(event.stream, self._now)
        if link is None:
            self._drop_link(event.stream, "silence")
            return
        view = self.dispatcher.fleet.views.get(event.stream)
        receivers = self._agent_receivers if view else self._peer_receivers
        receiver = receivers.get(type(event.message))
        if receiver is None:
            self._drop_link(event.stream, "unexpected message")
            return
        receiver(view or link, event.message)

    def _ignore(self, view: AgentView, message: Message) -> None:
        del view, message

    # Agents

    def _hear_room(self, view: AgentView, room: Room) -> None:
        view.hear_room(room)
        self.dispatcher.dispatch(view.service)

    def _hear_news(self, view: AgentView, news: EndpointNews) -> None:
        if view.news is not None and view.news.instance != news.instance:
            view.health.clear()
        view.hear_news(news)
        self._note("endpoint_news", agent=view.address, open=news.open)
        if news.settled:
            self.dispatcher.settle_agent(view)
        self.dispatcher.dispatch(view.service)

    def _hear_holding(self, view: AgentView, holding: Holding) -> None:
        self.dispatcher.reconcile(view, holding.tasks)

    # Peers

    def _hear_peers(self, link: Link, peers: Peers) -> None:
        del link
        self._learn(AddressesRead(tuple(str(each) for each in peers.entries)))

    def _hear_pulse(self, link: Link, pulse: Pulse) -> None:
        self.dispatcher.admission.hear(link.hello.incarnation, pulse.backlog)

    def _hear_goodbye(self, link: Link, message: Goodbye) -> None:
        del message
        link.leaving = True

    def _hear_took(self, link: Link, message: Took) -> None:
        for name, age in zip(message.jobs, message.ages, strict=False):
            self._takings.note(name, age, link.hello.incarnation, self._now)
            job = self.dispatcher.jobs.get(name)
            if job is not None and self._now - job.arrival > age:
                # While this entry was cut off or suspended, the caller went to
                # another one, which took the job for lost here.
                self.dispatcher.give_up(job, "submitted_elsewhere")

    # Configuration

    def _read_configuration(self, event: ConfigurationRead) -> None:
        self._install(event.configuration, "store")

    def _hear_rules(self, link: Link, rules: Rules) -> None:
        queues = tuple(QueueRules(*fields) for fields in rules.queues)
        configuration = Configuration(rules.version, queues, rules.max_body)
        self._install(configuration, link.hello.process)

    def _install(self, configuration: Configuration, source: str) -> None:
        if not self.routes.install(configuration):
            return
        self.counts.add("configurations_installed")
        self._note("configuration", version=configuration.version, source=source)
        for link in self._list_peers():
            self._send_rules(link.stream)

    def _send_rules(self, stream: int) -> None:
        held = self.routes.configuration
        if held is not None:
            queues = [list(queue) for queue in held.queues]
            self._send(stream, Rules(held.version, queues, held.max_body))

    # Time

    def _tick(self, event: Tick) -> None:
        del event
        for link in self.links.list_silent(self._now):
            self._drop_link(link.stream, "silence")
        self._dial()
        if self._now >= self.links.pulse_at:
            self.links.pulse_at = self._now + PULSE
            backlog = self.dispatcher.measure_backlog()
            for link in self.links:
                self._send(link.stream, Pulse(backlog))
        if self._now >= self._tick_at:
            self._tick_at = self._now + TICK
            self._start_delayed()
            self.dispatcher.check_times()

    def _stop(self, event: StopRequested) -> None:
        del event
        self.stopping = True
        self._stopped_at = self._now
        self.dispatcher.ends_at = self._now + STOP_SECONDS
        self._note("stopping", jobs=len(self.dispatcher.jobs))

    def _end_jobs(self) -> None:
        # Whoever isn't answered now would see its connection cut.
        for job in self._unsorted:
            self.dispatcher.refuse(job, "stopping")
        self._unsorted.clear()
        for delayed in self._delayed.values():
            self.dispatcher.refuse(delayed.job, "stopping")
        self._delayed.clear()
        for job in list(self.dispatcher.jobs.values()):
            self.dispatcher.give_up(job, "stopping")

    def _check_quiet(self) -> None:
        if not self.stopping or self._quiet:
            return
        if self._now >= self.dispatcher.ends_at:
            self._end_jobs()
            self._quiet = True
        elif self._now >= self._stopped_at + UNREADY_SECONDS:
            busy = self.dispatcher.jobs or self._delayed or self._unsorted
            self._quiet = not busy
        if self._quiet:
            for link in self._list_peers():
                # Nothing of this entry's jobs is left; its end is no reason to
                # look for any.
                self._send(link.stream, Goodbye("stopping"))
            # What still arrives is refused, so that nothing is taken and cut.
            self.dispatcher.ends_at = self._now
            self._out.append(Quiet())
