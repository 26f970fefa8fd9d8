"""What a heartbeat says."""

import collections.abc
import dataclasses
import itertools

from dandeliondrum import messages
from dandeliondrum.worker import _answers
from dandeliondrum.worker import _attempt
from dandeliondrum.worker import _attempts
from dandeliondrum.worker import _journal
from dandeliondrum.worker import _snapshot

BODIES_IN_HEARTBEAT_BYTES = 1024 * 1024
REPORTS_IN_HEARTBEAT = 1_000

_FAILED_STATUS = 500
_ANSWERED_STATUS = 200


def with_incarnation(
    facts: messages.WorkerFacts, incarnation: messages.Incarnation
) -> messages.WorkerFacts:
    """Return the same facts for another incarnation."""
    return dataclasses.replace(facts, incarnation=incarnation)


def heartbeat(
    facts: messages.WorkerFacts,
    attempts: _attempts.Attempts,
    journal: _journal.Journal,
    to_fence: collections.abc.Iterable[messages.AttemptId],
) -> messages.WorkerHeartbeat:
    """Return a heartbeat that says how things stand now."""
    now = attempts.snapshot(itertools.islice(to_fence, REPORTS_IN_HEARTBEAT))
    return messages.WorkerHeartbeat(
        worker_id=facts.worker_id,
        incarnation=journal.incarnation,
        running=tuple(
            messages.RunningAttempt(each.call.attempt_id, each.used)
            for each in now.running
        ),
        ended=_ended(facts, now),
        fenced=now.fenced,
        leaving=attempts.leaving,
    )


def _ended(
    facts: messages.WorkerFacts, now: _snapshot.Snapshot
) -> tuple[messages.AttemptReport, ...]:
    """Return the ends, those of fenced attempts first.

    A fenced attempt without an end counts as one that never started, so none
    of these may fall to the bound.
    """
    room_bytes = BODIES_IN_HEARTBEAT_BYTES
    reports = {
        attempt_id: messages.AttemptReport(
            attempt_id, messages.AttemptState.LOST, detail='forgotten'
        )
        for attempt_id in now.forgotten
    }
    for attempt in now.fenced_ends:
        attempt_id = attempt.call.attempt_id
        reports[attempt_id] = _report(facts, attempt, _body(attempt))
    for attempt in now.ended:
        attempt_id = attempt.call.attempt_id
        body = _body(attempt)
        room_bytes -= len(body or b'')
        # What has no room waits for a heartbeat after the next answer;
        # reported without its body it would not get into the log.
        if attempt_id not in reports and room_bytes >= 0:
            reports[attempt_id] = _report(facts, attempt, body)
    reports |= {
        attempt_id: messages.AttemptReport(
            attempt_id, messages.AttemptState.NEVER_STARTED
        )
        for attempt_id in now.never_started
    }
    return tuple(itertools.islice(reports.values(), REPORTS_IN_HEARTBEAT))


def _body(attempt: _attempt.Attempt) -> bytes | None:
    small = attempt.length_bytes <= _answers.LOGGED_MAX_BYTES
    return attempt.answer if attempt.call.durable and small else None


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
