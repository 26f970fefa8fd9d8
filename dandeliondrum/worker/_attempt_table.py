"""Table of the running, ended and fenced attempts of a worker."""

import collections.abc
import threading

from dandeliondrum import messages
from dandeliondrum.worker import _answers
from dandeliondrum.worker import _attempt
from dandeliondrum.worker import _calls
from dandeliondrum.worker import _fence
from dandeliondrum.worker import _journal
from dandeliondrum.worker import _leases
from dandeliondrum.worker import _options
from dandeliondrum.worker import _snapshot


_State = messages.AttemptState


class AttemptTable:
    """Tracks attempts from start to acknowledged end; thread-safe.

    ``on_start`` is called with each accepted attempt; the code that runs it
    has to call :meth:`finish` at its end. ``on_ended`` is called with the
    attempt after that.
    """

    def __init__(
        self,
        options: _options.Options,
        journal: _journal.Journal,
        leases: _leases.Leases,
        on_start: collections.abc.Callable[[_attempt.Attempt], object],
        on_ended: collections.abc.Callable[[_attempt.Attempt], object],
    ) -> None:
        self.leaving = False
        self._options = options
        self._journal = journal
        self._leases = leases
        self._on_start = on_start
        self._on_ended = on_ended
        self._lock = threading.RLock()
        self._attempts: dict[messages.AttemptId, _attempt.Attempt] = {}
        self._running: dict[messages.AttemptId, _attempt.Attempt] = {}
        self._unacknowledged: dict[messages.AttemptId, _attempt.Attempt] = {}
        self._never_started: dict[messages.AttemptId, None] = {}
        self._fence = _fence.Fence()
        self._answer_store = self._new_answer_store()

    def start(
        self, call: _calls.StartCall
    ) -> _attempt.Attempt | _calls.Refused:
        """Start an attempt and return it, or return why it was refused.

        The call is idempotent: an attempt that was started before is
        returned as it is.
        """
        with self._lock:
            known = self._attempts.get(call.attempt_id)
            if known is not None:
                return known
            if self._fence.was_started(call.attempt_id):
                return _calls.Refused.GONE
            refused = self._find_refusal(call)
            self._fence.record_token(call.task_id, call.token)
            if refused is not None:
                self._fence.record_refused(call.attempt_id)
                self._record_refusal(call, refused)
                return refused
            attempt = _attempt.Attempt(call)
            self._attempts[call.attempt_id] = attempt
            self._running[call.attempt_id] = attempt
            self._fence.record_started(call.attempt_id)
            self._journal.record_call(_journal.EventKind.START, call)
        self._leases.schedule(self._expires_ms(attempt))
        self._on_start(attempt)
        return attempt

    def find(self, attempt_id: messages.AttemptId) -> _attempt.Attempt | None:
        """Return an attempt that runs or whose end is still stored."""
        with self._lock:
            return self._attempts.get(attempt_id)

    def finish(
        self,
        attempt: _attempt.Attempt,
        state: messages.AttemptState,
        answer: bytes,
        detail: str,
    ) -> None:
        """Record the end of an attempt.

        An attempt that ended after its lease expired counts as stopped.
        """
        with self._lock:
            ended_ms = _journal.now_ms()
            expires_ms = self._expires_ms(attempt)
            if ended_ms >= expires_ms:
                attempt.expire(expires_ms)
            if attempt.stop_reason:
                state, answer = _State.STOPPED, b''
                detail = attempt.stop_reason
            attempt.state = state
            attempt.detail = detail
            attempt.run_ms = int(ended_ms - attempt.call.arrived_ms)
            attempt.set_answer(answer)
            del self._running[attempt.call.attempt_id]
            self._unacknowledged[attempt.call.attempt_id] = attempt
            self._answer_store.add(attempt)
            self._journal.record_call(
                _journal.EventKind.END,
                attempt.call,
                state=state,
                reason=detail,
                expired_ms=attempt.expired_ms,
                incarnation=attempt.call.incarnation,
            )
            self._drop_excess_answers()
            attempt.mark_ended()
        self._on_ended(attempt)

    def stop(self, attempt_id: messages.AttemptId, reason: str) -> None:
        """Stop an attempt, or fence it if it has not been started."""
        with self._lock:
            attempt = self._attempts.get(attempt_id)
            if attempt is not None:
                attempt.stop(reason)
            elif not self._fence.was_started(attempt_id):
                self._fence.add_tombstone(attempt_id)
                self._never_started[attempt_id] = None

    def stop_all(self, reason: str) -> None:
        """Stop all running attempts."""
        for attempt in self.running():
            attempt.stop(reason)

    def close(self) -> None:
        """Refuse starts from now on and stop all running attempts."""
        self.leaving = True
        self.stop_all('closing')

    def stop_expired(self) -> None:
        """Stop attempts with an expired lease and schedule the next check."""
        now_ms = _journal.now_ms()
        with self._lock:
            for attempt in self.running():
                expires_ms = self._expires_ms(attempt)
                if expires_ms <= now_ms:
                    attempt.expire(expires_ms)
                elif not attempt.stop_reason:
                    self._leases.schedule(expires_ms)

    def record_checkpoint(self, attempt: _attempt.Attempt) -> None:
        """Record that an attempt was asked to save a checkpoint."""
        with self._lock:
            self._journal.record_call(
                _journal.EventKind.CHECKPOINT, attempt.call
            )

    def running(self) -> list[_attempt.Attempt]:
        """Return the running attempts."""
        with self._lock:
            return list(self._running.values())

    def unacknowledged(self) -> list[_attempt.Attempt]:
        """Return ended attempts that the leader has not acknowledged."""
        with self._lock:
            return list(self._unacknowledged.values())

    def is_idle(self) -> bool:
        """Return whether the cell no longer needs this worker.

        This holds if no attempt runs, all ends are acknowledged, and no
        durable answer is left of which this worker has the only copy
        because it is too large for the replicated log.
        """
        with self._lock:
            busy = self._running or self._unacknowledged
            return not busy and not self._answer_store.has_large_durable()

    def never_started(self) -> list[messages.AttemptId]:
        """Return attempts whose stop arrived before their start."""
        with self._lock:
            return list(self._never_started)

    def snapshot(
        self, to_fence: collections.abc.Iterable[messages.AttemptId]
    ) -> _snapshot.Snapshot:
        """Return a consistent view of all attempts for a heartbeat.

        An attempt is reported as fenced only if it neither runs nor can
        start any more; its end is part of the same snapshot unless it never
        started.
        """
        with self._lock:
            running = {each.call.attempt_id: each for each in self.running()}
            ended = tuple(self.unacknowledged())
            fenced = [each for each in to_fence if each not in running]
            fenced_attempts = [self._attempts.get(each) for each in fenced]
            return _snapshot.Snapshot(
                running=tuple(running.values()),
                ended=ended,
                never_started=tuple(self.never_started()),
                fenced=tuple(fenced),
                fenced_ends=tuple(
                    each for each in fenced_attempts if each is not None
                ),
                forgotten=tuple(
                    attempt_id
                    for attempt_id, attempt in zip(
                        fenced, fenced_attempts, strict=True
                    )
                    if attempt is None and self._fence.was_started(attempt_id)
                ),
            )

    def acknowledge(self, attempt_id: messages.AttemptId) -> None:
        """Stop reporting the end of this attempt."""
        with self._lock:
            self._never_started.pop(attempt_id, None)
            attempt = self._attempts.get(attempt_id)
            if attempt is not None and not attempt.running:
                self._unacknowledged.pop(attempt_id, None)
                self._remove_if_done(attempt)

    def release(self, attempt_id: messages.AttemptId) -> None:
        """Drop the answer of an ended attempt; it has been delivered."""
        with self._lock:
            attempt = self._attempts.get(attempt_id)
            if attempt is not None and not attempt.running:
                self._drop_answer(attempt)

    def reset(self, incarnation: messages.Incarnation, reason: str) -> None:
        """Take a new incarnation and drop all state, as a restart would.

        Stops all running attempts and waits for their ends first.
        """
        with self._lock:
            self._journal.incarnation = incarnation
            self._leases.reset()
        self.stop_all(reason)
        for attempt in self.running():
            attempt.ended.wait()
        with self._lock:
            self._attempts.clear()
            self._unacknowledged.clear()
            self._never_started.clear()
            self._fence = _fence.Fence()
            self._answer_store = self._new_answer_store()

    @property
    def overflowed(self) -> bool:
        """Whether the fence holds more tombstones than its limit."""
        return self._fence.overflowed

    def _find_refusal(self, call: _calls.StartCall) -> _calls.Refused | None:
        if call.incarnation != self._journal.incarnation:
            return _calls.Refused.INCARNATION
        if self._fence.is_fenced(call.attempt_id, call.task_id, call.token):
            return _calls.Refused.FENCED
        if self.leaving:
            return _calls.Refused.LEAVING
        if not self._leases.accepts_starts():
            return _calls.Refused.STALE_LEASE
        if not self._has_room(call.resources):
            return _calls.Refused.FULL
        return None

    def _has_room(self, wanted: messages.Resources) -> bool:
        running = self.running()
        if len(running) >= self._options.slots_count:
            return False
        total = wanted
        for attempt in running:
            total = total + attempt.call.resources
        return total.fits_in(self._options.resources)

    def _expires_ms(self, attempt: _attempt.Attempt) -> float:
        return self._leases.expires_ms(
            attempt.call.arrived_ms, attempt.call.lease_ms
        )

    def _new_answer_store(self) -> _answers.AnswerStore:
        return _answers.AnswerStore(
            self._options.answers_bytes, self._options.answers_count
        )

    def _drop_excess_answers(self) -> None:
        for attempt in self._answer_store.excess():
            self._journal.record_call(_journal.EventKind.DROPPED, attempt.call)
            self._drop_answer(attempt)

    def _drop_answer(self, attempt: _attempt.Attempt) -> None:
        self._answer_store.drop(attempt)
        self._remove_if_done(attempt)

    def _remove_if_done(self, attempt: _attempt.Attempt) -> None:
        attempt_id = attempt.call.attempt_id
        if attempt.answer is None and attempt_id not in self._unacknowledged:
            self._attempts.pop(attempt_id, None)

    def _record_refusal(
        self, call: _calls.StartCall, refused: _calls.Refused
    ) -> None:
        record = self._journal.record_call
        if refused is _calls.Refused.FULL:
            record(_journal.EventKind.OVERLOAD, call)
        record(
            _journal.EventKind.REFUSED,
            call,
            state=_State.NEVER_STARTED,
            reason=refused.value,
        )
