"""Builds the heartbeat messages of a worker."""

import collections.abc
import dataclasses
import itertools

from dandeliondrum import messages
from dandeliondrum.worker import _answers
from dandeliondrum.worker import _attempt
from dandeliondrum.worker import _attempt_table
from dandeliondrum.worker import _journal
from dandeliondrum.worker import _snapshot

HEARTBEAT_BODIES_MAX_BYTES = 1024 * 1024
HEARTBEAT_REPORTS_MAX = 1_000

_FAILED_STATUS = 500
_ANSWERED_STATUS = 200


def with_incarnation(
    facts: messages.WorkerFacts, incarnation: messages.Incarnation
) -> messages.WorkerFacts:
    """Return a copy of the facts with another incarnation."""
    return dataclasses.replace(facts, incarnation=incarnation)


def heartbeat(
    facts: messages.WorkerFacts,
    attempts: _attempt_table.AttemptTable,
    journal: _journal.Journal,
    to_fence: collections.abc.Iterable[messages.AttemptId],
) -> messages.WorkerHeartbeat:
    """Return a heartbeat with the current state of all attempts.

    ``to_fence`` lists attempts that the leader has asked to stop.
    """
    snapshot = attempts.snapshot(
        itertools.islice(to_fence, HEARTBEAT_REPORTS_MAX)
    )
    return messages.WorkerHeartbeat(
        worker_id=facts.worker_id,
        incarnation=journal.incarnation,
        running=tuple(
            messages.RunningAttempt(each.call.attempt_id, each.used)
            for each in snapshot.running
        ),
        ended=_end_reports(facts, snapshot),
        fenced=snapshot.fenced,
        leaving=attempts.leaving,
    )


def _end_reports(
    facts: messages.WorkerFacts, snapshot: _snapshot.Snapshot
) -> tuple[messages.AttemptReport, ...]:
    """Return the reports of ended attempts, those of fenced ones first.

    The leader takes a fenced attempt without a report for one that never
    started, so the limit must not cut off any of these.
    """
    remaining_bytes = HEARTBEAT_BODIES_MAX_BYTES
    reports = {
        attempt_id: messages.AttemptReport(
            attempt_id, messages.AttemptState.LOST, detail='forgotten'
        )
        for attempt_id in snapshot.forgotten
    }
    for attempt in snapshot.fenced_ends:
        attempt_id = attempt.call.attempt_id
        reports[attempt_id] = _report(facts, attempt, _logged_body(attempt))
    for attempt in snapshot.ended:
        attempt_id = attempt.call.attempt_id
        body = _logged_body(attempt)
        remaining_bytes -= len(body or b'')
        # Reports that exceed the limit are sent in a later heartbeat, once
        # others are acknowledged. Without their body, the answer would not
        # be stored in the replicated log.
        if attempt_id not in reports and remaining_bytes >= 0:
            reports[attempt_id] = _report(facts, attempt, body)
    reports |= {
        attempt_id: messages.AttemptReport(
            attempt_id, messages.AttemptState.NEVER_STARTED
        )
        for attempt_id in snapshot.never_started
    }
    return tuple(itertools.islice(reports.values(), HEARTBEAT_REPORTS_MAX))


def _logged_body(attempt: _attempt.Attempt) -> bytes | None:
    fits_log = attempt.length_bytes <= _answers.LOGGED_ANSWER_MAX_BYTES
    return attempt.answer if attempt.call.durable and fits_log else None


def _report(
    facts: messages.WorkerFacts,
    attempt: _attempt.Attempt,
    body: bytes | None,
) -> messages.AttemptReport:
    failed = attempt.state is messages.AttemptState.FAILED
    answer_place = None
    if attempt.state is not messages.AttemptState.STOPPED:
        answer_place = messages.AnswerPlace(
            worker_id=facts.worker_id,
            worker_address=facts.address,
            attempt_id=attempt.call.attempt_id,
            length_bytes=attempt.length_bytes,
            digest=attempt.digest,
            status=_FAILED_STATUS if failed else _ANSWERED_STATUS,
            body=body,
        )
    return messages.AttemptReport(
        attempt_id=attempt.call.attempt_id,
        state=attempt.state,
        answer=answer_place,
        detail=attempt.detail,
        run_ms=attempt.run_ms,
        peak_resources=attempt.used,
    )
