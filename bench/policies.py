"""Compares policies that assign tasks to slots, one by one on the same traces.

``make bench`` runs the whole comparison and writes ``docs/measurements/policies.json``
and a plot.
"""

import argparse
import asyncio
import json
import statistics
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

import httpx
from hdrh.histogram import HdrHistogram
from standins.fleet import Fleet

from bench.load import Result, run_trace
from bench.trace import Arrival, compute_ideal_seconds, make_trace, simulate_ideal

AGENT_COUNT = 11
SLOTS_PER_AGENT = 8
ENTRY_COUNT = 3
DEADLINE_SECONDS = 30.0
WASTED_MESSAGES = (
    ("starts_returned", 2),
    ("resolves_sent", 2),
    ("recalls", 2),
    ("cancels_sent", 1),
    ("answers_dropped", 1),
)
"""Counters of events that waste messages, and the messages wasted by each event."""

CONTROL_COUNTERS = ("wants_sent", "loads_told")
OUTPUT_FOLDER = Path("docs/measurements")


class Policy(NamedTuple):
    """A policy to compare.

    :param baseline: name in ``bench.baselines``, or ``own`` for the dispatcher's own
        choice of agents.
    :param parked: value of the service document's ``endpoint.parked``.
    :param message_weight: value of the service document's ``policy.message_weight``.
    :param stretch: value of the service document's ``policy.stretch``.
    """

    name: str
    baseline: str
    parked: int
    message_weight: float
    stretch: float


POLICIES = (
    Policy("random", "random", 64, 1.0, 0.0),
    Policy("two choices", "two", 64, 1.0, 0.0),
    Policy("least loaded", "least", 64, 1.0, 0.0),
    Policy("grants, first come", "own", 1, 0.0, 0.0),
    Policy("grants, by rank", "own", 1, 0.0, 16.0),
    Policy("grants, by rank, parked", "own", 1, 1.0, 16.0),
)


class Deployment(NamedTuple):
    """One-way network delays of one of the users' deployments.

    :param vm_delay_seconds: delay between the deployment's VMs.
    :param client_delay_seconds: delay between callers and entries.
    """

    name: str
    vm_delay_seconds: float
    client_delay_seconds: float


DEPLOYMENTS = {
    "anadolu": Deployment("anadolu", 0.0005, 0.003),
    "sparkline": Deployment("sparkline", 0.001, 0.001),
}


def write_document(folder: Path, policy: Policy) -> Path:
    """Write the service document for a policy."""
    path = folder / "bench.toml"
    path.write_text(
        f'[service]\nname = "desk"\nteam = "bench"\n'
        f"[endpoint]\nslots = {SLOTS_PER_AGENT}\nparked = {policy.parked}\n"
        f"[policy]\nmessage_weight = {policy.message_weight}\n"
        f"stretch = {policy.stretch}\n"
        "[class.size-change]\ndeadline_seconds = 60\nexpected_seconds = 0.6\n"
    )
    return path


def start_fleet(
    folder: Path, policy: Policy, deployment: Deployment, agents: int = AGENT_COUNT
) -> tuple[Fleet, list[str]]:
    """Start a fleet; returns it and the service's URL at each entry."""
    fleet = Fleet(folder, delay_seconds=deployment.vm_delay_seconds)
    for _ in range(ENTRY_COUNT):
        fleet.start_entry(wait=False, baseline=policy.baseline)
    fleet.update_balancer()
    for entry in fleet.entries:
        fleet.wait_ready(entry)
    applied = fleet.run_operator_command("apply", str(write_document(folder, policy)))
    assert applied.returncode == 0, applied.stderr
    for _ in range(agents):
        fleet.start_endpoint(fleet.start_agent(proxied=True), slots=SLOTS_PER_AGENT)
    fleet.wait_for_agents(agents)
    ports = [
        fleet.start_proxy(
            entry.http_port, delay_seconds=deployment.client_delay_seconds
        )
        for entry in fleet.entries
    ]
    return fleet, [f"http://127.0.0.1:{port}/v1/services/desk" for port in ports]


def read_counters(fleet: Fleet) -> Counter[str]:
    """Sum the counters of all entries and agents."""
    total: Counter[str] = Counter()
    for running in [*fleet.entries, *fleet.agents]:
        text = httpx.get(
            f"http://127.0.0.1:{running.http_port}/metrics", timeout=10
        ).text
        for line in text.splitlines():
            name, _, rest = line.partition("_total{")
            if rest and not line.startswith("#"):
                total[name.removeprefix("godwitbank_")] += int(float(rest.split()[-1]))
    return total


def _summarise(ratios: list[float], seconds: list[float]) -> dict[str, float]:
    if not ratios:
        return {}
    histogram = HdrHistogram(1, 10_000_000, 3)
    for ratio in ratios:
        histogram.record_value(max(1, int(ratio * 1000)))
    return {
        "count": len(ratios),
        "ratio_mean": statistics.fmean(ratios),
        "ratio_p50": histogram.get_value_at_percentile(50) / 1000,
        "ratio_p99": histogram.get_value_at_percentile(99) / 1000,
        "ratio_p999": histogram.get_value_at_percentile(99.9) / 1000,
        "seconds_mean": statistics.fmean(seconds),
        "seconds_p99": sorted(seconds)[int(len(seconds) * 0.99)],
    }


def summarise_groups(
    rows: list[tuple[Arrival, float]], round_trip: float, slots: int
) -> dict[str, Any]:
    """Summarise response times of all arrivals and of each kind.

    :param round_trip: network delay added to the ideal response time, in seconds.
    """
    groups: dict[str, list[tuple[Arrival, float]]] = {
        "all": rows,
        "requests": [row for row in rows if row[0].single],
        "jobs": [row for row in rows if not row[0].single],
        "short requests": [
            row for row in rows if row[0].single and row[0].runs[0] <= 1.0
        ],
        "long requests": [
            row for row in rows if row[0].single and row[0].runs[0] > 1.0
        ],
    }
    summary = {}
    for name, members in groups.items():
        seconds = [each for _, each in members]
        ratios = [
            each / (compute_ideal_seconds(arrival, slots) + round_trip)
            for arrival, each in members
        ]
        summary[name] = _summarise(ratios, seconds)
    return summary


def summarise_run(
    trace: list[Arrival],
    results: list[Result],
    counters: Counter[str],
    deployment: Deployment,
    seconds: float,
    slots: int = AGENT_COUNT * SLOTS_PER_AGENT,
) -> dict[str, Any]:
    """Compute all measurements of one run.

    :param seconds: duration of the trace.
    """
    round_trip = 2 * (deployment.vm_delay_seconds + deployment.client_delay_seconds)
    answered = [result for result in results if result.status == 200]
    tasks = sum(len(result.arrival.runs) for result in answered)
    # Counts only responses received while load was offered: under overload, a
    # backlog that is processed afterwards isn't goodput.
    work = sum(
        sum(result.arrival.runs)
        for result in answered
        if result.arrival.at + result.seconds <= seconds
    )
    wasted = {name: counters[name] * each for name, each in WASTED_MESSAGES}
    rows = [(result.arrival, result.seconds) for result in answered]
    refused = [result for result in results if result.status != 200]
    refusal_times = [each.seconds for each in refused if each.status == 503]
    return {
        "arrivals": len(trace),
        "answered": len(answered),
        "wrong": sum(not result.is_correct for result in answered),
        "tasks": tasks,
        "goodput": work / (seconds * slots),
        "refused": dict(Counter(result.reason for result in refused)),
        "refusal_seconds_p99": (
            sorted(refusal_times)[int(len(refusal_times) * 0.99)]
            if refusal_times
            else 0.0
        ),
        "wasted_per_task": sum(wasted.values()) / max(tasks, 1),
        "wasted": wasted,
        "control_per_task": sum(counters[name] for name in CONTROL_COUNTERS)
        / max(tasks, 1),
        "measured": summarise_groups(rows, round_trip, slots),
    }


def summarise_bound(trace: list[Arrival], round_trip: float, stretch: float) -> Any:
    """Summarise the response times of the ideal system, plus the round trip."""
    slots = AGENT_COUNT * SLOTS_PER_AGENT
    rows = [
        (response.arrival, response.seconds + round_trip)
        for response in simulate_ideal(trace, slots, stretch)
    ]
    return summarise_groups(rows, round_trip, slots)


def run_one(
    policy: Policy,
    deployment: Deployment,
    load: float,
    seconds: float,
    seed: int,
    deadline: float,
) -> dict[str, Any]:
    """Run one policy on one trace in a new fleet."""
    trace = make_trace(seed, seconds, AGENT_COUNT * SLOTS_PER_AGENT, load)
    with tempfile.TemporaryDirectory() as folder:
        fleet, urls = start_fleet(Path(folder), policy, deployment)
        try:
            before = read_counters(fleet)
            results = asyncio.run(run_trace(trace, urls, "size-change", deadline))
            counters = read_counters(fleet) - before
        finally:
            fleet.stop()
    return summarise_run(trace, results, counters, deployment, seconds)


def format_row(row: dict[str, Any]) -> str:
    """Format one run as a row of the table."""
    measured, rank_bound = row["run"]["measured"], row["bound_rank"]
    fifo_bound = row["bound_first_come"]
    request_ratio = measured["requests"].get("ratio_mean", 0)
    job_ratio = measured["jobs"].get("ratio_mean", 0)
    mean = measured["all"]["seconds_mean"]
    p99 = measured["all"]["seconds_p99"]
    return (
        f"{row['deployment']:9} {row['load']:4.0%} {row['policy']:24}"
        f" mean {mean:6.3f} s ({mean / fifo_bound['all']['seconds_mean']:4.2f} fifo,"
        f" {mean / rank_bound['all']['seconds_mean']:4.2f} rank)"
        f" p99 {p99:6.2f} ({p99 / fifo_bound['all']['seconds_p99']:4.2f},"
        f" {p99 / rank_bound['all']['seconds_p99']:4.2f})"
        f" request/ideal {request_ratio:5.2f} job/ideal {job_ratio:5.2f}"
        f" wasted {row['run']['wasted_per_task']:.3f}"
        f" control {row['run']['control_per_task']:.2f}"
        f" goodput {row['run']['goodput']:.2f} refused {row['run']['refused']}"
    )


def plot_rows(rows: list[dict[str, Any]]) -> None:
    """Plot the mean ratio of response time to ideal response time against load."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(11, 4.5))
    for policy in dict.fromkeys(row["policy"] for row in rows):
        for axis, group in zip(axes, ("requests", "jobs"), strict=True):
            loads = sorted({row["load"] for row in rows})
            points = [
                statistics.median(
                    row["run"]["measured"][group]["ratio_mean"]
                    for row in rows
                    if row["policy"] == policy and row["load"] == load
                )
                for load in loads
                if any(r["policy"] == policy and r["load"] == load for r in rows)
            ]
            axis.plot(loads[: len(points)], points, marker="o", label=policy)
            axis.set_title(f"{group}: mean response / ideal")
            axis.set_xlabel("load, share of the slots' capacity")
            axis.set_yscale("log")
    axes[0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(OUTPUT_FOLDER / "policies.svg")


def main() -> None:
    """Run the comparison."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--loads", default="0.5,0.8,0.95,1.2")
    parser.add_argument(
        "--policies", default="all", help="policy names, separated by ';'"
    )
    parser.add_argument("--deployment", default="anadolu")
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--deadline", type=float, default=DEADLINE_SECONDS)
    parser.add_argument("--name", default="policies")
    arguments = parser.parse_args()
    OUTPUT_FOLDER.mkdir(parents=True, exist_ok=True)
    deployment = DEPLOYMENTS[arguments.deployment]
    chosen = arguments.policies.split(";")
    selected = [p for p in POLICIES if p.name in chosen or arguments.policies == "all"]
    round_trip = 2 * (deployment.vm_delay_seconds + deployment.client_delay_seconds)
    rows = []
    for run in range(arguments.runs):
        for load in (float(each) for each in arguments.loads.split(",")):
            seed = 1000 + run
            trace = make_trace(
                seed, arguments.seconds, AGENT_COUNT * SLOTS_PER_AGENT, load
            )
            for policy in selected:
                row = {
                    "deployment": deployment.name,
                    "policy": policy.name,
                    "load": load,
                    "seed": seed,
                    "at": time.time(),
                    "deadline": arguments.deadline,
                    "run": run_one(
                        policy,
                        deployment,
                        load,
                        arguments.seconds,
                        seed,
                        arguments.deadline,
                    ),
                    "bound_first_come": summarise_bound(trace, round_trip, 0.0),
                    "bound_rank": summarise_bound(trace, round_trip, 16.0),
                }
                rows.append(row)
                print(format_row(row), flush=True)
                path = OUTPUT_FOLDER / f"{arguments.name}.json"
                path.write_text(json.dumps(rows, indent=1))
    plot_rows(rows)


if __name__ == "__main__":
    main()
