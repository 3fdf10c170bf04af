"""What the soak test reads from the logs of endpoints."""

import io
import json
import sys
from pathlib import Path

import pytest
from litestar.testing import TestClient
from soak.records import MAX_LEASE_SECONDS, read_runs
from standins.platform_endpoint import Daemon, make_app

BEGAN = {
    "event": "began",
    "task": "j1.0.0.0",
    "run": 1,
    "at": 10.0,
    "late": False,
    "alive": 1,
    "drain_heard_at": 0.0,
}


@pytest.mark.parametrize(
    ("events", "ended"),
    [
        ([("killed", 12.0)], 12.0),
        # The leases lapsed while the endpoint was paused, so its runs were started
        # elsewhere before it was killed (seen with seed 205).
        ([("paused", 10.2), ("killed", 14.0)], 10.2 + MAX_LEASE_SECONDS),
        ([("paused", 10.2), ("resumed", 10.4), ("killed", 14.0)], 14.0),
    ],
)
def test_runs_of_a_killed_endpoint_end_at_the_kill_or_at_their_lapse(
    tmp_path: Path, events: list[tuple[str, float]], ended: float
) -> None:
    lines = [BEGAN, *({"event": event, "at": at} for event, at in events)]
    text = "".join(json.dumps(line) + "\n" for line in lines)
    (tmp_path / "agent-0-endpoint.log").write_text(text)
    assert [run.ended for run in read_runs(tmp_path)] == [ended]


def test_an_endpoint_writes_each_event_in_one_write(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against unreadable events.

    The soak test appends lines to the same log; an event that is written in several
    parts could be interleaved with them.
    """
    written: list[str] = []

    class Output(io.StringIO):
        def write(self, text: str) -> int:
            written.append(text)
            return len(text)

    monkeypatch.setattr(sys, "stdout", Output())
    Daemon("desk", "127.0.0.1:1", "127.0.0.1:2", 4, "zone-1").write_event(event="began")
    assert [text[-1:] for text in written] == ["\n"]


def test_an_endpoint_logs_an_end_before_it_reports_it(
    capsys: pytest.CaptureFixture[str],
) -> None:
    daemon = Daemon("desk", "127.0.0.1:1", "127.0.0.1:2", 4, "zone-1")
    order = {"task": "j1.0.0.0", "run": 1, "spec": "0.01", "fence-token": 1}
    lease = {"deadline-ms": daemon.endpoint.clock(daemon.now) + 1000, "fence-token": 1}
    with TestClient(make_app(daemon)) as client:
        client.post("/-/run-start", json={**order, **lease})
        body = {**lease, "last-seen": 0, "wait-ms": 500}
        answer = client.post("/-/hold", json=body).json()
    assert len(answer["ended"]) == 1
    written = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert [line["event"] for line in written] == ["began", "ended"]
