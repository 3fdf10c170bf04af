"""Invalid input is refused with a clear message and affects nobody else."""

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


def test_invalid_requests_are_rejected(fleet: Fleet) -> None:
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
    invalid = send_job(entry, make_job(1, kind="nothing"))
    _assert_problem(invalid, 422, "unknown_class")
    without_id = send_job(entry, make_job(1, kind="renewal"))
    _assert_problem(without_id, 422, "missing_request_id")
    _assert_problem(httpx.get(f"{base_url(entry)}/nowhere"), 404, "not_found")
    schema = httpx.get(f"{base_url(entry)}/schema/openapi.json").json()
    assert "/v1/services/{service}/jobs" in schema["paths"]
    assert send_job(entry, make_job(3, run_ms=1)).status_code == 200


def test_exit_statuses_of_operator_commands(fleet: Fleet, tmp_path: Path) -> None:
    start_desk(fleet, agents=1)
    invalid = tmp_path / "wrong.toml"
    invalid.write_text('[service]\nname = "desk"\nteem = "x"\n')
    for command in ("check", "apply", "diff"):
        result = fleet.run_operator_command(command, str(invalid))
        assert result.returncode == 3, result.stdout
        assert "line 3" in result.stderr
        assert "service.teem" in result.stderr
        assert "remedy" in result.stderr
    conflict = fleet.run_operator_command("apply", "demo/desk.toml", "--revision=7")
    assert conflict.returncode == 4, conflict.stderr
    assert "revision 1, not 7" in conflict.stderr
    assert fleet.run_operator_command("nonsense").returncode == 2
    assert fleet.run_operator_command("drain", "nobody").returncode == 1
    assert fleet.run_operator_command("diff", "demo/desk.toml").returncode == 0
    body = tmp_path / "job.json"
    body.write_text('{"tasks": [{"id": "a", "class": "size-change", "payload": {}}]}')
    answer = fleet.run_operator_command("submit", str(body), "--service=desk")
    assert answer.returncode == 0, answer.stderr
    assert '"complete"' in answer.stdout
    refused = fleet.run_operator_command("submit", str(body), "--service=nobody")
    assert refused.returncode == 6, refused.stderr
    assert "submissions_completed" in fleet.run_operator_command("counters").stdout


def test_invalid_frames_close_only_their_stream(fleet: Fleet) -> None:
    """Send data to an agent from a client that isn't an entry.

    The data are an HTTP request, a message without a preceding hello, an unknown
    protocol version, an invalid frame and an incomplete frame. An error in reading
    one stream must not stop the agent or close the streams of its entries.
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
        with socket.create_connection(
            ("127.0.0.1", agent.stream_port), 5
        ) as connection:
            connection.sendall(data)
            connection.settimeout(10)
            while connection.recv(4096):
                pass
    wait_for(lambda: read_counter(agent, "streams_closed", "bad_frame") >= 2, "counts")
    assert read_counter(agent, "streams_refused", "version") == 1
    assert read_counter(agent, "streams_closed", "no_greeting") >= 2
    assert send_job(fleet.entries[0], make_job(8, run_ms=1)).status_code == 200


def test_address_in_use_is_reported(fleet: Fleet) -> None:
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
    assert f"127.0.0.1:{entry.http_port} is in use" in second.stderr
    assert "setting 'http'" in second.stderr
    assert "Traceback" not in second.stderr
