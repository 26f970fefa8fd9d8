"""Conformance checks of the calls that a worker serves."""

import hashlib

from dandeliondrum import messages
from dandeliondrum.testing import _subject
from dandeliondrum.testing import _worker_client
from dandeliondrum import transport
from dandeliondrum import worker

WAIT_MS = 5_000
SHORT_WAIT_MS = 100

_Subject = _subject.Subject
_expect = _subject.expect


def announces_what_it_has(subject: _Subject) -> None:
    """The announcement has an id, an incarnation and positive amounts."""
    facts = subject.facts
    transport.parse_address(facts.address)
    amounts = (
        facts.resources.cpu_millicores,
        facts.resources.memory_mb,
        facts.slots_count,
        facts.connections_count,
    )
    if min(amounts) < 1 or not facts.worker_id or not facts.incarnation:
        raise _subject.ConformanceError(f'invalid announcement: {facts}')


def answers_a_start_that_ends_in_time(subject: _Subject) -> None:
    """The reply is 200 with the state, run time and digest of the answer."""
    reply = _run_to_completion(subject, subject.new_attempt_id())
    digest = hashlib.sha256(reply.body).hexdigest()
    if reply.headers.get('answer-digest', '').lower() != digest:
        raise _subject.ConformanceError(
            'header Answer-Digest does not match the body'
        )
    if not reply.headers.get('run-ms', '').isdigit():
        raise _subject.ConformanceError('header Run-Ms is not a number')
    if reply.headers.get('content-length') != str(len(reply.body)):
        raise _subject.ConformanceError(
            'header Content-Length is missing or wrong'
        )


def starts_an_attempt_only_once(subject: _Subject) -> None:
    """A repeated start refers to the attempt that is already running."""
    attempt_id = subject.new_attempt_id()
    for _ in range(2):
        reply = subject.start(attempt_id, subject.bodies.long, token=1)
        _expect(reply, 202)
    heartbeat = subject.heartbeat(
        lambda each: bool(each.running), 'an attempt is running'
    )
    if [each.attempt_id for each in heartbeat.running] != [attempt_id]:
        raise _subject.ConformanceError(f'running: {heartbeat.running}')


def answers_the_same_start_after_its_end(subject: _Subject) -> None:
    """A start repeated after the end returns the same answer."""
    attempt_id = subject.new_attempt_id()
    first = _run_to_completion(subject, attempt_id, token=1)
    again = _run_to_completion(subject, attempt_id, token=1)
    if first.body != again.body:
        raise _subject.ConformanceError(
            'the second answer differs from the first'
        )


def keeps_an_answer_until_it_is_dropped(subject: _Subject) -> None:
    """The answer can be fetched repeatedly until it is deleted."""
    attempt_id = subject.new_attempt_id()
    answer = _run_to_completion(subject, attempt_id).body
    for _ in range(2):
        reply = _expect(subject.client.fetch(attempt_id), 200)
        if reply.body != answer:
            raise _subject.ConformanceError(
                'the fetched answer differs from the reply'
            )
    _expect(subject.client.drop(attempt_id), 204)
    reply = subject.client.fetch(attempt_id)
    if reply.status not in (404, 410):
        raise _subject.ConformanceError(
            'the answer is still available after its DELETE'
        )


def lets_callers_wait_for_an_answer(subject: _Subject) -> None:
    """A fetch from a running attempt waits, then returns 202."""
    attempt_id = subject.new_attempt_id()
    _expect(subject.start(attempt_id, subject.bodies.long), 202)
    start_ms = worker.now_ms()
    _expect(subject.client.fetch(attempt_id, wait_ms=SHORT_WAIT_MS), 202)
    if worker.now_ms() - start_ms < SHORT_WAIT_MS:
        raise _subject.ConformanceError(
            'the fetch returned before its wait time'
        )


def stops_when_it_is_called_to(subject: _Subject) -> None:
    """A stop call ends the attempt in the state "stopped"."""
    attempt_id = subject.new_attempt_id()
    _expect(subject.start(attempt_id, subject.bodies.long), 202)
    subject.client.stop(attempt_id)
    reply = subject.client.fetch(attempt_id, wait_ms=WAIT_MS)
    _expect(reply, 200, messages.AttemptState.STOPPED.value)


def never_starts_what_was_stopped_before(subject: _Subject) -> None:
    """A start that arrives after its stop is refused."""
    attempt_id = subject.new_attempt_id()
    subject.client.stop(attempt_id)
    reply = subject.start(attempt_id, subject.bodies.quick)
    _subject.expect_refused(reply, worker.Refused.FENCED)


def refuses_starts_for_another_incarnation(subject: _Subject) -> None:
    """A start for another incarnation bars the attempt permanently."""
    attempt_id = subject.new_attempt_id()
    quick = subject.bodies.quick
    reply = subject.start(attempt_id, quick, incarnation='other', token=1)
    _subject.expect_refused(reply, worker.Refused.INCARNATION)
    reply = subject.start(attempt_id, quick, token=1)
    _subject.expect_refused(reply, worker.Refused.FENCED)


def refuses_lower_tokens_of_a_task(subject: _Subject) -> None:
    """An attempt cannot start after one of its task with a higher token."""
    task_id = subject.new_attempt_id().partition('#')[0]
    _run_to_completion(subject, f'{task_id}#2', token=1_000)
    quick = subject.bodies.quick
    reply = subject.start(f'{task_id}#1', quick, token=999)
    _subject.expect_refused(reply, worker.Refused.FENCED)
    _run_to_completion(subject, f'{task_id}#3', token=1_001)


def refuses_more_than_it_has(subject: _Subject) -> None:
    """A start beyond the slots or resources is refused permanently."""
    slot_resources = subject.slot_resources()
    for _ in range(subject.facts.slots_count):
        attempt_id = subject.new_attempt_id()
        _expect(subject.start(attempt_id, subject.bodies.long), 202)
    excess_id = subject.new_attempt_id()
    reply = subject.start(
        excess_id, subject.bodies.quick, token=1, resources=slot_resources
    )
    _subject.expect_refused(reply, worker.Refused.FULL)
    subject.client.stop(attempt_id)
    subject.client.fetch(attempt_id, wait_ms=WAIT_MS)
    reply = subject.start(excess_id, subject.bodies.quick, token=1)
    _subject.expect_refused(reply, worker.Refused.FULL, worker.Refused.FENCED)


def refuses_bad_headers(subject: _Subject) -> None:
    """A start without the required headers is a bad request."""
    path = '/v1/attempts/conformance%2Fbad%231'
    reply = subject.client.call('POST', path, body=subject.bodies.quick)
    _expect(reply, 400)


def _run_to_completion(
    subject: _Subject, attempt_id: str, **fields: int
) -> _worker_client.Reply:
    reply = subject.start(
        attempt_id, subject.bodies.quick, wait_ms=WAIT_MS, **fields
    )
    return _expect(reply, 200, messages.AttemptState.FINISHED.value)


CHECKS = (
    announces_what_it_has,
    answers_a_start_that_ends_in_time,
    starts_an_attempt_only_once,
    answers_the_same_start_after_its_end,
    keeps_an_answer_until_it_is_dropped,
    lets_callers_wait_for_an_answer,
    stops_when_it_is_called_to,
    never_starts_what_was_stopped_before,
    refuses_starts_for_another_incarnation,
    refuses_lower_tokens_of_a_task,
    refuses_more_than_it_has,
    refuses_bad_headers,
)
