"""Conformance checks of heartbeats and of the reactions to replies."""

from dandeliondrum import messages
from dandeliondrum.testing import _fake_gateway
from dandeliondrum.testing import _subject
from dandeliondrum import worker

HEARTBEATS_COUNT = 3
LEASE_MS = 800
REPLY_DELAY_MS = 700
DELAYED_REPLY_LEASE_MS = 1_200
EXPIRY_MARGIN_MS = 3_000
WAIT_MS = 5_000

_State = messages.AttemptState
_Subject = _subject.Subject


def sends_heartbeats(subject: _Subject) -> None:
    """Heartbeats are sent and carry the announced incarnation."""
    before = len(subject.gateway.heartbeats)
    received = _fake_gateway.wait_for(
        lambda: len(subject.gateway.heartbeats) >= before + HEARTBEATS_COUNT,
        _subject.WAIT_TIMEOUT_MS,
    )
    if not received:
        raise _subject.ConformanceError('too few heartbeats received')
    heartbeat = subject.gateway.heartbeats[-1].heartbeat
    if heartbeat.incarnation != subject.facts.incarnation:
        raise _subject.ConformanceError(
            f'heartbeat has incarnation {heartbeat.incarnation}'
        )


def reports_ends_until_they_are_acknowledged(subject: _Subject) -> None:
    """Each heartbeat reports an end until a reply acknowledges it."""
    attempt_id = _run_to_completion(subject)
    for _ in range(2):
        heartbeat = subject.heartbeat(
            lambda each: bool(each.ended), 'the end is reported'
        )
        report = heartbeat.ended[0]
        if (report.attempt_id, report.state) != (attempt_id, _State.FINISHED):
            raise _subject.ConformanceError(f'reported {report}')
    subject.gateway.reply_with(acknowledged=(attempt_id,))
    subject.heartbeat(
        lambda each: not each.ended, 'the end is no longer reported'
    )


def drops_released_answers(subject: _Subject) -> None:
    """An answer is dropped once a heartbeat reply releases it."""
    attempt_id = _run_to_completion(subject)
    subject.gateway.reply_with(
        acknowledged=(attempt_id,), release=(attempt_id,)
    )
    dropped = _fake_gateway.wait_for(
        lambda: subject.client.fetch(attempt_id).status in (404, 410),
        _subject.WAIT_TIMEOUT_MS,
    )
    if not dropped:
        raise _subject.ConformanceError(
            'the released answer is still available'
        )


def sends_small_durable_answers_along(subject: _Subject) -> None:
    """The reported end of a durable attempt contains a small answer."""
    attempt_id = subject.new_attempt_id()
    reply = subject.start(
        attempt_id, subject.bodies.quick, durable=True, wait_ms=WAIT_MS
    )
    _subject.expect(reply, 200)
    heartbeat = subject.heartbeat(
        lambda each: bool(each.ended), 'the end is reported'
    )
    answer = heartbeat.ended[0].answer
    if answer is None or answer.body != reply.body:
        raise _subject.ConformanceError(f'reported answer {answer!r:.200}')


def stops_what_it_is_told_to(subject: _Subject) -> None:
    """A stopped attempt is reported as fenced once it has ended."""
    attempt_id = subject.new_attempt_id()
    reply = subject.start(attempt_id, subject.bodies.long)
    _subject.expect(reply, 202)
    subject.gateway.reply_with(stop=(attempt_id,))
    heartbeat = subject.heartbeat(
        lambda each: bool(each.fenced), 'the attempt is fenced'
    )
    if heartbeat.running or heartbeat.fenced != (attempt_id,):
        raise _subject.ConformanceError(f'fenced {heartbeat}')
    if [each.state for each in heartbeat.ended] != [_State.STOPPED]:
        raise _subject.ConformanceError(f'ended {heartbeat.ended}')


def vouches_for_what_never_started(subject: _Subject) -> None:
    """A stopped unknown attempt is barred and reported as never started."""
    attempt_id = subject.new_attempt_id()
    subject.gateway.reply_with(stop=(attempt_id,))
    heartbeat = subject.heartbeat(
        lambda each: bool(each.fenced), 'the attempt is fenced'
    )
    ended = [(each.attempt_id, each.state) for each in heartbeat.ended]
    if ended != [(attempt_id, _State.NEVER_STARTED)]:
        raise _subject.ConformanceError(f'ended {heartbeat.ended}')
    reply = subject.start(attempt_id, subject.bodies.quick)
    _subject.expect_refused(reply, worker.Refused.FENCED)


def stops_when_its_lease_runs_out(subject: _Subject) -> None:
    """Without heartbeat replies, leases expire and starts are refused."""
    attempt_id = subject.new_attempt_id()
    subject.gateway.answering = False
    _expect_expiry(subject, attempt_id)
    refused = _fake_gateway.wait_for(
        lambda: (
            subject.start(
                subject.new_attempt_id(), subject.bodies.quick
            ).refused
            == worker.Refused.STALE_LEASE.value
        ),
        worker.START_FRESHNESS_MS + EXPIRY_MARGIN_MS,
    )
    if not refused:
        raise _subject.ConformanceError(
            'starts are accepted without heartbeat replies'
        )


def counts_leases_from_sent_heartbeats(subject: _Subject) -> None:
    """A lease is counted from the sending of a heartbeat, not from its reply.

    The next heartbeat is sent after the reply to the last one, so with the
    delay of the replies its own reply arrives only after twice the delay,
    when the lease has expired.
    """
    subject.gateway.answer_delay_ms = REPLY_DELAY_MS
    _expect_expiry(subject, subject.new_attempt_id(), DELAYED_REPLY_LEASE_MS)


def renews_leases(subject: _Subject) -> None:
    """With timely replies, an attempt runs on past its first lease."""
    attempt_id = subject.new_attempt_id()
    lease_ms = 2 * LEASE_MS
    reply = subject.start(attempt_id, subject.bodies.long, lease_ms=lease_ms)
    _subject.expect(reply, 202)
    reply = subject.client.fetch(attempt_id, wait_ms=2 * lease_ms)
    _subject.expect(reply, 202)


def begins_again_when_it_is_unknown(subject: _Subject) -> None:
    """A worker asked to announce again drops all and is a new incarnation."""
    attempt_id = subject.new_attempt_id()
    reply = subject.start(attempt_id, subject.bodies.long)
    _subject.expect(reply, 202)
    before = subject.facts
    count = len(subject.gateway.announced)
    subject.gateway.reply_with(announce_again=True)
    subject.heartbeat(lambda _: True, 'the worker reports its state')
    subject.gateway.reply_with()
    facts = subject.gateway.wait_for_announcement(
        _subject.WAIT_TIMEOUT_MS, count + 1
    )
    if facts is None or facts.incarnation == before.incarnation:
        raise _subject.ConformanceError(
            f'no new incarnation was announced: {facts}'
        )
    heartbeat = subject.heartbeat(
        lambda _: True, 'the worker reports its state'
    )
    if heartbeat.running or heartbeat.ended:
        raise _subject.ConformanceError(
            f'attempts were not dropped: {heartbeat}'
        )
    late = subject.start(
        attempt_id, subject.bodies.quick, incarnation=before.incarnation
    )
    _subject.expect_refused(late, worker.Refused.INCARNATION)


def _run_to_completion(subject: _Subject) -> str:
    attempt_id = subject.new_attempt_id()
    reply = subject.start(attempt_id, subject.bodies.quick, wait_ms=WAIT_MS)
    _subject.expect(reply, 200, _State.FINISHED.value)
    return attempt_id


def _expect_expiry(
    subject: _Subject, attempt_id: str, lease_ms: int = LEASE_MS
) -> None:
    reply = subject.start(attempt_id, subject.bodies.long, lease_ms=lease_ms)
    _subject.expect(reply, 202)
    reply = subject.client.fetch(
        attempt_id, wait_ms=lease_ms + EXPIRY_MARGIN_MS
    )
    _subject.expect(reply, 200, _State.STOPPED.value)


CHECKS = (
    sends_heartbeats,
    reports_ends_until_they_are_acknowledged,
    drops_released_answers,
    sends_small_durable_answers_along,
    stops_what_it_is_told_to,
    vouches_for_what_never_started,
    stops_when_its_lease_runs_out,
    counts_leases_from_sent_heartbeats,
    renews_leases,
    begins_again_when_it_is_unknown,
)
