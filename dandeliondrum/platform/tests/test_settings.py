"""Tests of reading the platform's settings file."""

import pytest
from returns import result

from dandeliondrum.platform import _settings
from dandeliondrum.platform.tests import helpers


def test_parses_settings():
    settings = _settings.parse(helpers.lines(helpers.SETTINGS)).unwrap()
    assert settings.stream_address == '10.1.0.19:7420'
    assert settings.first_start
    assert settings.stop_grace_ms == 6_000
    assert settings.losses_max == 2


def test_seed_order_is_the_same_on_every_vm():
    settings = _settings.parse(helpers.lines(helpers.SETTINGS)).unwrap()
    other = {
        **helpers.SETTINGS,
        'Seeds': '10.1.0.19:8180,10.2.0.17:8180,10.3.0.39:8180',
    }
    again = _settings.parse(helpers.lines(other)).unwrap()
    assert settings.controllers == again.controllers
    assert settings.controllers[0] == ('10.1.0.19', '10.1.0.19:7420')


@pytest.mark.parametrize(
    ('name', 'value'),
    [
        ('Seeds', 'nowhere'),
        ('Bounds.HoldMaxMs', 'x'),
        ('PortRange', ''),
        ('Limits.MemoryMb', '-1'),
        ('Limits.MaxFds', 'many'),
    ],
)
def test_rejects_invalid_value(name, value):
    values = {**helpers.SETTINGS, name: value}
    outcome = _settings.parse(helpers.lines(values))
    assert isinstance(outcome, result.Failure)


def test_error_names_missing_setting():
    values = dict(helpers.SETTINGS)
    del values['Ip']
    assert 'Ip' in _settings.parse(helpers.lines(values)).failure()


def test_error_names_line_without_value():
    assert 'line 1' in _settings.parse(['nothing']).failure()
