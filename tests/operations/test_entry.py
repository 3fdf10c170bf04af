"""Tests of the entry process."""

import asyncio

from godwitbank._internal.models.outcomes import Failed, Ran, Reason
from godwitbank._internal.models.settings import EntrySettings
from godwitbank._internal.operations.entry import EntryProcess


def test_submissions_are_refused_while_the_entry_is_overloaded() -> None:
    # More submissions arrive than the entry has processor time for. If admission checks
    # only the endpoints' free capacity and the queue limits, the entry accepts all of
    # them, and callers wait until their deadlines. Leased runs have the same failure.
    async def submit() -> list[Reason]:
        settings = EntrySettings(
            "entry-1", "zone-1", "127.0.0.1:1", "127.0.0.1:2", "http://127.0.0.1:3"
        )
        process = EntryProcess(settings)
        reasons = []
        for lag in (1.0, 0.0):
            process.handle_lag(lag)
            outcome = await process.submit("desk", (), 1.0)
            assert isinstance(outcome, Failed)
            assert outcome.ran == Ran.NOT_RUN
            reasons.append(outcome.reason)
        await process.table.close()
        return reasons

    assert asyncio.run(submit()) == [Reason.NO_PROCESSOR, Reason.NOT_READY]
