"""Tests that claims are batched, retried unchanged and superseded when abandoned."""

from godwitbank._internal.core.claims import (
    MAX_BATCH_CLAIMS,
    RETRY_DELAY_SECONDS,
    WRITES_PER_SECOND,
    Claims,
)


def test_waiting_claims_are_written_in_one_batch() -> None:
    claims = Claims()
    claims.request("k0", "t0", 0.0)
    first = claims.next_batch(0.0, 1)
    assert first is not None
    for number in range(1, 50):
        claims.request(f"k{number}", f"t{number}", 0.0)
    assert claims.next_batch(0.0, 1) is None
    assert claims.resolve(first.number, {}) == {"t0": True}
    second = claims.next_batch(0.1, 1)
    assert second is not None
    assert len(second.claims) == 49
    assert claims.resolve(second.number, {"k7": "other"})["t7"] is False


def test_batches_are_bounded() -> None:
    claims = Claims()
    for number in range(MAX_BATCH_CLAIMS + 5):
        claims.request(f"k{number}", f"t{number}", 0.0)
    batch = claims.next_batch(0.0, 1)
    assert batch is not None
    assert len(batch.claims) == MAX_BATCH_CLAIMS


def test_an_unanswered_batch_is_written_again_unchanged() -> None:
    claims = Claims()
    claims.request("k", "t", 0.0)
    batch = claims.next_batch(0.0, 1)
    assert batch is not None
    claims.mark_unanswered(batch.number, 0.0)
    assert claims.next_batch(0.0, 1) is None
    assert claims.next_batch(RETRY_DELAY_SECONDS, 1) == batch
    assert not claims.failing
    claims.mark_unanswered(batch.number, RETRY_DELAY_SECONDS)
    assert claims.failing
    claims.resolve(batch.number, {})
    assert not claims.failing


def test_an_entry_supersedes_its_own_abandoned_claim() -> None:
    """Guards against a request id that is refused as a duplicate forever.

    A claim is written, but its answer is lost and the request is refused as not run.
    When the caller submits the id again as told, the row still holds the token of a
    task that can never start.
    """
    claims = Claims()
    claims.request("k", "old", 0.0)
    batch = claims.next_batch(0.0, 1)
    assert batch is not None
    claims.abandon("k", "old")
    assert claims.find_holder("k") is None
    claims.resolve(batch.number, {})
    claims.request("k", "new", 1.0)
    again = claims.next_batch(1.0, 1)
    assert again is not None
    assert again.supersedes == {"k": "old"}
    assert claims.resolve(again.number, {}) == {"new": True}
    assert claims.find_holder("k") == "new"


def test_entries_share_the_write_rate_of_the_table() -> None:
    """Guards against an overloaded table, which makes every claim slow.

    It happens when each of a hundred entries writes its next batch immediately,
    because no entry divides the table's write rate by the number of entries.
    """
    claims = Claims()
    writes = 0
    for step in range(1000):
        now = step * 0.001
        claims.request(f"k{step}", f"t{step}", now)
        batch = claims.next_batch(now, 100)
        if batch is not None:
            writes += 1
            claims.resolve(batch.number, {})
    assert writes <= WRITES_PER_SECOND / 100 + 1
    assert claims.next_write < float("inf")
