"""Service documents: the limits, quota and classes of work that a team sets."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from godwitbank._internal.utils.tables import (
    TableFault,
    convert_table,
    find_key_line,
    parse_toml,
)

MAX_SLOTS = 1024
MAX_DEADLINE_SECONDS = 3600.0


class ServiceTable(NamedTuple):
    """Table ``[service]``: name and owning team."""

    name: str
    team: str


class QuotaTable(NamedTuple):
    """Table ``[quota]``.

    :param starts_per_second: task starts admitted per second by all entries
        together; 0 means no limit.
    :param burst: seconds' worth of quota that may be used at once.
    """

    starts_per_second: float = 0.0
    burst: float = 5.0


class EndpointTable(NamedTuple):
    """Table ``[endpoint]``: limits at each endpoint.

    :param slots: tasks that may run at the same time.
    :param connections: most connections to the endpoint.
    :param parked: starts that may wait at the agent for a slot.
    :param drain_seconds: seconds that running tasks get to end while the endpoint
        drains.
    """

    slots: int = 8
    connections: int = 64
    parked: int = 1
    drain_seconds: float = 30.0


class PolicyTable(NamedTuple):
    """Table ``[policy]``: how tasks are assigned to slots.

    :param message_weight: 0 prefers short response times (an agent without a
        free slot refuses the start, which is then sent to another agent), 1
        prefers few messages (the start waits at the agent).
    :param stretch: how long smaller jobs may be served before a job, as a
        multiple of its own ideal response time.
    :param same_zone: among equally good endpoints, prefer those in the entry's
        availability zone.
    """

    message_weight: float = 1.0
    stretch: float = 16.0
    same_zone: bool = True


class ClassTable(NamedTuple):
    """Table ``[class.NAME]``: one class of work.

    :param idempotent: if ``false``, each request must carry a request id, which
        is claimed for it.
    :param deadline_seconds: longest time until the caller is answered.
    :param timeout_seconds: longest run time at an endpoint.
    :param weight: share of the slots, relative to other classes with waiting
        tasks.
    :param retries: how many times agents may refuse to start one task.
    :param queue_tasks: most tasks of this class that may wait at one entry.
    :param expected_seconds: initial estimate of the run time, replaced by
        observed run times.
    """

    idempotent: bool = True
    deadline_seconds: float = 30.0
    timeout_seconds: float = 15.0
    weight: float = 1.0
    retries: int = 20
    queue_tasks: int = 20000
    expected_seconds: float = 0.3


class ServiceDocument(NamedTuple):
    """A validated service document."""

    service: ServiceTable
    quota: QuotaTable
    endpoint: EndpointTable
    policy: PolicyTable
    classes: Mapping[str, ClassTable]

    @property
    def name(self) -> str:
        """Name of the service."""
        return self.service.name

    @classmethod
    def from_text(cls, text: str) -> Result["ServiceDocument", TableFault]:
        r"""Parse and validate a document.

        >>> ServiceDocument.from_text("[service]\nname = 'a'").failure().key
        'service.team'
        """
        return parse_toml(text).bind(lambda table: _build_document(table, text))


_TABLES: dict[str, type] = {
    "service": ServiceTable,
    "quota": QuotaTable,
    "endpoint": EndpointTable,
    "policy": PolicyTable,
}


class Bound(NamedTuple):
    """Range, both ends included, that a number must lie in."""

    low: float
    high: float


_BOUNDS = {
    "quota.starts_per_second": Bound(0, 1_000_000),
    "quota.burst": Bound(0.1, 3600),
    "endpoint.slots": Bound(1, MAX_SLOTS),
    "endpoint.connections": Bound(1, 4096),
    "endpoint.parked": Bound(0, 64),
    "endpoint.drain_seconds": Bound(0, 600),
    "policy.message_weight": Bound(0, 1),
    "policy.stretch": Bound(0, 100),
    "deadline_seconds": Bound(0.05, MAX_DEADLINE_SECONDS),
    "timeout_seconds": Bound(0.01, MAX_DEADLINE_SECONDS),
    "weight": Bound(0.01, 1000),
    "retries": Bound(0, 1000),
    "queue_tasks": Bound(1, 1_000_000),
    "expected_seconds": Bound(0.001, MAX_DEADLINE_SECONDS),
}


def _build_document(
    table: dict[str, Any], text: str
) -> Result[ServiceDocument, TableFault]:
    for key in table:
        if key not in _TABLES and key != "class":
            allowed = ", ".join([*_TABLES, "class"])
            line = find_key_line(text, key)
            return Failure(
                TableFault(line, key, "unknown table", f"use one of: {allowed}")
            )
    parts: dict[str, Any] = {}
    for name, table_type in _TABLES.items():
        part = convert_table(table.get(name, {}), table_type, text, f"{name}.")
        if not isinstance(part, Success):
            return part
        parts[name] = part.unwrap()
    classes: dict[str, ClassTable] = {}
    for name, values in table.get("class", {}).items():
        converted = convert_table(values, ClassTable, text, f"class.{name}.")
        if not isinstance(converted, Success):
            return converted
        classes[name] = converted.unwrap()
    document = ServiceDocument(**parts, classes=classes)
    fault = _find_fault(document, text)
    return Failure(fault) if fault else Success(document)


def _find_fault(document: ServiceDocument, text: str) -> TableFault | None:
    name = document.service.name
    if not name or not name.replace("-", "").replace("_", "").isalnum():
        return TableFault(
            find_key_line(text, "service.name"),
            "service.name",
            f"{name!r} is not a name",
            "use letters, digits, '-' and '_'",
        )
    if not document.classes:
        return TableFault(0, "class", "no class of work", "add a [class.NAME] table")
    return _find_range_fault(document, text) or _find_conflict(document, text)


def _find_range_fault(document: ServiceDocument, text: str) -> TableFault | None:
    tables = [(f"{name}.", f"{name}.", getattr(document, name)) for name in _TABLES]
    tables += [(f"class.{name}.", "", item) for name, item in document.classes.items()]
    for prefix, bound_prefix, values in tables:
        for key, value in values._asdict().items():
            bound = _BOUNDS.get(bound_prefix + key)
            if bound and not bound.low <= value <= bound.high:
                dotted = prefix + key
                return TableFault(
                    find_key_line(text, dotted),
                    dotted,
                    f"{value} is out of range",
                    f"give a number from {bound.low} to {bound.high}",
                )
    return None


def _find_conflict(document: ServiceDocument, text: str) -> TableFault | None:
    if document.endpoint.connections < document.endpoint.slots:
        return TableFault(
            find_key_line(text, "endpoint.connections"),
            "endpoint.connections",
            "fewer connections than slots",
            "give at least as many connections as slots",
        )
    longest = max(item.timeout_seconds for item in document.classes.values())
    if document.endpoint.drain_seconds < longest:
        return TableFault(
            find_key_line(text, "endpoint.drain_seconds"),
            "endpoint.drain_seconds",
            "shorter than the longest timeout, so a drain would cut tasks",
            f"give at least {longest:g}",
        )
    for name, item in document.classes.items():
        if item.timeout_seconds > item.deadline_seconds:
            key = f"class.{name}.timeout_seconds"
            return TableFault(
                find_key_line(text, key),
                key,
                "longer than the deadline",
                "give a timeout no longer than deadline_seconds",
            )
    return None
