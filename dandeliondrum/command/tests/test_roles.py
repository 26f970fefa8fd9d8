"""The settings of a role match the options of its component."""

import dataclasses

import pytest

from dandeliondrum import controller
from dandeliondrum import gateway
from dandeliondrum import settings
from dandeliondrum import worker

PAIRS = [
    (settings.ControllerSettings, controller.Options),
    (settings.GatewaySettings, gateway.Options),
    (settings.WorkerSettings, worker.Options),
]
# Options that the daemon computes from several settings.
COMPUTED_OPTIONS = {'resources'}


def defaults(settings_class):
    return {
        field.name: field.default
        for field in dataclasses.fields(settings_class)
        if field.default is not dataclasses.MISSING
    }


@pytest.mark.parametrize(('settings_class', 'options'), PAIRS)
def test_settings_and_options_have_the_same_defaults(settings_class, options):
    settings_defaults, option_defaults = (
        defaults(settings_class),
        defaults(options),
    )
    for name in settings_defaults.keys() & option_defaults.keys():
        assert settings_defaults[name] == option_defaults[name], name


@pytest.mark.parametrize(('settings_class', 'options'), PAIRS)
def test_required_options_have_a_setting(settings_class, options):
    configurable = {
        parameter.name for parameter in settings.parameters(settings_class)
    }
    required = {
        field.name
        for field in dataclasses.fields(options)
        if field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    }
    assert required <= configurable | COMPUTED_OPTIONS
