"""What a worker has to say in heartbeats and do with their answers."""

from dandeliondrum import messages
from dandeliondrum.testing import _fake_gateway
from dandeliondrum.testing import _subject
from dandeliondrum import worker

HEARTBEATS_COUNT = 3
LEASE_MS = 800
LATE_ANSWER_MS = 700
LATE_LEASE_MS = 1_200
STOP_MARGIN_MS = 3_000
WAIT_MS = 5_000

_State = messages.AttemptState
_Subject = _subject.Subject


def sends_heartbeats(subject: _Subject) -> None:
    """Heartbeats come, and name the incarnation that was announced."""
    before = len(subject.gateway.heartbeats)
    came = _fake_gateway.wait_for(
        lambda: len(subject.gateway.heartbeats) >= before + HEARTBEATS_COUNT,
        _subject.PATIENCE_MS,
    )
    if not came:
        raise _subject.NotConforming('too few heartbeats')
    heartbeat = subject.gateway.heartbeats[-1].heartbeat
    if heartbeat.incarnation != subject.facts.incarnation:
        raise _subject.NotConforming(f'incarnation {heartbeat.incarnation}')


def reports_ends_until_they_are_acknowledged(subject: _Subject) -> None:
    """Each heartbeat repeats an end until an answer acknowledges it."""
    attempt_id = _finish(subject)
    for _ in range(2):
        heartbeat = subject.heartbeat(
            lambda each: bool(each.ended), 'the end is reported'
        )
        report = heartbeat.ended[0]
        if (report.attempt_id, report.state) != (attempt_id, _State.FINISHED):
            raise _subject.NotConforming(f'reported {report}')
    subject.gateway.reply_with(acknowledged=(attempt_id,))
    subject.heartbeat(
        lambda each: not each.ended, 'the end is no longer reported'
    )


def drops_released_answers(subject: _Subject) -> None:
    """An answer is gone once a heartbeat's answer releases it."""
    attempt_id = _finish(subject)
    subject.gateway.reply_with(
        acknowledged=(attempt_id,), release=(attempt_id,)
    )
    gone = _fake_gateway.wait_for(
        lambda: subject.client.fetch(attempt_id).status in (404, 410),
        _subject.PATIENCE_MS,
    )
    if not gone:
        raise _subject.NotConforming('the answer is still there')


def sends_small_durable_answers_along(subject: _Subject) -> None:
    """The report of a durable attempt's end carries its answer."""
    attempt_id = subject.new_attempt()
    reply = subject.start(
        attempt_id, subject.bodies.quick, durable=True, wait_ms=WAIT_MS
    )
    _subject.expect(reply, 200)
    heartbeat = subject.heartbeat(
        lambda each: bool(each.ended), 'the end is reported'
    )
    place = heartbeat.ended[0].answer
    if place is None or place.body != reply.body:
        raise _subject.NotConforming(f'answer {place!r:.200}')


def stops_what_it_is_told_to(subject: _Subject) -> None:
    """A stopped attempt is fenced once it runs no more."""
    attempt_id = subject.new_attempt()
    reply = subject.start(attempt_id, subject.bodies.long)
    _subject.expect(reply, 202)
    subject.gateway.reply_with(stop=(attempt_id,))
    heartbeat = subject.heartbeat(
        lambda each: bool(each.fenced), 'it is fenced'
    )
    if heartbeat.running or heartbeat.fenced != (attempt_id,):
        raise _subject.NotConforming(f'fenced {heartbeat}')
    if [each.state for each in heartbeat.ended] != [_State.STOPPED]:
        raise _subject.NotConforming(f'ended {heartbeat.ended}')


def vouches_for_what_never_started(subject: _Subject) -> None:
    """A stop of an unknown attempt keeps it from ever starting."""
    attempt_id = subject.new_attempt()
    subject.gateway.reply_with(stop=(attempt_id,))
    heartbeat = subject.heartbeat(
        lambda each: bool(each.fenced), 'it is fenced'
    )
    ended = [(each.attempt_id, each.state) for each in heartbeat.ended]
    if ended != [(attempt_id, _State.NEVER_STARTED)]:
        raise _subject.NotConforming(f'ended {heartbeat.ended}')
    reply = subject.start(attempt_id, subject.bodies.quick)
    _subject.expect_refused(reply, worker.Refused.FENCED)


def stops_when_its_lease_runs_out(subject: _Subject) -> None:
    """Without answers to heartbeats, leases end and starts are refused."""
    attempt_id = subject.new_attempt()
    subject.gateway.answering = False
    _runs_out(subject, attempt_id)
    refused = _fake_gateway.wait_for(
        lambda: (
            subject.start(subject.new_attempt(), subject.bodies.quick).refused
            == worker.Refused.STALE_LEASE.value
        ),
        worker.START_FRESHNESS_MS + STOP_MARGIN_MS,
    )
    if not refused:
        raise _subject.NotConforming('starts are taken without heartbeats')


def counts_leases_from_sent_heartbeats(subject: _Subject) -> None:
    """A lease ends before the next answer if that one takes too long.

    The answer to the next heartbeat, sent after the answer to the last one,
    can't come within twice the delay.
    """
    subject.gateway.answer_delay_ms = LATE_ANSWER_MS
    _runs_out(subject, subject.new_attempt(), LATE_LEASE_MS)


def renews_leases(subject: _Subject) -> None:
    """With answers in time an attempt outlives its first lease."""
    attempt_id = subject.new_attempt()
    lease_ms = 2 * LEASE_MS
    reply = subject.start(attempt_id, subject.bodies.long, lease_ms=lease_ms)
    _subject.expect(reply, 202)
    reply = subject.client.fetch(attempt_id, wait_ms=2 * lease_ms)
    _subject.expect(reply, 202)


def begins_again_when_it_is_unknown(subject: _Subject) -> None:
    """Asked to announce again it drops all and changes its incarnation."""
    attempt_id = subject.new_attempt()
    reply = subject.start(attempt_id, subject.bodies.long)
    _subject.expect(reply, 202)
    before = subject.facts
    count = len(subject.gateway.announced)
    subject.gateway.reply_with(announce_again=True)
    subject.heartbeat(lambda _: True, 'anything is said')
    subject.gateway.reply_with()
    facts = subject.gateway.wait_for_announcement(
        _subject.PATIENCE_MS, count + 1
    )
    if facts is None or facts.incarnation == before.incarnation:
        raise _subject.NotConforming(f'announced {facts}')
    heartbeat = subject.heartbeat(lambda _: True, 'anything is said')
    if heartbeat.running or heartbeat.ended:
        raise _subject.NotConforming(f'not dropped: {heartbeat}')
    late = subject.start(
        attempt_id, subject.bodies.quick, incarnation=before.incarnation
    )
    _subject.expect_refused(late, worker.Refused.INCARNATION)


def _finish(subject: _Subject) -> str:
    attempt_id = subject.new_attempt()
    reply = subject.start(attempt_id, subject.bodies.quick, wait_ms=WAIT_MS)
    _subject.expect(reply, 200, _State.FINISHED.value)
    return attempt_id


def _runs_out(
    subject: _Subject, attempt_id: str, lease_ms: int = LEASE_MS
) -> None:
    reply = subject.start(attempt_id, subject.bodies.long, lease_ms=lease_ms)
    _subject.expect(reply, 202)
    reply = subject.client.fetch(attempt_id, wait_ms=lease_ms + STOP_MARGIN_MS)
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
