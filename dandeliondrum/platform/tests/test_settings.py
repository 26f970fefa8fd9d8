"""The platform's settings file."""

import pytest
from returns import result

from dandeliondrum.platform import _settings
from dandeliondrum.platform.tests import helpers


def test_settings_are_read():
    settings = _settings.parse(helpers.lines(helpers.SETTINGS)).unwrap()
    assert settings.stream_address == '10.1.0.19:7420'
    assert settings.first_start
    assert settings.stop_grace_ms == 6_000
    assert settings.losses_max == 2


def test_all_vms_know_the_seeds_in_the_same_order():
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
    [('Seeds', 'nowhere'), ('Bounds.HoldMaxMs', 'x'), ('PortRange', '')],
)
def test_a_bad_value_is_an_error(name, value):
    values = {**helpers.SETTINGS, name: value}
    outcome = _settings.parse(helpers.lines(values))
    assert isinstance(outcome, result.Failure)


def test_a_missing_value_is_named():
    values = dict(helpers.SETTINGS)
    del values['Ip']
    assert 'Ip' in _settings.parse(helpers.lines(values)).failure()


def test_a_line_without_a_value_is_named():
    assert 'line 1' in _settings.parse(['nothing']).failure()
