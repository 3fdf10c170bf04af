"""``godwitbank drain AGENT``."""

import time

from absl import flags

from godwitbank._internal.cli.statuses import Status
from godwitbank._internal.commands.client import (
    call_entry,
    clear_progress,
    decode_success,
    require_single_argument,
    show_progress,
)

POLL_INTERVAL_SECONDS = 0.2


class DrainCommand:
    """Drain an agent: it accepts no new work and finishes its running tasks."""

    summary = "ask an agent to leave, and wait until it has finished"

    def run(self, values: flags.FlagValues, arguments: list[str]) -> Status:
        """Request the drain, then poll until the agent is leaving with no task left."""
        name = require_single_argument(arguments, "agent name")
        headers = {"Operator": values.operator}
        decode_success(call_entry(values, "POST", f"/v1/agents/{name}/drain", headers))
        started_at = time.monotonic()
        while time.monotonic() - started_at < values.timeout:
            state = decode_success(call_entry(values, "GET", "/v1/status"))
            rows = [row for row in state["agents"] if row["agent"] == name]
            if not rows or (rows[0]["leaving"] and not rows[0]["outstanding"]):
                clear_progress()
                print(f"agent {name} takes no new work and has finished its own")
                return Status.SUCCESS
            show_progress(f"{name}: {rows[0]['outstanding']} tasks still run")
            time.sleep(POLL_INTERVAL_SECONDS)
        clear_progress()
        print(f"agent {name} has not finished; it takes no new work")
        return Status.TIMED_OUT
