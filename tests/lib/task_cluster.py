"""Cluster of entry and agent cores, connected by streams that a test controls.

The cores make all decisions. Their actions become messages on streams, which a test can
delay, cut, lose or repeat, and every start of a task is recorded. This serves to check
decisions; it does not simulate the performance of a cluster.
"""

from collections import Counter, deque
from pathlib import Path
from random import Random
from typing import Any

from godwitbank._internal.core.agent import AgentCore
from godwitbank._internal.core.entry import EntryCore
from godwitbank._internal.core.events import (
    ClaimsFailed,
    ClaimsWritten,
    CloseStream,
    Dial,
    DocumentRead,
    EndpointAnnounced,
    EndpointLeft,
    Received,
    ReleaseClaims,
    Reply,
    RunEnded,
    RunTask,
    Send,
    StreamClosed,
    StreamOpened,
    Submitted,
    TableRead,
    Tick,
    WriteClaims,
)
from godwitbank._internal.core.identity import Identity, Timing
from godwitbank._internal.models.messages import (
    PROTOCOL_VERSION,
    Ending,
    Hello,
    Role,
    Start,
    Welcome,
)
from godwitbank._internal.models.outcomes import Complete, Failed, Ran
from godwitbank._internal.models.tasks import Submission, TaskKey, TaskSpec
from godwitbank._internal.network.codec import decode, encode

DESK_DOCUMENT = (Path(__file__).parent.parent.parent / "demo" / "desk.toml").read_text()
LEASE_SECONDS = 1e9


class Process:
    """A process with its core, its state and the events that are queued for it."""

    def __init__(self, name: str, core: Any) -> None:
        self.name = name
        self.core = core
        self.paused = False
        self.alive = True
        self.pending_events: deque[object] = deque()
        self.highest_revisions: dict[str, int] = {}


class Stream:
    """A stream between two processes, with a queue of frames in each direction.

    All pairs of attributes belong to the dialling end first, then to the accepting one.

    :param dialler: process that opens the stream.
    :param acceptor: process that accepts it.
    :param address: address that was dialled.
    """

    def __init__(self, dialler: Process, acceptor: Process, address: str) -> None:
        self.ends = (dialler, acceptor)
        self.address = address
        self.queues: tuple[deque[bytes], deque[bytes]] = (deque(), deque())
        self.loses_frames = [False, False]
        self.opened = [False, False]
        self.closed = [False, False]


class TaskCluster:
    """Processes, their streams, a table of claims and a record of all starts.

    :param entries: number of entries.
    :param agents: number of agents, each with one endpoint.
    :param slots: tasks that an endpoint runs at once.
    """

    def __init__(self, entries: int = 2, agents: int = 2, slots: int = 2) -> None:
        self.now = 1000.0
        self.slots = slots
        self.random = Random(7)
        self.timing = Timing()
        self.processes: dict[str, Process] = {}
        self.streams: dict[int, Stream] = {}
        self.last_number = 0
        self.table: dict[str, str] = {}
        self.table_down = False
        self.pending_claim_writes: deque[tuple[Process, Any]] = deque()
        self.revision = 1
        self.document = DESK_DOCUMENT
        self.submissions: dict[str, Submission] = {}
        self.answers: dict[str, Complete | Failed] = {}
        self.start_counts: Counter[tuple[str, int]] = Counter()
        self.request_id_counts: Counter[str] = Counter()
        self.running: dict[str, dict[TaskKey, RunTask]] = {}
        self.left_agents: set[str] = set()
        self.incarnations = 0
        for number in range(agents):
            self.start_agent(f"agent-{number}")
        for number in range(entries):
            self.start_entry(f"entry-{number}")
        self.deliver_all()

    # Processes

    def _make_identity(self, name: str) -> Identity:
        self.incarnations += 1
        return Identity(name, f"{name}/{self.incarnations}", name, "a")

    def start_entry(self, name: str) -> None:
        """Start an entry, which replaces a process of the same name without notice."""
        core = EntryCore(self._make_identity(name), self.timing, Random(3), self.now)
        process = self.processes[name] = Process(name, core)
        self.deliver_event(process, TableRead())
        if not self.table_down:
            self.deliver_event(
                process, DocumentRead("desk", self.revision, self.document)
            )
        for other in list(self.processes.values()):
            if other is not process:
                self._announce_address(process, other)

    def start_agent(self, name: str) -> None:
        """Start an agent and its endpoint."""
        core = AgentCore(self._make_identity(name), self.timing, self.now)
        process = self.processes[name] = Process(name, core)
        self.running[name] = {}
        self.left_agents.discard(name)
        self.deliver_event(
            process, EndpointAnnounced("desk", self.slots, LEASE_SECONDS)
        )
        for other in list(self.processes.values()):
            if isinstance(other.core, EntryCore):
                self._announce_address(other, process)

    def _announce_address(self, entry: Process, other: Process) -> None:
        role = Role.ENTRY if isinstance(other.core, EntryCore) else Role.AGENT
        hello = Hello(PROTOCOL_VERSION, role, other.name, "i", other.name, "a")
        self.last_number += 1
        self.deliver_event(entry, StreamOpened(-self.last_number, hello))
        self.deliver_event(entry, StreamClosed(-self.last_number))

    def kill(self, name: str) -> None:
        """Kill a process, and close its streams."""
        process = self.processes[name]
        process.alive = False
        for stream in self.streams.values():
            for end in (0, 1):
                if stream.ends[end] is process:
                    stream.closed[end] = True
                    stream.queues[1 - end].append(b"")

    def deliver_event(self, process: Process, event: object) -> None:
        """Pass an event to a process, or queue it while the process is paused."""
        if not process.alive:
            return
        if process.paused:
            process.pending_events.append(event)
            return
        self._execute(process, process.core.handle(event, self.now))
        self.check_revisions(process)

    def resume(self, name: str) -> None:
        """Resume a paused process, which then handles the queued events."""
        process = self.processes[name]
        process.paused = False
        while process.pending_events:
            self.deliver_event(process, process.pending_events.popleft())

    # Actions

    def _execute(self, process: Process, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(process, action)
            elif isinstance(action, Dial):
                self._dial(process, action.address)
            elif isinstance(action, CloseStream):
                self._close(process, action.stream)
            elif isinstance(action, Reply):
                self._reply(action.outcome)
            elif isinstance(action, RunTask):
                self._start_task(process, action)
            elif isinstance(action, WriteClaims):
                self.pending_claim_writes.append((process, action))
            elif isinstance(action, ReleaseClaims) and not self.table_down:
                for key, token in action.claims.items():
                    if self.table.get(key) == token:
                        del self.table[key]

    def _send(self, process: Process, action: Send) -> None:
        stream = self.streams.get(action.stream)
        if stream is None:
            return
        end = 0 if stream.ends[0] is process else 1
        if not stream.loses_frames[end] and not stream.closed[end]:
            stream.queues[1 - end].append(encode(action.message)[4:])

    def _dial(self, process: Process, address: str) -> None:
        target = self.processes.get(address)
        if target is None or not target.alive:
            process.pending_events.append(StreamClosed(0, address))
            return
        self.last_number += 1
        stream = self.streams[self.last_number] = Stream(process, target, address)
        core = process.core
        hello = Hello(
            PROTOCOL_VERSION,
            Role.ENTRY,
            process.name,
            core.identity.incarnation,
            process.name,
            "a",
        )
        stream.queues[1].append(encode(hello)[4:])

    def _close(self, process: Process, number: int) -> None:
        stream = self.streams.get(number)
        if stream is None:
            return
        end = 0 if stream.ends[0] is process else 1
        stream.closed[end] = True
        if not stream.loses_frames[end]:
            stream.queues[1 - end].append(b"")

    def reset_stream(self, number: int, end: int) -> None:
        """Reset a stream at one end; the other end first reads the queued frames.

        :param number: number of the stream.
        :param end: 0 for the dialling end, 1 for the accepting one.
        """
        stream = self.streams[number]
        stream.closed[end] = True
        stream.queues[1 - end].append(b"")
        self.deliver_event(stream.ends[end], StreamClosed(number))

    def _reply(self, outcome: Complete | Failed) -> None:
        assert outcome.submission not in self.answers, "a submission was answered twice"
        self.answers[outcome.submission] = outcome
        if isinstance(outcome, Complete):
            submitted_tasks = self.submissions[outcome.submission].tasks
            assert len(outcome.answers) == len(submitted_tasks)
            for answer, task in zip(outcome.answers, submitted_tasks, strict=True):
                assert answer.body == task.payload, (
                    "a task got the answer to another task"
                )
        else:
            self.check_not_run()

    def _start_task(self, process: Process, task: RunTask) -> None:
        name = (task.key.submission, task.key.position)
        self.start_counts[name] += 1
        if task.request_id:
            self.request_id_counts[task.request_id] += 1
        running = self.running[process.name]
        running[task.key] = task
        assert self.start_counts[name] == 1, "a task was started twice"
        if task.request_id:
            assert self.request_id_counts[task.request_id] == 1, (
                "a request id was started twice"
            )
        assert len(running) <= self.slots, (
            "an endpoint runs more tasks than it has slots"
        )
        assert process.name not in self.left_agents, (
            "a task was started after the endpoint left"
        )
        self.check_not_run()

    # Checks

    def check_not_run(self) -> None:
        """Check that no task started whose answer reports it as not run."""
        for submission, outcome in self.answers.items():
            if isinstance(outcome, Failed) and outcome.ran is Ran.NOT_RUN:
                tasks = self.submissions[submission].tasks
                ran = [
                    n for n in range(len(tasks)) if self.start_counts[(submission, n)]
                ]
                assert not ran, f"tasks reported as not run were started: {outcome}"

    def check_revisions(self, process: Process) -> None:
        """Check that no revision of a configuration at a process decreases."""
        for service, revision in process.core.catalog.list_revisions().items():
            previous_revision = process.highest_revisions.get(service, 0)
            assert revision >= previous_revision, (
                "the revision of a configuration decreased"
            )
            process.highest_revisions[service] = revision

    # Streams

    def list_deliverable(self) -> list[tuple[int, int]]:
        """List the open stream ends with queued frames, by number and end."""
        return [
            (number, end)
            for number, stream in self.streams.items()
            for end in (0, 1)
            if stream.queues[end] and not stream.closed[end]
        ]

    def deliver(self, number: int, end: int, repeat: bool = False) -> None:
        """Deliver the next frame at one end of a stream.

        :param repeat: whether to deliver a start order twice.
        """
        stream = self.streams[number]
        process = stream.ends[end]
        body = stream.queues[end].popleft()
        if not body:
            stream.closed[end] = True
            self.deliver_event(process, StreamClosed(number))
            return
        message = decode(body)
        if not stream.opened[end]:
            stream.opened[end] = True
            assert isinstance(message, Hello | Welcome)
            address = stream.address if end == 0 else ""
            self.deliver_event(process, StreamOpened(number, message, address))
            return
        self.deliver_event(process, Received(number, message))
        if repeat and isinstance(message, Start):
            self.deliver_event(process, Received(number, message))

    def flush_events(self) -> None:
        """Deliver the events of failed connection attempts."""
        for process in list(self.processes.values()):
            if not process.paused:
                for _ in range(len(process.pending_events)):
                    self.deliver_event(process, process.pending_events.popleft())

    def pass_time(self, seconds: float) -> None:
        """Advance the clock; every process that is not paused gets a tick."""
        self.now += seconds
        for process in list(self.processes.values()):
            if not process.paused:
                self.deliver_event(process, Tick())
        self.flush_events()

    def deliver_all(self, rounds: int = 12, except_stream: int = 0) -> None:
        """Deliver all frames in several rounds, and advance the clock between them.

        :param rounds: number of rounds.
        :param except_stream: number of a stream whose frames are not delivered.
        """
        for _ in range(rounds):
            for _ in range(400):
                waiting = [
                    each for each in self.list_deliverable() if each[0] != except_stream
                ]
                if not waiting:
                    break
                for number, end in waiting:
                    if self.streams[number].queues[end]:
                        self.deliver(number, end)
            self.finish_claims()
            self.pass_time(0.26)

    # Table

    def finish_claims(self, effect: bool = True, answer: bool = True) -> None:
        """Finish the pending writes of claims.

        :param effect: whether the writes reach the table.
        :param answer: whether the answers reach the entries.
        """
        effect = effect and not self.table_down
        for _ in range(len(self.pending_claim_writes)):
            process, action = self.pending_claim_writes.popleft()
            lost = {}
            if effect:
                for key, token in action.claims.items():
                    holder = self.table.get(key)
                    if holder in (None, token, action.supersedes.get(key)):
                        self.table[key] = token
                    else:
                        lost[key] = holder
            if effect and answer:
                written = {token: key for key, token in action.claims.items()}
                event: object = ClaimsWritten(action.batch, lost, written)
            else:
                event = ClaimsFailed(action.batch)
            self.deliver_event(process, event)

    # Jobs and runs

    def submit(self, entry: str, count: int, key: str = "") -> str:
        """Submit a job; with a key, its first task is not idempotent."""
        self.last_number += 1
        name = f"s{self.last_number}"
        tasks = tuple(
            TaskSpec("renewal", key.encode(), key)
            if key and not position
            else TaskSpec("size-change", f"{name}:{position}".encode())
            for position in range(count)
        )
        submission = Submission(name, "desk", tasks, self.now + 20)
        self.submissions[name] = submission
        self.deliver_event(self.processes[entry], Submitted(submission))
        return name

    def end_run(self, agent: str, key: TaskKey, answered: bool = True) -> None:
        """Let an endpoint answer a task, or fail."""
        task = self.running[agent].pop(key)
        ending = Ending.ANSWERED if answered else Ending.ENDPOINT_FAILED
        event = RunEnded(key, ending, 200, "text/plain", task.payload, 0.1)
        self.deliver_event(self.processes[agent], event)

    def leave(self, agent: str) -> None:
        """Let an endpoint announce to its agent that it leaves."""
        self.deliver_event(self.processes[agent], EndpointLeft())
        if not self.processes[agent].paused:
            self.left_agents.add(agent)

    def apply_revision(self, entry: str) -> None:
        """Deliver a new revision of the configuration to one entry."""
        self.revision += 1
        self.document = DESK_DOCUMENT.replace(
            "slots = 8", f"slots = {2 + self.revision % 7}"
        )
        self.deliver_event(
            self.processes[entry], DocumentRead("desk", self.revision, self.document)
        )
