"""Changes of the rules in force, by compare-and-set on their version."""

import collections.abc
import dataclasses
import time
import typing
import uuid

from returns import result

from dandeliondrum.command import _gateways
from dandeliondrum.command import _report
from dandeliondrum import messages
from dandeliondrum import rules

EDITS_MAX = 5
IN_FORCE_WAIT_MS = 5_000
WATCH_PAUSE_MS = 200

Edit = collections.abc.Callable[[str], result.Result[str, rules.RulesProblem]]


@dataclasses.dataclass(frozen=True, slots=True)
class Spread:
    """How far a version of the rules is in force."""

    version: int
    in_force: tuple[str, ...]
    behind: tuple[str, ...]
    latest_version: int

    def text(self) -> str:
        """Return one line about it."""
        line = (
            f'version {self.version} is agreed; in force on '
            f'{len(self.in_force)} of '
            f'{len(self.in_force) + len(self.behind)} gateways'
        )
        if self.behind:
            line += '; not yet on ' + ', '.join(self.behind)
        if self.latest_version > self.version:
            line += f'; version {self.latest_version} has replaced it'
        return line


def new_change_id() -> str:
    """Return an id under which a change may be sent again."""
    return uuid.uuid4().hex


def edit(
    gateways: _gateways.Gateways, operator: str, change: Edit
) -> result.Result[messages.RulesOutcome, _gateways.Problem]:
    """Change the rules in force, again when somebody else was first.

    A refusal means that nothing was changed, so the edit may be made anew
    on the text that is in force by then.
    """
    for _ in range(EDITS_MAX):
        outcome = _edit_once(gateways, operator, change)
        if isinstance(outcome, result.Failure):
            return outcome
        if outcome.unwrap().accepted or not outcome.unwrap().current_text:
            return outcome
    return result.Failure(
        _gateways.Problem(
            _report.ExitCode.REFUSED,
            'other operators changed the rules each time; nothing was '
            'changed by this command',
        )
    )


def _edit_once(
    gateways: _gateways.Gateways, operator: str, change: Edit
) -> result.Result[messages.RulesOutcome, _gateways.Problem]:
    shown = gateways.show_rules()
    if isinstance(shown, result.Failure):
        return shown
    edited = change(shown.unwrap().text)
    if isinstance(edited, result.Failure):
        return result.Failure(
            _gateways.Problem(
                _report.ExitCode.REFUSED, edited.failure().detail
            )
        )
    return gateways.apply_rules(
        messages.ApplyRulesCall(
            new_change_id(),
            messages.OperatorId(operator),
            shown.unwrap().version,
            edited.unwrap(),
        )
    )


def watch(gateways: _gateways.Gateways, version: int, wait_ms: int) -> Spread:
    """Wait until all gateways report a version, for a bounded time."""
    until_s = time.monotonic() + wait_ms / 1000
    spread = _spread(gateways, version)
    while (spread.behind or not spread.in_force) and (
        time.monotonic() < until_s
    ):
        time.sleep(WATCH_PAUSE_MS / 1000)
        spread = _spread(gateways, version)
    return spread


def _spread(gateways: _gateways.Gateways, version: int) -> Spread:
    shown = gateways.show_rules()
    if isinstance(shown, result.Failure):
        return Spread(version, (), (), version)
    reported = shown.unwrap().gateways
    return Spread(
        version,
        tuple(name for name, has in reported if has >= version),
        tuple(name for name, has in reported if has < version),
        shown.unwrap().version,
    )


def report(
    gateways: _gateways.Gateways,
    outcome: messages.RulesOutcome,
    wait_ms: int,
    more: collections.abc.Mapping[str, str],
    text: str,
) -> _report.Report:
    """Return the end of a command that changed the rules.

    ``more`` joins the JSON output; ``text`` is printed in place of how far
    the change is in force, which then goes to standard error.
    """
    data: dict[str, typing.Any] = {
        'accepted': outcome.accepted,
        'version': outcome.version,
        'detail': outcome.detail,
    }
    if not outcome.accepted:
        note = f'refused, nothing was changed: {outcome.detail}'
        return _report.Report(_report.ExitCode.REFUSED, note=note, data=data)
    spread = watch(gateways, outcome.version, wait_ms)
    data |= {
        **more,
        'in_force': list(spread.in_force),
        'behind': list(spread.behind),
        'latest_version': spread.latest_version,
    }
    return _report.Report(
        _report.ExitCode.DONE,
        text=text or spread.text(),
        note=spread.text() if text else '',
        data=data,
    )
