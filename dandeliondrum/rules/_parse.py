"""Parses a whole rules file and checks references between its rules."""

import collections.abc
import dataclasses
import types
import typing

from returns import result

from dandeliondrum import messages
from dandeliondrum.rules import _line_parser
from dandeliondrum.rules import _model

TEXT_CHARACTERS_MAX = 16 * 1024 * 1024


def parse(
    text: str,
) -> result.Result[_model.RuleSet, tuple[_model.RulesProblem, ...]]:
    """Return the rules of a file, or all its problems.

    A file with any problem is rejected as a whole.

    Example::

        match rules.parse(text):
            case result.Success(rule_set):
                put_in_force(rule_set)
            case result.Failure(problems):
                show(problems)
    """
    if len(text) > TEXT_CHARACTERS_MAX:
        detail = f'longer than {TEXT_CHARACTERS_MAX} letters'
        return result.Failure((_model.RulesProblem(1, 1, detail),))
    builder = _RuleSetBuilder()
    for number, line in enumerate(text.split('\n'), start=1):
        match _line_parser.read(line.rstrip('\r')):
            case result.Success(None):
                pass
            case result.Success(rule):
                builder.add(number, rule)
            case result.Failure(problems):
                builder.add_problems(number, problems)
    builder.check_references()
    if builder.problems:
        return result.Failure(tuple(sorted(builder.problems, key=_position)))
    return result.Success(builder.build())


def find_lines(
    text: str,
) -> collections.abc.Mapping[tuple[str, str], int]:
    """Return the line of each rule of a valid file by its kind and name."""
    lines = {}
    for number, line in enumerate(text.split('\n'), start=1):
        rule = _line_parser.read(line.rstrip('\r')).value_or(None)
        if rule is not None:
            lines[_identity(rule)] = number
    return lines


def _position(problem: _model.RulesProblem) -> tuple[int, int]:
    return problem.line, problem.column


@dataclasses.dataclass
class _RuleSetBuilder:
    """Collects rules with their lines, and the problems found."""

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
            described = f'{kind} "{name}"' if name else kind
            self._problem(
                line, f'{described} has a rule on line {first} already'
            )
            return
        self._rules[identity] = rule
        self._lines[identity] = line

    def add_problems(
        self, line: int, problems: tuple[_line_parser.LineProblem, ...]
    ) -> None:
        for problem in problems:
            self.problems.append(
                _model.RulesProblem(line, problem.column, problem.detail)
            )

    def check_references(self) -> None:
        """Check that each team named by a key or queue has a rule."""
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

    def build(self) -> _model.RuleSet:
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
                for (rule_kind, name), rule in self._rules.items()
                if rule_kind == kind
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
