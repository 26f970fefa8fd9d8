"""Worker heartbeats: leases, fences and detection of silent workers."""

import collections.abc
import concurrent.futures
import typing

from returns import result

from dandeliondrum import consensus
from dandeliondrum.controller import _attempt_reports
from dandeliondrum.controller import _context
from dandeliondrum.controller import _endings
from dandeliondrum.controller import _records
from dandeliondrum.controller import _worker_sizes
from dandeliondrum import messages
from dandeliondrum import utils
import structlog

# A worker rejects a start if it sent its last answered heartbeat longer ago
# than this; equals START_FRESHNESS_MS of the worker.
START_FRESHNESS_MS = 2_000
HEARTBEATS_UNTIL_FENCED = 2
_logger = structlog.get_logger()

CHECK_EVERY_MS = 250
# A longer gap between two checks means that this process was suspended, so
# that received heartbeats may not have been processed yet.
FROZEN_AFTER_MS = 1_000


class Heartbeats:
    """Processes worker heartbeats on behalf of the leader."""

    def __init__(
        self,
        context: _context.Context,
        attempt_reports: _attempt_reports.AttemptReports,
    ) -> None:
        self._context = context
        self._attempt_reports = attempt_reports
        # These are protected by the lock of the replicated state.
        self._last_heartbeat_ms: dict[messages.WorkerId, int] = {}
        self._silent: set[messages.WorkerId] = set()
        self._answers_to_release: dict[
            messages.WorkerId, list[messages.AttemptId]
        ] = {}
        # Workers heard from again of which the planner does not know yet.
        self._heard_again: set[messages.WorkerId] = set()
        self._quarantined: frozenset[messages.WorkerId] = frozenset()
        self._excluded_by_rules: frozenset[messages.WorkerId] = frozenset()
        self._silence_from_ms = utils.monotonic_ms()
        self._checked_ms = self._silence_from_ms
        self._sizes = _worker_sizes.WorkerSizes()

    def last_heard_ms(self, worker_id: messages.WorkerId) -> int:
        """Return the latest time at which the worker may have been heard.

        Silence counts from this time, in ms of the monotonic clock. It is at
        least the start of this term or the end of a pause of this process,
        during which heartbeats may have been missed.
        """
        return max(
            self._last_heartbeat_ms.get(worker_id, 0), self._silence_from_ms
        )

    def announce(
        self, call: messages.AnnounceWorker
    ) -> concurrent.futures.Future[typing.Any]:
        """Register a worker; the reply is sent once that is committed."""
        context = self._context
        with context.state.lock:
            heard_ms = self._last_heartbeat_ms.get(call.facts.worker_id)
        if heard_ms is not None:
            heard_ms += context.now_ms() - utils.monotonic_ms()
        command = messages.RegisterWorker(
            context.now_ms(), call.facts, heard_ms
        )

        def registered(
            outcome: result.Result[typing.Any, consensus.ProposeError],
        ) -> typing.Any:
            if isinstance(outcome, result.Failure):
                return messages.CallFailed(
                    outcome.failure().failure.value, False
                )
            with context.state.lock:
                worker = context.state.workers.get(call.facts.worker_id)
                if (
                    worker is None
                    or worker.facts.incarnation != call.facts.incarnation
                ):
                    return messages.CallFailed(
                        'another incarnation has replaced it', True
                    )
                self._last_heartbeat_ms[call.facts.worker_id] = (
                    utils.monotonic_ms()
                )
                self._silent.discard(call.facts.worker_id)
            with context.lock:
                context.observations.forget_worker(call.facts.worker_id)
                self._update_size(call.facts.worker_id, call.facts.resources)
            self._attempt_reports.handle_ended(outcome.unwrap())
            self.refresh(call.facts.worker_id)
            return messages.Done()

        return utils.map_future(context.propose(command), registered)

    def refresh(self, worker_id: messages.WorkerId) -> None:
        """Update a worker's resources and eligibility in the planner."""
        context = self._context
        with context.lock, context.state.lock:
            worker = context.state.workers.get(worker_id)
            if worker is None:
                self._update_size(worker_id, None)
                context.planner.remove_worker(worker_id)
                return
            self._update_size(worker_id, worker.facts.resources)
            rule = context.state.rules.workers.get(worker_id)
            eligible = (
                worker.state is messages.WorkerState.ACTIVE
                and worker_id in self._last_heartbeat_ms
                and worker_id not in self._silent
                and worker_id not in self._quarantined
                and rule is None
                and not context.state.is_evacuated(worker.facts)
            )
            context.planner.put_worker(worker.facts, eligible)
            context.work_available.set()

    def effective_state(
        self, worker: _records.WorkerRecord
    ) -> messages.WorkerState:
        """Return the state that operators see, which includes quarantine."""
        worker_id = worker.facts.worker_id
        is_excluded = (
            worker_id in self._quarantined
            or worker_id in self._context.state.rules.workers
        )
        if is_excluded and worker.state is messages.WorkerState.ACTIVE:
            return messages.WorkerState.QUARANTINED
        return worker.state

    def apply_rules(self) -> None:
        """Exclude the workers that the rules list, and readmit the others."""
        with self._context.state.lock:
            listed = frozenset(self._context.state.rules.workers)
        changed = listed ^ self._excluded_by_rules
        self._excluded_by_rules = listed
        for worker_id in changed:
            self.refresh(worker_id)

    def _update_size(
        self, worker_id: messages.WorkerId, size: messages.Resources | None
    ) -> None:
        if self._sizes.update(worker_id, size):
            self._context.observations.set_worker_sizes(self._sizes.all())

    def handle(self, call: messages.WorkerHeartbeats) -> typing.Any:
        """Answer heartbeats, or NotLeader if leadership is not certain.

        The reply is a future if a quorum has to confirm the leadership.
        """
        if self._context.node.is_leading():
            return self._handle_as_leader(call)
        return self._context.answer_if_confirmed(
            lambda: self._handle_as_leader(call)
        )

    def _handle_as_leader(self, call: messages.WorkerHeartbeats) -> typing.Any:
        context = self._context
        reports: list[messages.AttemptReport] = []
        leaving: list[_records.WorkerRecord] = []
        with context.state.lock:
            replies = tuple(
                self._handle_one(heartbeat, reports, leaving)
                for heartbeat in call.heartbeats
            )
        for worker in leaving:
            self.set_state(
                worker, messages.WorkerState.LEAVING, 'the worker leaves'
            )
        self._attempt_reports.report(reports)
        self._refresh_if_idle()
        # Checked again, because the process may have been suspended after
        # the first check. A late reply never prolongs a lease: a worker
        # counts its lease from the time at which it sent the heartbeat.
        if not context.node.is_leading():
            return messages.NotLeader()
        return messages.WorkerHeartbeatReplies(replies)

    def _handle_one(
        self,
        heartbeat: messages.WorkerHeartbeat,
        reports: list[messages.AttemptReport],
        leaving: list[_records.WorkerRecord],
    ) -> messages.WorkerHeartbeatReply:
        worker = self._context.state.workers.get(heartbeat.worker_id)
        if worker is None or worker.facts.incarnation != heartbeat.incarnation:
            return messages.WorkerHeartbeatReply(
                heartbeat.worker_id, announce_again=True
            )
        is_new = heartbeat.worker_id not in self._last_heartbeat_ms
        self._last_heartbeat_ms[heartbeat.worker_id] = utils.monotonic_ms()
        if is_new or heartbeat.worker_id in self._silent:
            self._silent.discard(heartbeat.worker_id)
            self._heard_again.add(heartbeat.worker_id)
        if (
            heartbeat.leaving
            and worker.state is not messages.WorkerState.LEAVING
        ):
            leaving.append(worker)
        acknowledged = self._process_ended(worker, heartbeat, reports)
        stop = self._attempts_to_stop(worker, heartbeat)
        acknowledged += self._process_fenced(worker, heartbeat, reports)
        return messages.WorkerHeartbeatReply(
            heartbeat.worker_id,
            stop=stop,
            acknowledged=acknowledged,
            release=tuple(
                self._answers_to_release.pop(heartbeat.worker_id, ())
            ),
        )

    def _refresh_if_idle(self) -> None:
        """Update the planner, or leave it to the next check while it plans."""
        lock = self._context.lock
        if self._heard_again and lock.acquire(blocking=False):
            try:
                self._refresh_heard_again()
            finally:
                lock.release()

    def _refresh_heard_again(self) -> None:
        with self._context.state.lock:
            heard_again, self._heard_again = self._heard_again, set()
        for worker_id in heard_again:
            self.refresh(worker_id)

    def _process_ended(
        self,
        worker: _records.WorkerRecord,
        heartbeat: messages.WorkerHeartbeat,
        reports: list[messages.AttemptReport],
    ) -> tuple[messages.AttemptId, ...]:
        """Report new ends; acknowledge those already committed."""
        acknowledged = []
        for report in heartbeat.ended:
            task = self._context.state.task_of_attempt(report.attempt_id)
            is_open = report.attempt_id in worker.attempts
            is_fenced = report.attempt_id in worker.fences
            resolves_doubt = task is not None and _endings.resolves_doubt(
                task, report
            )
            if is_open or is_fenced or resolves_doubt:
                reports.append(report)
            else:
                acknowledged.append(report.attempt_id)
                self._attempt_reports.forget(report.attempt_id)
        return tuple(acknowledged)

    def _attempts_to_stop(
        self,
        worker: _records.WorkerRecord,
        heartbeat: messages.WorkerHeartbeat,
    ) -> tuple[messages.AttemptId, ...]:
        running = {attempt.attempt_id for attempt in heartbeat.running}
        ended = {report.attempt_id for report in heartbeat.ended}
        self._attempt_reports.note_running(worker, running)
        stop = set(worker.fences)
        stop |= running - worker.attempts.keys()
        for attempt_id, task_id in worker.attempts.items():
            self._attempt_reports.check_uncertain(
                attempt_id,
                attempt_id in running or attempt_id in ended,
                HEARTBEATS_UNTIL_FENCED,
            )
            if self._context.state.tasks[task_id].cancel_requested:
                stop.add(attempt_id)
            elif attempt_id in self._attempt_reports.stop_requested:
                stop.add(attempt_id)
        return tuple(sorted(stop))

    def _process_fenced(
        self,
        worker: _records.WorkerRecord,
        heartbeat: messages.WorkerHeartbeat,
        reports: list[messages.AttemptReport],
    ) -> tuple[messages.AttemptId, ...]:
        """Report attempts as never started that the worker has fenced."""
        ended = {report.attempt_id for report in heartbeat.ended}
        acknowledged = []
        for attempt_id in heartbeat.fenced:
            if attempt_id in ended:
                continue
            if attempt_id in worker.attempts or attempt_id in worker.fences:
                reports.append(
                    messages.AttemptReport(
                        attempt_id,
                        messages.AttemptState.NEVER_STARTED,
                        detail='fenced by its worker',
                    )
                )
            else:
                acknowledged.append(attempt_id)
                self._attempt_reports.forget(attempt_id)
        return tuple(acknowledged)

    def set_state(
        self,
        worker: _records.WorkerRecord,
        state: messages.WorkerState,
        reason: str,
    ) -> _context.ProposalFuture:
        """Commit a worker's new state, then update the planner."""
        facts = worker.facts
        command = messages.SetWorkerState(
            self._context.now_ms(),
            facts.worker_id,
            facts.incarnation,
            state,
            reason,
        )
        proposed = self._context.propose(command)

        def finish(done: _context.ProposalFuture) -> None:
            outcome = done.result()
            if (
                isinstance(outcome, result.Success)
                or not outcome.failure().never_committed
            ):
                self.refresh(facts.worker_id)

        proposed.add_done_callback(finish)
        return proposed

    def release(
        self, tasks: collections.abc.Iterable[_records.TaskRecord]
    ) -> None:
        """Ask workers to delete answers, in their next heartbeat replies."""
        with self._context.state.lock:
            for task in tasks:
                if task.answer is not None:
                    answer = task.answer
                    self._answers_to_release.setdefault(
                        answer.worker_id, []
                    ).append(answer.attempt_id)

    def check(self) -> None:
        """Detect silent workers and attempts whose lease has run out."""
        context = self._context
        now_ms = utils.monotonic_ms()
        lost: list[messages.AttemptReport] = []
        with context.lock, context.state.lock:
            if now_ms - self._checked_ms > FROZEN_AFTER_MS:
                self._silence_from_ms = now_ms
            self._checked_ms = now_ms
            for worker in context.state.workers.values():
                silent_ms = now_ms - self.last_heard_ms(worker.facts.worker_id)
                if silent_ms > context.options.worker_silence_ms:
                    self._mark_silent(worker.facts.worker_id)
                    lost += self._lost_attempts(worker, silent_ms)
            self._refresh_heard_again()
            self._apply_quarantine()
        self._attempt_reports.report(lost)

    def _apply_quarantine(self) -> None:
        """Exclude quarantined workers, and readmit those on probation."""
        context = self._context
        quarantined = context.observations.quarantined(context.now_ms())
        changed = quarantined ^ self._quarantined
        self._quarantined = quarantined
        for worker_id in changed:
            _logger.info(
                'quarantine', worker=worker_id, on=worker_id in quarantined
            )
            self.refresh(worker_id)

    def _mark_silent(self, worker_id: messages.WorkerId) -> None:
        if worker_id not in self._silent:
            self._silent.add(worker_id)
            self.refresh(worker_id)

    def _lost_attempts(
        self, worker: _records.WorkerRecord, silent_ms: int
    ) -> list[messages.AttemptReport]:
        margin_ms = self._context.options.lease_margin_ms + START_FRESHNESS_MS
        lost = []
        for attempt_id, task_id in worker.attempts.items():
            attempt = self._context.state.tasks[task_id].attempt
            if attempt is None:
                continue
            if silent_ms > attempt.lease_ms + margin_ms:
                lost.append(
                    messages.AttemptReport(
                        attempt_id,
                        messages.AttemptState.LOST,
                        detail=f'worker silent for {silent_ms} ms',
                    )
                )
        return lost
