"""A stand-in for the platform's endpoint daemon, over HTTP.

Usage: ``python -m standins.platform_endpoint SERVICE ADDRESS AGENT CORES ZONE [ID]``.
With an ID, it starts again under that id, and its clock starts anew.
A task's run time in seconds is the payload of its job. ``PUT /control`` sets the fields
of ``Behaviour``, ``draining``, ``cold_seconds`` (how long the endpoint is warming up),
``lose_starts`` (how many orders to start get no answer) and ``carry_out_after`` (after
how many seconds those orders are carried out; 0: never). Each start and each end is
written as a JSON line to standard output, with times of the machine's monotonic clock.
"""

import asyncio
import contextlib
import json
import sys
import time
from typing import Any

import httpx
import uvicorn
from litestar import Litestar, Request, Response, get, post, put

from godwitbank._internal.core.runs.events import (
    OrderStart,
    OrderStop,
    RenewalFailed,
    RenewLease,
    StartAnswered,
)
from godwitbank._internal.core.runs.verdicts import StartVerdict
from godwitbank._internal.models.resources import Resources
from standins.leased_endpoint import Behaviour, FakeEndpoint

REPORT_INTERVAL_SECONDS = 0.5
POLL_INTERVAL_SECONDS = 0.005

_REASONS = {
    StartVerdict.FENCED: "fence",
    StartVerdict.SUPERSEDED: "old",
    StartVerdict.LAPSED: "late",
}


class Daemon:
    """The endpoint from one boot to the next, with its fault controls.

    :param address: ``host:port`` on which the endpoint listens.
    :param agent: ``host:port`` to which the endpoint reports.
    """

    def __init__(
        self,
        service: str,
        address: str,
        agent: str,
        cores: int,
        zone: str,
        instance: str = "",
    ) -> None:
        self.address = address
        self.zone = zone
        self.agent = agent
        born = int(time.time() * 1000)
        base = 0 if instance else born % 10**9
        instance = instance or f"i-{int(time.time() * 1e6):x}"
        capacity = Resources(cores * 1000, 65536, 0)
        self.endpoint = FakeEndpoint(instance, service, capacity, base, born=born)
        self.lose_starts = 0
        self.carry_out_after = 0.0
        self.drain_heard_at = 0.0
        self.most_at_once = 0
        self._written_ends = 0
        self.started_at = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since boot."""
        return time.monotonic() - self.started_at

    def start(self, order: OrderStart, late: bool) -> StartAnswered:
        """Carry out an order to start, and write an event if a run started.

        :param late: whether the order is carried out some seconds after it was given.
        """
        before = len(self.endpoint.started)
        answer = self.endpoint.start(order, self.now, float(order.payload))
        if len(self.endpoint.started) > before:
            self.write_event(
                event="began",
                task=order.task,
                run=order.run,
                late=late,
                alive=len(self.endpoint.active_runs),
                drain_heard_at=self.drain_heard_at,
            )
        self.most_at_once = max(self.most_at_once, len(self.endpoint.active_runs))
        return answer

    async def lose_start_answer(self, order: OrderStart) -> None:
        """Leave an order unanswered; carry it out after ``carry_out_after`` seconds."""
        if self.carry_out_after:
            await asyncio.sleep(self.carry_out_after)
            self.start(order, late=True)
        await asyncio.sleep(3600)

    def write_event(self, **fields: Any) -> None:
        """Write an event to standard output as a JSON line."""
        line = {"instance": self.endpoint.instance, "at": time.monotonic(), **fields}
        # A single write, as other processes append lines to the same file.
        sys.stdout.write(json.dumps(line) + "\n")
        sys.stdout.flush()

    async def write_ends_forever(self) -> None:
        """Write an event for each run that ends, until cancelled."""
        while True:
            self.endpoint.advance(self.now)
            self.write_ends()
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    def write_ends(self) -> None:
        """Write an event for each end that was detected since the last call."""
        for ended_run in self.endpoint.ended_runs[self._written_ends :]:
            self.write_event(
                event="ended",
                task=ended_run.task,
                run=ended_run.run,
                ended=self.started_at + ended_run.ended,
                end=str(ended_run.end),
            )
        self._written_ends = len(self.endpoint.ended_runs)

    def make_report_body(self) -> dict[str, Any]:
        """Make the body of the next report."""
        report = self.endpoint.make_report(self.now)
        capacity = report.capacity
        return {
            "service": report.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if report.draining else "ready",
            "cold-left-ms": int(report.cold_left * 1000),
            "capacity": {
                "cpu": capacity.cpu,
                "mem-mb": capacity.memory,
                "gpu": capacity.gpu,
            },
            "labels": list(report.labels),
            "clock-ms": report.clock,
            "seq": report.sequence,
            "born": report.born,
        }

    async def report_forever(self) -> None:
        """Report to the agent on the same VM, until cancelled."""
        async with httpx.AsyncClient(trust_env=False) as client:
            url = f"http://{self.agent}/-/instances/{self.endpoint.instance}"
            while True:
                with contextlib.suppress(httpx.HTTPError):
                    body = self.make_report_body()
                    answer = await client.put(url, json=body, timeout=1.0)
                    drain_acknowledged = (
                        answer.is_success and body["state"] == "draining"
                    )
                    if drain_acknowledged and not self.drain_heard_at:
                        self.drain_heard_at = time.monotonic()
                await asyncio.sleep(REPORT_INTERVAL_SECONDS)


def make_app(daemon: Daemon) -> Litestar:
    """Make the HTTP application of the endpoint."""
    fake = daemon.endpoint

    def is_for_other_instance(request: Request) -> bool:
        expected = request.headers.get("expect-instance", "")
        return expected not in ("", fake.instance)

    @post("/-/run-start", status_code=200)
    async def start(request: Request) -> Response[Any]:
        if is_for_other_instance(request):
            return Response({}, status_code=421)
        body = await request.json()
        order = OrderStart(
            fake.instance,
            body["task"],
            body["run"],
            body["spec"],
            body["deadline-ms"],
            body["fence-token"],
            body.get("last-checkpoint", ""),
            0.0,
        )
        if daemon.lose_starts > 0:
            daemon.lose_starts -= 1
            await daemon.lose_start_answer(order)
        answer = daemon.start(order, late=False)
        clock = {"clock-ms": answer.clock}
        if answer.verdict == StartVerdict.STARTED:
            return Response(clock, status_code=200)
        if answer.verdict == StartVerdict.UNHEALTHY:
            return Response({}, status_code=503)
        reason = _REASONS[StartVerdict(answer.verdict)]
        return Response({**clock, "reason": reason}, status_code=409)

    @post("/-/run-stop", status_code=200)
    async def stop(request: Request) -> Response[Any]:
        if is_for_other_instance(request):
            return Response({}, status_code=421)
        body = await request.json()
        token = body["fence-token"]
        fake.stop(
            OrderStop(fake.instance, body["task"], body["run"], token), daemon.now
        )
        return Response({"clock-ms": fake.clock(daemon.now)})

    @post("/-/hold", status_code=200)
    async def hold(request: Request) -> Response[Any]:
        if is_for_other_instance(request):
            return Response({}, status_code=421)
        body = await request.json()
        wait = body.get("wait-ms", 0)
        order = RenewLease(
            0,
            fake.instance,
            body.get("deadline-ms"),
            body["fence-token"],
            body["last-seen"],
            wait,
            0.0,
        )
        answer = fake.renew_lease(order, daemon.now)
        until = daemon.now + wait / 1000
        while not isinstance(answer, RenewalFailed):
            answer = fake.list_runs(order, daemon.now)
            if answer.ended or daemon.now >= until:
                break
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        # Written before the response: if the endpoint is killed after it has responded,
        # the log still holds every end that it has reported.
        daemon.write_ends()
        if isinstance(answer, RenewalFailed):
            clock = answer.clock
            return Response({"clock-ms": clock, "reason": "fence"}, status_code=409)
        return Response(
            {
                "clock-ms": answer.clock,
                "born": answer.born,
                "running": [list(row) for row in answer.running],
                "ended": [
                    [*row[:3], _format_end(row[3]), row[4]] for row in answer.ended
                ],
            }
        )

    @put("/control", status_code=200)
    async def control(request: Request) -> dict[str, Any]:
        body = await request.json()
        fake.draining = body.pop("draining", fake.draining)
        fake.warming_up_until = daemon.now + body.pop("cold_seconds", 0.0)
        daemon.lose_starts = body.pop("lose_starts", daemon.lose_starts)
        daemon.carry_out_after = body.pop("carry_out_after", daemon.carry_out_after)
        fake.behaviour = Behaviour(**body)
        return {}

    @get("/control")
    async def show() -> dict[str, Any]:
        fake.advance(daemon.now)
        return {
            "started": [[task, run] for _, task, run in fake.started],
            "alive": list(fake.active_runs),
            "most_at_once": daemon.most_at_once,
        }

    return Litestar(
        route_handlers=[start, stop, hold, control, show],
        openapi_config=None,
        logging_config=None,
    )


def _format_end(end: str) -> str:
    return "lapsed" if end == "lost" else str(end)


async def main() -> None:
    """Serve until killed."""
    service, address, agent, cores, zone, *instance = sys.argv[1:7]
    daemon = Daemon(service, address, agent, int(cores), zone, *instance)
    host, _, port = address.rpartition(":")
    config = uvicorn.Config(
        make_app(daemon), host=host, port=int(port), log_level="warning"
    )
    daemon.write_event(event="booted")
    background_tasks = [
        asyncio.create_task(daemon.report_forever()),
        asyncio.create_task(daemon.write_ends_forever()),
    ]
    await uvicorn.Server(config).serve()
    for background_task in background_tasks:
        background_task.cancel()


if __name__ == "__main__":
    asyncio.run(main())
