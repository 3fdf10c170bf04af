"""Faults injected from outside the processes; most of them end after some time."""

import contextlib
import signal
from collections.abc import Callable
from random import Random
from typing import NamedTuple

import httpx

from soak.fleet import ZONES, SoakFleet

Undo = Callable[[], None]


class InjectedFault(NamedTuple):
    """A fault that was injected.

    :param seconds: seconds after which it is to end.
    :param undo: function that ends it.
    """

    description: str
    seconds: float
    undo: Undo


def _do_nothing() -> None:
    return


class FaultInjector:
    """Choose faults at random and inject them into a deployment.

    :param extended: whether to include the evacuation of zones, the freezing of all
        connections and the kill of all entries and agents. Without them, a seed chooses
        the same faults as it did before these kinds existed.
    """

    def __init__(self, fleet: SoakFleet, rng: Random, extended: bool = True) -> None:
        self._fleet = fleet
        self._rng = rng
        self._injectors = (
            self._kill,
            self._kill,
            self._pause,
            self._pause,
            self._stop,
            self._reload,
            self._hold_data,
            self._hold_data,
            self._freeze,
            self._cut,
            self._delay,
            self._lose_orders,
            self._degrade_endpoint,
            self._drain,
            self._disturb_store,
            self._kill_all_entries,
            *(
                [self._evacuate_zone, self._freeze_all, self.kill_all]
                if extended
                else []
            ),
        )

    def inject(self) -> InjectedFault:
        """Choose a fault at random and inject it."""
        return self._rng.choice(self._injectors)()

    def _choose_process(self) -> str:
        fleet = self._fleet
        names = (
            fleet.entries + fleet.agents + [f"{each}-endpoint" for each in fleet.agents]
        )
        return self._rng.choice(names)

    def _choose_route(self) -> tuple[str, str]:
        fleet = self._fleet
        routes = [(name, kind) for name in fleet.entries for kind in ("front", "inner")]
        routes += [(name, "inner") for name in fleet.entries]
        routes += [(name, kind) for name in fleet.agents for kind in ("app", "control")]
        routes += [(name, "store") for name in fleet.entries + fleet.agents]
        return self._rng.choice(routes)

    def _kill(self) -> InjectedFault:
        name = self._choose_process()
        self._fleet.stop_process(name)
        seconds = self._rng.choice((0.1, 0.6, 3.0))
        return InjectedFault(
            f"kill {name}", seconds, lambda: self._fleet.start_process(name)
        )

    def _kill_all_entries(self) -> InjectedFault:
        for name in self._fleet.entries:
            self._fleet.stop_process(name)
        return InjectedFault("kill all entries", 0.8, self._start_entries)

    def _start_entries(self) -> None:
        for name in self._fleet.entries:
            self._fleet.start_process(name)

    def kill_all(self) -> InjectedFault:
        """Kill all entries and agents; endpoints go on with the runs they have."""
        names = self._fleet.entries + self._fleet.agents
        for name in names:
            self._fleet.stop_process(name)
        return InjectedFault("kill all", 1.0, lambda: self._start(names))

    def _start(self, names: list[str]) -> None:
        for name in names:
            self._fleet.start_process(name)

    def _pause(self) -> InjectedFault:
        name = self._choose_process()
        self._fleet.set_paused(name, True)
        seconds = self._rng.choice((0.3, 0.9, 2.0, 4.0))
        return InjectedFault(
            f"pause {name}", seconds, lambda: self._fleet.set_paused(name, False)
        )

    def _stop(self) -> InjectedFault:
        name = self._rng.choice(self._fleet.entries + self._fleet.agents)
        self._fleet.stop_process(name, signal.SIGTERM)
        return InjectedFault(f"stop {name}", 6.0, lambda: self._restart(name))

    def _restart(self, name: str) -> None:
        self._fleet.stop_process(name)
        self._fleet.start_process(name)

    def _reload(self) -> InjectedFault:
        name = self._rng.choice(self._fleet.entries + self._fleet.agents)
        running = self._fleet.processes[name].poll() is None
        if running and not self._fleet.lacks_sighup_handler(name):
            self._fleet.kill(name, signal.SIGHUP)
        return InjectedFault(f"reload {name}", 0.0, _do_nothing)

    def _hold_data(self) -> InjectedFault:
        name, kind = self._choose_route()
        direction = self._rng.choice(("to_target", "to_client", "both"))
        self._fleet.command_proxy(name, kind, hold=direction)
        seconds = self._rng.choice((0.3, 1.0, 3.0))
        return InjectedFault(
            f"hold {kind} of {name}, {direction}",
            seconds,
            lambda: self._end_hold(name, kind),
        )

    def _end_hold(self, name: str, kind: str) -> None:
        self._fleet.command_proxy(name, kind, hold="none")

    def _freeze(self) -> InjectedFault:
        name, kind = self._choose_route()
        direction = self._rng.choice(("to_target", "to_client", "both"))
        link = self._rng.randrange(100)
        self._fleet.command_proxy(name, kind, freeze=direction, link=link)
        return InjectedFault(
            f"freeze {kind} {link} of {name}, {direction}", 0.0, _do_nothing
        )

    def _freeze_all(self) -> InjectedFault:
        self._fleet.freeze_connections()
        return InjectedFault("silence all connections", 0.0, _do_nothing)

    def _cut(self) -> InjectedFault:
        name, kind = self._choose_route()
        self._fleet.command_proxy(name, kind, cut=True)
        return InjectedFault(f"cut {kind} of {name}", 0.0, _do_nothing)

    def _delay(self) -> InjectedFault:
        name, kind = self._choose_route()
        delay = self._rng.choice((0.02, 0.1, 0.3))
        self._fleet.command_proxy(name, kind, delay=delay)
        return InjectedFault(
            f"delay {kind} of {name} by {delay}",
            self._rng.choice((1.0, 4.0)),
            lambda: self._end_delay(name, kind),
        )

    def _end_delay(self, name: str, kind: str) -> None:
        self._fleet.command_proxy(name, kind, delay=0.0)

    def _lose_orders(self) -> InjectedFault:
        name = self._rng.choice(self._fleet.agents)
        after = self._rng.choice((0.0, 0.5, 3.0))
        self._control_endpoint(
            name, lose_starts=self._rng.randint(1, 4), carry_out_after=after
        )
        return InjectedFault(
            f"lose orders of {name}, late by {after}", 0.0, _do_nothing
        )

    def _degrade_endpoint(self) -> InjectedFault:
        name = self._rng.choice(self._fleet.agents)
        how = self._rng.choice(
            ({"fails": True}, {"hangs": True}, {"speed": 5.0}, {"unhealthy": True})
        )
        self._control_endpoint(name, **how)
        return InjectedFault(
            f"{how} at {name}", 3.0, lambda: self._control_endpoint(name)
        )

    def _drain(self) -> InjectedFault:
        name = self._rng.choice(self._fleet.agents)
        self._control_endpoint(name, draining=True)
        return InjectedFault(
            f"drain {name}", 4.0, lambda: self._restart(f"{name}-endpoint")
        )

    def _evacuate_zone(self) -> InjectedFault:
        zone = f"zone-{self._rng.randint(1, ZONES)}"
        self._fleet.evacuate_zone(zone)
        seconds = self._rng.choice((0.5, 4.0, 7.0))
        return InjectedFault(
            f"empty {zone}", seconds, lambda: self._fleet.end_zone_evacuation(zone)
        )

    def _control_endpoint(self, name: str, **controls: object) -> None:
        # An endpoint that is down or paused can't receive it; the fault has no effect.
        with contextlib.suppress(httpx.HTTPError):
            self._fleet.control_endpoint(name, **controls)

    def _disturb_store(self) -> InjectedFault:
        fleet = self._fleet
        turned_away = [fleet.find_ip(name) for name in fleet.entries[:1]]
        how = self._rng.choice(
            (
                {"turned_away": ["all"], "silent": False},
                {"turned_away": ["all"], "silent": True},
                {"turned_away": turned_away, "silent": False},
                {"lose_answers": 3},
                {"oldest": 0},
            )
        )
        fleet.control_store(**how)
        return InjectedFault(f"store {how}", 3.0, self._restore_store)

    def _restore_store(self) -> None:
        self._fleet.control_store(turned_away=[], silent=False, lose_answers=0)

    def restore_all(self) -> None:
        """End all faults that may still be in effect, and restart what has exited."""
        fleet = self._fleet
        self._restore_store()
        for number in range(1, ZONES + 1):
            fleet.end_zone_evacuation(f"zone-{number}")
        for name in fleet.entries + fleet.agents:
            for kind in ("front", "inner", "app", "control", "store"):
                fleet.command_proxy(name, kind, hold="none", delay=0.0)
        for name in fleet.agents:
            fleet.set_paused(f"{name}-endpoint", False)
            self._restart(f"{name}-endpoint")
        for name in fleet.entries + fleet.agents:
            fleet.set_paused(name, False)
            if name in fleet.ended_at or name in fleet.list_unexpected_exits():
                self._restart(name)
