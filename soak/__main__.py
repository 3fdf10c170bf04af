"""Run seeds of the soak test and report those that violated a guarantee."""

import sys
import tempfile
import traceback
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from absl import app, flags, logging

from soak.play import SeedResult, run_seed

_FIRST = flags.DEFINE_integer("first", 1, "First seed.", lower_bound=0)
_SEEDS = flags.DEFINE_integer("seeds", 4, "Number of seeds.", lower_bound=1)
_SECONDS = flags.DEFINE_float("seconds", 15.0, "Seconds of faults per seed.")
_JOBS = flags.DEFINE_integer("jobs", 2, "Seeds run at once.", lower_bound=1)
_ENTRIES = flags.DEFINE_integer("entries", 3, "Entries.", lower_bound=1)
_AGENTS = flags.DEFINE_integer("agents", 3, "Agents, each with an endpoint.")
_LOGS = flags.DEFINE_string(
    "logs", "", "Folder for logs; a new temporary one if empty."
)


def _run_seed(
    seed: int, seconds: float, folder: Path, entries: int, agents: int
) -> SeedResult:
    try:
        return run_seed(seed, seconds, folder / str(seed), entries, agents)
    except Exception:  # noqa: BLE001
        # An error that prevents a seed from completing counts as a violation.
        return SeedResult(seed, [traceback.format_exc()], [], 0, 0)


def main(arguments: list[str]) -> None:
    """Run the seeds."""
    del arguments
    logging.set_verbosity(logging.WARNING)
    folder = Path(_LOGS.value or tempfile.mkdtemp(prefix="godwitbank-soak-"))
    seeds = range(_FIRST.value, _FIRST.value + _SEEDS.value)
    failed = 0
    with ProcessPoolExecutor(_JOBS.value) as pool:
        futures = [
            pool.submit(
                _run_seed, seed, _SECONDS.value, folder, _ENTRIES.value, _AGENTS.value
            )
            for seed in seeds
        ]
        for future in futures:
            result = future.result()
            failed += bool(result.violations)
            verdict = "FAILED" if result.violations else "held"
            print(f"seed {result.seed}: {verdict}, {result.jobs} jobs", flush=True)
            print(
                f"  {result.runs} runs, {len(result.injected_faults)} faults",
                flush=True,
            )
            if result.violations:
                print("  " + "\n  ".join([*result.violations, *result.injected_faults]))
    print(f"{failed} of {len(seeds)} seeds broke a promise; logs in {folder}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    app.run(main)
