"""The settings of a role and the options of its part don't drift apart."""

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
# What the daemon makes out of several settings.
MADE = {'resources'}


def defaults_of(kind):
    return {
        field.name: field.default
        for field in dataclasses.fields(kind)
        if field.default is not dataclasses.MISSING
    }


@pytest.mark.parametrize(('kind', 'options'), PAIRS)
def test_same_names_have_the_same_default(kind, options):
    ours, theirs = defaults_of(kind), defaults_of(options)
    for name in ours.keys() & theirs.keys():
        assert ours[name] == theirs[name], name


@pytest.mark.parametrize(('kind', 'options'), PAIRS)
def test_what_a_part_requires_can_be_set(kind, options):
    given = {parameter.name for parameter in settings.parameters(kind)}
    required = {
        field.name
        for field in dataclasses.fields(options)
        if field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    }
    assert required <= given | MADE
