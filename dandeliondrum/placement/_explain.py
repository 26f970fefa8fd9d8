"""Explanations for operators of why a pending task waits."""

from dandeliondrum import messages
from dandeliondrum.placement import _gang_step
from dandeliondrum.placement import _policy
from dandeliondrum.placement import _reservation
from dandeliondrum.placement import _state
from dandeliondrum.placement import _tasks

TOO_LARGE = 'the eligible workers are too few for its gang'


def waiting_reason(
    state: _state.State,
    gang_step: _gang_step.GangStep,
    task: _tasks.PendingTask,
) -> str:
    """Return the first reason found why a task does not start."""
    reason = _policy.blocking_reason(state.ledger, task)
    if reason is not None:
        return reason
    if task.gang_id is not None:
        return _gang_reason(state, gang_step, task)
    return _single_reason(state, task)


def unfit_reason(
    state: _state.State,
    gang_step: _gang_step.GangStep,
    task: _tasks.PendingTask,
) -> str:
    """Return why a task can't start even once others have ended, or ''."""
    infeasible = state.ledger.infeasible_reason(task)
    if infeasible is not None:
        return infeasible
    key = _policy.gang_key(task)
    gang = state.gangs.get(key) if key is not None else None
    if gang is None or key is None:
        return ''
    total = messages.Resources(0, 0, 0)
    for member in gang.pending.values():
        total = total + member.resources
    account = state.ledger.teams.account(task.team_id)
    if gang.ready and not account.may_allow(total, len(gang.pending)):
        return (
            f'the services of team {task.team_id} leave too little of its '
            f'upper limit for the gang'
        )
    if gang_step.is_too_large(key):
        return TOO_LARGE
    return ''


def _gang_reason(
    state: _state.State,
    gang_step: _gang_step.GangStep,
    task: _tasks.PendingTask,
) -> str:
    key = _policy.gang_key(task)
    gang = state.gangs.get(key) if key is not None else None
    if gang is None or key is None:
        return 'its gang is not complete'
    if not gang.ready:
        known_count = len(gang.pending) + gang.running_count
        return (
            f'{known_count} of {gang.size} members of its gang are pending '
            f'or running'
        )
    reservation = state.reservation
    if reservation is not None and reservation.gang_key == key:
        names = _reservation.format_waiting_workers(reservation)
        return f'room is reserved for its gang; it waits for {names}'
    unfit = unfit_reason(state, gang_step, task)
    if unfit:
        return unfit
    if reservation is not None:
        return 'room is reserved for other tasks first'
    return 'other tasks precede its gang; ' + _share_note(state, task)


def _single_reason(state: _state.State, task: _tasks.PendingTask) -> str:
    group = state.queues.group_of(task)
    if group is None:
        return 'it is not queued'
    reservation = state.reservation
    if reservation is not None and any(
        one is task for one, _ in reservation.assignments
    ):
        names = _reservation.format_waiting_workers(reservation)
        return f'room is reserved for it; it waits for {names}'
    is_blocked = bool(state.queues.blocked & group.bin.bit)
    if is_blocked and task.region is None:
        reason = 'no worker has room for it at present'
    elif is_blocked:
        reason = (
            f'no worker of region {task.region} has room for it at present'
        )
    else:
        reason = 'other tasks come first'
    if reservation is not None:
        reason += '; some room is held by a reservation'
    return f'{reason}; {_share_note(state, task)}'


def _share_note(state: _state.State, task: _tasks.PendingTask) -> str:
    account = state.ledger.teams.account(task.team_id)
    used = 100 * state.ranking.dominant_share(account)
    fair = 100 * state.ranking.fair_share(account)
    has_first_rank = state.ranking.has_first_rank(account, task.task_class)
    order = 'ahead of' if has_first_rank else 'among'
    return (
        f'team {task.team_id} uses {used:.1f}% of the fleet with a share of '
        f'{fair:.1f}%, so its {task.task_class.value} tasks come {order} '
        f'other tasks'
    )
