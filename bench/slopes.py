"""Measures the cost of each start, connection, remembered task id and document.

``make slopes`` writes ``docs/measurements/slopes.json`` and prints a table. Each slope
is that of a least-squares line through at least four points; the spread is the largest
distance of a point from the line.
"""

import argparse
import asyncio
import json
import statistics
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import httpx
from standins.fleet import Fleet, ManagedProcess, pick_port, wait_for

from bench.policies import POLICIES, write_document
from godwitbank._internal.core.catalog import Catalog
from godwitbank._internal.core.events import RunEnded
from godwitbank._internal.core.pool import AgentView, Pool
from godwitbank._internal.core.queue import ServiceQueue
from godwitbank._internal.core.service import Service
from godwitbank._internal.core.task_history import TaskHistory
from godwitbank._internal.core.work import Job
from godwitbank._internal.models.messages import (
    Ending,
    Finished,
    Heartbeat,
    Load,
    Message,
    PeerLoad,
    Start,
    Want,
)
from godwitbank._internal.models.tasks import Submission, TaskKey, TaskSpec
from godwitbank._internal.network.codec import encode

OUTPUT_FOLDER = Path("docs/measurements")
STUB_PROCESSES = 4
SETTLE_SECONDS = 2.0
STARTS_PER_SECOND = (250, 500, 1000, 1500, 2000)
REQUESTS_PER_SECOND = (25, 50, 100, 200, 300)


class Slope(NamedTuple):
    """A least-squares line through measured points.

    :param per: unit of x.
    :param unit: unit of y.
    :param offset: value of the line at x = 0.
    :param spread: largest distance of a point from the line, in units of y.
    """

    name: str
    per: str
    unit: str
    slope: float
    offset: float
    spread: float
    points: list[tuple[float, float]]


def fit_line(
    name: str, per: str, unit: str, points: list[tuple[float, float]]
) -> Slope:
    """Fit a line to points and print it."""
    line = statistics.linear_regression([x for x, _ in points], [y for _, y in points])
    spread = max(abs(y - line.intercept - line.slope * x) for x, y in points)
    slope = Slope(name, per, unit, line.slope, line.intercept, spread, points)
    print(
        f"{name:34} {slope.slope:12.6g} {unit} per {per}"
        f" (at none {slope.offset:.4g}, spread {spread:.3g})",
        flush=True,
    )
    return slope


def read_cpu(running: ManagedProcess) -> float:
    """Read the CPU time of a process, in seconds.

    Uses the scheduler's counters in nanoseconds: the usual counters have a resolution
    of 10 ms, which is too coarse for an idle process.
    """
    tasks = Path(f"/proc/{running.process.pid}/task").iterdir()
    times = [int((task / "schedstat").read_text().split()[0]) for task in tasks]
    return sum(times) / 1e9


def read_memory(running: ManagedProcess) -> float:
    """Read the resident memory of a process, in bytes."""
    pages = Path(f"/proc/{running.process.pid}/statm").read_text().split()[1]
    return int(pages) * 4096


# Measurements of real processes


def _start_entry(folder: str, **settings: Any) -> Fleet:
    fleet = Fleet(Path(folder))
    fleet.start_entry(**settings)
    fleet.update_balancer()
    document = write_document(Path(folder), POLICIES[-1])
    text = document.read_text().replace("slots = 8", "slots = 64")
    document.write_text(text)
    applied = fleet.run_operator_command("apply", str(document))
    assert applied.returncode == 0, applied.stderr
    return fleet


def _start_stubs(fleet: Fleet, count: int, processes: int) -> None:
    entry = f"127.0.0.1:{fleet.entries[0].stream_port}"
    for number in range(processes):
        share = count // processes + (number < count % processes)
        first = pick_port()
        # The consecutive ports aren't reserved. If one is in use, an agent is missing
        # and await_agents fails.
        fleet.start_process(
            f"stubs-{number}",
            "-m",
            "bench.stubs",
            "agents",
            str(share),
            entry,
            str(first + 40 + number * 500),
        )
    fleet.wait_for_agents(count)


async def _send_jobs(url: str, rate: float, size: int, seconds: float) -> int:
    """Send jobs at a fixed rate; returns the tasks of successful jobs.

    :param rate: tasks per second.
    :param size: tasks of each job.
    :param seconds: duration of the load.
    """
    tasks = [
        {"id": f"t{n}", "class": "size-change", "payload": {"run_ms": 30}}
        for n in range(size)
    ]
    body = json.dumps({"tasks": tasks}).encode()
    limits = httpx.Limits(max_connections=1000)
    async with httpx.AsyncClient(timeout=60, limits=limits) as client:
        requests = []
        started = time.monotonic()
        for number in range(int(rate * seconds / size)):
            delay = started + number * size / rate - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            requests.append(asyncio.create_task(client.post(url, content=body)))
        responses = await asyncio.gather(*requests)
    return sum(size for response in responses if response.is_success)


def measure_entry_starts(size: int) -> Slope:
    """Measure an entry's CPU time per start, with jobs of ``size`` tasks."""
    points = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = _start_entry(folder)
        try:
            _start_stubs(fleet, 12, STUB_PROCESSES)
            url = f"http://127.0.0.1:{fleet.entries[0].http_port}/v1/services/desk/jobs"
            for rate in STARTS_PER_SECOND if size > 1 else REQUESTS_PER_SECOND:
                before, started = read_cpu(fleet.entries[0]), time.monotonic()
                done = asyncio.run(_send_jobs(url, rate, size, 5.0))
                elapsed = time.monotonic() - started
                cpu_seconds = read_cpu(fleet.entries[0]) - before
                points.append((done / elapsed, cpu_seconds / elapsed))
        finally:
            fleet.stop()
    return fit_line(f"entry, jobs of {size}", "start/s", "core", points)


def measure_entry_limit() -> float:
    """Offer one entry more load than it can serve; returns its starts per second."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = _start_entry(folder)
        try:
            _start_stubs(fleet, 12, STUB_PROCESSES)
            url = f"http://127.0.0.1:{fleet.entries[0].http_port}/v1/services/desk/jobs"
            started = time.monotonic()
            done = asyncio.run(_send_jobs(url, 6000, 100, 4.0))
            rate = done / (time.monotonic() - started)
        finally:
            fleet.stop()
    print(f"one entry, jobs of 100, offered 6000: {rate:.0f} starts a second")
    return rate


def measure_entry_agents() -> list[Slope]:
    """Measure an idle entry's CPU time and memory per agent."""
    cpu, memory = [], []
    for count in (10, 50, 100, 200, 300):
        with tempfile.TemporaryDirectory() as folder:
            fleet = _start_entry(folder)
            try:
                _start_stubs(fleet, count, STUB_PROCESSES)
                time.sleep(SETTLE_SECONDS)
                before, started = read_cpu(fleet.entries[0]), time.monotonic()
                time.sleep(6.0)
                elapsed = time.monotonic() - started
                cpu_seconds = read_cpu(fleet.entries[0]) - before
                cpu.append((float(count), cpu_seconds / elapsed))
                memory.append((float(count), read_memory(fleet.entries[0])))
            finally:
                fleet.stop()
    return [
        fit_line("entry, idle", "agent", "core", cpu),
        fit_line("entry, resident", "agent", "byte", memory),
    ]


def measure_agent_entries() -> list[Slope]:
    """Measure an idle agent's CPU time and memory per entry."""
    cpu, memory = [], []
    for count in (1, 4, 8, 16, 32):
        with tempfile.TemporaryDirectory() as folder:
            fleet = _start_entry(folder)
            try:
                agent = fleet.start_agent()
                fleet.start_endpoint(agent)
                address = f"127.0.0.1:{agent.stream_port}"
                fleet.start_process(
                    "stubs", "-m", "bench.stubs", "entries", str(count), address
                )
                time.sleep(SETTLE_SECONDS)
                before, started = read_cpu(agent), time.monotonic()
                time.sleep(6.0)
                elapsed = time.monotonic() - started
                cpu.append((float(count), (read_cpu(agent) - before) / elapsed))
                memory.append((float(count), read_memory(agent)))
            finally:
                fleet.stop()
    return [
        fit_line("agent, idle", "entry", "core", cpu),
        fit_line("agent, resident", "entry", "byte", memory),
    ]


def measure_agent_starts() -> Slope:
    """Measure a real agent's CPU time per start."""
    points = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = _start_entry(folder)
        try:
            agent = fleet.start_agent()
            fleet.start_endpoint(agent, slots=64)
            fleet.wait_for_agents(1)
            url = f"http://127.0.0.1:{fleet.entries[0].http_port}/v1/services/desk/jobs"
            for rate in (20, 40, 80, 120, 160):
                before, started = read_cpu(agent), time.monotonic()
                done = asyncio.run(_send_jobs(url, rate, 10, 5.0))
                elapsed = time.monotonic() - started
                points.append((done / elapsed, (read_cpu(agent) - before) / elapsed))
        finally:
            fleet.stop()
    return fit_line("agent, starting", "start/s", "core", points)


def measure_propagation() -> list[tuple[float, float]]:
    """Measure how long an applied document takes to reach all processes."""
    points = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = _start_entry(folder)
        try:
            for entries in (1, 2, 4, 6):
                while len(fleet.entries) < entries:
                    fleet.start_entry()
                fleet.update_balancer()
                agents = entries * 2
                while len(fleet.agents) < agents:
                    fleet.start_endpoint(fleet.start_agent())
                fleet.wait_for_agents(agents)
                points.append((float(entries + agents), _time_apply(fleet, folder)))
        finally:
            fleet.stop()
    print("in force everywhere, processes and seconds:", points)
    return points


def _time_apply(fleet: Fleet, folder: str) -> float:
    """Apply the document and measure the seconds until all processes report it."""
    applied = fleet.run_operator_command("apply", str(Path(folder) / "bench.toml"))
    started = time.monotonic()
    revision = int(applied.stdout.split()[-1])

    def is_installed_everywhere() -> bool:
        statuses = [
            httpx.get(f"http://127.0.0.1:{each.http_port}/v1/{path}").json()
            for path, processes in (
                ("status", fleet.entries),
                ("endpoint", fleet.agents),
            )
            for each in processes
        ]
        return all(each["revisions"].get("desk") == revision for each in statuses)

    wait_for(is_installed_everywhere, "the revision everywhere")
    return time.monotonic() - started


# Measurements in this process


def _measure_memory(build: Callable[[int], object], sizes: tuple[int, ...]) -> Any:
    """Measure the memory of an object built with each size, in bytes."""
    points = []
    for size in sizes:
        tracemalloc.start()
        built = build(size)
        points.append((float(size), float(tracemalloc.get_traced_memory()[0])))
        tracemalloc.stop()
        del built
    return points


def _fill_history(count: int) -> TaskHistory:
    history = TaskHistory(max_records=10**9)
    for number in range(count):
        key = TaskKey(f"{number:032x}", number % 460, 1)
        history.record_start(key, 1.0, "entry", "", 0.0)
        ended = RunEnded(key, Ending.ANSWERED, 200, "application/json", b"{}", 0.1)
        history.record_end(ended, "")
        history.acknowledge(key)
    return history


def _fill_queue(count: int) -> list[Any]:
    queue = ServiceQueue()
    queue.set_class("c", 1.0, 0.3)
    jobs: list[Any] = [queue]
    for number in range(0, count, 100):
        tasks = tuple(TaskSpec("c", b'{"run_ms": 30}') for _ in range(100))
        job = Job(Submission(f"{number:032x}", "desk", tasks, 1.0), 0.0, 1.0)
        jobs.append(job)
        for task in job.tasks:
            queue.add(task)
    return jobs


def _install_documents(count: int) -> list[Any]:
    text = Path("demo/desk.toml").read_text()
    catalog = Catalog()
    built: list[Any] = [catalog]
    for number in range(count):
        name = f"service-{number}"
        catalog.install(name, 1, text.replace('"desk"', f'"{name}"'))
        installed = catalog.find(name)
        assert installed is not None
        built.append(Service(installed, Random(1), "a", 3.0, 0.0))
    return built


def measure_choice() -> Slope:
    """Measure the time to choose an agent, by the number of agents of the service."""
    points = []
    for count in (11, 100, 400, 1600):
        pool = Pool(Random(1), "a", 3.0)
        for number in range(count):
            view = AgentView(f"10.0.0.1:{number}", 0.0)
            view.service = "desk"
            view.connect(number + 1, "i", 0.0, 0.0)
            view.update_free_slots(number % 8, 0)
            pool.views.append(view)
        started = time.perf_counter()
        for _ in range(200):
            pool.choose(0.1, True)
        points.append((float(count), (time.perf_counter() - started) / 200 * 1e6))
    return fit_line("choice of an agent", "agent of the service", "microsecond", points)


def measure_frames() -> dict[str, int]:
    """Measure the size of the most common frames, in bytes."""
    key = TaskKey("0" * 32, 100, 1)
    payload = b'{"run_ms": 300, "nonce": "n100"}'
    frames: dict[str, Message] = {
        "heartbeat": Heartbeat(1e5, 2**31, 10, 0.0, 4, 100_000),
        "start": Start(key, "0" * 32, "desk", "renewal", "", 1e5, 15.0, payload),
        "finished": Finished(
            key, "answered", 200, "application/json", payload, 0.3, 4, 100_000
        ),
        "load": Load(4, 100_000),
        "want": Want(300, 5.0),
        "peer load": PeerLoad("desk", 100.0, 100.0),
    }
    sizes = {name: len(encode(message)) for name, message in frames.items()}
    print("bytes of a frame:", sizes)
    return sizes


def main() -> None:
    """Run all measurements, or those named by ``--only``."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--only", default="")
    only = parser.parse_args().only
    OUTPUT_FOLDER.mkdir(parents=True, exist_ok=True)
    path = OUTPUT_FOLDER / "slopes.json"
    results = json.loads(path.read_text()) if path.exists() else {}
    measures: dict[str, Callable[[], Any]] = {
        "frames": measure_frames,
        "remembered": lambda: fit_line(
            "agent, remembered task",
            "task",
            "byte",
            _measure_memory(_fill_history, (1000, 5000, 20000, 50000)),
        ),
        "waiting": lambda: fit_line(
            "entry, waiting task",
            "task",
            "byte",
            _measure_memory(_fill_queue, (1000, 5000, 20000, 50000)),
        ),
        "documents": lambda: fit_line(
            "entry, document",
            "document",
            "byte",
            _measure_memory(_install_documents, (50, 200, 400, 660)),
        ),
        "choice": measure_choice,
        "entry starts 100": lambda: measure_entry_starts(100),
        "entry starts 460": lambda: measure_entry_starts(460),
        "entry requests": lambda: measure_entry_starts(1),
        "entry limit": measure_entry_limit,
        "agent starts": measure_agent_starts,
        "entry agents": measure_entry_agents,
        "agent entries": measure_agent_entries,
        "spread": measure_propagation,
    }
    for name, measure in measures.items():
        if not only or name in only.split(","):
            results[name] = measure()
            path.write_text(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
