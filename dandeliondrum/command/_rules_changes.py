"""Changes the rules in force by compare-and-set on their version."""

import collections.abc
import dataclasses
import time
import typing
import uuid

from returns import result

from dandeliondrum.command import _exit_code
from dandeliondrum.command import _gateways
from dandeliondrum.command import _report
from dandeliondrum import messages
from dandeliondrum import rules

EDIT_ATTEMPTS_MAX = 5
IN_FORCE_WAIT_MS = 5_000
POLL_INTERVAL_MS = 200

Edit = collections.abc.Callable[[str], result.Result[str, rules.RulesProblem]]


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """Which gateways have a version of the rules in force."""

    version: int
    in_force: tuple[str, ...]
    behind: tuple[str, ...]
    latest_version: int

    def text(self) -> str:
        """Return a one-line description."""
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
    """Return an id under which a change can be retried."""
    return uuid.uuid4().hex


def edit(
    gateways: _gateways.Gateways, operator: str, transform: Edit
) -> result.Result[messages.RulesOutcome, _gateways.Problem]:
    """Edit the rules in force, and retry after a concurrent change.

    A refusal means that nothing was changed, so the edit can be repeated on
    the text that is in force by then.
    """
    for _ in range(EDIT_ATTEMPTS_MAX):
        outcome = _edit_once(gateways, operator, transform)
        if isinstance(outcome, result.Failure):
            return outcome
        if outcome.unwrap().accepted or not outcome.unwrap().current_text:
            return outcome
    return result.Failure(
        _gateways.Problem(
            _exit_code.ExitCode.REFUSED,
            'other operators changed the rules each time; nothing was '
            'changed by this command',
        )
    )


def _edit_once(
    gateways: _gateways.Gateways, operator: str, transform: Edit
) -> result.Result[messages.RulesOutcome, _gateways.Problem]:
    shown = gateways.show_rules()
    if isinstance(shown, result.Failure):
        return shown
    edited = transform(shown.unwrap().text)
    if isinstance(edited, result.Failure):
        return result.Failure(
            _gateways.Problem(
                _exit_code.ExitCode.REFUSED, edited.failure().detail
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


def wait_for_rollout(
    gateways: _gateways.Gateways, version: int, wait_ms: int
) -> Rollout:
    """Wait up to ``wait_ms`` until all gateways report a version."""
    deadline_s = time.monotonic() + wait_ms / 1000
    rollout = _read_rollout(gateways, version)
    while (rollout.behind or not rollout.in_force) and (
        time.monotonic() < deadline_s
    ):
        time.sleep(POLL_INTERVAL_MS / 1000)
        rollout = _read_rollout(gateways, version)
    return rollout


def _read_rollout(gateways: _gateways.Gateways, version: int) -> Rollout:
    shown = gateways.show_rules()
    if isinstance(shown, result.Failure):
        return Rollout(version, (), (), version)
    reported = shown.unwrap().gateways
    return Rollout(
        version,
        tuple(name for name, installed in reported if installed >= version),
        tuple(name for name, installed in reported if installed < version),
        shown.unwrap().version,
    )


def report(
    gateways: _gateways.Gateways,
    outcome: messages.RulesOutcome,
    wait_ms: int,
    extra_data: collections.abc.Mapping[str, str],
    text: str,
) -> _report.Report:
    """Return the report of a command that changed the rules.

    ``extra_data`` is added to the JSON output. ``text``, if not empty, is
    printed in place of the rollout, which then goes to standard error.
    """
    data: dict[str, typing.Any] = {
        'accepted': outcome.accepted,
        'version': outcome.version,
        'detail': outcome.detail,
    }
    if not outcome.accepted:
        note = f'refused, nothing was changed: {outcome.detail}'
        return _report.Report(
            _exit_code.ExitCode.REFUSED, note=note, data=data
        )
    rollout = wait_for_rollout(gateways, outcome.version, wait_ms)
    data |= {
        **extra_data,
        'in_force': list(rollout.in_force),
        'behind': list(rollout.behind),
        'latest_version': rollout.latest_version,
    }
    return _report.Report(
        _exit_code.ExitCode.DONE,
        text=text or rollout.text(),
        note=rollout.text() if text else '',
        data=data,
    )
