"""Claims: grouped, retried as they were, and taken back when abandoned."""

from godwitbank._internal.core.claims import (
    MAX_BATCH_CLAIMS,
    RETRY_DELAY_SECONDS,
    WRITES_PER_SECOND,
    Claims,
)


def test_claims_that_wait_go_out_together() -> None:
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


def test_a_batch_without_an_answer_goes_out_again_as_it_was() -> None:
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


def test_an_abandoned_claim_is_taken_back_by_the_same_entry() -> None:
    """A request was refused as not run; its claim took effect all the same.

    Symptom: the caller comes back as told, and hears "duplicate" for ever.
    Sequence: the claim is written, its answer is lost, the request is refused;
    the caller submits the same id again.
    Cause: the row still holds the token of a task that can never start.
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


def test_entries_share_the_tables_writes() -> None:
    """Every entry writes claims as fast as the table answers.

    Symptom: the table is overrun, every claim becomes slow.
    Sequence: a hundred entries each write the next batch at once.
    Cause: a budget that no entry divides by their number.
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
