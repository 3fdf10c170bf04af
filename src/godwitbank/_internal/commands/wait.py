"""``godwitbank wait --service=S --revision=N``."""

import time
from typing import Any

from absl import flags

from godwitbank._internal.cli.statuses import Status
from godwitbank._internal.commands.client import (
    call_entry,
    clear_progress,
    decode_success,
    show_progress,
)
from godwitbank._internal.exceptions import UsageError

POLL_INTERVAL_SECONDS = 0.2


def list_outdated(state: dict[str, Any], service: str, revision: int) -> list[str]:
    """List the processes that don't have a revision yet.

    :param state: status of an entry.
    :param service: name of the service.
    :param revision: revision of the service's document.
    """
    outdated = []
    if state["revisions"].get(service, 0) < revision:
        outdated.append(state["entry"])
    for row in state["entries"] + state["agents"]:
        if not row["connected"] or row["revisions"].get(service, 0) < revision:
            outdated.append(row.get("entry") or row.get("agent") or row["address"])
    return outdated


class WaitCommand:
    """Wait until a revision of a document is in force in every process."""

    summary = "wait until a revision is in force in every process"

    def run(self, values: flags.FlagValues, arguments: list[str]) -> Status:
        """Poll an entry until all processes have the revision or the time is over."""
        del arguments
        if not values.service or not values.revision:
            raise UsageError(
                "--service and --revision are required", remedy="see --help"
            )
        revision = int(values.revision)
        started_at = time.monotonic()
        while True:
            state = decode_success(call_entry(values, "GET", "/v1/status"))
            outdated = list_outdated(state, values.service, revision)
            if not outdated:
                clear_progress()
                seconds = time.monotonic() - started_at
                print(f"revision {revision} is in force everywhere ({seconds:.1f} s)")
                return Status.SUCCESS
            if time.monotonic() - started_at > values.timeout:
                clear_progress()
                print(f"revision {revision} is not in force in: {', '.join(outdated)}")
                return Status.TIMED_OUT
            show_progress(f"waiting for {len(outdated)} processes")
            time.sleep(POLL_INTERVAL_SECONDS)
