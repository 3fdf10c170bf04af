"""Status report of an entry for operators."""

import time
from typing import Any

from godwitbank._internal.core.entry import EntryCore


def describe_entry(core: EntryCore, ready: bool) -> dict[str, Any]:
    """Describe an entry and its known agents, peer entries and services.

    :param ready: whether the entry accepts callers.
    """
    now = time.monotonic()
    agents = [
        {
            "agent": view.process,
            "address": view.address,
            "zone": view.zone,
            "service": view.service,
            "connected": view.stream is not None,
            "leaving": view.leaving,
            "slots": view.slots,
            "free": view.free,
            "outstanding": len(view.outstanding),
            "ejected": now < view.ejected_until,
            "revisions": core.list_revisions_of(view),
        }
        for view in core.membership.agents.values()
    ]
    peers = [
        {
            "entry": peer.process,
            "address": peer.address,
            "connected": peer.stream is not None,
            "revisions": core.list_revisions_of(peer),
        }
        for peer in core.membership.peers.values()
    ]
    services = [
        {
            "service": name,
            "waiting": service.queue.waiting,
            "backlog_seconds": round(service.queue.measure_backlog(), 3),
            "slots": service.pool.count_slots(now),
        }
        for name, service in core.dispatcher.services.items()
    ]
    return {
        "entry": core.identity.process,
        "zone": core.identity.zone,
        "ready": ready,
        "jobs": len(core.dispatcher.jobs),
        "revisions": core.catalog.list_revisions(),
        "agents": agents,
        "entries": peers,
        "services": services,
    }
