"""What the lab plays, read from TOML."""

import tomllib
from pathlib import Path
from typing import Any, NamedTuple


class Demand(NamedTuple):
    """Jobs of one queue.

    :param share: jobs of this queue among all.
    :param width: mean number of tasks of a job.
    :param seconds: mean run time of a task.
    :param worth: what a mean job is worth to its caller.
    """

    name: str
    priority: int
    share: float
    width: int
    seconds: float
    worth: float


class DemandSurge(NamedTuple):
    """More jobs for a while.

    :param factor: multiple of the ordinary rate.
    :param queue: the only queue concerned, or an empty string.
    """

    at: float
    seconds: float
    factor: float
    queue: str = ""


class Fault(NamedTuple):
    """Something that goes wrong for a while.

    :param kind: ``slow``, ``grey``, ``hang``, ``unhealthy``, ``gone``, ``leave``,
        ``late_orders``, ``kill_entry``, ``dark_entry``, ``kill_agent``, ``all_dark``.
    :param targets: endpoints or entries concerned.
    :param factor: how many times as long runs take, or share of the orders.
    """

    kind: str
    at: float
    seconds: float = 5.0
    targets: int = 1
    factor: float = 5.0


class Scenario(NamedTuple):
    """One deployment, its demand and its faults.

    :param load: demand as a share of the endpoints' capacity.
    :param cpu: mean thousandths of a core of a task.
    :param cpu_spread: half width of a job's own figure round that mean, as a share.
    :param guess_error: spread of the callers' guesses, as a logarithm.
    :param impatient: share of the callers that leave early, and after what share of
        their objective.
    """

    name: str
    load: float
    seconds: float
    entries: int
    endpoints: int
    sizes: tuple[float, ...]
    speeds: tuple[float, ...]
    cpu: int
    cpu_spread: float
    stretch: float
    allowance: float
    guess_error: float
    impatient: float
    leave_after: float
    demands: tuple[Demand, ...]
    waves: tuple[DemandSurge, ...]
    faults: tuple[Fault, ...]

    @classmethod
    def from_file(cls, path: Path) -> "Scenario":
        """Read a scenario; ``base`` names a file whose fields it takes over."""
        values = _read_values(path)
        values["demands"] = tuple(Demand(**each) for each in values["demands"])
        values["waves"] = tuple(DemandSurge(**each) for each in values.get("waves", ()))
        values["faults"] = tuple(Fault(**each) for each in values.get("faults", ()))
        for field in ("sizes", "speeds"):
            values[field] = tuple(values[field])
        return cls(name=path.stem, **values)


def _read_values(path: Path) -> dict[str, Any]:
    values = tomllib.loads(path.read_text(encoding="utf-8"))
    base = values.pop("base", "")
    if base:
        values = {**_read_values(path.parent / base), **values}
    return values
