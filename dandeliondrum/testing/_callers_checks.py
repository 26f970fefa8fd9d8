"""Checks on the outcomes that callers observed."""

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
    """A sending and all outcomes that its caller saw, oldest first."""

    sending: _history.Sending
    outcomes: tuple[_history.Outcome, ...]

    @functools.cached_property
    def deciding_outcome(self) -> _history.Outcome | None:
        """The deciding outcome, or None while there is none.

        An outcome in doubt decides only if no final one follows; an
        acceptance decides nothing.
        """
        deciding_outcome = None
        for outcome in self.outcomes:
            match outcome.kind:
                case _history.OutcomeKind.ACCEPTED:
                    pass
                case _history.OutcomeKind.IN_DOUBT:
                    deciding_outcome = deciding_outcome or outcome
                case _:
                    return outcome
        return deciding_outcome

    @property
    def refused(self) -> bool:
        """Whether the caller was told that the task was not run."""
        return (
            self.deciding_outcome is not None
            and self.deciding_outcome.kind
            is _history.OutcomeKind.REFUSED_NOT_RUN
        )

    @property
    def ended_ms(self) -> float:
        """The time of the deciding outcome; infinity while there is none."""
        return (
            self.deciding_outcome.at_ms
            if self.deciding_outcome is not None
            else math.inf
        )


def all_sending_outcomes(
    history: _history.History,
) -> tuple[SendingOutcomes, ...]:
    """Group the outcomes of a history by sending, in order of sending."""
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
    """Find sendings whose caller got no outcome, or only an acceptance.

    For a service an acceptance is enough, since its tasks have no end.
    """
    for each in sendings:
        if each.deciding_outcome is not None:
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
    """Find answers that belong to a different request."""
    for each in sendings:
        for outcome in each.outcomes:
            problem = _answer_mismatch(each.sending, outcome)
            if problem:
                yield _violations.Violation(
                    _Kind.WRONG_ANSWER, each.sending.task_id, problem
                )


def _answer_mismatch(
    sending: _history.Sending, outcome: _history.Outcome
) -> str:
    answered = outcome.kind is _history.OutcomeKind.ANSWERED
    if not answered or outcome.status != 200:
        return ''
    if sending.echo and outcome.echo != sending.echo:
        return f'echo {outcome.echo!r}, expected {sending.echo!r}'
    if outcome.task_id and outcome.task_id != sending.task_id:
        return f'answer belongs to task {outcome.task_id}'
    return ''


def check_refusals(
    sendings: collections.abc.Iterable[SendingOutcomes],
    runs_by_task: dict[messages.TaskId, list[_runs.Run]],
) -> _Violations:
    """Find tasks that ran although a caller was told that they did not.

    The same id may have been sent more than once, so a start is attributed
    to another sending of the id where that is possible. The other sending
    must not have been refused and must have been sent before the start. In
    addition it must either carry different content, or have been answered
    after the start, or, without an answer, still have been open when the
    refused one was sent.
    """
    grouped: dict[messages.TaskId, list[SendingOutcomes]] = (
        collections.defaultdict(list)
    )
    for each in sendings:
        grouped[each.sending.task_id].append(each)
    for task_id, sendings_of_task in grouped.items():
        for refused in sendings_of_task:
            if not refused.refused:
                continue
            for run in runs_by_task.get(task_id, ()):
                if not _attributable_to_other_sending(
                    refused, sendings_of_task, run.start.at_ms
                ):
                    yield _violations.Violation(
                        _Kind.RAN_AFTER_REFUSAL,
                        task_id,
                        f'{run.location} started at {run.start.at_ms}, '
                        f'"not run" was reported at {refused.ended_ms}',
                    )


def _attributable_to_other_sending(
    refused: SendingOutcomes,
    sendings_of_task: collections.abc.Iterable[SendingOutcomes],
    start_ms: float,
) -> bool:
    return any(
        not other.refused
        and other.sending.at_ms <= start_ms
        and _may_have_caused_start(other, refused, start_ms)
        for other in sendings_of_task
    )


def _may_have_caused_start(
    other: SendingOutcomes, refused: SendingOutcomes, start_ms: float
) -> bool:
    if other.sending.echo != refused.sending.echo:
        return True
    answered = (
        other.deciding_outcome is not None
        and other.deciding_outcome.kind is _history.OutcomeKind.ANSWERED
    )
    if answered:
        return start_ms <= other.ended_ms
    return other.ended_ms > refused.sending.at_ms


def check_withdrawals(
    history: _history.History,
    runs_by_task: dict[messages.TaskId, list[_runs.Run]],
    options: _violations.CheckOptions,
) -> _Violations:
    """Find starts of tasks after the grace period of all their keys.

    A task that was sent with several keys may start while one is valid.
    """
    withdrawn_ms = {each.key_id: each.at_ms for each in history.withdrawals}
    grouped: dict[messages.TaskId, list[_history.Sending]]
    grouped = collections.defaultdict(list)
    for sending in history.sendings:
        grouped[sending.task_id].append(sending)
    grace_ms = options.withdrawal_ms + options.margin_ms
    for task_id, sendings in grouped.items():
        valid_until_ms = max(
            _valid_until_ms(sending, withdrawn_ms, grace_ms, options)
            for sending in sendings
        )
        for run in runs_by_task.get(task_id, ()):
            if run.start.at_ms > valid_until_ms:
                yield _violations.Violation(
                    _Kind.WITHDRAWN_KEY,
                    task_id,
                    f'{run.location} started at {run.start.at_ms}, '
                    f'its key was valid until {valid_until_ms}',
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
