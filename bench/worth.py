"""Summarises structured logs by queue and time, to show where worth is lost.

    python -m bench.worth LOG [--span 2] [--plot FILE]

``LOG`` holds the lines of all entries and agents. A line may have a time and a process
name before its JSON object; that time then replaces the logged one, because the clocks
of the processes differ.
"""

import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from absl import app, flags

SPAN = flags.DEFINE_float("span", 2.0, "seconds covered by one row of the tables")
PLOT = flags.DEFINE_string("plot", "", "file to write a plot to, besides the tables")

LATE_LIMIT_FACTOR = 3.0
"""Multiple of the objective beyond which a result is useless to the caller."""

JOB_COLUMNS = ("asked", "in time", "late", "useless", "refused", "given up", "open")


class LogLine(NamedTuple):
    """A logged decision and the time at which it was written, in seconds."""

    at: float
    fields: dict[str, Any]


class Job(NamedTuple):
    """A job according to its entry's log.

    :param at: time of its acceptance or refusal, in seconds.
    :param outcome: one of ``JOB_COLUMNS``, except the first.
    :param reason: why the job was refused, given up or is still open; else empty.
    """

    at: float
    queue: str
    outcome: str
    reason: str


def read_log_lines(rows: Iterable[str]) -> Iterator[LogLine]:
    """Decode the lines that contain a decision and skip all others."""
    for row in rows:
        prefix, brace, rest = row.partition("{")
        if not brace:
            continue
        try:
            fields = json.loads(brace + rest)
        except json.JSONDecodeError:
            continue
        words = prefix.split()
        if "event" in fields:
            yield LogLine(float(words[0]) if words else fields["at"], fields)


def collect_jobs(lines: list[LogLine]) -> list[Job]:
    """Determine the outcome of each job."""
    jobs = []
    accepted: dict[tuple[str, str], LogLine] = {}
    for line in lines:
        event = line.fields["event"]
        key = (line.fields["process"], line.fields.get("request", ""))
        if event == "job_accepted":
            accepted[key] = line
        elif event == "job_refused" and key not in accepted:
            queue, reason = line.fields["queue"], line.fields["reason"]
            jobs.append(Job(line.at, queue, "refused", reason))
        elif event == "job_ended" and key in accepted:
            jobs.append(_make_ended_job(accepted.pop(key), line))
    for line in accepted.values():
        jobs.append(Job(line.at, line.fields["queue"], "open", "never ended here"))
    return sorted(jobs)


def _make_ended_job(accepted: LogLine, ended: LogLine) -> Job:
    at, queue = accepted.at, accepted.fields["queue"]
    response_seconds, objective = ended.fields["s"], ended.fields["objective"]
    if ended.fields["end"] != "completed":
        return Job(at, queue, "given up", ended.fields["reason"])
    if response_seconds <= objective:
        return Job(at, queue, "in time", "")
    late = response_seconds <= LATE_LIMIT_FACTOR * objective
    return Job(at, queue, "late" if late else "useless", "")


def count_runs(lines: list[LogLine], span_seconds: float) -> dict[int, Counter[str]]:
    """Count the events of runs in each span, and the milliseconds spent running."""
    started_at: dict[tuple[str, str, int], float] = {}
    counts: dict[int, Counter[str]] = defaultdict(Counter)
    for line in lines:
        event = line.fields["event"]
        request, run = line.fields.get("request", ""), line.fields.get("run", 0)
        key = (line.fields["process"], request, run)
        bucket = counts[int(line.at // span_seconds)]
        if event == "start_ordered":
            started_at[key] = line.at
            bucket["ordered"] += 1
        elif event == "run_ended":
            bucket[line.fields["end"]] += 1
            if key in started_at:
                _add_running_time(counts, started_at.pop(key), line.at, span_seconds)
        elif event in ("run_moved", "agent_ejected", "start_unanswered"):
            bucket[event] += 1
    return counts


def _add_running_time(
    counts: dict[int, Counter[str]], begin: float, end: float, span_seconds: float
) -> None:
    """Divide a run's duration among the spans that it covers."""
    at = begin
    while at < end:
        until = min(end, (int(at // span_seconds) + 1) * span_seconds)
        counts[int(at // span_seconds)]["milliseconds"] += round(1000 * (until - at))
        at = until + 1e-9


def print_jobs(jobs: list[Job], span_seconds: float) -> None:
    """Print a table of outcomes by span, and the reasons, for each queue."""
    for queue in sorted({job.queue for job in jobs}):
        queue_jobs = [job for job in jobs if job.queue == queue]
        print(f"\n{queue}: {len(queue_jobs)} jobs")
        print("      at" + "".join(f"{name:>10}" for name in JOB_COLUMNS))
        spans: dict[int, Counter[str]] = defaultdict(Counter)
        for job in queue_jobs:
            spans[int(job.at // span_seconds)][job.outcome] += 1
            spans[int(job.at // span_seconds)]["asked"] += 1
        for number, counts in sorted(spans.items()):
            row = "".join(f"{counts[name]:>10}" for name in JOB_COLUMNS)
            print(f"{number * span_seconds:8.1f}{row}")
        reasons = Counter((job.outcome, job.reason) for job in queue_jobs)
        total = len(queue_jobs)
        for (outcome, reason), count in reasons.most_common():
            print(f"  {outcome:10}{reason:24}{count:6}{100 * count / total:7.1f} %")


def print_runs(counts: dict[int, Counter[str]], span_seconds: float) -> None:
    """Print the events of runs, and the mean number of active runs, by span."""
    names = sorted({name for each in counts.values() for name in each})
    names.remove("milliseconds") if "milliseconds" in names else None
    print("\nruns; 'at work' is the mean number at endpoints")
    print("      at   at work" + "".join(f"{name[:12]:>13}" for name in names))
    for number, each in sorted(counts.items()):
        row = "".join(f"{each[name]:>13}" for name in names)
        mean_running = each["milliseconds"] / 1000 / span_seconds
        print(f"{number * span_seconds:8.1f}{mean_running:10.1f}{row}")


def plot_jobs(jobs: list[Job], span_seconds: float, path: str) -> None:
    """Plot the outcomes of all jobs over time."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    first = int(min(job.at for job in jobs) // span_seconds)
    last = int(max(job.at for job in jobs) // span_seconds)
    times = [number * span_seconds for number in range(first, last + 1)]
    series = []
    for outcome in JOB_COLUMNS[1:]:
        counts = Counter(
            int(job.at // span_seconds) for job in jobs if job.outcome == outcome
        )
        series.append([counts[number] for number in range(first, last + 1)])
    figure, axes = pyplot.subplots(figsize=(9, 4))
    axes.stackplot(times, series, labels=JOB_COLUMNS[1:])
    axes.set_xlabel("seconds")
    axes.set_ylabel(f"jobs asked in {span_seconds:g} s")
    axes.legend(loc="upper left", fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def main(argv: list[str]) -> int:
    """Summarise one log."""
    if len(argv) != 2:
        print(__doc__, file=sys.stderr)
        return 2
    with open(argv[1], encoding="utf-8", errors="replace") as file:
        lines = sorted(read_log_lines(file), key=lambda line: line.at)
    jobs = collect_jobs(lines)
    print_jobs(jobs, SPAN.value)
    print_runs(count_runs(lines, SPAN.value), SPAN.value)
    if PLOT.value and jobs:
        plot_jobs(jobs, SPAN.value, PLOT.value)
    return 0


if __name__ == "__main__":
    app.run(main)
