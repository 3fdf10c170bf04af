"""HTTP client of the endpoint on the agent's own VM."""

from typing import Any

import msgspec

from godwitbank._internal.core.runs.events import (
    OrderStart,
    OrderStop,
    RenewalAnswered,
    RenewalFailed,
    RenewLease,
    StartAnswered,
)
from godwitbank._internal.core.runs.verdicts import RenewalVerdict, StartVerdict
from godwitbank._internal.network.http_client import (
    HttpClient,
    NoAnswerError,
    Response,
    UnreachableError,
)
from godwitbank._internal.platform.bodies import (
    OrderAnswer,
    decode_order_answer,
    decode_run_lists,
)

STOP_TIMEOUT_SECONDS = 0.3
"""Timeout of an order to stop; no other operation waits for its answer."""

MAX_CONNECTIONS = 16
"""Most connections to the endpoint, which accepts 64."""

_CONFLICT_VERDICTS = {
    "fence": StartVerdict.FENCED,
    "old": StartVerdict.SUPERSEDED,
    "late": StartVerdict.LAPSED,
    "room": StartVerdict.NO_ROOM,
    "ticket": StartVerdict.INVALID,
}

_STATUS_VERDICTS = {
    200: StartVerdict.STARTED,
    400: StartVerdict.INVALID,
    421: StartVerdict.OTHER_INSTANCE,
    429: StartVerdict.UNHEALTHY,
    503: StartVerdict.UNHEALTHY,
}


class EndpointClient:
    """Sends orders to the endpoint over HTTP.

    :param address: ``host:port`` of the endpoint.
    """

    def __init__(self, address: str) -> None:
        self._client = HttpClient(address, MAX_CONNECTIONS)

    async def start(self, order: OrderStart) -> StartAnswered:
        """Order the endpoint to start a run."""
        body: dict[str, Any] = {
            "task": order.task,
            "run": order.run,
            "spec": order.payload,
            "deadline-ms": order.lease_until,
            "fence-token": order.token,
        }
        if order.checkpoint:
            body["last-checkpoint"] = order.checkpoint
        try:
            response = await self._post(
                "/-/run-start", body, order.instance, order.timeout_seconds
            )
        except UnreachableError:
            return self._make_answer(order, StartVerdict.UNREACHABLE, None)
        except NoAnswerError:
            return self._make_answer(order, StartVerdict.NO_ANSWER, None)
        answer = decode_order_answer(response.content)
        return self._make_answer(
            order, _get_start_verdict(response.status, answer), answer.clock
        )

    def _make_answer(
        self, order: OrderStart, verdict: StartVerdict, clock: int | None
    ) -> StartAnswered:
        return StartAnswered(order.task, order.run, verdict, order.token, clock)

    async def stop(self, order: OrderStop) -> None:
        """Order the endpoint to stop a run.

        The outcome shows in the run lists of a later renewal.
        """
        body = {"task": order.task, "run": order.run, "fence-token": order.token}
        try:
            await self._post("/-/run-stop", body, order.instance, STOP_TIMEOUT_SECONDS)
        except (UnreachableError, NoAnswerError):
            # The run stays in the endpoint's lists, so that the core repeats the order.
            return

    async def renew(self, order: RenewLease) -> RenewalAnswered | RenewalFailed:
        """Renew the lease and fetch the lists of current and ended runs.

        The endpoint delays its answer for up to ``order.wait`` milliseconds, or until a
        run ends.
        """
        body: dict[str, Any] = {
            "fence-token": order.token,
            "last-seen": order.seen,
            "wait-ms": order.wait,
        }
        if order.lease_until is not None:
            body["deadline-ms"] = order.lease_until
        seconds = order.wait / 1000 + order.timeout_seconds
        try:
            response = await self._post("/-/hold", body, order.instance, seconds)
            if response.status == 200:
                lists = decode_run_lists(response.content)
                return RenewalAnswered(
                    order.renewal,
                    lists.running,
                    lists.ended,
                    lists.clock,
                    order.instance,
                    lists.born,
                )
        except (UnreachableError, NoAnswerError, msgspec.DecodeError):
            return RenewalFailed(order.renewal, RenewalVerdict.NO_ANSWER, None)
        answer = decode_order_answer(response.content)
        verdict = RenewalVerdict.REFUSED
        if response.status == 421:
            verdict = RenewalVerdict.OTHER_INSTANCE
        elif answer.reason == "fence":
            verdict = RenewalVerdict.FENCED
        return RenewalFailed(order.renewal, verdict, answer.clock)

    async def _post(
        self, path: str, body: dict[str, Any], instance: str, timeout_seconds: float
    ) -> Response:
        content = msgspec.json.encode(body)
        headers = {"Expect-Instance": instance}
        return await self._client.post(path, content, headers, timeout_seconds)

    async def close(self) -> None:
        """Close all connections."""
        self._client.close()


def _get_start_verdict(status: int, answer: OrderAnswer) -> StartVerdict:
    if status == 409:
        return _CONFLICT_VERDICTS.get(answer.reason, StartVerdict.INVALID)
    return _STATUS_VERDICTS.get(status, StartVerdict.NO_ANSWER)
