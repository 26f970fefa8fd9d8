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

START_TRIES_MAX = 2
HTTP_OK = 200
HTTP_ACCEPTED = 202
HTTP_CONFLICT = 409
FAILED_STATUS = 500
ENDED_STATES = (
    messages.AttemptState.FINISHED,
    messages.AttemptState.FAILED,
    messages.AttemptState.STOPPED,
)


@dataclasses.dataclass(frozen=True)
class Ended:
    """The attempt ended and its answer is stored at ``place``.

    ``body`` is the complete, verified answer, or None if the answer was
    truncated, did not match its digest or was passed to a writer.
    ``streamed`` is true if a writer received data, and ``complete`` if the
    reply was received completely.
    """

    attempt_id: messages.AttemptId
    state: messages.AttemptState
    place: messages.AnswerPlace
    run_ms: int
    body: bytes | None
    streamed: bool = False
    complete: bool = False


@dataclasses.dataclass(frozen=True)
class Running:
    """The worker is still running the attempt; poll for its answer."""


@dataclasses.dataclass(frozen=True)
class NeverStarted:
    """The attempt did not start and never will."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Uncertain:
    """The attempt may or may not have started."""

    reason: str


IsAbandoned = collections.abc.Callable[[], bool]
StartOutcome = Ended | Running | NeverStarted | Uncertain
FetchOutcome = Ended | Running | Uncertain


class Dispatcher:
    """Sends start requests to workers and fetches answers from them."""

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
        open_writer: _worker_client.OpenWriter = _worker_client.discard_body,
        is_abandoned: IsAbandoned = _worker_client.never_abandoned,
    ) -> StartOutcome:
        """Start the attempt and wait up to ``wait_ms`` for its answer.

        A request that got no reply is resent once, usually on a new
        connection. This is safe because a worker starts an attempt only once.
        """
        attributes = {'attempt': start.attempt_id, 'worker': start.worker_id}
        with observability.span(
            'start attempt', attributes=attributes
        ) as span:
            outcome = self._start(
                start, body, wait_ms, open_writer, is_abandoned
            )
            span.set_attribute('outcome', type(outcome).__name__)
            return outcome

    def _start(
        self,
        start: messages.StartAttempt,
        body: bytes,
        wait_ms: int,
        open_writer: _worker_client.OpenWriter,
        is_abandoned: IsAbandoned,
    ) -> StartOutcome:
        trace_parent = observability.current_trace_parent()
        request = _worker_client.WorkerRequest(
            'POST',
            start.worker_address,
            _worker_protocol.start_path(start.attempt_id),
            wait_ms + self._options.silence_margin_ms,
            _worker_protocol.start_headers(start, wait_ms, trace_parent),
            body,
            is_abandoned,
        )
        sent_before = False
        reason = ''
        for _ in range(START_TRIES_MAX):
            match self._client.call(request, open_writer):
                case _worker_client.NotSent(reason=reason):
                    if not sent_before:
                        return NeverStarted(reason)
                case _worker_client.NoReply(reason=reason):
                    sent_before = True
                    if is_abandoned():
                        break
                case _worker_client.WorkerReply() as reply:
                    return _parse_start_reply(start, reply, sent_before)
        return Uncertain(reason)

    def fetch(
        self,
        place: messages.AnswerPlace,
        wait_ms: int,
        open_writer: _worker_client.OpenWriter = _worker_client.discard_body,
        is_abandoned: IsAbandoned = _worker_client.never_abandoned,
    ) -> FetchOutcome:
        """Request an answer from its worker, waiting up to ``wait_ms``.

        ``place`` needs only the worker and the attempt; its length and digest
        are taken from the reply.
        """
        if place.body is not None:
            state = _state_of_status(place.status)
            return Ended(place.attempt_id, state, place, 0, place.body)
        request = _worker_client.WorkerRequest(
            'GET',
            place.worker_address,
            _worker_protocol.answer_path(place.attempt_id),
            wait_ms + self._options.silence_margin_ms,
            ((_worker_protocol.WAIT_MS, str(wait_ms)),),
            is_abandoned=is_abandoned,
        )
        with observability.span(
            'fetch answer', attributes={'attempt': place.attempt_id}
        ):
            outcome = self._client.call(request, open_writer)
        match outcome:
            case _worker_client.WorkerReply() as reply:
                return _parse_fetch_reply(place, reply)
            case (
                _worker_client.NotSent(reason=reason)
                | _worker_client.NoReply(reason=reason)
            ):
                return Uncertain(reason)


class RecentAttempts:
    """Remembers recent attempts, so that none is dispatched twice."""

    def __init__(self, attempts_max: int = 20_000) -> None:
        self._attempts_max = attempts_max
        self._lock = threading.Lock()
        self._seen: dict[messages.AttemptId, None] = {}

    def add_if_new(self, attempt_id: messages.AttemptId) -> bool:
        """Remember the attempt and return whether it was new."""
        with self._lock:
            if attempt_id in self._seen:
                return False
            self._seen[attempt_id] = None
            if len(self._seen) > self._attempts_max:
                del self._seen[next(iter(self._seen))]
            return True


def place_of(start: messages.StartAttempt) -> messages.AnswerPlace:
    """Return where the answer of an attempt will be stored."""
    return messages.AnswerPlace(
        start.worker_id, start.worker_address, start.attempt_id, 0, ''
    )


def _parse_start_reply(
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
    return _parse_fetch_reply(place_of(start), reply)


def _parse_fetch_reply(
    place: messages.AnswerPlace, reply: _worker_client.WorkerReply
) -> FetchOutcome:
    if reply.head.status == HTTP_ACCEPTED:
        return Running()
    if reply.head.status != HTTP_OK:
        return Uncertain(f'worker answered {reply.head.status}')
    return _parse_ended_reply(place, reply)


def ended_from_head(
    place: messages.AnswerPlace, head: _worker_client.Head
) -> Ended | Uncertain:
    """Parse the headers of an answer; ``body`` of the result is None."""
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
        status=_status_of_state(state),
    )
    return Ended(place.attempt_id, state, place, run_ms, None)


def _parse_ended_reply(
    place: messages.AnswerPlace, reply: _worker_client.WorkerReply
) -> FetchOutcome:
    end = ended_from_head(place, reply.head)
    if isinstance(end, Uncertain):
        return end
    body = None
    if (
        reply.complete
        and not reply.streamed
        and _is_complete(reply.body, end.place)
    ):
        body = reply.body
    return dataclasses.replace(
        end, body=body, streamed=reply.streamed, complete=reply.complete
    )


def _is_complete(body: bytes, place: messages.AnswerPlace) -> bool:
    if len(body) != place.length_bytes:
        return False
    return hashlib.sha256(body).hexdigest() == place.digest


def _status_of_state(state: messages.AttemptState) -> int:
    if state is messages.AttemptState.FAILED:
        return FAILED_STATUS
    return HTTP_OK


def _state_of_status(status: int) -> messages.AttemptState:
    if status == FAILED_STATUS:
        return messages.AttemptState.FAILED
    return messages.AttemptState.FINISHED
