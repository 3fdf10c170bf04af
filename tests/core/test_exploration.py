"""Stateful tests of several cores and an unreliable network between them.

The invariants that ``tests.lib.task_cluster`` checks must hold after each step.
``make explore`` runs more examples. The last tests break one invariant at a time and
check that the exploration detects it.
"""

from collections.abc import Callable
from random import Random
from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from godwitbank._internal.core.agent import AgentCore
from godwitbank._internal.core.catalog import Catalog
from godwitbank._internal.core.events import DocumentRead
from godwitbank._internal.core.task_history import TaskHistory
from godwitbank._internal.models.messages import Refusal, Verdict
from tests.lib.task_cluster import DESK_DOCUMENT, TaskCluster

ENTRIES = st.sampled_from(["entry-0", "entry-1"])
AGENTS = st.sampled_from(["agent-0", "agent-1"])
ANY = st.one_of(ENTRIES, AGENTS)
PICK = st.integers(0, 10_000)
KEYS = st.sampled_from(["k1", "k2", "k3"])


class Exploration(RuleBasedStateMachine):
    """Random steps in a world of two entries and two agents."""

    def __init__(self) -> None:
        super().__init__()
        self.world = TaskCluster()

    @rule(entry=ENTRIES, count=st.integers(1, 5))
    def submit_job(self, entry: str, count: int) -> None:
        self.world.submit(entry, count)

    @rule(entry=ENTRIES, key=KEYS, count=st.integers(1, 3))
    def submit_with_key(self, entry: str, key: str, count: int) -> None:
        self.world.submit(entry, count, key)

    @rule(pick=PICK, times=st.integers(1, 30), repeat=st.booleans())
    def deliver(self, pick: int, times: int, repeat: bool) -> None:
        for step in range(times):
            waiting = self.world.list_deliverable()
            if not waiting:
                return
            number, end = waiting[(pick + 31 * step) % len(waiting)]
            self.world.deliver(number, end, repeat)

    @rule(seconds=st.sampled_from([0.01, 0.3, 0.6, 2.5, 4.0]))
    def pass_time(self, seconds: float) -> None:
        self.world.pass_time(seconds)

    @rule()
    def settle(self) -> None:
        self.world.deliver_all(2)

    @rule(agent=AGENTS, pick=PICK, answered=st.booleans())
    def end_run(self, agent: str, pick: int, answered: bool) -> None:
        running = sorted(self.world.running[agent])
        if running:
            self.world.end_run(agent, running[pick % len(running)], answered)

    @rule(effect=st.booleans(), answer=st.booleans())
    def finish_claims(self, effect: bool, answer: bool) -> None:
        self.world.finish_claims(effect, answer)

    @rule(down=st.booleans())
    def set_table(self, down: bool) -> None:
        self.world.table_down = down

    @rule(pick=PICK, ways=st.sampled_from([(True, False), (False, True), (True, True)]))
    def silence(self, pick: int, ways: tuple[bool, bool]) -> None:
        wires = list(self.world.streams.values())
        if wires:
            wire = wires[-1 - pick % min(len(wires), 8)]
            wire.loses_frames = [
                old or new for old, new in zip(wire.loses_frames, ways, strict=True)
            ]

    @rule(pick=PICK)
    def cut(self, pick: int) -> None:
        numbers = [n for n, wire in self.world.streams.items() if not any(wire.closed)]
        if numbers:
            wire = self.world.streams[numbers[pick % len(numbers)]]
            for end in (0, 1):
                wire.queues[end].clear()
                wire.queues[end].append(b"")

    @rule(pick=PICK, end=st.sampled_from([0, 1]))
    def reset_one_side(self, pick: int, end: int) -> None:
        """Close a stream at one end while the other end still reads from it."""
        wires = self.world.streams
        numbers = [number for number, wire in wires.items() if not any(wire.closed)]
        if numbers:
            self.world.reset_stream(numbers[-1 - pick % min(len(numbers), 6)], end)

    @rule(pick=PICK)
    def overtake(self, pick: int) -> None:
        """Let a new stream deliver all messages before the old one is read."""
        waiting = [
            number
            for number, end in self.world.list_deliverable()
            if end == 1 and self.world.streams[number].opened[1]
        ]
        if waiting:
            number = waiting[pick % len(waiting)]
            self.world.reset_stream(number, 0)
            self.world.deliver_all(3, except_stream=number)

    @rule(name=ANY)
    def pause(self, name: str) -> None:
        self.world.processes[name].paused = True

    @rule(name=ANY)
    def wake(self, name: str) -> None:
        self.world.resume(name)

    @rule(agent=AGENTS)
    def restart_agent(self, agent: str) -> None:
        self.world.kill(agent)
        self.world.start_agent(agent)

    @rule(entry=ENTRIES)
    def restart_entry(self, entry: str) -> None:
        self.world.kill(entry)
        self.world.start_entry(entry)

    @rule(agent=AGENTS)
    @precondition(lambda self: len(self.world.left_agents) == 0)
    def leave(self, agent: str) -> None:
        self.world.leave(agent)

    @rule(entry=ENTRIES)
    def apply(self, entry: str) -> None:
        self.world.apply_revision(entry)

    @rule(entry=ENTRIES)
    def read_old_revision(self, entry: str) -> None:
        process = self.world.processes[entry]
        self.world.deliver_event(process, DocumentRead("desk", 1, DESK_DOCUMENT))

    def teardown(self) -> None:
        self.world.check_not_run()


TestExploration = Exploration.TestCase


WALKS = 3000
"""Number of walks within which a broken invariant must be detected."""

WALK_STEPS = 60

INCLUDED_SHARE = 0.6
"""Share of the kinds of step that a walk uses. A walk that omits some kinds reaches
deeper combinations of the others than one that uses all."""


def _draw_arguments(rng: Random) -> dict[str, Callable[[], dict[str, Any]]]:
    """Return functions that draw the arguments of each kind of step."""

    def pick() -> int:
        return rng.randrange(10_001)

    def entry() -> str:
        return rng.choice(["entry-0", "entry-1"])

    def agent() -> str:
        return rng.choice(["agent-0", "agent-1"])

    def flag() -> bool:
        return rng.random() < 0.5

    ways = [(True, False), (False, True), (True, True)]
    return {
        "submit_job": lambda: {"entry": entry(), "count": rng.randint(1, 5)},
        "submit_with_key": lambda: {
            "entry": entry(),
            "key": rng.choice(["k1", "k2", "k3"]),
            "count": rng.randint(1, 3),
        },
        "deliver": lambda: {
            "pick": pick(),
            "times": rng.randint(1, 30),
            "repeat": flag(),
        },
        "pass_time": lambda: {"seconds": rng.choice([0.01, 0.3, 0.6, 2.5, 4.0])},
        "settle": dict,
        "end_run": lambda: {"agent": agent(), "pick": pick(), "answered": flag()},
        "finish_claims": lambda: {"effect": flag(), "answer": flag()},
        "set_table": lambda: {"down": flag()},
        "silence": lambda: {"pick": pick(), "ways": rng.choice(ways)},
        "cut": lambda: {"pick": pick()},
        "reset_one_side": lambda: {"pick": pick(), "end": rng.choice([0, 1])},
        "overtake": lambda: {"pick": pick()},
        "pause": lambda: {"name": rng.choice([entry(), agent()])},
        "wake": lambda: {"name": rng.choice([entry(), agent()])},
        "restart_agent": lambda: {"agent": agent()},
        "restart_entry": lambda: {"entry": entry()},
        "leave": lambda: {"agent": agent()},
        "apply": lambda: {"entry": entry()},
        "read_old_revision": lambda: {"entry": entry()},
    }


def _walk(seed: int) -> None:
    """Run steps of the exploration in an order that depends on the seed only.

    Hypothesis draws constants from the modules that are loaded in the process, so
    its examples depend on the tests that ran before. A walk doesn't depend on them.
    """
    rng = Random(seed)
    draws = _draw_arguments(rng)
    kinds = [kind for kind in sorted(draws) if rng.random() < INCLUDED_SHARE]
    exploration = Exploration()
    for _ in range(WALK_STEPS if kinds else 0):
        kind = rng.choice(kinds)
        if kind == "leave" and exploration.world.left_agents:
            continue
        getattr(exploration, kind)(**draws[kind]())
    exploration.teardown()


def test_walks_know_every_kind_of_step() -> None:
    marked = "hypothesis_stateful_rule"
    steps = {name for name, each in vars(Exploration).items() if hasattr(each, marked)}
    assert set(_draw_arguments(Random(0))) == steps


@pytest.mark.parametrize("seed", range(60))
def test_invariants_hold_on_walks(seed: int) -> None:
    _walk(seed)


def _drop_fence(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(TaskHistory, "fence", lambda *arguments: None)


def _ignore_incarnation_of_queries(monkeypatch: pytest.MonkeyPatch) -> None:
    resolve = AgentCore._handle_resolve

    def ignore_incarnation(self: AgentCore, entry: object, query: object) -> None:
        current = query._replace(incarnation=self.identity.incarnation)
        resolve(self, entry, current)

    monkeypatch.setattr(AgentCore, "_handle_resolve", ignore_incarnation)
    monkeypatch.setattr(
        "godwitbank._internal.core.entry.EntryCore._mark_outstanding_unknown",
        lambda self, view, detail: self._query_outstanding(view),
    )


def _accept_lower_revision(monkeypatch: pytest.MonkeyPatch) -> None:
    install = Catalog.install

    def accept(self: Catalog, service: str, revision: int, text: str) -> bool:
        self._installed.pop(service, None)
        return install(self, service, revision, text)

    monkeypatch.setattr(Catalog, "install", accept)


def _add_slot(monkeypatch: pytest.MonkeyPatch) -> None:
    slots = AgentCore.slots.fget
    monkeypatch.setattr(AgentCore, "slots", property(lambda self: slots(self) + 1))


def _ignore_duplicates(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(TaskHistory, "find", lambda self, key: None)


def _start_while_leaving(monkeypatch: pytest.MonkeyPatch) -> None:
    find = AgentCore._find_refusal

    def ignore(self: AgentCore, start: object) -> Refusal | None:
        refusal = find(self, start)
        return None if refusal is Refusal.LEAVING else refusal

    monkeypatch.setattr(AgentCore, "_find_refusal", ignore)


def _skip_claims(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        "godwitbank._internal.core.claims.Claims.resolve",
        lambda self, number, lost: _report_all_won(self),
    )


def _report_all_won(claims: object) -> dict[str, bool]:
    batch, claims._batch = claims._batch, None
    return dict.fromkeys(batch.claims.values(), True) if batch else {}


def _requeue_lost_tasks(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        "godwitbank._internal.core.dispatch.Dispatcher.mark_outcome_unknown",
        lambda self, sent, detail: self._requeue(sent.task),
    )


def _always_answer_fenced(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        TaskHistory, "resolve", lambda self, key, start_by, entry: Verdict.FENCED
    )


@pytest.mark.parametrize(
    "break_rule",
    [
        _drop_fence,
        _ignore_incarnation_of_queries,
        _accept_lower_revision,
        _add_slot,
        _ignore_duplicates,
        _start_while_leaving,
        _skip_claims,
        _requeue_lost_tasks,
        _always_answer_fenced,
    ],
)
def test_exploration_detects_a_broken_rule(
    break_rule: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Check that a walk fails if an invariant is broken.

    The number of walks until then is the same in every run.
    """
    break_rule(monkeypatch)
    for seed in range(WALKS):
        try:
            _walk(seed)
        except AssertionError:
            print(f"{break_rule.__name__}: noticed on walk {seed}")
            return
    pytest.fail(f"not noticed on {WALKS} walks")
