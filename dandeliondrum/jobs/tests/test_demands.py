"""Demands of due steps, and the resources that teams may still use."""

import dataclasses

from dandeliondrum import jobs
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _demands
from dandeliondrum.jobs.tests import helpers
from dandeliondrum import messages


def _due(machine):
    return [
        (demand.step, demand.indexes)
        for demand, _ in _demands.open_demands(machine.state)
    ]


def _limited(machine, **amounts):
    limit = messages.Resources(
        **{'cpu_millicores': 0, 'memory_mb': 0, **amounts}
    )
    team = jobs.TeamPolicy(helpers.TEAM, ('key',), 1, limit)
    machine.state.policy = dataclasses.replace(
        machine.state.policy, teams=(team,)
    )


def test_only_steps_whose_turn_has_come_are_due():
    machine = helpers.Machine()
    steps = (helpers.step(2), helpers.step(), helpers.step(after=(0, 1)))
    machine(_commands.SubmitJob(helpers.job('j', *steps)))
    assert _due(machine) == [(0, (0, 1)), (1, (0,))]
    for task in ('j.0.0.0', 'j.0.0.1'):
        assert machine.assign(task)
        machine.end(task)
    assert _due(machine) == [(1, (0,))]
    assert machine.assign('j.0.1.0')
    machine.end('j.0.1.0')
    assert _due(machine) == [(2, (0,))]


def test_a_team_may_start_what_its_limit_leaves():
    machine = helpers.Machine()
    _limited(machine, cpu_millicores=2_500)
    machine(_commands.SubmitJob(helpers.job('j', helpers.step(3))))
    assert machine.assign('j.0.0.0')
    available = _demands.team_available(machine.state)[helpers.TEAM]
    assert available.cpu_millicores == 1_500
    assert helpers.step().resources.fits_in(available)
    assert machine.assign('j.0.0.1')
    available = _demands.team_available(machine.state)[helpers.TEAM]
    assert not helpers.step().resources.fits_in(available)


def test_what_is_being_stopped_counts_for_the_limit():
    machine = helpers.Machine()
    _limited(machine, cpu_millicores=1_000)
    machine(_commands.SubmitJob(helpers.job('j', helpers.step())))
    assert machine.assign('j.0.0.0')
    machine(_commands.CancelJob(jobs.JobId('j')))
    available = _demands.team_available(machine.state)[helpers.TEAM]
    assert available.cpu_millicores == 0


def test_a_team_without_a_limit_has_no_bound():
    machine = helpers.Machine()
    _limited(machine)
    assert helpers.TEAM not in _demands.team_available(machine.state)
