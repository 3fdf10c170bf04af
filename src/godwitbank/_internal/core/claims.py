"""Claims of non-idempotent request ids in the platform's table.

A claim is written before its task starts. Claims that arrive while a write is in
progress are batched into the next one. A claim's token names one task of one
submission, so that a write whose answer was lost can be repeated and the row
recognised as the entry's own.
"""

from collections import OrderedDict
from typing import NamedTuple

MAX_BATCH_CLAIMS = 200
"""Most claims in one transaction."""

MAX_REMEMBERED_TOKENS = 20_000
"""Most tokens kept as held by this entry, and as many as abandoned by it."""

FAILURES_BEFORE_REFUSAL = 2
"""Consecutive writes without an answer after which new claims are refused."""

WRITES_PER_SECOND = 300.0
"""Claim writes per second of all entries together; the table takes several hundred
writes per second in all."""

RETRY_DELAY_SECONDS = 0.1
"""Seconds before a batch that got no answer is written again."""


class Claim(NamedTuple):
    """A request to claim a request id for one task."""

    key: str
    token: str
    requested_at: float


class Batch(NamedTuple):
    """Claims to commit in one transaction.

    :param claims: token to write for each key.
    :param supersedes: for some of the keys, the token of a claim that this entry
        abandoned; it may be replaced, because its task can never start.
    """

    number: int
    claims: dict[str, str]
    supersedes: dict[str, str]


class Claims:
    """Groups claims into batches and tracks the one batch being written."""

    def __init__(self) -> None:
        self._waiting: OrderedDict[str, Claim] = OrderedDict()
        self._batch: Batch | None = None
        self._retry_at = 0.0
        self._next_write_at = 0.0
        self._number = 0
        self._failures = 0
        self._held: OrderedDict[str, str] = OrderedDict()
        self._abandoned: OrderedDict[str, str] = OrderedDict()

    def find_holder(self, key: str) -> str | None:
        """Find the token with which this entry holds or requests a key."""
        return self._held.get(key)

    def request(self, key: str, token: str, now: float) -> None:
        """Queue a claim; from now on this entry treats the key as held."""
        self._waiting[key] = Claim(key, token, now)
        self._remember_token(self._held, key, token)

    def next_batch(self, now: float, entries: int) -> Batch | None:
        """Return the batch to write now, or ``None``.

        :param entries: number of known entries, including this one. They share
            the table's write rate, so with more entries each one writes less
            often, in larger batches.
        """
        if self._batch is not None:
            if self._retry_at and now >= self._retry_at:
                self._retry_at = 0.0
                return self._batch
            return None
        if not self._waiting or now < self._next_write_at:
            return None
        self._next_write_at = now + entries / WRITES_PER_SECOND
        keys = list(self._waiting)[:MAX_BATCH_CLAIMS]
        claims = {key: self._waiting.pop(key).token for key in keys}
        supersedes = {
            key: self._abandoned[key] for key in claims if key in self._abandoned
        }
        self._number += 1
        self._batch = Batch(self._number, claims, supersedes)
        return self._batch

    def resolve(self, number: int, lost: dict[str, str]) -> dict[str, bool]:
        """Handle the result of a committed batch.

        :param lost: keys held by other tasks, with the token that holds each.
        :return: for each token of the batch, whether its claim was won.
        """
        if self._batch is None or self._batch.number != number:
            return {}
        results = {}
        for key, token in self._batch.claims.items():
            won = key not in lost
            results[token] = won
            if won and self._abandoned.get(key) != token:
                self._abandoned.pop(key, None)
            elif not won and self._held.get(key) == token:
                del self._held[key]
        self._batch = None
        self._failures = 0
        return results

    def mark_unanswered(self, number: int, now: float) -> None:
        """Record that a batch got no answer and schedule it again, unchanged."""
        if self._batch is not None and self._batch.number == number:
            self._retry_at = now + RETRY_DELAY_SECONDS
            self._failures += 1

    def abandon(self, key: str, token: str) -> None:
        """Give up a claim whose task was not started and never will be."""
        if self._waiting.get(key, Claim("", "", 0)).token == token:
            del self._waiting[key]
        if self._held.get(key) == token:
            del self._held[key]
            self._remember_token(self._abandoned, key, token)

    @property
    def failing(self) -> bool:
        """Whether the table has left several writes in a row unanswered."""
        return self._failures >= FAILURES_BEFORE_REFUSAL

    @property
    def next_write(self) -> float:
        """Time at which a batch may next be written, or infinity."""
        if self._batch is not None:
            return self._retry_at or float("inf")
        return self._next_write_at if self._waiting else float("inf")

    @staticmethod
    def _remember_token(tokens: OrderedDict[str, str], key: str, token: str) -> None:
        tokens[key] = token
        tokens.move_to_end(key)
        if len(tokens) > MAX_REMEMBERED_TOKENS:
            tokens.popitem(last=False)
