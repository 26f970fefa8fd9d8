"""Starts attempts on workers and fetches their answers."""

import collections.abc
import dataclasses
import hashlib
import threading

from dandeliondrum.gateway import _options
from dandeliondrum.gateway import _worker_client
from dandeliondrum.gateway import _worker_protocol
from dandeliondrum import messages
from dandeliondrum import observability

START_TRIES = 2
HTTP_OK = 200
HTTP_ACCEPTED = 202
HTTP_CONFLICT = 409
STATUS_OF_FAILED = 500
ENDED_STATES = (
    messages.AttemptState.FINISHED,
    messages.AttemptState.FAILED,
    messages.AttemptState.STOPPED,
)


@dataclasses.dataclass(frozen=True)
class Ended:
    """The attempt ended and its answer lies at ``place``.

    ``body`` is the whole checked answer; it is None when the answer was cut
    or went to a writer. ``streamed`` says that a writer got some of it and
    ``whole`` that it got all.
    """

    attempt_id: messages.AttemptId
    state: messages.AttemptState
    place: messages.AnswerPlace
    run_ms: int
    body: bytes | None
    streamed: bool = False
    whole: bool = False


@dataclasses.dataclass(frozen=True)
class Running:
    """The worker runs the attempt; its answer has to be asked for."""


@dataclasses.dataclass(frozen=True)
class NeverStarted:
    """The attempt did not start and never will."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Uncertain:
    """The attempt may have started; nothing else is known."""

    reason: str


GivenUp = collections.abc.Callable[[], bool]
StartOutcome = Ended | Running | NeverStarted | Uncertain
FetchOutcome = Ended | Running | Uncertain


class Dispatcher:
    """Carries starts to workers and answers back."""

    def __init__(
        self,
        options: _options.Options,
        client: _worker_client.WorkerClient,
    ) -> None:
        self._options = options
        self._client = client

    def start(
        self,
        start: messages.StartAttempt,
        body: bytes,
        wait_ms: int,
        open_writer: _worker_client.OpenWriter = _worker_client.discard,
        given_up: GivenUp = _worker_client.never,
    ) -> StartOutcome:
        """Start the attempt and wait ``wait_ms`` for its answer.

        A start without an answer is sent once more, over a connection that
        is likely to be a new one; a worker starts an attempt once only.
        """
        attributes = {'attempt': start.attempt_id, 'worker': start.worker_id}
        with observability.span(
            'start attempt', attributes=attributes
        ) as span:
            outcome = self._start(start, body, wait_ms, open_writer, given_up)
            span.set_attribute('outcome', type(outcome).__name__)
            return outcome

    def _start(
        self,
        start: messages.StartAttempt,
        body: bytes,
        wait_ms: int,
        open_writer: _worker_client.OpenWriter,
        given_up: GivenUp,
    ) -> StartOutcome:
        trace_parent = observability.current_trace_parent()
        request = _worker_client.WorkerRequest(
            'POST',
            start.worker_address,
            _worker_protocol.start_path(start.attempt_id),
            wait_ms + self._options.silence_margin_ms,
            _worker_protocol.start_headers(start, wait_ms, trace_parent),
            body,
            given_up,
        )
        sent_before = False
        reason = ''
        for _ in range(START_TRIES):
            match self._client.call(request, open_writer):
                case _worker_client.NotSent(reason=reason):
                    if not sent_before:
                        return NeverStarted(reason)
                case _worker_client.NoAnswer(reason=reason):
                    sent_before = True
                    if given_up():
                        break
                case _worker_client.WorkerReply() as reply:
                    return _started(start, reply, sent_before)
        return Uncertain(reason)

    def fetch(
        self,
        place: messages.AnswerPlace,
        wait_ms: int,
        open_writer: _worker_client.OpenWriter = _worker_client.discard,
        given_up: GivenUp = _worker_client.never,
    ) -> FetchOutcome:
        """Ask the worker for an answer, for at most ``wait_ms``.

        Only the worker and the attempt of the place have to be known.
        """
        if place.body is not None:
            state = _state_of(place.status)
            return Ended(place.attempt_id, state, place, 0, place.body)
        request = _worker_client.WorkerRequest(
            'GET',
            place.worker_address,
            _worker_protocol.answer_path(place.attempt_id),
            wait_ms + self._options.silence_margin_ms,
            ((_worker_protocol.WAIT_MS, str(wait_ms)),),
            given_up=given_up,
        )
        with observability.span(
            'fetch answer', attributes={'attempt': place.attempt_id}
        ):
            outcome = self._client.call(request, open_writer)
        match outcome:
            case _worker_client.WorkerReply() as reply:
                return _fetched(place, reply)
            case (
                _worker_client.NotSent(reason=reason)
                | _worker_client.NoAnswer(reason=reason)
            ):
                return Uncertain(reason)


class AttemptsSeen:
    """Remembers the latest attempts, so that none is dispatched twice."""

    def __init__(self, attempts_max: int = 20_000) -> None:
        self._attempts_max = attempts_max
        self._lock = threading.Lock()
        self._seen: dict[messages.AttemptId, None] = {}

    def first(self, attempt_id: messages.AttemptId) -> bool:
        """Return whether the attempt is new, and remember it."""
        with self._lock:
            if attempt_id in self._seen:
                return False
            self._seen[attempt_id] = None
            if len(self._seen) > self._attempts_max:
                del self._seen[next(iter(self._seen))]
            return True


def place_of(start: messages.StartAttempt) -> messages.AnswerPlace:
    """Return where the answer of an attempt will lie."""
    return messages.AnswerPlace(
        start.worker_id, start.worker_address, start.attempt_id, 0, ''
    )


def _started(
    start: messages.StartAttempt,
    reply: _worker_client.WorkerReply,
    sent_before: bool,
) -> StartOutcome:
    refused = reply.head.headers.get(_worker_protocol.REFUSED)
    if reply.head.status == HTTP_CONFLICT and refused is not None:
        doubtful = refused == _worker_protocol.REFUSED_GONE or (
            sent_before and refused == _worker_protocol.REFUSED_INCARNATION
        )
        return Uncertain(refused) if doubtful else NeverStarted(refused)
    return _fetched(place_of(start), reply)


def _fetched(
    place: messages.AnswerPlace, reply: _worker_client.WorkerReply
) -> FetchOutcome:
    if reply.head.status == HTTP_ACCEPTED:
        return Running()
    if reply.head.status != HTTP_OK:
        return Uncertain(f'worker answered {reply.head.status}')
    return _ended(place, reply)


def end_of(
    place: messages.AnswerPlace, head: _worker_client.Head
) -> Ended | Uncertain:
    """Read from a head how the attempt ended; ``body`` is None still."""
    length_bytes = head.length_bytes()
    digest = head.headers.get(_worker_protocol.ANSWER_DIGEST, '')
    try:
        state = messages.AttemptState(head.headers.get(_worker_protocol.STATE))
        run_ms = int(head.headers.get(_worker_protocol.RUN_MS, '0'))
    except ValueError:
        return Uncertain('worker sent no valid state or run time')
    if state not in ENDED_STATES or length_bytes is None or not digest:
        return Uncertain('worker sent no valid answer headers')
    place = dataclasses.replace(
        place,
        length_bytes=length_bytes,
        digest=digest.lower(),
        status=_status_of(state),
    )
    return Ended(place.attempt_id, state, place, run_ms, None)


def _ended(
    place: messages.AnswerPlace, reply: _worker_client.WorkerReply
) -> FetchOutcome:
    end = end_of(place, reply.head)
    if isinstance(end, Uncertain):
        return end
    body = None
    if reply.whole and not reply.streamed and _is_whole(reply.body, end.place):
        body = reply.body
    return dataclasses.replace(
        end, body=body, streamed=reply.streamed, whole=reply.whole
    )


def _is_whole(body: bytes, place: messages.AnswerPlace) -> bool:
    if len(body) != place.length_bytes:
        return False
    return hashlib.sha256(body).hexdigest() == place.digest


def _status_of(state: messages.AttemptState) -> int:
    if state is messages.AttemptState.FAILED:
        return STATUS_OF_FAILED
    return HTTP_OK


def _state_of(status: int) -> messages.AttemptState:
    if status == STATUS_OF_FAILED:
        return messages.AttemptState.FAILED
    return messages.AttemptState.FINISHED
