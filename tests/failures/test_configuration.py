"""An accepted configuration takes effect everywhere within seconds and stays."""

import threading
import time
from pathlib import Path
from typing import Any

import httpx
import pytest
from standins.fleet import Fleet, wait_for

from tests.lib.fleet_helpers import (
    DEMO,
    base_url,
    run_in_background,
    send_request,
    start_desk,
)

pytestmark = pytest.mark.processes


class RevisionMonitor:
    """Polls all processes and records every decrease of a revision.

    :ivar reverted: process and lower revision of each decrease.
    :ivar reads: number of revisions read.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._stop = threading.Event()
        self._highest: dict[str, int] = {}
        self.reverted: list[str] = []
        self.reads = 0
        self._thread = threading.Thread(target=self._poll_revisions, daemon=True)
        self._thread.start()

    def _poll_revisions(self) -> None:
        while not self._stop.is_set():
            for server in [*self._fleet.entries, *self._fleet.agents]:
                path = "status" if server in self._fleet.entries else "endpoint"
                try:
                    state = httpx.get(f"{base_url(server)}/v1/{path}", timeout=1)
                except httpx.HTTPError:
                    continue
                self._record_revision(
                    f"{server.name}/{server.process.pid}", state.json()
                )
            self._stop.wait(0.05)

    def _record_revision(self, name: str, state: dict[str, Any]) -> None:
        revision = state["revisions"].get("desk", 0)
        self.reads += 1
        if revision < self._highest.get(name, 0):
            self.reverted.append(f"{name}: {revision}")
        self._highest[name] = max(revision, self._highest.get(name, 0))

    def finish(self) -> None:
        """Stop polling and assert that no revision decreased."""
        self._stop.set()
        self._thread.join(10)
        assert self.reverted == []
        assert self.reads > 0


def _write_document(folder: Path, slots: int) -> str:
    path = folder / f"desk-{slots}.toml"
    text = (DEMO / "desk.toml").read_text()
    path.write_text(text.replace("slots = 8", f"slots = {slots}"))
    return str(path)


def test_one_of_two_concurrent_applies_is_rejected(
    fleet: Fleet, tmp_path: Path
) -> None:
    """Apply two changes of a document at once, through two entries.

    Both operators have read revision 1. If a write didn't depend on the revision that
    its author read, one change would silently overwrite the other.
    """
    start_desk(fleet, entries=2, agents=1)
    pending = [
        run_in_background(
            fleet.run_operator_command,
            "apply",
            _write_document(tmp_path, number + 3),
            "--revision=1",
            f"--operator=op-{number}",
            entry=number,
        )
        for number in range(2)
    ]
    results = [each.result(timeout=30) for each in pending]
    codes = sorted(each.returncode for each in results)
    assert codes == [0, 4], [each.stderr for each in results]
    winner = next(n for n, each in enumerate(results) if each.returncode == 0)
    loser = results[1 - winner]
    assert f"op-{winner}" in loser.stderr


def test_accepted_write_with_a_lost_response_succeeds(
    fleet: Fleet, tmp_path: Path
) -> None:
    """Lose the response to a write that the table has committed.

    The entry reads the document back. If it couldn't recognise its own write, the
    operator would be told that a change in force had failed, or a retry would conflict
    with the first attempt.
    """
    start_desk(fleet, agents=1)
    fleet.control_platform(lose_answers=1)
    applied = fleet.run_operator_command(
        "apply", _write_document(tmp_path, 5), "--revision=1"
    )
    assert applied.returncode == 0, applied.stderr
    assert "revision 2" in applied.stdout
    wait = fleet.run_operator_command(
        "wait", "--service=desk", "--revision=2", "--timeout=6"
    )
    assert wait.returncode == 0, wait.stdout


def test_revision_is_in_force_everywhere_within_seconds(
    fleet: Fleet, tmp_path: Path
) -> None:
    start_desk(fleet, entries=3, agents=4)
    monitor = RevisionMonitor(fleet)
    durations = []
    for number in range(5):
        started_at = time.monotonic()
        applied = fleet.run_operator_command(
            "apply", _write_document(tmp_path, number + 2)
        )
        assert applied.returncode == 0, applied.stderr
        for entry in range(3):
            wait = fleet.run_operator_command(
                "wait",
                "--service=desk",
                f"--revision={number + 2}",
                "--timeout=6",
                entry=entry,
            )
            assert wait.returncode == 0, wait.stdout
        durations.append(time.monotonic() - started_at)
    monitor.finish()
    print(
        f"in force everywhere after {max(durations):.2f} s at most, commands included"
    )


def test_entry_started_in_an_outage_reads_configuration_from_peers(
    fleet: Fleet, tmp_path: Path
) -> None:
    """Replace all entries, one by one, while the table is down.

    Revision 2 is accepted before the outage. If a starting entry read documents from
    the table only, it would serve without a document or with an old one.
    """
    start_desk(fleet, entries=2, agents=2)
    applied = fleet.run_operator_command("apply", _write_document(tmp_path, 5))
    assert applied.returncode == 0, applied.stderr
    fleet.run_operator_command("wait", "--service=desk", "--revision=2", "--timeout=6")
    monitor = RevisionMonitor(fleet)
    fleet.control_platform(down=True)
    for _ in range(2):
        fleet.start_entry()
        old = fleet.entries.pop(0)
        fleet.update_balancer()
        old.stop()
        assert old.process.wait(30) == 0
        answer = send_request(fleet.entries[-1], {"run_ms": 1})
        assert answer.status_code == 200, answer.text
        assert fleet.read_status(len(fleet.entries) - 1)["revisions"]["desk"] == 2
    monitor.finish()


def test_stale_reads_and_a_paused_entry_revert_nothing(
    fleet: Fleet, tmp_path: Path
) -> None:
    """Serve stale reads to processes that may have a newer revision.

    After revision 2 is accepted, the table serves reads as of revision 1, an entry
    paused before the change resumes, and a new entry starts. If the last revision read
    replaced a higher one, the accepted change would be undone.
    """
    start_desk(fleet, entries=2, agents=2)
    fleet.entries[1].suspend()
    applied = fleet.run_operator_command("apply", _write_document(tmp_path, 5), entry=0)
    assert applied.returncode == 0, applied.stderr
    monitor = RevisionMonitor(fleet)
    fleet.control_platform(age_reads=1)
    fleet.start_entry()
    fleet.entries[1].resume()
    for number in range(3):
        wait_for(
            lambda: fleet.read_status(number)["revisions"].get("desk") == 2,  # noqa: B023
            f"revision 2 at entry {number}",
            10,
        )
    monitor.finish()
