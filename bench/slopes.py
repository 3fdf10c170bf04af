"""Measures what each start, connection, id and document costs.

``make slopes`` writes ``docs/measurements/slopes.json`` and prints a table. Each
slope is a least-squares line through at least four points; the spread is the
largest distance of a point from it.
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

OUT = Path("docs/measurements")
STUB_PROCESSES = 4
SETTLE_SECONDS = 2.0
RATES = (250, 500, 1000, 1500, 2000)
REQUEST_RATES = (25, 50, 100, 200, 300)


class Slope(NamedTuple):
    """A line through measured points.

    :param spread: largest distance of a point from the line, in units of y.
    """

    name: str
    per: str
    unit: str
    slope: float
    offset: float
    spread: float
    points: list[tuple[float, float]]


def fit(name: str, per: str, unit: str, points: list[tuple[float, float]]) -> Slope:
    """Fit a line and print it."""
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
    """Read the processor time of a process, in seconds.

    From the scheduler's nanoseconds: the usual counters come in ticks of 10 ms,
    too coarse for a process that idles.
    """
    tasks = Path(f"/proc/{running.process.pid}/task").iterdir()
    times = [int((task / "schedstat").read_text().split()[0]) for task in tasks]
    return sum(times) / 1e9


def read_memory(running: ManagedProcess) -> float:
    """Read the resident memory of a process, in bytes."""
    pages = Path(f"/proc/{running.process.pid}/statm").read_text().split()[1]
    return int(pages) * 4096


# Real processes


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
        # Consecutive ports; a clash would show as agents missing below.
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
    tasks = [
        {"id": f"t{n}", "class": "size-change", "payload": {"run_ms": 30}}
        for n in range(size)
    ]
    body = json.dumps({"tasks": tasks}).encode()
    limits = httpx.Limits(max_connections=1000)
    async with httpx.AsyncClient(timeout=60, limits=limits) as client:
        sends = []
        began = time.monotonic()
        for number in range(int(rate * seconds / size)):
            delay = began + number * size / rate - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            sends.append(asyncio.create_task(client.post(url, content=body)))
        answers = await asyncio.gather(*sends)
    return sum(size for answer in answers if answer.is_success)


def measure_entry_starts(size: int) -> Slope:
    """Measure an entry's processor time per start, in jobs of a size."""
    points = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = _start_entry(folder)
        try:
            _start_stubs(fleet, 12, STUB_PROCESSES)
            url = f"http://127.0.0.1:{fleet.entries[0].http_port}/v1/services/desk/jobs"
            for rate in RATES if size > 1 else REQUEST_RATES:
                before, began = read_cpu(fleet.entries[0]), time.monotonic()
                done = asyncio.run(_send_jobs(url, rate, size, 5.0))
                took = time.monotonic() - began
                used = read_cpu(fleet.entries[0]) - before
                points.append((done / took, used / took))
        finally:
            fleet.stop()
    return fit(f"entry, jobs of {size}", "start/s", "core", points)


def find_entry_limit() -> float:
    """Offer one entry more than it can take; returns its starts a second."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = _start_entry(folder)
        try:
            _start_stubs(fleet, 12, STUB_PROCESSES)
            url = f"http://127.0.0.1:{fleet.entries[0].http_port}/v1/services/desk/jobs"
            began = time.monotonic()
            done = asyncio.run(_send_jobs(url, 6000, 100, 4.0))
            rate = done / (time.monotonic() - began)
        finally:
            fleet.stop()
    print(f"one entry, jobs of 100, offered 6000: {rate:.0f} starts a second")
    return rate


def measure_entry_agents() -> list[Slope]:
    """Measure an idle entry's processor time and memory per agent."""
    cpu, memory = [], []
    for count in (10, 50, 100, 200, 300):
        with tempfile.TemporaryDirectory() as folder:
            fleet = _start_entry(folder)
            try:
                _start_stubs(fleet, count, STUB_PROCESSES)
                time.sleep(SETTLE_SECONDS)
                before, began = read_cpu(fleet.entries[0]), time.monotonic()
                time.sleep(6.0)
                took = time.monotonic() - began
                used = read_cpu(fleet.entries[0]) - before
                cpu.append((float(count), used / took))
                memory.append((float(count), read_memory(fleet.entries[0])))
            finally:
                fleet.stop()
    return [
        fit("entry, idle", "agent", "core", cpu),
        fit("entry, resident", "agent", "byte", memory),
    ]


def measure_agent_entries() -> list[Slope]:
    """Measure an idle agent's processor time and memory per entry."""
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
                before, began = read_cpu(agent), time.monotonic()
                time.sleep(6.0)
                took = time.monotonic() - began
                cpu.append((float(count), (read_cpu(agent) - before) / took))
                memory.append((float(count), read_memory(agent)))
            finally:
                fleet.stop()
    return [
        fit("agent, idle", "entry", "core", cpu),
        fit("agent, resident", "entry", "byte", memory),
    ]


def measure_agent_starts() -> Slope:
    """Measure a real agent's processor time per start."""
    points = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = _start_entry(folder)
        try:
            agent = fleet.start_agent()
            fleet.start_endpoint(agent, slots=64)
            fleet.wait_for_agents(1)
            url = f"http://127.0.0.1:{fleet.entries[0].http_port}/v1/services/desk/jobs"
            for rate in (20, 40, 80, 120, 160):
                before, began = read_cpu(agent), time.monotonic()
                done = asyncio.run(_send_jobs(url, rate, 10, 5.0))
                took = time.monotonic() - began
                points.append((done / took, (read_cpu(agent) - before) / took))
        finally:
            fleet.stop()
    return fit("agent, starting", "start/s", "core", points)


def measure_spread() -> list[tuple[float, float]]:
    """Measure how long an apply takes to be in force everywhere."""
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
    applied = fleet.run_operator_command("apply", str(Path(folder) / "bench.toml"))
    began = time.monotonic()
    revision = int(applied.stdout.split()[-1])

    def spread() -> bool:
        everyone = [
            httpx.get(f"http://127.0.0.1:{each.http_port}/v1/{path}").json()
            for path, many in (("status", fleet.entries), ("endpoint", fleet.agents))
            for each in many
        ]
        return all(each["revisions"].get("desk") == revision for each in everyone)

    wait_for(spread, "the revision everywhere")
    return time.monotonic() - began


# In this process


def _trace_memory(make: Callable[[int], object], sizes: tuple[int, ...]) -> Any:
    points = []
    for size in sizes:
        tracemalloc.start()
        kept = make(size)
        points.append((float(size), float(tracemalloc.get_traced_memory()[0])))
        tracemalloc.stop()
        del kept
    return points


def _fill_memory(count: int) -> TaskHistory:
    memory = TaskHistory(max_records=10**9)
    for number in range(count):
        key = TaskKey(f"{number:032x}", number % 460, 1)
        memory.record_start(key, 1.0, "entry", "", 0.0)
        ended = RunEnded(key, Ending.ANSWERED, 200, "application/json", b"{}", 0.1)
        memory.record_end(ended, "")
        memory.acknowledge(key)
    return memory


def _fill_jobs(count: int) -> list[Any]:
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


def _fill_documents(count: int) -> list[Any]:
    text = Path("demo/desk.toml").read_text()
    catalog = Catalog()
    kept: list[Any] = [catalog]
    for number in range(count):
        name = f"service-{number}"
        catalog.install(name, 1, text.replace('"desk"', f'"{name}"'))
        held = catalog.find(name)
        assert held is not None
        kept.append(Service(held, Random(1), "a", 3.0, 0.0))
    return kept


def measure_choice() -> Slope:
    """Measure the time of one choice among agents of a service."""
    points = []
    for count in (11, 100, 400, 1600):
        pool = Pool(Random(1), "a", 3.0)
        for number in range(count):
            view = AgentView(f"10.0.0.1:{number}", 0.0)
            view.service = "desk"
            view.connect(number + 1, "i", 0.0, 0.0)
            view.update_free_slots(number % 8, 0)
            pool.views.append(view)
        began = time.perf_counter()
        for _ in range(200):
            pool.choose(0.1, True)
        points.append((float(count), (time.perf_counter() - began) / 200 * 1e6))
    return fit("choice of an agent", "agent of the service", "microsecond", points)


def measure_frames() -> dict[str, int]:
    """Measure the bytes of the commonest frames."""
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
    """Measure everything, or what is named."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--only", default="")
    only = parser.parse_args().only
    OUT.mkdir(parents=True, exist_ok=True)
    path = OUT / "slopes.json"
    found = json.loads(path.read_text()) if path.exists() else {}
    measures: dict[str, Callable[[], Any]] = {
        "frames": measure_frames,
        "remembered": lambda: fit(
            "agent, remembered task",
            "task",
            "byte",
            _trace_memory(_fill_memory, (1000, 5000, 20000, 50000)),
        ),
        "waiting": lambda: fit(
            "entry, waiting task",
            "task",
            "byte",
            _trace_memory(_fill_jobs, (1000, 5000, 20000, 50000)),
        ),
        "documents": lambda: fit(
            "entry, document",
            "document",
            "byte",
            _trace_memory(_fill_documents, (50, 200, 400, 660)),
        ),
        "choice": measure_choice,
        "entry starts 100": lambda: measure_entry_starts(100),
        "entry starts 460": lambda: measure_entry_starts(460),
        "entry requests": lambda: measure_entry_starts(1),
        "entry limit": find_entry_limit,
        "agent starts": measure_agent_starts,
        "entry agents": measure_entry_agents,
        "agent entries": measure_agent_entries,
        "spread": measure_spread,
    }
    for name, measure in measures.items():
        if not only or name in only.split(","):
            found[name] = measure()
            path.write_text(json.dumps(found, indent=1))


if __name__ == "__main__":
    main()
