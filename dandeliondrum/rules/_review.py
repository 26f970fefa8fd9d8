"""Review of valid rules before they are applied.

The parser rejects rules that can't be understood. What is found here is valid
and yet most likely a mistake: rules that can never apply, limits that
contradict each other, and changes that nobody meant to make.
"""

import collections.abc
import dataclasses
import typing

from dandeliondrum import messages
from dandeliondrum.rules import _model

_Rules = collections.abc.Mapping[typing.Any, _model.Rule]
# Names of the kinds of rules and of their collections in a RuleSet.
_KINDS = (
    ('team', 'teams'),
    ('key', 'keys'),
    ('queue', 'queues'),
    ('worker', 'workers'),
)


@dataclasses.dataclass(frozen=True, slots=True)
class RulesDoubt:
    """A doubt about a rule, given by its kind and the name it is about.

    Both are empty if the doubt is about the cell.
    """

    kind: str
    name: str
    detail: str


_Doubts = collections.abc.Iterator[RulesDoubt]


def find_doubts(
    rule_set: _model.RuleSet,
    known_workers: collections.abc.Collection[messages.WorkerId] | None = None,
    team_views: collections.abc.Iterable[messages.TeamView] = (),
) -> tuple[RulesDoubt, ...]:
    """Return rules that can never apply and limits that contradict.

    ``known_workers`` are the workers of the cell, and ``team_views`` what its
    teams run; None and empty if it was not asked. What single tasks and gangs
    need is not known.

    Example::

        for doubt in rules.find_doubts(rule_set):
            print(f'warning: {doubt.detail}')
    """
    doubts = [
        *_teams_without_access(rule_set),
        *_queues_without_access(rule_set),
        *_policies_without_effect(rule_set),
        *_limits_that_stop_all(rule_set),
        *_limits_below_a_gang(rule_set),
        *_limits_below_use(rule_set, team_views),
        *_shares_without_effect(rule_set),
    ]
    if known_workers is not None:
        doubts += _rules_of_unknown_workers(rule_set, known_workers)
        doubts += _cell_without_workers(rule_set, known_workers)
    return tuple(doubts)


def compare(before: _model.RuleSet, after: _model.RuleSet) -> tuple[str, ...]:
    """Return in which rules two sets differ, one difference a line.

    Who asked for a rule is not compared. Secrets are never part of rules, and
    the salt and digest of a key are only said to differ.
    """
    changes: list[str] = []
    for kind, name in _KINDS:
        rules_before: _Rules = getattr(before, name)
        rules_after: _Rules = getattr(after, name)
        for key in sorted(rules_before.keys() | rules_after.keys()):
            changes += _compare_rule(
                f'{kind} "{key}"', rules_before.get(key), rules_after.get(key)
            )
    return (
        *changes,
        *_compare_rule('defaults', before.defaults, after.defaults),
    )


def _teams_without_access(rule_set: _model.RuleSet) -> _Doubts:
    if any(queue.is_open for queue in rule_set.queues.values()):
        # Work at an open queue may name any team.
        return
    with_key = {key.team_id for key in rule_set.keys.values()}
    for team_id in rule_set.teams:
        if team_id not in with_key:
            yield RulesDoubt(
                'team',
                team_id,
                f'team "{team_id}" has no key and no queue is open, so it '
                f'can submit nothing',
            )


def _queues_without_access(rule_set: _model.RuleSet) -> _Doubts:
    for name, queue in rule_set.queues.items():
        if not queue.is_open and not rule_set.keys:
            detail = f'queue "{name}" needs a key, and no team has one'
            yield RulesDoubt('queue', name, detail)
        if queue.is_open and queue.team_id is None and not rule_set.teams:
            detail = f'queue "{name}" is open, and there is no team to charge'
            yield RulesDoubt('queue', name, detail)


def _policies_without_effect(rule_set: _model.RuleSet) -> _Doubts:
    for name, queue in rule_set.queues.items():
        if queue.policy is not None:
            detail = f'queue "{name}" has a policy, which has no effect yet'
            yield RulesDoubt('queue', name, detail)


def _limits_that_stop_all(rule_set: _model.RuleSet) -> _Doubts:
    for team_id, team in rule_set.teams.items():
        stopping = []
        if team.running_max == 0:
            stopping.append('running')
        if team.resources_max is not None:
            amounts = team.resources_max
            if amounts.cpu_millicores == 0:
                stopping.append('cpu_millicores')
            if amounts.memory_mb == 0:
                stopping.append('memory_mb')
        if stopping:
            names = ' and '.join(stopping)
            yield RulesDoubt(
                'team',
                team_id,
                f'team "{team_id}" has an upper limit of 0 for {names}, so '
                f'nothing of it ever runs, whatever its share and other '
                f'limits',
            )


def _limits_below_a_gang(rule_set: _model.RuleSet) -> _Doubts:
    """Yield teams that may run one task where all queues are for gangs."""
    classes = {queue.task_class for queue in rule_set.queues.values()}
    if classes != {messages.TaskClass.GANG}:
        return
    for team_id, team in rule_set.teams.items():
        if team.running_max == 1:
            yield RulesDoubt(
                'team',
                team_id,
                f'team "{team_id}" may run 1 task, which is below any gang, '
                f'and all queues are for gangs',
            )


def _limits_below_use(
    rule_set: _model.RuleSet,
    team_views: collections.abc.Iterable[messages.TeamView],
) -> _Doubts:
    for view in team_views:
        team = rule_set.teams.get(view.team_id)
        if team is None:
            continue
        exceeded = []
        if (
            team.running_max is not None
            and view.running_count > team.running_max
        ):
            exceeded.append(f'{view.running_count} tasks')
        if team.resources_max is not None and not view.reserved.fits_in(
            team.resources_max
        ):
            exceeded.append(_show(view.reserved))
        if exceeded:
            yield RulesDoubt(
                'team',
                view.team_id,
                f'team "{view.team_id}" uses {" and ".join(exceeded)} now, '
                f'above its upper limit, so nothing of it starts until less '
                f'is in use',
            )


def _shares_without_effect(rule_set: _model.RuleSet) -> _Doubts:
    if len(rule_set.teams) == 1:
        (team,) = rule_set.teams.values()
        if team.share > 1:
            yield RulesDoubt(
                'team',
                team.team_id,
                f'team "{team.team_id}" is the only one, so its share of '
                f'{team.share} has no effect',
            )


def _rules_of_unknown_workers(
    rule_set: _model.RuleSet,
    known_workers: collections.abc.Collection[messages.WorkerId],
) -> _Doubts:
    for worker_id in rule_set.workers:
        if worker_id not in known_workers:
            yield RulesDoubt(
                'worker',
                worker_id,
                f'worker "{worker_id}" is not known, so its rule has no '
                f'effect',
            )


def _cell_without_workers(
    rule_set: _model.RuleSet,
    known_workers: collections.abc.Collection[messages.WorkerId],
) -> _Doubts:
    """Yield a doubt if no worker is left, since all workers serve all queues.

    A rule about a worker excludes it from new tasks.
    """
    if all(worker_id in rule_set.workers for worker_id in known_workers):
        kind = 'quarantined' if known_workers else 'unknown'
        detail = f'no queue has a worker, since all are {kind}'
        yield RulesDoubt('', '', detail)


def _compare_rule(
    name: str, before: _model.Rule | None, after: _model.Rule | None
) -> collections.abc.Iterator[str]:
    if before is None or after is None:
        if before is not after:
            yield f'{name}: {"added" if before is None else "removed"}'
        return
    for field in dataclasses.fields(after):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if field.name == 'asked_by' or old == new:
            continue
        if field.name in ('salt', 'digest'):
            yield f'{name}: another {field.name}'
        else:
            yield f'{name}: {field.name} {_show(old)} -> {_show(new)}'


def _show(value: object) -> str:
    match value:
        case None:
            return 'none'
        case messages.Resources(cpu, memory, accelerators):
            shown = (
                'no limit' if amount >= _model.UNLIMITED else str(amount)
                for amount in (cpu, memory, accelerators)
            )
            return '(' + ', '.join(shown) + ')'
        case collections.abc.Mapping():
            pairs = (
                f'{getattr(key, "value", key)} {amount}'
                for key, amount in value.items()
            )
            return '(' + ', '.join(pairs) + ')'
    return str(getattr(value, 'value', value))
