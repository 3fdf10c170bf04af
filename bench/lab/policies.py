"""Parses the names of the policies to compare."""

from typing import Any

from godwitbank._internal.core.runs.policy import DEFAULT_POLICY, Policy


def parse_policy(name: str) -> Policy:
    """Parse ``default``, or changes to it as in ``field=value+field=value``.

    ``no_moves`` is short for ``moves=False``.
    """
    changes: dict[str, Any] = {}
    for change in name.split("+"):
        if change == "default":
            continue
        field, _, value = change.removeprefix("no_").partition("=")
        default = getattr(DEFAULT_POLICY, field)
        if change.startswith("no_"):
            changes[field] = False
        elif isinstance(default, bool):
            changes[field] = value == "True"
        else:
            changes[field] = type(default)(value)
    return DEFAULT_POLICY._replace(**changes)
