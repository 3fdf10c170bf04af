"""An accepted configuration is in force everywhere within seconds, for good."""

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


class Watch:
    """Checks all along that no process ever shows a lower revision."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._stop = threading.Event()
        self._highest: dict[str, int] = {}
        self.reverted: list[str] = []
        self.looks = 0
        self._thread = threading.Thread(target=self._look, daemon=True)
        self._thread.start()

    def _look(self) -> None:
        while not self._stop.is_set():
            for running in [*self._fleet.entries, *self._fleet.agents]:
                path = "status" if running in self._fleet.entries else "endpoint"
                try:
                    state = httpx.get(f"{base_url(running)}/v1/{path}", timeout=1)
                except httpx.HTTPError:
                    continue
                self._note(f"{running.name}/{running.process.pid}", state.json())
            self._stop.wait(0.05)

    def _note(self, name: str, state: dict[str, Any]) -> None:
        revision = state["revisions"].get("desk", 0)
        self.looks += 1
        if revision < self._highest.get(name, 0):
            self.reverted.append(f"{name}: {revision}")
        self._highest[name] = max(revision, self._highest.get(name, 0))

    def finish(self) -> None:
        """Stop, and fail if anything reverted."""
        self._stop.set()
        self._thread.join(10)
        assert self.reverted == []
        assert self.looks > 0


def _write(folder: Path, slots: int) -> str:
    path = folder / f"desk-{slots}.toml"
    text = (DEMO / "desk.toml").read_text()
    path.write_text(text.replace("slots = 8", f"slots = {slots}"))
    return str(path)


def test_operators_race_and_one_wins(fleet: Fleet, tmp_path: Path) -> None:
    """Two operators change the same document at once, through two entries.

    Symptom: one change silently undoes the other.
    Sequence: both saw revision 1, both apply at the same moment.
    Cause: a write that doesn't depend on what its author saw.
    """
    start_desk(fleet, entries=2, agents=1)
    both = [
        run_in_background(
            fleet.operate,
            "apply",
            _write(tmp_path, number + 3),
            "--revision=1",
            f"--operator=op-{number}",
            entry=number,
        )
        for number in range(2)
    ]
    results = [each.result(timeout=30) for each in both]
    codes = sorted(each.returncode for each in results)
    assert codes == [0, 4], [each.stderr for each in results]
    winner = next(n for n, each in enumerate(results) if each.returncode == 0)
    loser = results[1 - winner]
    assert f"op-{winner}" in loser.stderr


def test_lost_answer_of_an_accepted_write(fleet: Fleet, tmp_path: Path) -> None:
    """The table accepts a document but its answer is lost.

    Symptom: the operator is told "failed" for a change that is in force, or a
    second try conflicts with the first.
    Sequence: the transaction commits, the answer is lost, the entry reads back.
    Cause: no way to recognise one's own write.
    """
    start_desk(fleet, agents=1)
    fleet.control_platform(lose_answers=1)
    applied = fleet.operate("apply", _write(tmp_path, 5), "--revision=1")
    assert applied.returncode == 0, applied.stderr
    assert "revision 2" in applied.stdout
    waited = fleet.operate("wait", "--service=desk", "--revision=2", "--timeout=6")
    assert waited.returncode == 0, waited.stdout


def test_in_force_everywhere_within_seconds(fleet: Fleet, tmp_path: Path) -> None:
    start_desk(fleet, entries=3, agents=4)
    watch = Watch(fleet)
    took = []
    for number in range(5):
        began = time.monotonic()
        applied = fleet.operate("apply", _write(tmp_path, number + 2))
        assert applied.returncode == 0, applied.stderr
        for entry in range(3):
            waited = fleet.operate(
                "wait",
                "--service=desk",
                f"--revision={number + 2}",
                "--timeout=6",
                entry=entry,
            )
            assert waited.returncode == 0, waited.stdout
        took.append(time.monotonic() - began)
    watch.finish()
    print(f"in force everywhere after {max(took):.2f} s at most, commands included")


def test_boot_in_an_outage_learns_from_others(fleet: Fleet, tmp_path: Path) -> None:
    """All entries are replaced, one by one, while the table is down.

    Symptom: a new entry serves without a document, or on an old one.
    Sequence: revision 2 is accepted, the table goes down, a new entry starts
    and an old one stops, until none of the old ones is left.
    Cause: a process that only asks the table.
    """
    start_desk(fleet, entries=2, agents=2)
    applied = fleet.operate("apply", _write(tmp_path, 5))
    assert applied.returncode == 0, applied.stderr
    fleet.operate("wait", "--service=desk", "--revision=2", "--timeout=6")
    watch = Watch(fleet)
    fleet.control_platform(down=True)
    for _ in range(2):
        fleet.start_entry()
        old = fleet.entries.pop(0)
        fleet.balance()
        old.stop()
        assert old.process.wait(30) == 0
        answer = send_request(fleet.entries[-1], {"run_ms": 1})
        assert answer.status_code == 200, answer.text
        assert fleet.status(len(fleet.entries) - 1)["revisions"]["desk"] == 2
    watch.finish()


def test_old_reads_and_a_paused_entry_never_revert(
    fleet: Fleet, tmp_path: Path
) -> None:
    """A read of an old state reaches processes that know better.

    Symptom: an accepted change is undone.
    Sequence: the table serves reads as of revision 1; revision 2 is accepted;
    an entry paused before it wakes; a new entry boots on the old reads.
    Cause: what was read last taken for what is newest.
    """
    start_desk(fleet, entries=2, agents=2)
    fleet.entries[1].freeze()
    applied = fleet.operate("apply", _write(tmp_path, 5), entry=0)
    assert applied.returncode == 0, applied.stderr
    watch = Watch(fleet)
    fleet.control_platform(age_reads=1)
    fleet.start_entry()
    fleet.entries[1].thaw()
    for number in range(3):
        wait_for(
            lambda: fleet.status(number)["revisions"].get("desk") == 2,  # noqa: B023
            f"revision 2 at entry {number}",
            10,
        )
    watch.finish()
