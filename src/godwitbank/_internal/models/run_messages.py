"""Messages between entries and agents about runs that are held under a lease."""

from typing import NamedTuple


class StartRun(NamedTuple):
    """Start one run of a task as soon as the endpoint has free capacity for it.

    :param run: number of this start of the task, from 1.
    :param rank_in: seconds until the run should start at the latest; the run with
        the smallest value is started first.
    :param expected: expected run time, in seconds.
    :param spread: most runs of the task's step at this endpoint; 0 for no limit.
    :param checkpoint: checkpoint from which to resume, or an empty string.
    :param may_park: whether the run may wait at the agent for free capacity. If not,
        it is refused at once, as its entry may know of free capacity elsewhere.
    :param sent_at: lower bound of the agent's clock at the time this was sent. It
        gives the age of the order and shows that the entry was alive then.
    :param priority: 0 is the most urgent; runs that wait start in this order.
    :param preemptible: whether the run may be stopped to start a more urgent one.
    """

    task: str
    run: int
    payload: str
    cpu: int
    memory: int
    gpu: int
    rank_in: float
    expected: float
    spread: int
    checkpoint: str
    may_park: bool
    sent_at: float
    priority: int
    preemptible: bool


class StopRun(NamedTuple):
    """Stop a run, or discard it if it is still waiting for free capacity."""

    task: str
    run: int


class Reserve(NamedTuple):
    """Keep capacity that becomes free for the sender's urgent work for a short time.

    :param priority: starts that are less urgent than this can't take the capacity.
    :param start_in: seconds until the work must start at the latest; negative if it is
        late.
    """

    priority: int
    cpu: int
    memory: int
    gpu: int
    start_in: float


class RunSlow(NamedTuple):
    """A run would end sooner if restarted at an endpoint with free capacity."""

    task: str
    run: int


class RunDoomed(NamedTuple):
    """A run can't end before its endpoint leaves, and should be moved now.

    :param seconds_left: predicted remaining run time, in seconds.
    """

    task: str
    run: int
    seconds_left: float


class RunBegun(NamedTuple):
    """A run that had waited for free capacity was ordered at the endpoint."""

    task: str
    run: int


class RunOutcome(NamedTuple):
    """A run ended or will never start.

    :param end: a ``RunEnd``.
    :param elapsed: seconds from the order to the end, measured by the agent.
    :param waited: seconds for which it waited at the agent for free capacity.
    """

    task: str
    run: int
    end: str
    elapsed: float
    waited: float
    checkpoint: str


class Holding(NamedTuple):
    """Every run of the entry that the agent still holds, sent on a new stream.

    A run that is not listed has ended, or has not started and never will.

    :param clock: the agent's clock, in seconds.
    """

    tasks: list[str]
    clock: float


class EndpointNews(NamedTuple):
    """The state of an agent's endpoint.

    :param accepts_runs: whether it accepts new runs.
    :param reconciled: whether no run is left that an earlier agent process started.
    :param cold: whether the endpoint is still warming up after its start, so that
        runs take longer.
    :param born: Unix time of the endpoint's start in milliseconds; 0 if it is unknown.
    """

    instance: str
    service: str
    cpu: int
    memory: int
    gpu: int
    labels: list[str]
    accepts_runs: bool
    reconciled: bool
    cold: bool
    born: int = 0


class Room(NamedTuple):
    """Free capacity of an endpoint, minus the needs of runs waiting at its agent.

    :param parked: number of runs waiting at the agent.
    :param starts_received: ``StartRun`` frames received on this stream so far.
    """

    cpu: int
    memory: int
    gpu: int
    parked: int
    starts_received: int


class Pulse(NamedTuple):
    """Heartbeat from an agent to an entry.

    :param slowness: run times at the sender's endpoint divided by those that are usual
        there.
    :param clock: the sender's clock, in seconds.
    :param lag: delay of the sender's event loop, in seconds.
    :param speed_factor: run times that are usual at the sender's endpoint divided by
        the expected run times.
    :param speed_runs: number of runs from which the sender learnt that factor.
    """

    slowness: float
    clock: float
    lag: float
    speed_factor: float = 1.0
    speed_runs: int = 0


class EntryPulse(NamedTuple):
    """Heartbeat between entries, with the sender's load by queue.

    Each row begins with the key of a queue. Queues that are not listed have no load.

    :param waiting: work that waits at the sender, in hundredths of a core-second; for
        each of the time horizons that all entries share, what is added to the one
        before. Horizons at the end that add nothing are left out.
    :param rates: what callers asked for and were given, in hundredths of a core; empty
        in most heartbeats.
    :param lag: delay of the sender's event loop, in seconds; infinite if the sender
        accepts no jobs from other entries.
    """

    waiting: list[list[int]]
    rates: list[list[int]]
    lag: float


class Alive(NamedTuple):
    """Heartbeat from an entry to an agent.

    :param clock: lower bound of the agent's clock at the time this was sent. A
        heartbeat that was delayed in transit counts for that time, however late it
        arrives.
    """

    clock: float


class Probe(NamedTuple):
    """Request an immediate heartbeat, because another stream has timed out.

    :param clock: the sender's clock, in seconds.
    """

    clock: float


class Rules(NamedTuple):
    """An accepted configuration, each queue as a list of its fields."""

    version: int
    queues: list[list]
    max_body: int


class Evacuated(NamedTuple):
    """All availability zones whose endpoints get no new runs.

    :param revision: the store's revision at which this was read; a receiver never
        replaces a newer state by an older one.
    """

    zones: list[str]
    revision: int


class Took(NamedTuple):
    """Jobs that an entry has accepted from their callers.

    :param ages: seconds since the entry accepted each job; the latest entry to
        accept a job owns it.
    :param owner: incarnation of the entry that accepted them, if the sender relays
        what it knows of an entry that is gone; empty for the sender's own jobs.
    """

    jobs: list[str]
    ages: list[float]
    owner: str


class Yield(NamedTuple):
    """Request that a job's former owner stop it: its caller came to the sender.

    :param owner: incarnation of the entry that owns the job; empty if that is the
        receiver. If the sender can't reach the owner, the receiver relays this.
    """

    job: str
    owner: str


class Yielded(NamedTuple):
    """No run of the job that the sender ordered is left."""

    job: str


class Locate(NamedTuple):
    """Ask whether the receiver can reach an entry that the sender can't reach.

    If so, the receiver tells the sender which jobs that entry accepts from callers.
    """

    address: str


class Located(NamedTuple):
    """Answer to ``Locate``: whether the sender can reach an entry.

    :param incarnation: incarnation of that entry, if the sender can reach it or
        could before the entry was lost.
    :param age: for a lost entry, seconds since the last time at which it may have
        been alive, as far as the sender knows; negative if the sender never had
        contact with it.
    """

    address: str
    reachable: bool
    incarnation: str
    age: float


class Forward(NamedTuple):
    """Run a job for the sender, to which the job's caller came.

    :param steps: the job's steps, each as a list of its fields.
    :param timeout_seconds: seconds for which its caller waits.
    :param acquired: whether the sender had acquired the job; if so, the right to
        start it is transferred to the receiver.
    """

    job: str
    queue: str
    payload: str
    steps: list[list]
    timeout_seconds: float
    acquired: bool


class Forwarded(NamedTuple):
    """Result of a job that the receiver had forwarded to the sender.

    :param end: a ``JobEnd``.
    :param ran: whether any task may have started.
    :param retry_after: seconds after which a new submission may succeed; negative if
        waiting alone doesn't help.
    """

    job: str
    end: str
    reason: str
    ran: bool
    retry_after: float


class Withdraw(NamedTuple):
    """No caller is waiting any more for a job that the sender had forwarded."""

    job: str


class Claim(NamedTuple):
    """Stop runs of a job that other entries ordered: its caller came to the sender."""

    job: str


class Claimed(NamedTuple):
    """Answer to ``Claim``: runs of the job ordered by other entries are stopping.

    :param all_ended: whether none of these runs is left and none can start; otherwise
        another message follows as soon as this is so.
    :param claim_lost: whether another entry claimed the job at the same moment and
        owns it.
    """

    job: str
    all_ended: bool
    claim_lost: bool


class Acquire(NamedTuple):
    """Ask the job's home whether an entry may start it.

    :param owner: incarnation of the entry that wants the job.
    :param request_number: increases with each request of that entry.
    :param acting: whether the receiver decides in place of the job's home, which has
        just joined and doesn't know yet which entry owns which job.
    :param hops: how many more times the request may be forwarded.
    """

    job: str
    owner: str
    request_number: int
    acting: bool
    hops: int


class Acquired(NamedTuple):
    """Answer of a job's home to ``Acquire``.

    :param requester: incarnation of the entry that wanted the job.
    :param request_number: number of the request that this answers.
    :param owner: incarnation of the entry that owns the job: the requester's own if
        it may start the job; empty if it must ask again.
    """

    job: str
    requester: str
    request_number: int
    owner: str


class Release(NamedTuple):
    """Tell the home of some jobs that nothing of them is left at an entry.

    :param request_numbers: for each job, the number of the request by which the
        entry acquired it; 0 if it sent none.
    :param owner: the entry's incarnation.
    :param hops: how many more times the message may be forwarded.
    """

    jobs: list[str]
    request_numbers: list[int]
    owner: str
    hops: int


class Join(NamedTuple):
    """Let a caller of the sender wait for a job that the receiver owns.

    The answer is ``Forwarded`` with the result, or ``Yielded`` if the receiver doesn't
    own the job.

    :param timeout_seconds: seconds for which the caller waits.
    """

    job: str
    timeout_seconds: float
