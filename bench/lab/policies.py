"""Policies that the lab compares, by name."""

from typing import Any

from godwitbank._internal.core.runs.policy import DEFAULT_POLICY, Policy


def find_policy(name: str) -> Policy:
    """Find a policy: ``default``, or changes to it as ``field=value+field=value``.

    ``no_moves`` stands for ``moves=False``.
    """
    changes: dict[str, Any] = {}
    for word in name.split("+"):
        if word == "default":
            continue
        field, _, value = word.removeprefix("no_").partition("=")
        present = getattr(DEFAULT_POLICY, field)
        if word.startswith("no_"):
            changes[field] = False
        elif isinstance(present, bool):
            changes[field] = value == "True"
        else:
            changes[field] = type(present)(value)
    return DEFAULT_POLICY._replace(**changes)
