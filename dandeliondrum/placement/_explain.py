"""Why a pending task waits, in words for an operator."""

from dandeliondrum.placement import _gang_step
from dandeliondrum.placement import _policy
from dandeliondrum.placement import _reservation
from dandeliondrum.placement import _state
from dandeliondrum.placement import _tasks


def why_waiting(
    state: _state.State,
    gang_step: _gang_step.GangStep,
    task: _tasks.PendingTask,
) -> str:
    """Return the first cause that keeps a task from starting."""
    why = _policy.why_waiting(state.ledger, task)
    if why is not None:
        return why
    if task.gang_id is not None:
        return _why_gang(state, gang_step, task)
    return _why_single(state, task)


def _why_gang(
    state: _state.State,
    gang_step: _gang_step.GangStep,
    task: _tasks.PendingTask,
) -> str:
    key = _policy.gang_key(task)
    gang = state.gangs.get(key) if key is not None else None
    if gang is None or key is None:
        return 'its gang is not complete'
    if not gang.ready:
        here_count = len(gang.pending) + gang.running_count
        return f'{here_count} of {gang.size} members of its gang are here'
    made = state.reservation
    if made is not None and made.gang_key == key:
        names = _reservation.waiting_names(made)
        return f'room is reserved for its gang; it waits for {names}'
    if gang_step.is_too_large(key):
        return 'the workers that may be given tasks are too few for its gang'
    if made is not None:
        return 'another gang has the reservation'
    return 'its gang has not had its turn; ' + _share(state, task)


def _why_single(state: _state.State, task: _tasks.PendingTask) -> str:
    group = state.queues.of(task)
    if group is None:
        return 'it is not queued'
    made = state.reservation
    if made is not None and any(one is task for one, _ in made.places):
        names = _reservation.waiting_names(made)
        return f'room is reserved for it; it waits for {names}'
    is_blocked = bool(state.queues.blocked & group.bin.bit)
    if is_blocked and task.region is None:
        why = 'no worker has room for it at present'
    elif is_blocked:
        why = f'no worker of region {task.region} has room for it at present'
    else:
        why = 'others come first'
    if made is not None:
        why += '; some room is held for a gang'
    return f'{why}; {_share(state, task)}'


def _share(state: _state.State, task: _tasks.PendingTask) -> str:
    account = state.ledger.teams.account(task.team_id)
    used = 100 * state.ranking.dominant_share(account)
    fair = 100 * state.ranking.fair_share(account)
    is_first = state.ranking.is_first(account, task.task_class)
    order = 'ahead of' if is_first else 'among'
    return (
        f'team {task.team_id} uses {used:.1f}% of the fleet with a share of '
        f'{fair:.1f}%, so its {task.task_class.value} tasks come {order} '
        f'the others'
    )
