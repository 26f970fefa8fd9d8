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


def find_doubts(
    rule_set: _model.RuleSet,
    known_workers: collections.abc.Collection[messages.WorkerId] | None = None,
) -> tuple[str, ...]:
    """Return rules that can never apply and limits that contradict.

    ``known_workers`` are the workers of the cell; None if it was not asked.

    Example::

        for doubt in rules.find_doubts(rule_set):
            print(f'warning: {doubt}')
    """
    doubts = [
        *_teams_without_access(rule_set),
        *_queues_without_access(rule_set),
        *_limits_that_stop_all(rule_set),
        *_shares_without_effect(rule_set),
    ]
    if known_workers is not None:
        doubts += [
            f'worker "{worker_id}" is not known, so its rule has no effect'
            for worker_id in rule_set.workers
            if worker_id not in known_workers
        ]
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


def _teams_without_access(
    rule_set: _model.RuleSet,
) -> collections.abc.Iterator[str]:
    if any(queue.is_open for queue in rule_set.queues.values()):
        # Work at an open queue may name any team.
        return
    with_key = {key.team_id for key in rule_set.keys.values()}
    for team_id in rule_set.teams:
        if team_id not in with_key:
            yield (
                f'team "{team_id}" has no key and no queue is open, so it '
                f'can submit nothing'
            )


def _queues_without_access(
    rule_set: _model.RuleSet,
) -> collections.abc.Iterator[str]:
    for name, queue in rule_set.queues.items():
        if not queue.is_open and not rule_set.keys:
            yield f'queue "{name}" needs a key, and no team has one'
        if queue.is_open and queue.team_id is None and not rule_set.teams:
            yield f'queue "{name}" is open, and there is no team to charge'


def _limits_that_stop_all(
    rule_set: _model.RuleSet,
) -> collections.abc.Iterator[str]:
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
            yield (
                f'team "{team_id}" has an upper limit of 0 for {names}, so '
                f'nothing of it ever runs, whatever its share and other limits'
            )


def _shares_without_effect(
    rule_set: _model.RuleSet,
) -> collections.abc.Iterator[str]:
    if len(rule_set.teams) == 1:
        (team,) = rule_set.teams.values()
        if team.share > 1:
            yield (
                f'team "{team.team_id}" is the only one, so its share of '
                f'{team.share} has no effect'
            )


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
