"""``godwitbank status``."""

import json
from typing import Any

from absl import flags

from godwitbank._internal.cli.statuses import Status
from godwitbank._internal.commands.client import call_entry, decode_success


def _render(state: dict[str, Any]) -> str:
    ready = "ready" if state["ready"] else "not ready"
    lines = [f"entry {state['entry']} ({state['zone']}): {ready}, {state['jobs']} jobs"]
    for peer in state["entries"]:
        link = "connected" if peer["connected"] else "not connected"
        lines.append(f"entry {peer['entry'] or peer['address']}: {link}")
    for service in state["services"]:
        revision = state["revisions"].get(service["service"])
        lines.append(
            f"service {service['service']}: revision {revision},"
            f" {service['slots']} slots, {service['waiting']} waiting"
        )
    for agent in state["agents"]:
        words = ["connected" if agent["connected"] else "not connected"]
        words += [word for word in ("leaving", "ejected") if agent[word]]
        lines.append(
            f"agent {agent['agent'] or agent['address']} ({agent['zone']}):"
            f" {', '.join(words)}; service {agent['service'] or '-'},"
            f" {agent['outstanding']} of {agent['slots']} slots used by this entry"
        )
    return "\n".join(lines)


class StatusCommand:
    """Show the entries, agents and services that an entry knows."""

    summary = "show what an entry knows of entries, agents and services"

    def run(self, values: flags.FlagValues, arguments: list[str]) -> Status:
        """Print the state of the entry and of the processes and services it knows."""
        del arguments
        state = decode_success(call_entry(values, "GET", "/v1/status"))
        print(json.dumps(state, indent=2) if values.json else _render(state))
        return Status.SUCCESS
