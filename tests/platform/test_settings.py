"""The platform's settings file."""

import pytest

from godwitbank._internal.core.runs.deployment import DEFAULT_DEPLOYMENT, Deployment
from godwitbank._internal.exceptions import SettingsError
from godwitbank._internal.platform.settings import PlatformSettings

LINES = {
    "node": "front-a-1",
    "zone": "a",
    "ip": "10.1.0.13",
    "port-range": "7720,7735",
    "seeds": "10.1.0.13:8166,10.2.0.30:8166",
    "platform.address": "10.200.1.7:8169",
    "listen.front": "10.1.0.13:8161",
    "something.new": "7",
}


def make_text(**changes: str | None) -> str:
    values = {**LINES, **{key.replace("_", "-"): each for key, each in changes.items()}}
    return "\n".join(f"{key}={value}" for key, value in values.items() if value)


def test_streams_and_seeds_use_the_first_port_of_the_range() -> None:
    settings = PlatformSettings.from_text(make_text())
    assert settings.stream == "10.1.0.13:7720"
    assert settings.seeds == ("10.1.0.13:7720", "10.2.0.30:7720")


def test_no_seeds_are_no_error() -> None:
    assert PlatformSettings.from_text(make_text(seeds=None)).seeds == ()


@pytest.mark.parametrize("key", ["node", "zone", "ip", "port_range"])
def test_a_missing_setting_is_named_with_its_remedy(key: str) -> None:
    with pytest.raises(SettingsError) as caught:
        PlatformSettings.from_text(make_text(**{key: None}))
    assert key.replace("_", "-") in str(caught.value)
    assert "remedy" in str(caught.value)


def test_an_invalid_port_range_is_named() -> None:
    with pytest.raises(SettingsError, match="port-range"):
        PlatformSettings.from_text(make_text(port_range="x,y"))


def test_an_unreadable_file_names_the_variable(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("GODWITBANK_SETTINGS", raising=False)
    with pytest.raises(SettingsError, match="GODWITBANK_SETTINGS"):
        PlatformSettings.from_environment()


def test_endpoint_limits_are_read() -> None:
    limits = {"bounds.hold_max_ms": "2000", "heartbeat-ms": "3000"}
    text = make_text(**limits, **{"bounds.far_factor": "3"})
    deployment = PlatformSettings.from_text(text).deployment
    assert deployment == Deployment(2.0, 3.0, 3.0)
    assert PlatformSettings.from_text(make_text()).deployment == DEFAULT_DEPLOYMENT


@pytest.mark.parametrize("value", ["soon", "0", "-1", "inf", "nan"])
def test_an_invalid_number_is_named(value: str) -> None:
    with pytest.raises(SettingsError, match="heartbeat-ms"):
        PlatformSettings.from_text(make_text(**{"heartbeat-ms": value}))


def test_limits_of_store_polls_are_read() -> None:
    limits = {"bounds.contact_ms": "4000", "bounds.config_apply_ms": "3000"}
    text = make_text(**limits, **{"platform.reads_per_s": "6000.0"})
    deployment = PlatformSettings.from_text(text).deployment
    expected = DEFAULT_DEPLOYMENT._replace(
        fault_free_seconds=4.0, change_bound_seconds=3.0, store_reads_per_second=6000.0
    )
    assert deployment == expected
