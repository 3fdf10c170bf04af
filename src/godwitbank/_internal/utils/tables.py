"""Validation and conversion of TOML tables to named tuples.

Used for settings and service documents. Each error (an unknown key, a wrong type
or a value out of range) names the line, the key and the remedy.
"""

import tomllib
from collections.abc import Mapping
from types import UnionType
from typing import Any, NamedTuple, get_args, get_type_hints

from returns.result import Failure, Result, Success


class TableFault(NamedTuple):
    """A problem found in a table.

    :param line: line in the text, counted from 1, or 0 if there is none.
    """

    line: int
    key: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        location = f"line {self.line}, " if self.line else ""
        return f"{location}key '{self.key}': {self.problem}; {self.remedy}"


def parse_toml(text: str) -> Result[dict[str, Any], TableFault]:
    """Parse TOML.

    >>> parse_toml("a = 1").unwrap()
    {'a': 1}
    """
    try:
        return Success(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        return Failure(TableFault(0, "", f"not TOML: {error}", "mend the syntax"))


def find_key_line(text: str, key: str) -> int:
    r"""Find the line of a dotted key or of the table with that name.

    Return 0 if there is no such line.

    >>> find_key_line("[a]\nb = 1\n", "a.b")
    2
    """
    parts = key.split(".")
    table = ".".join(parts[:-1])
    inside = not table
    for number, line in enumerate(text.splitlines(), 1):
        stripped = line.strip()
        if stripped.startswith("["):
            header = stripped.strip("[]").strip()
            if header == key:
                return number
            inside = header == table
        elif inside and stripped.split("=")[0].strip() == parts[-1]:
            return number
    return 0


def _describe_type(expected_type: Any) -> str:
    if isinstance(expected_type, UnionType):
        return " or ".join(_describe_type(part) for part in get_args(expected_type))
    names = {str: "a string", int: "a whole number", float: "a number"}
    names[bool] = "true or false"
    return names.get(
        expected_type, getattr(expected_type, "__name__", str(expected_type))
    )


def _has_type(value: Any, expected_type: Any) -> bool:
    if isinstance(expected_type, UnionType):
        return any(_has_type(value, part) for part in get_args(expected_type))
    if expected_type is float:
        return isinstance(value, int | float) and not isinstance(value, bool)
    if expected_type is int:
        return isinstance(value, int) and not isinstance(value, bool)
    if getattr(expected_type, "__origin__", None) in (tuple, list):
        item = get_args(expected_type)[0]
        return isinstance(value, list) and all(_has_type(each, item) for each in value)
    return isinstance(value, expected_type)


def convert_table(
    values: Mapping[str, Any], table_type: type, text: str, prefix: str = ""
) -> Result[Any, TableFault]:
    """Convert a parsed table to an instance of ``table_type``.

    :param values: the parsed table.
    :param table_type: a ``NamedTuple`` class. Its fields are the allowed keys; those
        with a default are optional.
    :param text: the source, for line numbers.
    :param prefix: dotted name of the table within its document, with a dot at the
        end.
    """
    hints = get_type_hints(table_type)
    defaults = getattr(table_type, "_field_defaults", {})
    for key in values:
        if key not in hints:
            allowed = ", ".join(sorted(hints))
            dotted = prefix + key
            line = find_key_line(text, dotted)
            return Failure(
                TableFault(line, dotted, "unknown key", f"use one of: {allowed}")
            )
    fields: dict[str, Any] = {}
    for key, expected_type in hints.items():
        dotted = prefix + key
        if key not in values:
            if key not in defaults:
                return Failure(
                    TableFault(
                        0,
                        dotted,
                        "missing",
                        f"set it to {_describe_type(expected_type)}",
                    )
                )
            continue
        value = values[key]
        if not _has_type(value, expected_type):
            line = find_key_line(text, dotted)
            return Failure(
                TableFault(
                    line,
                    dotted,
                    f"{value!r} is wrong",
                    f"give {_describe_type(expected_type)}",
                )
            )
        if expected_type is float:
            value = float(value)
        fields[key] = tuple(value) if isinstance(value, list) else value
    return Success(table_type(**fields))
