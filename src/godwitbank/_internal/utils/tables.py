"""Checked reading of TOML tables into named tuples.

Settings and service documents share this: an unknown key, a wrong type or a
value out of range is an error that names the line, the key and the remedy.
"""

import tomllib
from collections.abc import Mapping
from types import UnionType
from typing import Any, NamedTuple, get_args, get_type_hints

from returns.result import Failure, Result, Success


class TableFault(NamedTuple):
    """One thing wrong with a table.

    :param line: 1-based line in the text, or 0 where it has none.
    """

    line: int
    key: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        place = f"line {self.line}, " if self.line else ""
        return f"{place}key '{self.key}': {self.problem}; {self.remedy}"


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
    r"""Find the line that sets or opens the last part of a dotted key.

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


def _name_type(kind: Any) -> str:
    if isinstance(kind, UnionType):
        return " or ".join(_name_type(part) for part in get_args(kind))
    names = {str: "a string", int: "a whole number", float: "a number"}
    names[bool] = "true or false"
    return names.get(kind, getattr(kind, "__name__", str(kind)))


def _fits(value: Any, kind: Any) -> bool:
    if isinstance(kind, UnionType):
        return any(_fits(value, part) for part in get_args(kind))
    if kind is float:
        return isinstance(value, int | float) and not isinstance(value, bool)
    if kind is int:
        return isinstance(value, int) and not isinstance(value, bool)
    if getattr(kind, "__origin__", None) in (tuple, list):
        item = get_args(kind)[0]
        return isinstance(value, list) and all(_fits(each, item) for each in value)
    return isinstance(value, kind)


def convert_table(
    values: Mapping[str, Any], shape: type, text: str, prefix: str = ""
) -> Result[Any, TableFault]:
    """Build ``shape`` (a ``NamedTuple`` class) from a parsed table.

    :param values: the table, already parsed.
    :param shape: its fields are the allowed keys, its defaults the optional ones.
    :param text: the source, for line numbers.
    :param prefix: dotted name of the table inside its document.
    """
    hints = get_type_hints(shape)
    defaults = getattr(shape, "_field_defaults", {})
    for key in values:
        if key not in hints:
            allowed = ", ".join(sorted(hints))
            dotted = prefix + key
            line = find_key_line(text, dotted)
            return Failure(
                TableFault(line, dotted, "unknown key", f"use one of: {allowed}")
            )
    built: dict[str, Any] = {}
    for key, kind in hints.items():
        dotted = prefix + key
        if key not in values:
            if key not in defaults:
                return Failure(
                    TableFault(0, dotted, "missing", f"set it to {_name_type(kind)}")
                )
            continue
        value = values[key]
        if not _fits(value, kind):
            line = find_key_line(text, dotted)
            return Failure(
                TableFault(
                    line, dotted, f"{value!r} is wrong", f"give {_name_type(kind)}"
                )
            )
        if kind is float:
            value = float(value)
        built[key] = tuple(value) if isinstance(value, list) else value
    return Success(shape(**built))
