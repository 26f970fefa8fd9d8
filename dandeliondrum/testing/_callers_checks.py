"""Checks of what callers saw."""

import collections
import collections.abc
import dataclasses
import functools
import math

from dandeliondrum import messages
from dandeliondrum.testing import _history
from dandeliondrum.testing import _runs
from dandeliondrum.testing import _violations

_Kind = _violations.ViolationKind
_Violations = collections.abc.Iterator[_violations.Violation]


@dataclasses.dataclass(frozen=True)
class SendingOutcomes:
    """A sending and all that its caller saw, oldest first."""

    sending: _history.Sending
    outcomes: tuple[_history.Outcome, ...]

    @functools.cached_property
    def verdict(self) -> _history.Outcome | None:
        """The outcome that counts; one in doubt counts only if no other."""
        verdict = None
        for outcome in self.outcomes:
            match outcome.kind:
                case _history.OutcomeKind.ACCEPTED:
                    pass
                case _history.OutcomeKind.IN_DOUBT:
                    verdict = verdict or outcome
                case _:
                    return outcome
        return verdict

    @property
    def refused(self) -> bool:
        """Whether the caller was informed that the task was not run."""
        return (
            self.verdict is not None
            and self.verdict.kind is _history.OutcomeKind.REFUSED_NOT_RUN
        )

    @property
    def ended_ms(self) -> float:
        """When the caller had its outcome; infinity while it has none."""
        return self.verdict.at_ms if self.verdict is not None else math.inf


def all_sending_outcomes(
    history: _history.History,
) -> tuple[SendingOutcomes, ...]:
    """Return every sending with its outcomes."""
    grouped: dict[str, list[_history.Outcome]] = collections.defaultdict(list)
    for outcome in sorted(history.outcomes, key=lambda each: each.at_ms):
        grouped[outcome.sending_id].append(outcome)
    return tuple(
        SendingOutcomes(sending, tuple(grouped[sending.sending_id]))
        for sending in sorted(history.sendings, key=lambda each: each.at_ms)
    )


def check_lost(
    sendings: collections.abc.Iterable[SendingOutcomes],
) -> _Violations:
    """Find sendings whose caller never had an outcome."""
    for each in sendings:
        if each.verdict is not None:
            continue
        if each.sending.kind is _history.SendingKind.SERVICE and each.outcomes:
            continue
        state = 'accepted' if each.outcomes else 'sent'
        yield _violations.Violation(
            _Kind.LOST,
            each.sending.task_id,
            f'{state} at {each.sending.at_ms}, no outcome',
        )


def check_answers(
    sendings: collections.abc.Iterable[SendingOutcomes],
) -> _Violations:
    """Find answers that belong to another request."""
    for each in sendings:
        for outcome in each.outcomes:
            wrong = _wrong_answer(each.sending, outcome)
            if wrong:
                yield _violations.Violation(
                    _Kind.WRONG_ANSWER, each.sending.task_id, wrong
                )


def _wrong_answer(sending: _history.Sending, outcome: _history.Outcome) -> str:
    answered = outcome.kind is _history.OutcomeKind.ANSWERED
    if not answered or outcome.status != 200:
        return ''
    if sending.echo and outcome.echo != sending.echo:
        return f'echo {outcome.echo!r} in place of {sending.echo!r}'
    if outcome.task_id and outcome.task_id != sending.task_id:
        return f'answer of task {outcome.task_id}'
    return ''


def check_refusals(
    sendings: collections.abc.Iterable[SendingOutcomes],
    runs_by_task: dict[messages.TaskId, list[_runs.Run]],
) -> _Violations:
    """Find tasks that ran although a caller was informed that they did not.

    The same id may have been sent more than once. A start is excused by a
    sending that was not refused itself and that was under way together with
    the refused one or after it, by one of an earlier answer, and by one with
    another content.
    """
    grouped: dict[messages.TaskId, list[SendingOutcomes]] = (
        collections.defaultdict(list)
    )
    for each in sendings:
        grouped[each.sending.task_id].append(each)
    for task_id, same_id in grouped.items():
        for refused in same_id:
            if not refused.refused:
                continue
            for run in runs_by_task.get(task_id, ()):
                if not _excused(refused, same_id, run.start.at_ms):
                    yield _violations.Violation(
                        _Kind.RAN_AFTER_REFUSAL,
                        task_id,
                        f'{run.where} started at {run.start.at_ms}, '
                        f'"not run" was reported at {refused.ended_ms}',
                    )


def _excused(
    refused: SendingOutcomes,
    same_id: collections.abc.Iterable[SendingOutcomes],
    start_ms: float,
) -> bool:
    return any(
        not other.refused
        and other.sending.at_ms <= start_ms
        and _may_have_caused(other, refused, start_ms)
        for other in same_id
    )


def _may_have_caused(
    other: SendingOutcomes, refused: SendingOutcomes, start_ms: float
) -> bool:
    if other.sending.echo != refused.sending.echo:
        return True
    answered = (
        other.verdict is not None
        and other.verdict.kind is _history.OutcomeKind.ANSWERED
    )
    if answered:
        return start_ms <= other.ended_ms
    return other.ended_ms > refused.sending.at_ms


def check_withdrawals(
    history: _history.History,
    runs_by_task: dict[messages.TaskId, list[_runs.Run]],
    options: _violations.CheckOptions,
) -> _Violations:
    """Find starts of work whose every key had been withdrawn too long."""
    withdrawn_ms = {each.key_id: each.at_ms for each in history.withdrawals}
    grouped: dict[messages.TaskId, list[_history.Sending]]
    grouped = collections.defaultdict(list)
    for sending in history.sendings:
        grouped[sending.task_id].append(sending)
    grace_ms = options.withdrawal_ms + options.margin_ms
    for task_id, sendings in grouped.items():
        last_ms = max(
            _valid_until_ms(sending, withdrawn_ms, grace_ms, options)
            for sending in sendings
        )
        for run in runs_by_task.get(task_id, ()):
            if run.start.at_ms > last_ms:
                yield _violations.Violation(
                    _Kind.WITHDRAWN_KEY,
                    task_id,
                    f'{run.where} started at {run.start.at_ms}, '
                    f'its key was good until {last_ms}',
                )


def _valid_until_ms(
    sending: _history.Sending,
    withdrawn_ms: dict[str, float],
    grace_ms: float,
    options: _violations.CheckOptions,
) -> float:
    at_ms = withdrawn_ms.get(sending.key_id, math.inf)
    if options.withdrawn_queued_may_start and sending.at_ms <= at_ms:
        return math.inf
    return at_ms + grace_ms
