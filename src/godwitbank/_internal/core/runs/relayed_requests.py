"""Requests to start a job that this entry has relayed to another one."""

from collections import Counter
from typing import NamedTuple

from godwitbank._internal.models.run_messages import Acquired


class AcquireRequest(NamedTuple):
    """An entry's request to start a job.

    :param owner: the requesting entry's incarnation.
    :param request_number: number of the request, counted by that entry.
    :param stream: on which the requesting entry, or the one that relayed the request,
        is answered.
    :param acting: whether this entry decides in place of the home.
    :param hops: how often the request may still be relayed.
    """

    job: str
    owner: str
    request_number: int
    stream: int
    acting: bool
    hops: int


class RelayedRequest(NamedTuple):
    """A relayed request that was not answered yet.

    :param stream: on which it was relayed.
    :param acting: whether the receiver decides in place of this entry.
    """

    request: AcquireRequest
    stream: int
    acting: bool


class RelayedRequests:
    """Relayed requests that were not answered yet."""

    def __init__(self) -> None:
        self._relayed: list[RelayedRequest] = []
        self._acting: Counter[str] = Counter()

    def add(self, relayed: RelayedRequest) -> None:
        """Add a request."""
        self._relayed.append(relayed)
        if relayed.acting:
            self._acting[relayed.request.job] += 1

    def is_decided_elsewhere(self, job: str) -> bool:
        """Return whether another entry decides about a job in place of this one."""
        return job in self._acting

    def pop_answered(self, stream: int, answer: Acquired) -> list[AcquireRequest]:
        """Remove and return the requests that an answer on a stream belongs to."""
        return self._pop(
            [
                each
                for each in self._relayed
                if each.stream == stream and each.request[:3] == answer[:3]
            ]
        )

    def pop_sent_on(self, stream: int) -> list[AcquireRequest]:
        """Remove and return the requests that were relayed on a closed stream."""
        return self._pop([each for each in self._relayed if each.stream == stream])

    def drop_received_on(self, stream: int) -> None:
        """Remove the requests that came on a closed stream."""
        self._pop([each for each in self._relayed if each.request.stream == stream])

    def _pop(self, chosen: list[RelayedRequest]) -> list[AcquireRequest]:
        for each in chosen:
            self._relayed.remove(each)
            if each.acting:
                self._acting[each.request.job] -= 1
        self._acting = +self._acting
        return [each.request for each in chosen]
