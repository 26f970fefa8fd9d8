"""Reads a whole rules file and checks that its rules fit together."""

import collections.abc
import dataclasses
import types
import typing

from returns import result

from dandeliondrum import messages
from dandeliondrum.rules import _line
from dandeliondrum.rules import _model

LONGEST_TEXT_LETTERS = 16 * 1024 * 1024


def parse(
    text: str,
) -> result.Result[_model.RuleSet, tuple[_model.RulesProblem, ...]]:
    """Return the rules of a file, or all problems that it has.

    A file with any problem is refused whole.

    Example::

        match rules.parse(text):
            case result.Success(rule_set):
                put_in_force(rule_set)
            case result.Failure(problems):
                show(problems)
    """
    if len(text) > LONGEST_TEXT_LETTERS:
        detail = f'longer than {LONGEST_TEXT_LETTERS} letters'
        return result.Failure((_model.RulesProblem(1, 1, detail),))
    draft = _Draft()
    for number, line in enumerate(text.split('\n'), start=1):
        match _line.read(line.rstrip('\r')):
            case result.Success(None):
                pass
            case result.Success(rule):
                draft.add(number, rule)
            case result.Failure(problems):
                draft.refuse(number, problems)
    draft.check_references()
    if draft.problems:
        return result.Failure(tuple(sorted(draft.problems, key=_place)))
    return result.Success(draft.rule_set())


def _place(problem: _model.RulesProblem) -> tuple[int, int]:
    return problem.line, problem.column


@dataclasses.dataclass
class _Draft:
    """Rules as they are read, each with its line."""

    problems: list[_model.RulesProblem] = dataclasses.field(
        default_factory=list
    )
    _rules: dict[tuple[str, str], _model.Rule] = dataclasses.field(
        default_factory=dict
    )
    _lines: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )

    def add(self, line: int, rule: _model.Rule) -> None:
        identity = _identity(rule)
        if identity in self._rules:
            kind, name = identity
            first = self._lines[identity]
            what = f'{kind} "{name}"' if name else kind
            self._problem(line, f'{what} has a rule on line {first} already')
            return
        self._rules[identity] = rule
        self._lines[identity] = line

    def refuse(
        self, line: int, problems: tuple[_line.LineProblem, ...]
    ) -> None:
        for problem in problems:
            self.problems.append(
                _model.RulesProblem(line, problem.column, problem.detail)
            )

    def check_references(self) -> None:
        """Check that keys and queues name teams that have a rule."""
        for identity, rule in self._rules.items():
            match rule:
                case _model.KeyRule(team_id=team_id):
                    self._check_team(identity, team_id)
                case _model.QueueRule(team_id=team_id) if team_id is not None:
                    self._check_team(identity, team_id)
                    if not rule.is_open:
                        self._problem(
                            self._lines[identity],
                            'only an open queue may name a team',
                        )

    def rule_set(self) -> _model.RuleSet:
        return _model.RuleSet(
            teams=self._by_name('team'),
            keys=self._by_name('key'),
            queues=self._by_name('queue'),
            workers=self._by_name('worker'),
            defaults=typing.cast(
                _model.Defaults,
                self._rules.get(('defaults', ''), _model.Defaults()),
            ),
        )

    def _by_name(
        self, kind: str
    ) -> collections.abc.Mapping[typing.Any, typing.Any]:
        return types.MappingProxyType(
            {
                name: rule
                for (its_kind, name), rule in self._rules.items()
                if its_kind == kind
            }
        )

    def _check_team(
        self, identity: tuple[str, str], team_id: messages.TeamId
    ) -> None:
        if ('team', team_id) in self._rules:
            return
        kind, name = identity
        self._problem(
            self._lines[identity],
            f'{kind} "{name}" names team "{team_id}", which has no rule',
        )

    def _problem(self, line: int, detail: str) -> None:
        self.problems.append(_model.RulesProblem(line, 1, detail))


def _identity(rule: _model.Rule) -> tuple[str, str]:
    match rule:
        case _model.TeamRule(team_id=team_id):
            return 'team', team_id
        case _model.KeyRule(key_id=key_id):
            return 'key', key_id
        case _model.QueueRule(queue=queue):
            return 'queue', queue
        case _model.WorkerRule(worker_id=worker_id):
            return 'worker', worker_id
        case _model.Defaults():
            return 'defaults', ''
