"""Bad input is refused clearly and hurts nobody else."""

import socket
import subprocess
import sys
from pathlib import Path

import httpx
import pytest
from standins.fleet import Fleet, wait_for

from godwitbank._internal.models.messages import Hello, Load
from godwitbank._internal.network.codec import encode
from tests.lib.fleet_helpers import (
    base_url,
    make_job,
    read_counter,
    send_job,
    start_desk,
)

pytestmark = pytest.mark.processes


def _assert_problem(answer: httpx.Response, status: int, kind: str) -> None:
    assert answer.status_code == status, answer.text
    assert answer.headers["Content-Type"].startswith("application/problem+json")
    problem = answer.json()
    assert problem["type"] == f"urn:godwitbank:problem:{kind}"
    assert problem["ran"] == "not_run"
    assert problem["remedy"]


def test_callers_mistakes(fleet: Fleet) -> None:
    start_desk(fleet, agents=1, max_body=100_000)
    entry = fleet.entries[0]
    jobs = f"{base_url(entry)}/v1/services/desk/jobs"
    _assert_problem(httpx.post(jobs, content=b"{"), 400, "malformed_body")
    _assert_problem(send_job(entry, make_job(0)), 400, "malformed_body")
    _assert_problem(send_job(entry, make_job(461)), 400, "malformed_body")
    oversize = httpx.post(jobs, content=b"x" * 200_000)
    _assert_problem(oversize, 413, "body_too_large")
    unknown = jobs.replace("desk", "nobody")
    _assert_problem(httpx.post(unknown, json=make_job(1)), 404, "unknown_service")
    wrong = send_job(entry, make_job(1, kind="nothing"))
    _assert_problem(wrong, 422, "unknown_class")
    unnamed = send_job(entry, make_job(1, kind="renewal"))
    _assert_problem(unnamed, 422, "missing_request_id")
    _assert_problem(httpx.get(f"{base_url(entry)}/nowhere"), 404, "not_found")
    schema = httpx.get(f"{base_url(entry)}/schema/openapi.json").json()
    assert "/v1/services/{service}/jobs" in schema["paths"]
    assert send_job(entry, make_job(3, run_ms=1)).status_code == 200


def test_operators_mistakes(fleet: Fleet, tmp_path: Path) -> None:
    start_desk(fleet, agents=1)
    wrong = tmp_path / "wrong.toml"
    wrong.write_text('[service]\nname = "desk"\nteem = "x"\n')
    for command in ("check", "apply", "diff"):
        result = fleet.operate(command, str(wrong))
        assert result.returncode == 3, result.stdout
        assert "line 3" in result.stderr
        assert "service.teem" in result.stderr
        assert "remedy" in result.stderr
    stale = fleet.operate("apply", "demo/desk.toml", "--revision=7")
    assert stale.returncode == 4, stale.stderr
    assert "revision 1, not 7" in stale.stderr
    assert fleet.operate("nonsense").returncode == 2
    assert fleet.operate("drain", "nobody").returncode == 1
    assert fleet.operate("diff", "demo/desk.toml").returncode == 0
    body = tmp_path / "job.json"
    body.write_text('{"tasks": [{"id": "a", "class": "size-change", "payload": {}}]}')
    answer = fleet.operate("submit", str(body), "--service=desk")
    assert answer.returncode == 0, answer.stderr
    assert '"complete"' in answer.stdout
    refused = fleet.operate("submit", str(body), "--service=nobody")
    assert refused.returncode == 6, refused.stderr
    assert "submissions_completed" in fleet.operate("counters").stdout


def test_garbage_on_the_agents_port(fleet: Fleet) -> None:
    """Something that is no entry talks to an agent.

    Symptom: the agent dies, or drops the streams of its entries.
    Sequence: garbage, half a frame, an unknown version, no greeting.
    Cause: one reader's error ending more than its own stream.
    """
    start_desk(fleet, agents=1)
    agent = fleet.agents[0]
    hello = Hello(99, "entry", "x", "x", "127.0.0.1:1", "a")
    for data in (
        b"GET / HTTP/1.1\r\n\r\n" * 20,
        encode(Load(1, 1)),
        encode(hello),
        b"\x00\x00\x00\x02\xc1\xc1",
        b"\x00\x00\x00\x7f\x01",
    ):
        with socket.create_connection(("127.0.0.1", agent.stream), 5) as link:
            link.sendall(data)
            link.settimeout(10)
            while link.recv(4096):
                pass
    wait_for(lambda: read_counter(agent, "streams_closed", "bad_frame") >= 2, "counts")
    assert read_counter(agent, "streams_refused", "version") == 1
    assert read_counter(agent, "streams_closed", "no_greeting") >= 2
    assert send_job(fleet.entries[0], make_job(8, run_ms=1)).status_code == 200


def test_address_in_use_is_said_so(fleet: Fleet) -> None:
    entry = fleet.start_entry()
    code = "from godwitbank._internal.cli.entrypoints import run_entry; run_entry()"
    path = fleet.folder / f"{entry.name}.toml"
    second = subprocess.run(
        [sys.executable, "-c", code, f"--settings={path}"],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert second.returncode == 1
    assert f"127.0.0.1:{entry.http} is in use" in second.stderr
    assert "setting 'http'" in second.stderr
    assert "Traceback" not in second.stderr
