"""What was accepted outlives disks, damaged files and changed members.

Whole cells of real processes; histories are those of callers and workers.
"""

import shutil

import pytest

from dandeliondrum import testing

JOB_TASKS_COUNT = 12


@pytest.fixture
def recorder():
    recorder = testing.Recorder()
    recorder.limited('inspectors', running_max=2)
    return recorder


def work_of(keys, **fields):
    texts = {team: key.text for team, key in keys.items()}
    return testing.Work(keys=texts, **fields)


def assert_clean(cell, recorder):
    recorded = recorder.history(cell.journals(), cell.processes.outages)
    assert len(recorded.outcomes) > 50
    assert testing.check(recorded) == ()


def wait_for_answers(callers, count=50):
    wanted = callers.answered_count() + count
    testing.wait_until(lambda: callers.answered_count() > wanted)


def views(cell):
    """Return the controllers by name, as the leader sees them."""
    shown = cell.fleet().get('controllers', [])
    return {view['controller_id']: view for view in shown}


def followers(cell):
    leader = cell.leader()
    return [name for name in cell.controllers if name != leader]


def readmissions_count(cell, name):
    return sum(
        line.get('event') == 'voter readmitted as learner'
        and line.get('member') == name
        for other in cell.controllers
        for line in cell.processes.log(other)
    )


def lose_disk(cell, name):
    cell.processes.kill(name)
    shutil.rmtree(cell.folder / name)


def is_caught_up(cell, name, index):
    view = views(cell).get(name)
    return (
        view is not None
        and view['role'] in ('voter', 'leader')
        and view['last_index'] >= index
    )


def wait_caught_up(cell, name):
    """Wait until a controller votes and has all that the leader has now."""
    leader = testing.wait_until(
        lambda: next(
            (one for one in views(cell).values() if one['role'] == 'leader'),
            None,
        )
    )
    index = leader['last_index']
    testing.wait_until(lambda: is_caught_up(cell, name, index))


def repair(cell, name):
    """Start a controller on an empty disk; wait until it counts again."""
    before = readmissions_count(cell, name)
    cell.processes.restart(name)
    testing.wait_until(lambda: readmissions_count(cell, name) > before)
    wait_caught_up(cell, name)


class Accepted:
    """Rules and a job that the cell said yes to, and must keep."""

    def __init__(self, cell, key, rules_text):
        self.cell = cell
        self.key = key
        self.text = rules_text + '// the second version\n'
        assert cell.apply_rules(self.text, 1).status == 200
        tasks = [
            {
                'request_id': f'kept{i}',
                'idempotent': True,
                'body': {'echo': f'kept{i}', 'run_ms': 500},
            }
            for i in range(JOB_TASKS_COUNT)
        ]
        assert cell.submit_job(key, tasks).status == 202

    def assert_kept(self):
        assert_rules(self.cell, 2, self.text)
        for i in range(JOB_TASKS_COUNT):
            name = f'kept{i}'
            testing.wait_until(lambda n=name: self.state(n) == 'done')
            answer = self.cell.ask(self.key, f'tasks/{name}/answer')
            assert answer.json()['echo'] == name

    def state(self, name):
        return self.cell.state_of(self.key, name)


def assert_rules(cell, version, text):
    """The rules are these, by the word of each gateway, and in force."""
    for gateway in cell.gateways:
        shown = testing.wait_until(
            lambda g=gateway: rules_shown(cell, g)
        )
        assert (shown['version'], shown['text']) == (version, text)
    testing.wait_until(lambda: in_force(cell) == {version})


def rules_shown(cell, gateway='g1'):
    reply = cell.operate('GET', '/v1/rules', gateway=gateway)
    return reply.json() if reply.status == 200 else None


def in_force(cell):
    shown = rules_shown(cell) or {'gateways': []}
    return {version for _, version in shown['gateways']}


@pytest.fixture
def accepted(cell, keys, rules_text):
    return Accepted(cell, keys['harbour'].text, rules_text)


def test_a_lost_disk_and_then_a_second_controller(
    cell, keys, recorder, accepted
):
    with testing.Callers(cell, work_of(keys), recorder) as callers:
        wait_for_answers(callers)
        lost, second = followers(cell)
        lose_disk(cell, lost)
        repair(cell, lost)
        accepted.assert_kept()
        cell.processes.kill(second)
        wait_for_answers(callers)
    accepted.assert_kept()
    assert_clean(cell, recorder)
