"""Compare policies in the lab.

    python -m bench.lab SCENARIO... [--seeds 8] [--policies default,no_moves] [--jobs 8]

``SCENARIO`` is a file, or the name of one in ``bench/lab/scenarios``. Each seed is the
same demand and the same faults for every policy, so differences are told by pairs.
"""

import math
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import mean, stdev

from absl import app, flags

from bench.lab.play import Outcome, Player
from bench.lab.policies import find_policy
from bench.lab.scenario import Scenario

SEEDS = flags.DEFINE_integer("seeds", 8, "seeds played, from --first")
FIRST = flags.DEFINE_integer("first", 1, "first seed")
POLICIES = flags.DEFINE_list("policies", ["default"], "policies; the first is the base")
JOBS = flags.DEFINE_integer("jobs", 8, "processes")

FOLDER = Path(__file__).parent / "scenarios"
NORMAL_QUANTILE = 1.96


def find_scenario(name: str) -> Scenario:
    """Read a scenario by its file or its name."""
    path = Path(name)
    return Scenario.from_file(path if path.exists() else FOLDER / f"{name}.toml")


def play_one(scenario: str, policy: str, seed: int) -> Outcome:
    """Play one seed in this process."""
    return Player(find_scenario(scenario), find_policy(policy), seed).play()


def describe_difference(base: list[float], other: list[float]) -> str:
    """Tell the mean of paired differences with its 95 % interval."""
    pairs = [theirs - ours for ours, theirs in zip(base, other, strict=True)]
    if len(pairs) < 2:
        return f"{mean(pairs):+.4f}"
    half = NORMAL_QUANTILE * stdev(pairs) / math.sqrt(len(pairs))
    return f"{mean(pairs):+.4f} +- {half:.4f}"


def print_scenario(scenario: str, outcomes: dict[str, list[Outcome]]) -> None:
    """Print one line a policy."""
    print(f"\n{scenario}")
    head = [*Outcome._fields[:2], "share", *Outcome._fields[2:]]
    print(
        f"{'policy':28}" + "".join(f"{each[:8]:>9}" for each in head) + "  difference"
    )
    base = [each.worth for each in next(iter(outcomes.values()))]
    for policy, played in outcomes.items():
        worth, bound, *rest = (mean(column) for column in zip(*played, strict=True))
        figures = [worth, bound, worth / bound, *rest]
        row = "".join(f"{figure:9.4f}" for figure in figures)
        own = [each.worth for each in played]
        print(f"{policy:28}{row}  {describe_difference(base, own)}", flush=True)


def main(argv: list[str]) -> int:
    """Play all seeds of all scenarios with all policies."""
    if len(argv) < 2:
        print(__doc__, file=sys.stderr)
        return 2
    seeds = range(FIRST.value, FIRST.value + SEEDS.value)
    with ProcessPoolExecutor(JOBS.value) as pool:
        started = {
            scenario: {
                policy: [pool.submit(play_one, scenario, policy, s) for s in seeds]
                for policy in POLICIES.value
            }
            for scenario in argv[1:]
        }
        for scenario, by_policy in started.items():
            outcomes = {
                policy: [each.result() for each in played]
                for policy, played in by_policy.items()
            }
            print_scenario(scenario, outcomes)
    return 0


if __name__ == "__main__":
    app.run(main)
