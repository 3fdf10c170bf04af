"""One seed of a scenario, played with the real cores."""

import itertools
import math
from functools import partial
from random import Random
from typing import NamedTuple

from standins.leased_endpoint import Behaviour, FakeEndpoint
from tests.lib.runs_world import RunsWorld

from bench.lab.bound import SLOT, Piece, bound_worth
from bench.lab.scenario import Demand, Fault, Scenario
from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.runs.policy import Policy
from godwitbank._internal.models.jobs import (
    Configuration,
    JobSpec,
    QueueRules,
    StepSpec,
)
from godwitbank._internal.models.resources import Resources

SERVICE = "desk"
LATE_SHARE = 0.2
"""What a late result earns of a timely one."""

LATE_FACTOR = 3.0
"""Multiple of the objective after which a result earns nothing."""

RESEND_SECONDS = 1.3
"""Seconds after which a caller whose connection broke submits again."""

SPREAD = 0.4
UNEVEN = 0.15
SETTLE_SECONDS = 8.0
PATIENCE = 10.0
BOOT_SECONDS = 2.0


class Outcome(NamedTuple):
    """What callers got.

    :param worth: share of the worth of all jobs that was earned.
    :param bound: share that a scheduler who knows everything could have earned.
    :param worst: the least share of any queue.
    :param idle_refused: share of the worth that was refused while a quarter of the
        room stood idle.
    :param wasted: share of the core-seconds spent on what brought no result.
    :param returned: share of the orders that found their room taken.
    """

    worth: float
    bound: float
    worst: float
    late: float
    refused: float
    idle_refused: float
    wasted: float
    returned: float


class Sent(NamedTuple):
    """A job as its caller knows it."""

    spec: JobSpec
    demand: Demand
    at: float
    objective: float
    worth: float
    work: float
    idle: float


class Player:
    """Plays one scenario."""

    def __init__(self, scenario: Scenario, policy: Policy, seed: int) -> None:
        self._scenario = scenario
        self._demand_rng = Random(f"demand {seed}")
        self._fault_rng = Random(f"faults {seed}")
        self._entry_rng = Random(f"entries {seed}")
        queues = tuple(self._make_rules(each) for each in scenario.demands)
        self.world = RunsWorld(seed, Configuration(1, queues, 10**6), policy)
        self.world.checking = False
        self._entries = [f"entry-{number}" for number in range(scenario.entries)]
        self._agents = [f"agent-{number}" for number in range(scenario.endpoints)]
        self._sizes: dict[str, Resources] = {}
        self._absent: set[str] = set()
        self._sent: dict[str, Sent] = {}
        self._at: dict[str, tuple[str, int]] = {}
        self._room: list[float] = []
        self._agent_counts: list[Counts] = []
        self._numbers = itertools.count(1)
        self._begin = 0.0

    def _make_rules(self, demand: Demand) -> QueueRules:
        scenario = self._scenario
        return QueueRules(
            demand.name,
            SERVICE,
            f"/{demand.name}/",
            SERVICE,
            demand.priority,
            3,
            scenario.stretch,
            scenario.allowance,
        )

    def _speed(self, agent: str) -> float:
        speeds = self._scenario.speeds
        return speeds[self._agents.index(agent) % len(speeds)]

    def _build(self) -> None:
        scenario = self._scenario
        for name in self._entries:
            self.world.add_entry(name)
        for number, name in enumerate(self._agents):
            size = scenario.sizes[number % len(scenario.sizes)]
            self._sizes[name] = Resources(int(size), 10**6, 0)
            self._start_agent(name)
            self._behave(name, Behaviour(speed=self._speed(name)))
        self.world.run(BOOT_SECONDS)
        self._begin = self.world.now

    def _behave(self, name: str, behaviour: Behaviour) -> None:
        endpoint = self.world.endpoints[name]
        if endpoint is not None:
            endpoint.behaviour = behaviour

    def _find_rate(self) -> float:
        scenario = self._scenario
        shares = sum(each.share for each in scenario.demands)
        work = sum(
            each.share / shares * each.width * each.seconds * scenario.cpu / 1000
            for each in scenario.demands
        )
        cores = sum(
            self._sizes[name].cpu / 1000 / self._speed(name) for name in self._agents
        )
        return scenario.load * cores / work

    def play(self) -> Outcome:
        """Play it whole."""
        self._build()
        for fault in self._scenario.faults:
            self.world.after(fault.at, partial(self._strike, fault))
        self._watch_room()
        rate = self._find_rate()
        most = rate * max([1.0, *(wave.factor for wave in self._scenario.waves)])
        until = self._begin + self._scenario.seconds
        while self.world.now < until:
            self.world.run(self._demand_rng.expovariate(most))
            self._submit_perhaps(rate / most)
        self.world.run(SETTLE_SECONDS)
        return self._sum_up()

    # Demand

    def _submit_perhaps(self, thinned: float) -> None:
        demands = self._scenario.demands
        shares = [each.share for each in demands]
        demand = self._demand_rng.choices(demands, shares)[0]
        if self._demand_rng.random() < thinned * self._find_factor(demand):
            self._submit(demand)

    def _find_factor(self, demand: Demand) -> float:
        factor = 1.0
        for wave in self._scenario.waves:
            since = self.world.now - self._begin - wave.at
            if 0 <= since < wave.seconds and wave.queue in ("", demand.name):
                factor = max(factor, wave.factor)
        return factor

    def _draw(self) -> float:
        return self._demand_rng.lognormvariate(-(SPREAD**2) / 2, SPREAD)

    def _submit(self, demand: Demand) -> None:
        rng, scenario = self._demand_rng, self._scenario
        width = min(4 * demand.width, max(1, round(demand.width * self._draw())))
        mean = min(4 * demand.seconds, demand.seconds * self._draw())
        runs = [mean * rng.uniform(1 - UNEVEN, 1 + UNEVEN) for _ in range(width)]
        guess = mean * rng.lognormvariate(0, scenario.guess_error)
        name = f"job{next(self._numbers)}"
        spread = scenario.cpu_spread
        cpu = round(scenario.cpu * rng.uniform(1 - spread, 1 + spread))
        step = StepSpec(width, Resources(cpu, 64, 0), guess)
        spec = JobSpec(name, demand.name, ",".join(map(str, runs)), (step,))
        objective = scenario.stretch * max(runs) + scenario.allowance
        size = sum(runs) * cpu / (demand.width * demand.seconds * scenario.cpu)
        worth = min(4.0, 0.3 + 0.7 * size) * demand.worth
        work = sum(runs) * cpu / 1000
        idle = self._measure_idle()
        sent = Sent(spec, demand, self.world.now, objective, worth, work, idle)
        leaves = rng.random() < scenario.impatient
        self._hand_in(sent)
        if leaves:
            # A caller that leaves early is owed nothing, but its job took room.
            delay = scenario.leave_after * objective
            self.world.after(delay, lambda: self._leave(name))
        else:
            self._sent[name] = sent

    def _hand_in(self, sent: Sent) -> None:
        alive = [each for each in self._entries if not self._is_down(each)]
        name = sent.spec.job
        if not alive:
            self.world.after(RESEND_SECONDS, lambda: self._hand_in(sent))
            return
        entry = self._entry_rng.choice(alive)
        self._at[name] = (entry, self.world.submit(entry, sent.spec, PATIENCE))

    def _is_down(self, name: str) -> bool:
        return name in self._absent

    def _leave(self, name: str) -> None:
        if name not in self._at:
            return
        entry, caller = self._at[name]
        if not self.world.results[name] and not self._is_down(entry):
            self.world.hang_up(entry, caller)

    def _resend_from(self, entry: str) -> None:
        for name, (where, _) in list(self._at.items()):
            sent = self._sent.get(name)
            if where == entry and sent is not None and not self.world.results[name]:
                self.world.after(RESEND_SECONDS, partial(self._hand_in, sent))

    # Faults

    def _strike(self, fault: Fault) -> None:
        strike = {
            "late_orders": self._delay_orders,
            "kill_entry": self._stop_entries,
            "dark_entry": self._stop_entries,
            "kill_agent": self._stop_agents,
            "all_dark": self._darken_all,
            "gone": self._remove_endpoints,
            "leave": self._let_leave,
        }.get(fault.kind, self._harm_endpoints)
        strike(fault)

    def _pick(self, names: list[str], count: int) -> list[str]:
        there = [name for name in names if not self._is_down(name)]
        return self._fault_rng.sample(there, min(count, len(there)))

    def _harm_endpoints(self, fault: Fault) -> None:
        for name in self._pick(self._agents, fault.targets):
            speed = self._speed(name)
            harmed = {
                "slow": Behaviour(speed=speed * fault.factor),
                "grey": Behaviour(fails=True),
                "hang": Behaviour(hangs=True),
                "unhealthy": Behaviour(unhealthy=True),
            }[fault.kind]
            self._behave(name, harmed)
            well = Behaviour(speed=speed)
            self.world.after(fault.seconds, partial(self._behave, name, well))

    def _remove_endpoints(self, fault: Fault) -> None:
        for name in self._pick(self._agents, fault.targets):
            self.world.crash_endpoint(name)
            self.world.after(fault.seconds, partial(self._boot, name))

    def _let_leave(self, fault: Fault) -> None:
        for name in self._pick(self._agents, fault.targets):
            endpoint = self.world.endpoints[name]
            if endpoint is not None:
                endpoint.draining = True
                self.world.after(fault.seconds, partial(self.world.leave, name))

    def _boot(self, name: str) -> None:
        self.world.boot_endpoint(name, self._sizes[name])
        self._behave(name, Behaviour(speed=self._speed(name)))

    def _delay_orders(self, fault: Fault) -> None:
        rng = self._fault_rng

        def lose(order: object) -> float | None:
            return rng.uniform(2.0, 12.0) if rng.random() < fault.factor else None

        self.world.lose_start = lose
        self.world.after(fault.seconds, self._end_delays)

    def _end_delays(self) -> None:
        self.world.lose_start = lambda order: None

    def _stop_entries(self, fault: Fault) -> None:
        for name in self._pick(self._entries, fault.targets):
            stop = self.world.kill if fault.kind == "kill_entry" else self.world.darken
            stop(name)
            self._absent.add(name)
            self._resend_from(name)
            self.world.after(fault.seconds, partial(self._start_entry, name))

    def _start_entry(self, name: str) -> None:
        self._absent.discard(name)
        self.world.add_entry(name)

    def _stop_agents(self, fault: Fault) -> None:
        for name in self._pick(self._agents, fault.targets):
            self.world.kill(name)
            self.world.after(fault.seconds, partial(self._start_agent, name))

    def _start_agent(self, name: str) -> None:
        process = self.world.add_agent(name, self._sizes[name])
        self._agent_counts.append(process.core.counts)

    def _darken_all(self, fault: Fault) -> None:
        for name in [*self._entries, *self._agents]:
            if not self._is_down(name):
                self.world.darken(name)
        for name in self._entries:
            self._absent.add(name)
            self._resend_from(name)
            self.world.after(fault.seconds, partial(self._start_entry, name))
        for name in self._agents:
            self.world.after(fault.seconds, partial(self._start_agent, name))

    # What is counted

    def _measure_endpoint(self, endpoint: FakeEndpoint | None) -> float:
        if endpoint is None:
            return 0.0
        behaviour = endpoint.behaviour
        if behaviour.fails or behaviour.hangs or behaviour.unhealthy:
            return 0.0
        return endpoint.capacity.cpu / 1000 / behaviour.speed

    def _watch_room(self) -> None:
        cores = sum(map(self._measure_endpoint, self.world.endpoints.values()))
        self._room.append(cores)
        until = self._begin + self._scenario.seconds + SETTLE_SECONDS
        if self.world.now < until:
            self.world.after(SLOT, self._watch_room)

    def _measure_idle(self) -> float:
        """Tell the share of the sound room that stands idle."""
        free = total = 0.0
        for endpoint in self.world.endpoints.values():
            cores = self._measure_endpoint(endpoint)
            if endpoint is None or not cores:
                continue
            used = len(endpoint.active_runs) * self._scenario.cpu
            total += cores
            free += cores * max(0.0, 1 - used / endpoint.capacity.cpu)
        return free / total if total else 0.0

    def _sum_up(self) -> Outcome:
        earned: dict[str, float] = {}
        owed: dict[str, float] = {}
        late = refused = 0
        idle_refused = 0.0
        for name, sent in self._sent.items():
            queue = sent.demand.name
            owed[queue] = owed.get(queue, 0.0) + sent.worth
            share = self._judge(name, sent)
            earned[queue] = earned.get(queue, 0.0) + share * sent.worth
            late += share == LATE_SHARE
            refused += share == 0.0
            if not share and sent.idle >= 0.25:
                idle_refused += sent.worth
        total = sum(owed.values())
        pieces = [
            Piece(each.at, each.at + each.objective, each.work, each.worth)
            for each in self._sent.values()
        ]
        return Outcome(
            sum(earned.values()) / total,
            bound_worth(pieces, self._room, self._begin, LATE_SHARE),
            min(earned[queue] / owed[queue] for queue in owed),
            late / len(self._sent),
            refused / len(self._sent),
            idle_refused / total,
            self._measure_waste(),
            self._measure_returned(),
        )

    def _judge(self, name: str, sent: Sent) -> float:
        ends = [
            at - sent.at
            for result, at in self.world.results_at.get(name, ())
            if result.end == "completed"
        ]
        took = min(ends, default=math.inf)
        if took <= sent.objective:
            return 1.0
        return LATE_SHARE if took <= LATE_FACTOR * sent.objective else 0.0

    def _measure_returned(self) -> float:
        counts = self._agent_counts
        returned = sum(each.get("orders_refused", "room") for each in counts)
        ordered = sum(each.get("starts_ordered") for each in counts)
        return returned / max(returned + ordered, 1)

    def _measure_waste(self) -> float:
        wasted = total = 0.0
        for endpoint in self.world.endpoints.values():
            for life in endpoint.ended_runs if endpoint else ():
                spent = life.ended - life.began
                total += spent
                wasted += 0.0 if life.end == "done" else spent
        return wasted / max(total, 1e-9)
