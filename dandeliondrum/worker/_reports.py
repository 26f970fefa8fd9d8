"""What a heartbeat says."""

import dataclasses

from dandeliondrum import messages
from dandeliondrum.worker import _attempt
from dandeliondrum.worker import _attempts
from dandeliondrum.worker import _journal

BODY_IN_REPORT_BYTES = 64 * 1024
BODIES_IN_BEAT_BYTES = 1024 * 1024
REPORTS_IN_BEAT = 1_000

_FAILED_STATUS = 500
_ANSWERED_STATUS = 200


def with_incarnation(
    facts: messages.WorkerFacts, incarnation: messages.Incarnation
) -> messages.WorkerFacts:
    """Return the same facts for another incarnation."""
    return dataclasses.replace(facts, incarnation=incarnation)


def with_fenced(
    beat: messages.WorkerBeat, fenced: tuple[messages.AttemptId, ...]
) -> messages.WorkerBeat:
    """Return the same heartbeat with these attempts as fenced."""
    return dataclasses.replace(beat, fenced=fenced)


def beat(
    facts: messages.WorkerFacts,
    attempts: _attempts.Attempts,
    journal: _journal.Journal,
) -> messages.WorkerBeat:
    """Return a heartbeat that tells how things stand now."""
    return messages.WorkerBeat(
        worker_id=facts.worker_id,
        incarnation=journal.incarnation,
        running=tuple(
            messages.RunningAttempt(each.call.attempt_id, each.used)
            for each in attempts.running()
        ),
        ended=_ended(facts, attempts),
        leaving=attempts.leaving,
    )


def _ended(
    facts: messages.WorkerFacts, attempts: _attempts.Attempts
) -> tuple[messages.AttemptReport, ...]:
    reports = [
        messages.AttemptReport(each, messages.AttemptState.NEVER_STARTED)
        for each in attempts.never_started()
    ]
    room_bytes = BODIES_IN_BEAT_BYTES
    for attempt in attempts.unrecorded():
        body = _body(attempt, room_bytes)
        room_bytes -= len(body or b'')
        reports.append(_report(facts, attempt, body))
    return tuple(reports[:REPORTS_IN_BEAT])


def _body(attempt: _attempt.Attempt, room_bytes: int) -> bytes | None:
    longest_bytes = min(BODY_IN_REPORT_BYTES, room_bytes)
    if not attempt.call.durable or attempt.length_bytes > longest_bytes:
        return None
    return attempt.answer


def _report(
    facts: messages.WorkerFacts,
    attempt: _attempt.Attempt,
    body: bytes | None,
) -> messages.AttemptReport:
    failed = attempt.state is messages.AttemptState.FAILED
    place = None
    if attempt.state is not messages.AttemptState.STOPPED:
        place = messages.AnswerPlace(
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
        answer=place,
        detail=attempt.detail,
        run_ms=attempt.run_ms,
        peak_resources=attempt.used,
    )
