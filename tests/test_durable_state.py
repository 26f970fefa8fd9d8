"""Accepted rules and jobs survive lost disks, damaged logs and new members.

The tests run whole cells of real processes. The histories that they check
are recorded by callers and workers, not by the scheduler.
"""

import json
import re
import shutil
import time

import pytest

from dandeliondrum import messages
from dandeliondrum import testing
from dandeliondrum import worker

JOB_TASKS_COUNT = 12
SETTLE_S = 2


@pytest.fixture
def recorder():
    recorder = testing.Recorder()
    recorder.limited('inspectors', running_max=2)
    return recorder


def work_of(keys, **fields):
    texts = {team: key.text for team, key in keys.items()}
    return testing.Workload(keys=texts, **fields)


def assert_clean(cell, recorder):
    recorded = recorder.history(cell.journals(), cell.processes.outages)
    assert len(recorded.outcomes) > 50
    assert testing.check(recorded) == ()


def wait_for_answers(callers, count=50):
    wanted = callers.answered_count() + count
    testing.wait_until(lambda: callers.answered_count() > wanted)


def controller_views(cell):
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
    view = controller_views(cell).get(name)
    return (
        view is not None
        and view['role'] in ('voter', 'leader')
        and view['last_index'] >= index
    )


def wait_caught_up(cell, name):
    """Wait until a voter has all log entries that the leader has now."""
    leader = testing.wait_until(
        lambda: next(
            (
                one
                for one in controller_views(cell).values()
                if one['role'] == 'leader'
            ),
            None,
        )
    )
    index = leader['last_index']
    testing.wait_until(lambda: is_caught_up(cell, name, index))


def repair(cell, name):
    """Start a controller on an empty disk; wait until it is a voter again."""
    before = readmissions_count(cell, name)
    cell.processes.restart(name)
    testing.wait_until(lambda: readmissions_count(cell, name) > before)
    wait_caught_up(cell, name)


class Accepted:
    """Rules and a job that the cell has accepted and must not lose."""

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
    """Assert that each gateway shows these rules and has them in force."""
    for gateway in cell.gateways:
        shown = testing.wait_until(lambda g=gateway: read_rules(cell, g))
        assert (shown['version'], shown['text']) == (version, text)
    testing.wait_until(lambda: versions_in_force(cell) == {version})


def read_rules(cell, gateway='g1'):
    reply = cell.operate('GET', '/v1/rules', gateway=gateway)
    return reply.json() if reply.status == 200 else None


def versions_in_force(cell):
    shown = read_rules(cell) or {'gateways': []}
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


def test_the_leader_loses_its_disk(cell, keys, recorder, accepted):
    with testing.Callers(cell, work_of(keys), recorder) as callers:
        wait_for_answers(callers)
        lost = cell.leader()
        lose_disk(cell, lost)
        wait_for_answers(callers)
        repair(cell, lost)
        wait_for_answers(callers)
    accepted.assert_kept()
    assert_clean(cell, recorder)


def test_disks_are_lost_one_after_the_other(cell, keys, recorder, accepted):
    """In the end no disk is left of those that took part in the yes."""
    with testing.Callers(cell, work_of(keys), recorder) as callers:
        wait_for_answers(callers)
        for name in ('c1', 'c2', 'c3'):
            lose_disk(cell, name)
            repair(cell, name)
            wait_for_answers(callers)
    accepted.assert_kept()
    assert_clean(cell, recorder)


def starts_count(cell):
    return sum(
        event.kind is worker.EventKind.START for event in cell.journals()
    )


def test_two_disks_that_are_lost_at_once_found_no_new_cell(
    cell, keys, rules_text, accepted
):
    """Two controllers with empty disks must not act as a majority.

    They no longer know what was accepted, so they neither vote nor form a
    cell; nothing is decided until a majority has its own disks back.
    """
    accepted.assert_kept()
    lost = [cell.leader(), followers(cell)[0]]
    for name in lost:
        cell.processes.kill(name)
        (cell.folder / name).rename(cell.folder / f'{name}.kept')
    for name in lost:
        cell.processes.restart(name)
    testing.wait_until(lambda: not any(map(cell.is_ready, cell.gateways)))
    starts_before = starts_count(cell)
    for name in lost:
        testing.wait_until(
            lambda n=name: has_event_with_reason(
                cell, n, 'vote refused', 'disk'
            )
        )
    for names in (cell.controllers, lost):
        members = tuple((name, cell.addresses[name]) for name in names)
        founded = cell.call(lost[0], messages.FormCell(members))
        assert isinstance(founded, messages.CallFailed), names
    key = keys['harbour'].text
    first = cell.run_task(
        {'echo': 'x'}, key, timeout_ms=3_000, first_sending='true'
    )
    again = cell.run_task({'echo': 'y'}, key, timeout_ms=3_000, request_id='y')
    assert first.outcome in ('refused_not_run', 'in_doubt')
    assert again.outcome == 'in_doubt'
    assert cell.submit_job(key, [{'request_id': 'z'}]).status != 202
    assert cell.apply_rules(rules_text, 2).status not in (200, 412)
    assert read_rules(cell) is None
    assert cell.leader_now() == ''
    assert starts_count(cell) == starts_before
    for name in lost:
        cell.processes.kill(name)
        shutil.rmtree(cell.folder / name)
        (cell.folder / f'{name}.kept').rename(cell.folder / name)
        cell.processes.restart(name)
    cell.wait_ready()
    accepted.assert_kept()
    assert cell.run_task({'echo': 'back'}, key).json()['echo'] == 'back'


def has_event_with_reason(cell, name, event, why):
    """Return whether the log has this event with ``why`` in its reason."""
    return any(
        line.get('event') == event and why in str(line.get('why'))
        for line in cell.processes.log(name)
    )


CHANGES_COUNT = 300


def test_restart_after_hundreds_of_changes(make_cell, rules_text):
    """Rules survive, also on a controller that was down as they changed.

    That controller receives them by a snapshot.
    """
    cell = make_cell(snapshot_every_entries=100)
    absent = followers(cell)[0]
    cell.processes.kill(absent)
    for version in range(1, CHANGES_COUNT + 1):
        text = f'{rules_text}// change {version}\n'
        assert cell.apply_rules(text, version).status == 200
    cell.processes.restart(absent)
    wait_caught_up(cell, absent)
    assert has_event(cell, absent, 'snapshot installed')
    for name in cell.controllers:
        cell.processes.kill(name)
    for name in cell.controllers:
        cell.processes.restart(name)
    cell.wait_ready()
    assert_rules(cell, CHANGES_COUNT + 1, text)
    # One controller is killed, so the majority needs the one that was down.
    other = next(name for name in cell.controllers if name != absent)
    cell.processes.kill(other)
    assert_rules(cell, CHANGES_COUNT + 1, text)


def has_event(cell, name, event):
    return any(line.get('event') == event for line in cell.processes.log(name))


def newest_log(cell, name):
    return max((cell.folder / name).glob('log-*'))


def stop_when_caught_up(cell, name, accepted):
    """Stop a controller once its disk has all that was accepted."""
    accepted.assert_kept()
    wait_caught_up(cell, name)
    assert cell.processes.stop(name) == 0


def test_a_torn_tail_is_cut(cell, keys, recorder, accepted):
    torn = followers(cell)[0]
    stop_when_caught_up(cell, torn, accepted)
    path = newest_log(cell, torn)
    size_bytes = path.stat().st_size
    with open(path, 'r+b') as file:
        file.truncate(size_bytes - 3)
    with testing.Callers(cell, work_of(keys), recorder) as callers:
        cell.processes.restart(torn)
        wait_caught_up(cell, torn)
        truncations = [
            line
            for line in cell.processes.log(torn)
            if line['event'] == 'torn tail cut'
        ]
        assert [line['file'] for line in truncations] == [str(path)]
        assert 0 < truncations[0]['offset_bytes'] < size_bytes - 3
        other = next(name for name in followers(cell) if name != torn)
        cell.processes.kill(other)
        wait_for_answers(callers)
    accepted.assert_kept()
    assert_clean(cell, recorder)


def test_damage_in_the_middle_of_a_log_is_refused(
    cell, keys, recorder, accepted
):
    damaged = followers(cell)[0]
    stop_when_caught_up(cell, damaged, accepted)
    path = newest_log(cell, damaged)
    data = bytearray(path.read_bytes())
    position = len(data) // 2
    data[position] ^= 0xFF
    path.write_bytes(data)
    with testing.Callers(cell, work_of(keys), recorder) as callers:
        with pytest.raises(testing.ProcessError):
            cell.processes.restart(damaged)
        assert cell.processes.exit_code(damaged) == 1
        assert path.read_bytes() == data
        found = [
            str(line['why'])
            for line in cell.processes.log(damaged)
            if line['event'] == 'not started'
        ]
        assert len(found) == 1 and str(path) in found[0]
        offset_bytes = int(re.search(r'offset\D*(\d+)', found[0])[1])
        assert 0 < offset_bytes <= position
        wait_for_answers(callers)
    accepted.assert_kept()
    assert_clean(cell, recorder)


def change_controllers(cell, method, path, fields=None):
    body = None if fields is None else json.dumps(fields).encode()
    headers = {'Content-Type': 'application/json'}
    return cell.operate(method, f'/v1/controllers{path}', body, headers).status


def add_controller(cell, name):
    cell.add_controller(name, [*cell.controllers, name])
    cell.processes.wait_ready(name)
    fields = {'controller_id': name, 'address': cell.addresses[name]}
    assert change_controllers(cell, 'POST', '', fields) == 200
    assert controller_views(cell)[name]['role'] == 'voter'
    wait_caught_up(cell, name)


def can_change_rules(cell, version, text):
    return cell.apply_rules(text, version).status == 200


def test_controllers_are_added_and_one_removed(cell, keys, recorder, accepted):
    with testing.Callers(cell, work_of(keys), recorder) as callers:
        wait_for_answers(callers)
        add_controller(cell, 'c4')
        add_controller(cell, 'c5')
        removed = next(name for name in followers(cell) if name < 'c4')
        assert change_controllers(cell, 'DELETE', f'/{removed}') == 200
        assert removed not in controller_views(cell)
        wait_for_answers(callers)
        kept = [name for name in cell.controllers if name != removed]
        first, second = [name for name in kept if name != cell.leader()][:2]
        cell.processes.kill(first)
        wait_for_answers(callers)
        # Two of the four members are no majority. They would be one together
        # with the removed controller if it still had a vote.
        cell.processes.kill(second)
        testing.wait_until(lambda: not any(map(cell.is_ready, cell.gateways)))
        time.sleep(SETTLE_S)
        assert cell.leader_now() == ''
        assert not can_change_rules(cell, 2, accepted.text + '\n')
        cell.processes.restart(first)
        wait_for_answers(callers)
        assert removed not in controller_views(cell)
    accepted.assert_kept()
    assert_clean(cell, recorder)


def test_a_controller_that_was_added_leads(cell, keys, recorder, accepted):
    """Gateways find a leader that their settings do not name."""
    with testing.Callers(cell, work_of(keys), recorder) as callers:
        wait_for_answers(callers)
        add_controller(cell, 'c4')
        add_controller(cell, 'c5')
        transfer_leadership_to_added(cell)
        wait_for_answers(callers)
        assert cell.leader() in ('c4', 'c5')
    accepted.assert_kept()
    assert_clean(cell, recorder)


def transfer_leadership_to_added(cell):
    """Stop and restart each leader until an added controller leads."""
    while (leader := cell.leader()) not in ('c4', 'c5'):
        cell.processes.stop(leader)
        cell.leader()
        cell.processes.restart(leader)
