"""Several cores and a wire between them, all under a test's control.

Nothing here decides anything: cores get events, their actions become messages
on a wire that the test may delay, cut, silence or repeat, and every start is
written down. It checks decisions; it is no simulator of a cluster.
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
    """One process: a core, whether it is paused, and what waits for it."""

    def __init__(self, name: str, core: Any) -> None:
        self.name = name
        self.core = core
        self.paused = False
        self.alive = True
        self.pending_events: deque[object] = deque()
        self.highest_revisions: dict[str, int] = {}


class Stream:
    """One stream between two processes, a queue each way."""

    def __init__(self, dialler: Process, acceptor: Process, address: str) -> None:
        self.ends = (dialler, acceptor)
        self.address = address
        self.queues: tuple[deque[bytes], deque[bytes]] = (deque(), deque())
        self.loses_frames = [False, False]
        self.opened = [False, False]
        self.closed = [False, False]


class TaskCluster:
    """Processes, wires, a table and a record of starts."""

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

    def _identify(self, name: str) -> Identity:
        self.incarnations += 1
        return Identity(name, f"{name}/{self.incarnations}", name, "a")

    def start_entry(self, name: str) -> None:
        """Start an entry; the one it replaces is gone without a word."""
        core = EntryCore(self._identify(name), self.timing, Random(3), self.now)
        process = self.processes[name] = Process(name, core)
        self.deliver_event(process, TableRead())
        if not self.table_down:
            self.deliver_event(
                process, DocumentRead("desk", self.revision, self.document)
            )
        for other in list(self.processes.values()):
            if other is not process:
                self._introduce(process, other)

    def start_agent(self, name: str) -> None:
        """Start an agent with an endpoint beside it."""
        core = AgentCore(self._identify(name), self.timing, self.now)
        process = self.processes[name] = Process(name, core)
        self.running[name] = {}
        self.left_agents.discard(name)
        self.deliver_event(
            process, EndpointAnnounced("desk", self.slots, LEASE_SECONDS)
        )
        for other in list(self.processes.values()):
            if isinstance(other.core, EntryCore):
                self._introduce(other, process)

    def _introduce(self, entry: Process, other: Process) -> None:
        role = Role.ENTRY if isinstance(other.core, EntryCore) else Role.AGENT
        hello = Hello(PROTOCOL_VERSION, role, other.name, "i", other.name, "a")
        self.last_number += 1
        self.deliver_event(entry, StreamOpened(-self.last_number, hello))
        self.deliver_event(entry, StreamClosed(-self.last_number))

    def kill(self, name: str) -> None:
        """End a process; its streams end with it."""
        process = self.processes[name]
        process.alive = False
        for wire in self.streams.values():
            for end in (0, 1):
                if wire.ends[end] is process:
                    wire.closed[end] = True
                    wire.queues[1 - end].append(b"")

    def deliver_event(self, process: Process, event: object) -> None:
        """Hand an event to a process, now or when it wakes."""
        if not process.alive:
            return
        if process.paused:
            process.pending_events.append(event)
            return
        self._perform(process, process.core.handle(event, self.now))
        self.check_revisions(process)

    def resume(self, name: str) -> None:
        """Let a paused process run; what waited for it comes first."""
        process = self.processes[name]
        process.paused = False
        while process.pending_events:
            self.deliver_event(process, process.pending_events.popleft())

    # Actions

    def _perform(self, process: Process, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._write(process, action)
            elif isinstance(action, Dial):
                self._dial(process, action.address)
            elif isinstance(action, CloseStream):
                self._close(process, action.stream)
            elif isinstance(action, Reply):
                self._reply(action.outcome)
            elif isinstance(action, RunTask):
                self._run(process, action)
            elif isinstance(action, WriteClaims):
                self.pending_claim_writes.append((process, action))
            elif isinstance(action, ReleaseClaims) and not self.table_down:
                for key, token in action.claims.items():
                    if self.table.get(key) == token:
                        del self.table[key]

    def _write(self, process: Process, action: Send) -> None:
        wire = self.streams.get(action.stream)
        if wire is None:
            return
        end = 0 if wire.ends[0] is process else 1
        if not wire.loses_frames[end] and not wire.closed[end]:
            wire.queues[1 - end].append(encode(action.message)[4:])

    def _dial(self, process: Process, address: str) -> None:
        target = self.processes.get(address)
        if target is None or not target.alive:
            process.pending_events.append(StreamClosed(0, address))
            return
        self.last_number += 1
        wire = self.streams[self.last_number] = Stream(process, target, address)
        core = process.core
        hello = Hello(
            PROTOCOL_VERSION,
            Role.ENTRY,
            process.name,
            core.identity.incarnation,
            process.name,
            "a",
        )
        wire.queues[1].append(encode(hello)[4:])

    def _close(self, process: Process, stream: int) -> None:
        wire = self.streams.get(stream)
        if wire is None:
            return
        end = 0 if wire.ends[0] is process else 1
        wire.closed[end] = True
        if not wire.loses_frames[end]:
            wire.queues[1 - end].append(b"")

    def reset_stream(self, number: int, end: int) -> None:
        """Let one end see a stream die; the other has yet to read up to it."""
        wire = self.streams[number]
        wire.closed[end] = True
        wire.queues[1 - end].append(b"")
        self.deliver_event(wire.ends[end], StreamClosed(number))

    def _reply(self, outcome: Complete | Failed) -> None:
        assert outcome.submission not in self.answers, "answered twice"
        self.answers[outcome.submission] = outcome
        if isinstance(outcome, Complete):
            wanted = self.submissions[outcome.submission].tasks
            assert len(outcome.answers) == len(wanted)
            for answer, task in zip(outcome.answers, wanted, strict=True):
                assert answer.body == task.payload, "an answer to another task"
        else:
            self.check_not_run()

    def _run(self, process: Process, task: RunTask) -> None:
        name = (task.key.submission, task.key.position)
        self.start_counts[name] += 1
        if task.request_id:
            self.request_id_counts[task.request_id] += 1
        running = self.running[process.name]
        running[task.key] = task
        assert self.start_counts[name] == 1, "a task started twice"
        if task.request_id:
            assert self.request_id_counts[task.request_id] == 1, (
                "a request id ran twice"
            )
        assert len(running) <= self.slots, "more tasks than slots"
        assert process.name not in self.left_agents, "a start after leaving"
        self.check_not_run()

    # Checks

    def check_not_run(self) -> None:
        """Check every answer that says "not run" against the record."""
        for submission, outcome in self.answers.items():
            if isinstance(outcome, Failed) and outcome.ran is Ran.NOT_RUN:
                tasks = self.submissions[submission].tasks
                ran = [
                    n for n in range(len(tasks)) if self.start_counts[(submission, n)]
                ]
                assert not ran, f"not run is false: {outcome}"

    def check_revisions(self, process: Process) -> None:
        """Check that no process ever holds a lower revision than before."""
        for service, revision in process.core.catalog.list_revisions().items():
            before = process.highest_revisions.get(service, 0)
            assert revision >= before, "a configuration reverted"
            process.highest_revisions[service] = revision

    # Wire

    def list_deliverable(self) -> list[tuple[int, int]]:
        """List wire ends at which something waits."""
        return [
            (number, end)
            for number, wire in self.streams.items()
            for end in (0, 1)
            if wire.queues[end] and not wire.closed[end]
        ]

    def deliver(self, number: int, end: int, repeat: bool = False) -> None:
        """Deliver the next message at a wire's end."""
        wire = self.streams[number]
        process = wire.ends[end]
        body = wire.queues[end].popleft()
        if not body:
            wire.closed[end] = True
            self.deliver_event(process, StreamClosed(number))
            return
        message = decode(body)
        if not wire.opened[end]:
            wire.opened[end] = True
            assert isinstance(message, Hello | Welcome)
            address = wire.address if end == 0 else ""
            self.deliver_event(process, StreamOpened(number, message, address))
            return
        self.deliver_event(process, Received(number, message))
        if repeat and isinstance(message, Start):
            self.deliver_event(process, Received(number, message))

    def flush_events(self) -> None:
        """Hand over what failed dials left behind."""
        for process in list(self.processes.values()):
            if not process.paused:
                for _ in range(len(process.pending_events)):
                    self.deliver_event(process, process.pending_events.popleft())

    def pass_time(self, seconds: float) -> None:
        """Let time pass; every process that is not paused gets a tick."""
        self.now += seconds
        for process in list(self.processes.values()):
            if not process.paused:
                self.deliver_event(process, Tick())
        self.flush_events()

    def deliver_all(self, rounds: int = 12, except_stream: int = 0) -> None:
        """Deliver everything, but on one wire, with a little time between."""
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
        """Let waiting claim writes take effect, be answered, both or neither."""
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

    # Work

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
        """Let an endpoint answer, or fail."""
        task = self.running[agent].pop(key)
        ending = Ending.ANSWERED if answered else Ending.ENDPOINT_FAILED
        event = RunEnded(key, ending, 200, "text/plain", task.payload, 0.1)
        self.deliver_event(self.processes[agent], event)

    def leave(self, agent: str) -> None:
        """Let an endpoint say that it leaves."""
        self.deliver_event(self.processes[agent], EndpointLeft())
        if not self.processes[agent].paused:
            self.left_agents.add(agent)

    def apply_revision(self, entry: str) -> None:
        """Accept a new revision through one entry."""
        self.revision += 1
        self.document = DESK_DOCUMENT.replace(
            "slots = 8", f"slots = {2 + self.revision % 7}"
        )
        self.deliver_event(
            self.processes[entry], DocumentRead("desk", self.revision, self.document)
        )
