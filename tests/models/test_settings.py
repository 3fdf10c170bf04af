"""Validation of settings files; errors name the file, the key and the remedy."""

from pathlib import Path

import pytest

from godwitbank._internal.exceptions import SettingsError
from godwitbank._internal.models.settings import EntrySettings, load_settings

VALID = """
name = "entry-1"
zone = "a"
http = "127.0.0.1:8080"
stream = "127.0.0.1:9080"
table = "http://127.0.0.1:7070"
"""


def test_valid_settings_are_loaded(tmp_path: Path) -> None:
    path = tmp_path / "entry.toml"
    path.write_text(VALID + "heartbeat = 1\n")
    settings = load_settings(str(path), EntrySettings)
    assert settings.heartbeat == 1.0
    assert settings.silence == 3.0


@pytest.mark.parametrize(
    ("text", "words"),
    [
        (VALID + 'heartbeat = "often"\n', "heartbeat"),
        (VALID + "hartbeat = 1\n", "unknown key"),
        (VALID.replace('zone = "a"', ""), "'zone': missing"),
        (VALID.replace("127.0.0.1:8080", "8080"), "host:port"),
        (VALID + "heartbeat = 3.0\n", "silence"),
    ],
)
def test_invalid_settings_are_rejected(tmp_path: Path, text: str, words: str) -> None:
    path = tmp_path / "entry.toml"
    path.write_text(text)
    with pytest.raises(SettingsError) as caught:
        load_settings(str(path), EntrySettings)
    message = str(caught.value)
    assert words in message
    assert str(path) in message
    assert "remedy" in message


def test_missing_file_is_reported() -> None:
    with pytest.raises(SettingsError, match="can't be read"):
        load_settings("/nowhere/entry.toml", EntrySettings)
