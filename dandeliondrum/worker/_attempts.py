"""The attempts of a worker: what runs, what ended, what may never start."""

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


class Attempts:
    """Takes starts, ends and stops; safe for any thread.

    ``on_start`` gets each attempt that has to be run; whoever runs it calls
    :meth:`finish`. ``on_ended`` gets it after that.
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
        self._unrecorded: dict[messages.AttemptId, _attempt.Attempt] = {}
        self._never_started: dict[messages.AttemptId, None] = {}
        self._fence = _fence.Fence()
        self._answers = self._no_answers()

    def start(
        self, call: _calls.StartCall
    ) -> _attempt.Attempt | _calls.Refused:
        """Start an attempt, find it when it was started before, or refuse."""
        with self._lock:
            known = self._attempts.get(call.attempt_id)
            if known is not None:
                return known
            if self._fence.was_started(call.attempt_id):
                return _calls.Refused.GONE
            refused = self._refusal(call)
            self._fence.note(call.task_id, call.token)
            if refused is not None:
                self._fence.remember_refused(call.attempt_id)
                self._record_refusal(call, refused)
                return refused
            attempt = _attempt.Attempt(call)
            self._attempts[call.attempt_id] = attempt
            self._running[call.attempt_id] = attempt
            self._fence.remember_started(call.attempt_id)
            self._journal.record_call(_journal.EventKind.START, call)
        self._leases.arm(self._expires_ms(attempt))
        self._on_start(attempt)
        return attempt

    def find(self, attempt_id: messages.AttemptId) -> _attempt.Attempt | None:
        """Return an attempt that runs or whose end is still known."""
        with self._lock:
            return self._attempts.get(attempt_id)

    def finish(
        self,
        attempt: _attempt.Attempt,
        state: messages.AttemptState,
        answer: bytes,
        detail: str,
    ) -> None:
        """End an attempt; what outlived its lease counts as stopped."""
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
            attempt.keep(answer)
            del self._running[attempt.call.attempt_id]
            self._unrecorded[attempt.call.attempt_id] = attempt
            self._answers.add(attempt)
            self._journal.record_call(
                _journal.EventKind.END,
                attempt.call,
                state=state,
                reason=detail,
                expired_ms=attempt.expired_ms,
                incarnation=attempt.call.incarnation,
            )
            self._drop_surplus()
            attempt.end()
        self._on_ended(attempt)

    def stop(self, attempt_id: messages.AttemptId, reason: str) -> None:
        """Stop an attempt, or see to it that it never starts."""
        with self._lock:
            attempt = self._attempts.get(attempt_id)
            if attempt is not None:
                attempt.stop(reason)
            elif not self._fence.was_started(attempt_id):
                self._fence.bury(attempt_id)
                self._never_started[attempt_id] = None

    def stop_all(self, reason: str) -> None:
        """Stop whatever runs."""
        for attempt in self.running():
            attempt.stop(reason)

    def close(self) -> None:
        """Refuse starts from now on and stop whatever runs."""
        self.leaving = True
        self.stop_all('closing')

    def stop_expired(self) -> None:
        """Stop what was not renewed, and wait for the next lease to end."""
        now_ms = _journal.now_ms()
        with self._lock:
            for attempt in self.running():
                expires_ms = self._expires_ms(attempt)
                if expires_ms <= now_ms:
                    attempt.expire(expires_ms)
                elif not attempt.stop_reason:
                    self._leases.arm(expires_ms)

    def checkpoint(self, attempt: _attempt.Attempt) -> None:
        """Record that an attempt was asked to save its progress."""
        with self._lock:
            self._journal.record_call(
                _journal.EventKind.CHECKPOINT, attempt.call
            )

    def running(self) -> list[_attempt.Attempt]:
        """Return the attempts that run now."""
        with self._lock:
            return list(self._running.values())

    def unrecorded(self) -> list[_attempt.Attempt]:
        """Return ended attempts that the leader has not acknowledged."""
        with self._lock:
            return list(self._unrecorded.values())

    def is_idle(self) -> bool:
        """Return whether the cell needs nothing more from this worker.

        That is when nothing runs, all ends are on record, and no answer is
        left that the cell owes and that lies here alone.
        """
        with self._lock:
            busy = self._running or self._unrecorded
            return not busy and not self._answers.owed()

    def never_started(self) -> list[messages.AttemptId]:
        """Return attempts that were stopped before they came."""
        with self._lock:
            return list(self._never_started)

    def snapshot(
        self, to_fence: collections.abc.Iterable[messages.AttemptId]
    ) -> _snapshot.Snapshot:
        """Return how things stand at one moment.

        What is fenced neither runs nor ever will, and has its end in the
        same snapshot unless it never started.
        """
        with self._lock:
            running = {each.call.attempt_id: each for each in self.running()}
            ended = tuple(self.unrecorded())
            fenced = [each for each in to_fence if each not in running]
            known = [self._attempts.get(each) for each in fenced]
            return _snapshot.Snapshot(
                running=tuple(running.values()),
                ended=ended,
                never_started=tuple(self.never_started()),
                fenced=tuple(fenced),
                fenced_ends=tuple(each for each in known if each is not None),
                forgotten=tuple(
                    attempt_id
                    for attempt_id, attempt in zip(fenced, known, strict=True)
                    if attempt is None and self._fence.was_started(attempt_id)
                ),
            )

    def acknowledge(self, attempt_id: messages.AttemptId) -> None:
        """Report the end of this attempt no more."""
        with self._lock:
            self._never_started.pop(attempt_id, None)
            attempt = self._attempts.get(attempt_id)
            if attempt is not None and not attempt.running:
                self._unrecorded.pop(attempt_id, None)
                self._forget_if_done(attempt)

    def release(self, attempt_id: messages.AttemptId) -> None:
        """Drop the answer; whoever wanted it has it."""
        with self._lock:
            attempt = self._attempts.get(attempt_id)
            if attempt is not None and not attempt.running:
                self._drop(attempt)

    def reset(self, incarnation: messages.Incarnation, reason: str) -> None:
        """Drop everything, as a restart would, once nothing runs."""
        with self._lock:
            self._journal.incarnation = incarnation
            self._leases.forget()
        self.stop_all(reason)
        for attempt in self.running():
            attempt.ended.wait()
        with self._lock:
            self._attempts.clear()
            self._unrecorded.clear()
            self._never_started.clear()
            self._fence = _fence.Fence()
            self._answers = self._no_answers()

    @property
    def overflowed(self) -> bool:
        """Whether there are more tombstones than can be kept."""
        return self._fence.overflowed

    def _refusal(self, call: _calls.StartCall) -> _calls.Refused | None:
        if call.incarnation != self._journal.incarnation:
            return _calls.Refused.INCARNATION
        if self._fence.bars(call.attempt_id, call.task_id, call.token):
            return _calls.Refused.FENCED
        if self.leaving:
            return _calls.Refused.LEAVING
        if not self._leases.fresh():
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

    def _no_answers(self) -> _answers.Answers:
        return _answers.Answers(
            self._options.answers_bytes, self._options.answers_count
        )

    def _drop_surplus(self) -> None:
        for attempt in self._answers.surplus():
            self._journal.record_call(_journal.EventKind.DROPPED, attempt.call)
            self._drop(attempt)

    def _drop(self, attempt: _attempt.Attempt) -> None:
        self._answers.drop(attempt)
        self._forget_if_done(attempt)

    def _forget_if_done(self, attempt: _attempt.Attempt) -> None:
        attempt_id = attempt.call.attempt_id
        if attempt.answer is None and attempt_id not in self._unrecorded:
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
