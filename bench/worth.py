"""Where worth is lost: a run's structured logs, summed up by queue and by time.

    python -m bench.worth LOG [--span 2] [--plot FILE]

``LOG`` holds the lines of all entries and agents. A line may carry a time and a name
before its JSON object; that time then counts, as processes' own clocks differ.
"""

import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from absl import app, flags

SPAN = flags.DEFINE_float("span", 2.0, "seconds that one line of the table covers")
PLOT = flags.DEFINE_string("plot", "", "file for a plot, besides the tables")

LATE_FACTOR = 3.0
"""Multiple of its objective after which a result is of no use to its caller."""

COLUMNS = ("asked", "in time", "late", "useless", "refused", "given up", "open")


class Line(NamedTuple):
    """One logged decision, and when it was written, in seconds."""

    at: float
    fields: dict[str, Any]


class Job(NamedTuple):
    """A job as its entry saw it.

    :param fate: one of ``COLUMNS``.
    :param why: reason of a refusal or of giving up.
    """

    at: float
    queue: str
    fate: str
    why: str


def read_lines(rows: Iterable[str]) -> Iterator[Line]:
    """Decode the lines that hold a decision; others are passed over."""
    for row in rows:
        before, brace, rest = row.partition("{")
        if not brace:
            continue
        try:
            fields = json.loads(brace + rest)
        except json.JSONDecodeError:
            continue
        words = before.split()
        if "event" in fields:
            yield Line(float(words[0]) if words else fields["at"], fields)


def follow_jobs(lines: list[Line]) -> list[Job]:
    """Tell what became of each job."""
    jobs = []
    taken: dict[tuple[str, str], Line] = {}
    for line in lines:
        event = line.fields["event"]
        key = (line.fields["process"], line.fields.get("request", ""))
        if event == "job_accepted":
            taken[key] = line
        elif event == "job_refused" and key not in taken:
            queue, why = line.fields["queue"], line.fields["reason"]
            jobs.append(Job(line.at, queue, "refused", why))
        elif event == "job_ended" and key in taken:
            jobs.append(_end(taken.pop(key), line))
    for line in taken.values():
        jobs.append(Job(line.at, line.fields["queue"], "open", "never ended here"))
    return sorted(jobs)


def _end(accepted: Line, ended: Line) -> Job:
    at, queue = accepted.at, accepted.fields["queue"]
    took, objective = ended.fields["s"], ended.fields["objective"]
    if ended.fields["end"] != "completed":
        return Job(at, queue, "given up", ended.fields["reason"])
    if took <= objective:
        return Job(at, queue, "in time", "")
    late = took <= LATE_FACTOR * objective
    return Job(at, queue, "late" if late else "useless", "")


def follow_runs(lines: list[Line], span: float) -> dict[int, Counter[str]]:
    """Count what became of runs in each span, and the mean number at work."""
    begun: dict[tuple[str, str, int], float] = {}
    counts: dict[int, Counter[str]] = defaultdict(Counter)
    for line in lines:
        event = line.fields["event"]
        request, run = line.fields.get("request", ""), line.fields.get("run", 0)
        key = (line.fields["process"], request, run)
        bucket = counts[int(line.at // span)]
        if event == "start_ordered":
            begun[key] = line.at
            bucket["ordered"] += 1
        elif event == "run_ended":
            bucket[line.fields["end"]] += 1
            if key in begun:
                _spread(counts, begun.pop(key), line.at, span)
        elif event in ("run_moved", "agent_ejected", "start_unanswered"):
            bucket[event] += 1
    return counts


def _spread(
    counts: dict[int, Counter[str]], begin: float, end: float, span: float
) -> None:
    at = begin
    while at < end:
        until = min(end, (int(at // span) + 1) * span)
        counts[int(at // span)]["milliseconds"] += round(1000 * (until - at))
        at = until + 1e-9


def print_jobs(jobs: list[Job], span: float) -> None:
    """Print one table a queue: fates by span, and the reasons."""
    for queue in sorted({job.queue for job in jobs}):
        mine = [job for job in jobs if job.queue == queue]
        print(f"\n{queue}: {len(mine)} jobs")
        print("      at" + "".join(f"{name:>10}" for name in COLUMNS))
        spans: dict[int, Counter[str]] = defaultdict(Counter)
        for job in mine:
            spans[int(job.at // span)][job.fate] += 1
            spans[int(job.at // span)]["asked"] += 1
        for number, counts in sorted(spans.items()):
            row = "".join(f"{counts[name]:>10}" for name in COLUMNS)
            print(f"{number * span:8.1f}{row}")
        reasons = Counter((job.fate, job.why) for job in mine)
        total = len(mine)
        for (fate, why), count in reasons.most_common():
            print(f"  {fate:10}{why:24}{count:6}{100 * count / total:7.1f} %")


def print_runs(counts: dict[int, Counter[str]], span: float) -> None:
    """Print what became of runs, by span."""
    names = sorted({name for each in counts.values() for name in each})
    names.remove("milliseconds") if "milliseconds" in names else None
    print("\nruns; 'at work' is the mean number at endpoints")
    print("      at   at work" + "".join(f"{name[:12]:>13}" for name in names))
    for number, each in sorted(counts.items()):
        row = "".join(f"{each[name]:>13}" for name in names)
        work = each["milliseconds"] / 1000 / span
        print(f"{number * span:8.1f}{work:10.1f}{row}")


def plot_jobs(jobs: list[Job], span: float, path: str) -> None:
    """Draw the fates of all jobs over time."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    first = int(min(job.at for job in jobs) // span)
    last = int(max(job.at for job in jobs) // span)
    axis = [number * span for number in range(first, last + 1)]
    series = []
    for fate in COLUMNS[1:]:
        counts = Counter(int(job.at // span) for job in jobs if job.fate == fate)
        series.append([counts[number] for number in range(first, last + 1)])
    figure, axes = pyplot.subplots(figsize=(9, 4))
    axes.stackplot(axis, series, labels=COLUMNS[1:])
    axes.set_xlabel("seconds")
    axes.set_ylabel(f"jobs asked in {span:g} s")
    axes.legend(loc="upper left", fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def main(argv: list[str]) -> int:
    """Sum up one log."""
    if len(argv) != 2:
        print(__doc__, file=sys.stderr)
        return 2
    with open(argv[1], encoding="utf-8", errors="replace") as file:
        lines = sorted(read_lines(file), key=lambda line: line.at)
    jobs = follow_jobs(lines)
    print_jobs(jobs, SPAN.value)
    print_runs(follow_runs(lines, SPAN.value), SPAN.value)
    if PLOT.value and jobs:
        plot_jobs(jobs, SPAN.value, PLOT.value)
    return 0


if __name__ == "__main__":
    app.run(main)
