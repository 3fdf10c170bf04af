"""Plays seeds of the soak and says which broke a promise."""

import sys
import tempfile
import traceback
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from absl import app, flags, logging

from soak.play import SeedResult, run_seed

_FIRST = flags.DEFINE_integer("first", 1, "First seed.", lower_bound=0)
_SEEDS = flags.DEFINE_integer("seeds", 4, "Number of seeds.", lower_bound=1)
_SECONDS = flags.DEFINE_float("seconds", 15.0, "Seconds of faults a seed.")
_JOBS = flags.DEFINE_integer("jobs", 2, "Seeds played at once.", lower_bound=1)
_ENTRIES = flags.DEFINE_integer("entries", 3, "Entries.", lower_bound=1)
_AGENTS = flags.DEFINE_integer("agents", 3, "Agents, each with an endpoint.")
_LOGS = flags.DEFINE_string("logs", "", "Folder for logs; a new one if empty.")


def _play(
    seed: int, seconds: float, folder: Path, entries: int, agents: int
) -> SeedResult:
    try:
        return run_seed(seed, seconds, folder / str(seed), entries, agents)
    except Exception:  # noqa: BLE001
        # A seed that can't be played to its end is a finding like any other.
        return SeedResult(seed, [traceback.format_exc()], [], 0, 0)


def main(arguments: list[str]) -> None:
    """Play the seeds."""
    del arguments
    logging.set_verbosity(logging.WARNING)
    folder = Path(_LOGS.value or tempfile.mkdtemp(prefix="godwitbank-soak-"))
    seeds = range(_FIRST.value, _FIRST.value + _SEEDS.value)
    failed = 0
    with ProcessPoolExecutor(_JOBS.value) as pool:
        plays = [
            pool.submit(
                _play, seed, _SECONDS.value, folder, _ENTRIES.value, _AGENTS.value
            )
            for seed in seeds
        ]
        for each in plays:
            outcome = each.result()
            failed += bool(outcome.violations)
            verdict = "FAILED" if outcome.violations else "held"
            print(f"seed {outcome.seed}: {verdict}, {outcome.jobs} jobs", flush=True)
            print(
                f"  {outcome.runs} runs, {len(outcome.injected_faults)} faults",
                flush=True,
            )
            if outcome.violations:
                print(
                    "  " + "\n  ".join([*outcome.violations, *outcome.injected_faults])
                )
    print(f"{failed} of {len(seeds)} seeds broke a promise; logs in {folder}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    app.run(main)
