"""Messages about leased runs between entries and agents."""

from typing import NamedTuple


class StartRun(NamedTuple):
    """Start one run of a task as soon as there is room for it.

    :param run: counts the task's starts, from 1.
    :param rank_in: seconds until the run should start at the latest; the
        smallest is served first.
    :param expected: run time expected, in seconds.
    :param spread: most runs of the task's step at this endpoint; 0: any.
    :param checkpoint: where to resume, or an empty string.
    :param may_park: whether it may wait at the agent for room. Otherwise it comes back
        at once if there is none: its entry may know of room elsewhere.
    :param sent_at: what the agent's clock showed at least when this was sent. It tells
        the order's age, and proves that its entry lived then.
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


class StopRun(NamedTuple):
    """Stop a run, or forget it if it waits for room."""

    task: str
    run: int


class RunSlow(NamedTuple):
    """A run would end sooner if it began anew where there is room for it."""

    task: str
    run: int


class RunBegun(NamedTuple):
    """A run that had to wait for room was ordered at the endpoint."""

    task: str
    run: int


class RunOutcome(NamedTuple):
    """A run ended or will never start.

    :param end: a ``RunEnd``.
    :param elapsed: seconds from the order to the end, as the agent saw it.
    :param waited: seconds it waited at the agent for room.
    """

    task: str
    run: int
    end: str
    elapsed: float
    waited: float
    checkpoint: str


class Holding(NamedTuple):
    """Every run of the entry that the agent still holds, on a new stream.

    What is missing here has ended or never started, and never will.

    :param clock: the agent's clock, in seconds.
    """

    tasks: list[str]
    clock: float


class EndpointNews(NamedTuple):
    """What stands behind an agent.

    :param accepts_runs: whether it takes new runs.
    :param reconciled: whether everything a former agent had started is gone.
    :param cold: whether runs take longer there for a while after its start.
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


class Room(NamedTuple):
    """Free resources at an endpoint, less what waits for them at its agent.

    :param parked: runs that wait at the agent.
    :param starts_received: ``StartRun`` frames received on this stream so far.
    """

    cpu: int
    memory: int
    gpu: int
    parked: int
    starts_received: int


class Pulse(NamedTuple):
    """Proof of life, with what the receiver needs to know often.

    :param backlog: core-seconds of work that waits at the sender and must start
        within each of the horizons all entries share; empty from agents.
    :param slowness: how many times as long runs take at the sender's endpoint as
        was expected; 1 from entries.
    :param clock: the sender's clock, in seconds.
    :param lag: how late the sender's event loop runs, in seconds; infinite where it
        takes no jobs of other entries.
    """

    backlog: list[float]
    slowness: float
    clock: float
    lag: float


class Alive(NamedTuple):
    """Proof of an entry's life to an agent.

    :param clock: what the agent's clock showed at least when this was sent. A proof
        that was held up on its way is as old as that, however late it arrives.
    """

    clock: float


class Probe(NamedTuple):
    """Asks for a proof of life at once, as another stream has fallen silent.

    :param clock: the sender's clock, in seconds.
    """

    clock: float


class Rules(NamedTuple):
    """An accepted configuration, each queue as a list of its fields."""

    version: int
    queues: list[list]
    max_body: int


class Evacuated(NamedTuple):
    """The availability zones whose endpoints get no new runs, all of them.

    :param revision: the store's revision as of which this held; newer knowledge is
        never undone by older.
    """

    zones: list[str]
    revision: int


class Took(NamedTuple):
    """Jobs an entry has taken from their callers.

    :param ages: seconds since it took each of them; the newest taking counts.
    :param owner: incarnation of the entry that took them, where the sender passes on
        what it heard of one that is gone; empty for the sender's own.
    """

    jobs: list[str]
    ages: list[float]
    owner: str


class Yield(NamedTuple):
    """The caller of a job came to the sender; stop the job where it was.

    :param owner: incarnation of the entry that has it; empty if it is the receiver.
        One that the sender can't reach is asked through the receiver.
    """

    job: str
    owner: str


class Yielded(NamedTuple):
    """Nothing of the job runs any more by the sender's orders."""

    job: str


class Locate(NamedTuple):
    """Ask whether an entry that the sender can't reach is reached by the receiver.

    If so, the sender is told what that entry takes from callers.
    """

    address: str


class Located(NamedTuple):
    """Whether the sender reaches an entry.

    :param incarnation: of that entry, if it is reached, or was before it was lost.
    :param age: seconds since the entry that was lost can have lived, as the sender
        knows; negative if it never met it.
    """

    address: str
    reachable: bool
    incarnation: str
    age: float


class Forward(NamedTuple):
    """Serve a job whose caller came to the sender.

    :param steps: the job's steps, each as a list of its fields.
    :param timeout_seconds: seconds its caller waits.
    :param acquired: whether the sender had acquired the job; its right goes along.
    """

    job: str
    queue: str
    payload: str
    steps: list[list]
    timeout_seconds: float
    acquired: bool


class Forwarded(NamedTuple):
    """How a job ended that the receiver had forwarded.

    :param end: a ``JobEnd``.
    :param ran: whether any task may have started.
    :param retry_after: seconds after which submitting again may help; negative where
        time alone doesn't.
    """

    job: str
    end: str
    reason: str
    ran: bool
    retry_after: float


class Withdraw(NamedTuple):
    """Nobody waits for a job any more that the sender had forwarded."""

    job: str


class Claim(NamedTuple):
    """The caller of a job came to the sender; stop others' runs of it here."""

    job: str


class Claimed(NamedTuple):
    """What runs of a job here by the orders of others was told to stop.

    :param all_ended: whether nothing of it is left, nor will be; else another message
        follows once that is so.
    :param claim_lost: whether another entry claimed the job at the same moment and
        has it.
    """

    job: str
    all_ended: bool
    claim_lost: bool


class Acquire(NamedTuple):
    """Ask the job's home whether an entry may start it.

    :param owner: incarnation of the entry that wants it.
    :param request_number: counts the owner's requests.
    :param acting: whether the receiver decides in place of the job's home, which has
        just joined and doesn't know yet who has what.
    :param hops: how often it may still be passed on.
    """

    job: str
    owner: str
    request_number: int
    acting: bool
    hops: int


class Acquired(NamedTuple):
    """The home's answer.

    :param requester: incarnation of the entry that wanted the job.
    :param request_number: of the request.
    :param owner: incarnation of the entry that has it; the asker's if it may start;
        empty if it has to ask again.
    """

    job: str
    requester: str
    request_number: int
    owner: str


class Release(NamedTuple):
    """Tell the home of jobs that nothing of them is left at an entry.

    :param request_numbers: of the requests by which it had them; 0 where it never
        asked.
    :param owner: the entry's incarnation.
    :param hops: how often it may still be passed on.
    """

    jobs: list[str]
    request_numbers: list[int]
    owner: str
    hops: int


class Join(NamedTuple):
    """Let a caller of the sender wait for a job that the receiver has.

    ``Forwarded`` tells the result; ``Yielded`` that the receiver doesn't have it.

    :param timeout_seconds: seconds the caller waits.
    """

    job: str
    timeout_seconds: float
