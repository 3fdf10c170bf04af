"""Claims of non-idempotent request ids in the platform's table.

A claim is written before the start and grouped with all that came in while the
last write was under way. A claim's token names one submission's task, so that a
write whose answer was lost can be sent again and recognised as its own.
"""

from collections import OrderedDict
from typing import NamedTuple

MAX_BATCH_CLAIMS = 200
"""Claims in one transaction."""

MAX_REMEMBERED_TOKENS = 20_000
"""Tokens remembered as held here or as abandoned here."""

FAILURES_BEFORE_REFUSAL = 2
"""Writes without an answer, in a row, after which new claims are refused."""

WRITES_PER_SECOND = 300.0
"""Claim writes that all entries together may make of the table's several hundred."""

RETRY_DELAY_SECONDS = 0.1
"""Seconds before a batch without an answer is sent again."""


class Claim(NamedTuple):
    """A request id wanted by one task."""

    key: str
    token: str
    requested_at: float


class Batch(NamedTuple):
    """Claims to be committed together.

    :param supersedes: tokens of this entry's own abandoned claims, which may
        be replaced because their tasks can never start.
    """

    number: int
    claims: dict[str, str]
    supersedes: dict[str, str]


class Claims:
    """Groups claims into batches, one batch at a time."""

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
        """Find the token that holds a key as far as this entry knows."""
        return self._held.get(key)

    def request(self, key: str, token: str, now: float) -> None:
        """Queue a claim; the key is held here from now on."""
        self._waiting[key] = Claim(key, token, now)
        self._remember_token(self._held, key, token)

    def next_batch(self, now: float, entries: int) -> Batch | None:
        """Take the batch to write now, if any.

        :param entries: entries known, this one included. They share the table's
            writes, so each waits that much longer and groups that many more.
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
        """Note a committed batch.

        :param lost: keys held by others with the holder's token.
        :return: for each token whether its claim was won.
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
        """Note that a batch got no answer; it is sent again as it was."""
        if self._batch is not None and self._batch.number == number:
            self._retry_at = now + RETRY_DELAY_SECONDS
            self._failures += 1

    def abandon(self, key: str, token: str) -> None:
        """Give up a claim whose task was not and will not be started."""
        if self._waiting.get(key, Claim("", "", 0)).token == token:
            del self._waiting[key]
        if self._held.get(key) == token:
            del self._held[key]
            self._remember_token(self._abandoned, key, token)

    @property
    def failing(self) -> bool:
        """Whether the table has failed more than once in a row."""
        return self._failures >= FAILURES_BEFORE_REFUSAL

    @property
    def next_write(self) -> float:
        """Time at which a batch may next go out, or infinity."""
        if self._batch is not None:
            return self._retry_at or float("inf")
        return self._next_write_at if self._waiting else float("inf")

    @staticmethod
    def _remember_token(tokens: OrderedDict[str, str], key: str, token: str) -> None:
        tokens[key] = token
        tokens.move_to_end(key)
        if len(tokens) > MAX_REMEMBERED_TOKENS:
            tokens.popitem(last=False)
