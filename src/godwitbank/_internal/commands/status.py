"""``godwitbank status``."""

import json
from typing import Any

from absl import flags

from godwitbank._internal.cli.statuses import Status
from godwitbank._internal.commands.client import call_entry, decode_success

QUEUE_COLUMNS = (
    *("queue", "priority", "asked", "given", "share", "waiting", "peers", "wait s"),
    *("jobs", "accepted", "refused", "given up", "late", "preempted", "short"),
)


def _render(state: dict[str, Any]) -> str:
    return _render_queues(state) if "queues" in state else _render_services(state)


def _render_queues(state: dict[str, Any]) -> str:
    """Render the state of an entry for leased runs, as a table of its queues."""
    lines = [
        f"entry {state['entry']}: version {state['version']}, {state['jobs']} jobs,"
        f" {len(state['agents'])} agents, {len(state['peers'])} other entries"
    ]
    rows = [QUEUE_COLUMNS, *(_list_cells(queue) for queue in state["queues"])]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = [cell.rjust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  ".join(cells))
    for queue in state["queues"]:
        for what in ("refused", "given_up"):
            lines += [
                f"{queue['queue']}: {count} {what.replace('_', ' ')}: {reason}"
                for reason, count in queue[what].items()
            ]
    return "\n".join(lines)


def _list_cells(queue: dict[str, Any]) -> tuple[str, ...]:
    load = queue["load"]
    return (
        queue["queue"],
        str(queue["priority"]),
        f"{load['asked']:.1f}",
        f"{load['given']:.1f}",
        f"{load['share']:.0%}",
        f"{load['waiting']:.1f}",
        f"{load['peer_waiting']:.1f}",
        f"{load['wait']:.3f}",
        str(queue["waiting_jobs"]),
        str(queue["accepted"]),
        str(sum(queue["refused"].values())),
        str(sum(queue["given_up"].values())),
        str(queue["late"]),
        str(queue["preempted"]),
        "yes" if queue["short"] else "no",
    )


def _render_services(state: dict[str, Any]) -> str:
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

    summary = "show what an entry knows of entries, agents, services and queues"

    def run(self, values: flags.FlagValues, arguments: list[str]) -> Status:
        """Print the state of the entry and of the processes and services it knows."""
        del arguments
        state = decode_success(call_entry(values, "GET", "/v1/status"))
        print(json.dumps(state, indent=2) if values.json else _render(state))
        return Status.SUCCESS
