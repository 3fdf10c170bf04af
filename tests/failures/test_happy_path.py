"""Requests and jobs without any failure."""

import pytest
from standins.fleet import Fleet

from tests.lib.fleet_helpers import (
    count_starts,
    make_job,
    send_job,
    send_request,
    start_desk,
)

pytestmark = pytest.mark.processes


def test_request_and_job_are_answered(fleet: Fleet) -> None:
    start_desk(fleet, entries=2, agents=2)
    answer = send_request(fleet.entries[0], {"run_ms": 5, "nonce": "one"})
    assert answer.status_code == 200, answer.text
    assert answer.json()["nonce"] == "one"
    job_answer = send_job(fleet.entries[1], make_job(50, run_ms=5))
    assert job_answer.status_code == 200, job_answer.text
    rows = job_answer.json()["answers"]
    assert [row["body"]["nonce"] for row in rows] == [f"n{n}" for n in range(50)]
    starts = count_starts(fleet)
    assert len(starts) == 51
    assert set(starts.values()) == {1}
