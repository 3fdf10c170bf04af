"""Validation of service documents."""

from pathlib import Path

import pytest
from returns.result import Success

from godwitbank._internal.models.document import ServiceDocument

DEMO = Path(__file__).parent.parent.parent / "demo"
DESK = (DEMO / "desk.toml").read_text()


@pytest.mark.parametrize("name", ["desk", "sheets"])
def test_demo_documents_are_valid(name: str) -> None:
    parsed = ServiceDocument.from_text((DEMO / f"{name}.toml").read_text())
    assert isinstance(parsed, Success)
    assert parsed.unwrap().name == name


@pytest.mark.parametrize(
    ("old", "new", "key", "words"),
    [
        ("slots = 8", "slotz = 8", "endpoint.slotz", "unknown key"),
        ("slots = 8", 'slots = "8"', "endpoint.slots", "a whole number"),
        ("slots = 8", "slots = 0", "endpoint.slots", "out of range"),
        ("slots = 8", "slots = true", "endpoint.slots", "a whole number"),
        ("connections = 64", "connections = 4", "endpoint.connections", "fewer"),
        ('name = "desk"', 'name = "a b"', "service.name", "not a name"),
        ('team = "subscription-desk"', "", "service.team", "missing"),
        ("[quota]", "[quotas]", "quotas", "unknown table"),
        (
            "deadline_seconds = 30",
            "deadline_seconds = 3",
            "class.billing.timeout_seconds",
            "longer than the deadline",
        ),
        ("drain_seconds = 30", "drain_seconds = 2", "endpoint.drain_seconds", "cut"),
    ],
)
def test_errors_name_line_key_and_remedy(
    old: str, new: str, key: str, words: str
) -> None:
    assert old in DESK
    fault = ServiceDocument.from_text(DESK.replace(old, new)).failure()
    assert fault.key == key
    assert words in str(fault)
    assert fault.remedy
    has_line = key.rpartition(".")[2] in new or "[" in new
    assert bool(fault.line) == has_line


def test_invalid_toml_is_rejected() -> None:
    assert "not TOML" in str(ServiceDocument.from_text("[service").failure())
