"""Tests of settings that are read while they are written."""

import pytest

from dandeliondrum.platform import _settings_file
from dandeliondrum.platform.tests import helpers
from dandeliondrum import startup

TEXT = ''.join(f'{line}\n' for line in helpers.lines(helpers.SETTINGS))


class Clock:
    """A monotonic clock that tests set."""

    def __init__(self):
        self.now_ms = 0

    def monotonic_ns(self):
        return self.now_ms * 1_000_000


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(_settings_file, 'time', clock)
    return clock


@pytest.fixture
def path(tmp_path):
    return tmp_path / 'process.conf'


def is_ready(settings_file, role='controller'):
    try:
        settings_file.load(role)
    except startup.NotReadyError:
        return False
    return True


def test_settings_that_change_during_the_imports_are_not_used(path, clock):
    path.write_text(TEXT)
    settings_file = _settings_file.SettingsFile(str(path), b'older', 0)
    clock.now_ms = 1_000
    assert not is_ready(settings_file)
    clock.now_ms = 1_000 + _settings_file.SETTLED_MS
    assert is_ready(settings_file)


def test_settings_that_did_not_change_during_the_imports_are_used(path, clock):
    path.write_text(TEXT)
    clock.now_ms = _settings_file.SETTLED_MS
    assert is_ready(_settings_file.SettingsFile(str(path), TEXT.encode(), 0))


def test_a_cut_last_line_is_not_used_soon(path, clock):
    path.write_text(TEXT[:-1])
    settings_file = _settings_file.SettingsFile(
        str(path), TEXT[:-1].encode(), 0
    )
    # Imports may take long.
    clock.now_ms = 10_000
    assert not is_ready(settings_file)
    clock.now_ms = 10_000 + _settings_file.SETTLED_WITHOUT_END_MS - 1
    assert not is_ready(settings_file)
    clock.now_ms += 1
    assert is_ready(settings_file)


def test_settings_without_what_a_role_needs_are_not_used(path, clock):
    path.write_text(TEXT)
    settings_file = _settings_file.SettingsFile(str(path), TEXT.encode(), 0)
    clock.now_ms = 60_000
    assert is_ready(settings_file)
    assert not is_ready(settings_file, 'gateway')
