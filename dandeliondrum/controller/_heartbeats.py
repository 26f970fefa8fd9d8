"""Heartbeats of workers: leases, fences, and workers that fall silent."""

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

# A worker takes no start when its last answered heartbeat was sent longer
# ago than this.
START_FRESHNESS_MS = 2_000
HEARTBEATS_UNTIL_FENCED = 2
_logger = structlog.get_logger()

CHECK_EVERY_MS = 250
# A gap between two checks that is longer than this means that this process
# was frozen, so that heartbeats may lie unread.
FROZEN_AFTER_MS = 1_000


class Heartbeats:
    """The leader's part that listens to workers."""

    def __init__(
        self,
        context: _context.Context,
        attempt_reports: _attempt_reports.AttemptReports,
    ) -> None:
        self._context = context
        self._attempt_reports = attempt_reports
        self._heard_ms: dict[messages.WorkerId, int] = {}
        self._silent: set[messages.WorkerId] = set()
        self._quarantined: frozenset[messages.WorkerId] = frozenset()
        self._kept_out: frozenset[messages.WorkerId] = frozenset()
        self._counting_from_ms = utils.monotonic_ms()
        self._checked_ms = self._counting_from_ms
        self._release: dict[messages.WorkerId, list[messages.AttemptId]] = {}
        self._sizes = _worker_sizes.WorkerSizes()

    def heard(self, worker_id: messages.WorkerId) -> int:
        """Return when the worker was last heard, or may have been."""
        return max(self._heard_ms.get(worker_id, 0), self._counting_from_ms)

    def announce(
        self, call: messages.AnnounceWorker
    ) -> concurrent.futures.Future[typing.Any]:
        """Take a worker in; the reply comes once that is agreed."""
        context = self._context
        command = messages.RegisterWorker(context.now_ms(), call.facts)

        def registered(
            outcome: result.Result[typing.Any, consensus.ProposeError],
        ) -> typing.Any:
            if isinstance(outcome, result.Failure):
                return messages.CallFailed(
                    outcome.failure().failure.value, False
                )
            with context.lock:
                self._heard_ms[call.facts.worker_id] = utils.monotonic_ms()
                self._silent.discard(call.facts.worker_id)
            with context.lock:
                context.observations.forget(call.facts.worker_id)
                self._note_size(call.facts.worker_id, call.facts.resources)
            self._attempt_reports.ended(outcome.unwrap())
            self.refresh(call.facts.worker_id)
            return messages.Done()

        return utils.then(context.propose(command), registered)

    def refresh(self, worker_id: messages.WorkerId) -> None:
        """Give the planner what a worker has and whether it takes tasks."""
        context = self._context
        with context.lock, context.state.lock:
            worker = context.state.workers.get(worker_id)
            if worker is None:
                self._note_size(worker_id, None)
                context.planner.remove_worker(worker_id)
                return
            self._note_size(worker_id, worker.facts.resources)
            rule = context.state.rules.workers.get(worker_id)
            eligible = (
                worker.state is messages.WorkerState.ACTIVE
                and worker_id in self._heard_ms
                and worker_id not in self._silent
                and worker_id not in self._quarantined
                and rule is None
            )
            context.planner.put_worker(worker.facts, eligible)
            context.work.set()

    def shown_state(
        self, worker: _records.WorkerRecord
    ) -> messages.WorkerState:
        """Return the state as operators see it, quarantine included."""
        worker_id = worker.facts.worker_id
        kept_out = (
            worker_id in self._quarantined
            or worker_id in self._context.state.rules.workers
        )
        if kept_out and worker.state is messages.WorkerState.ACTIVE:
            return messages.WorkerState.QUARANTINED
        return worker.state

    def apply_rules(self) -> None:
        """Keep out the workers that the rules name, and take others in."""
        with self._context.state.lock:
            named = frozenset(self._context.state.rules.workers)
        changed = named ^ self._kept_out
        self._kept_out = named
        for worker_id in changed:
            self.refresh(worker_id)

    def _note_size(
        self, worker_id: messages.WorkerId, size: messages.Resources | None
    ) -> None:
        if self._sizes.note(worker_id, size):
            self._context.observations.set_worker_sizes(self._sizes.all())

    def take(self, call: messages.WorkerHeartbeats) -> typing.Any:
        """Answer heartbeats, if this is surely still the leader."""
        context = self._context
        if not context.node.leading():
            return messages.NotLeader()
        reports: list[messages.AttemptReport] = []
        with context.lock, context.state.lock:
            replies = tuple(
                self._take_one(heartbeat, reports)
                for heartbeat in call.heartbeats
            )
        self._attempt_reports.report(reports)
        # Asked again, since a freeze may have come in between; a worker
        # counts its lease from the sending of the heartbeat in any case.
        if not context.node.leading():
            return messages.NotLeader()
        return messages.WorkerHeartbeatReplies(replies)

    def _take_one(
        self,
        heartbeat: messages.WorkerHeartbeat,
        reports: list[messages.AttemptReport],
    ) -> messages.WorkerHeartbeatReply:
        worker = self._context.state.workers.get(heartbeat.worker_id)
        if worker is None or worker.facts.incarnation != heartbeat.incarnation:
            return messages.WorkerHeartbeatReply(
                heartbeat.worker_id, announce_again=True
            )
        is_new = heartbeat.worker_id not in self._heard_ms
        self._heard_ms[heartbeat.worker_id] = utils.monotonic_ms()
        if is_new or heartbeat.worker_id in self._silent:
            self._silent.discard(heartbeat.worker_id)
            self.refresh(heartbeat.worker_id)
        if (
            heartbeat.leaving
            and worker.state is not messages.WorkerState.LEAVING
        ):
            self.set_state(
                worker, messages.WorkerState.LEAVING, 'the worker leaves'
            )
        acknowledged = self._take_ended(worker, heartbeat, reports)
        stop = self._to_stop(worker, heartbeat)
        acknowledged += self._take_fenced(worker, heartbeat, reports)
        return messages.WorkerHeartbeatReply(
            heartbeat.worker_id,
            stop=stop,
            acknowledged=acknowledged,
            release=tuple(self._release.pop(heartbeat.worker_id, ())),
        )

    def _take_ended(
        self,
        worker: _records.WorkerRecord,
        heartbeat: messages.WorkerHeartbeat,
        reports: list[messages.AttemptReport],
    ) -> tuple[messages.AttemptId, ...]:
        """Report what is news; acknowledge what is on record."""
        acknowledged = []
        for one in heartbeat.ended:
            task = self._context.state.task_of(one.attempt_id)
            is_open = one.attempt_id in worker.attempts
            is_fenced = one.attempt_id in worker.fences
            resolves = task is not None and _endings.resolves(task, one)
            if is_open or is_fenced or resolves:
                reports.append(one)
            else:
                acknowledged.append(one.attempt_id)
                self._attempt_reports.forget(one.attempt_id)
        return tuple(acknowledged)

    def _to_stop(
        self,
        worker: _records.WorkerRecord,
        heartbeat: messages.WorkerHeartbeat,
    ) -> tuple[messages.AttemptId, ...]:
        running = {one.attempt_id for one in heartbeat.running}
        ended = {one.attempt_id for one in heartbeat.ended}
        stop = set(worker.fences)
        stop |= running - worker.attempts.keys()
        for attempt_id, task_id in worker.attempts.items():
            self._attempt_reports.settle_uncertain(
                attempt_id,
                attempt_id in running or attempt_id in ended,
                HEARTBEATS_UNTIL_FENCED,
            )
            if self._context.state.tasks[task_id].cancel_requested:
                stop.add(attempt_id)
            elif attempt_id in self._attempt_reports.stop_wanted:
                stop.add(attempt_id)
        return tuple(sorted(stop))

    def _take_fenced(
        self,
        worker: _records.WorkerRecord,
        heartbeat: messages.WorkerHeartbeat,
        reports: list[messages.AttemptReport],
    ) -> tuple[messages.AttemptId, ...]:
        """Take the worker's word for attempts that it never started."""
        ended = {one.attempt_id for one in heartbeat.ended}
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
        why: str,
    ) -> _context.Proposed:
        """Put a worker's new state on record and notify the planner."""
        facts = worker.facts
        command = messages.SetWorkerState(
            self._context.now_ms(),
            facts.worker_id,
            facts.incarnation,
            state,
            why,
        )
        proposed = self._context.propose(command)
        proposed.add_done_callback(lambda _: self.refresh(facts.worker_id))
        return proposed

    def release(
        self, tasks: collections.abc.Iterable[_records.TaskRecord]
    ) -> None:
        """Ask workers with their next heartbeat to drop answers."""
        with self._context.lock:
            for task in tasks:
                if task.answer is not None:
                    place = task.answer
                    self._release.setdefault(place.worker_id, []).append(
                        place.attempt_id
                    )

    def check(self) -> None:
        """Find workers that fell silent and attempts that are lost."""
        context = self._context
        now_ms = utils.monotonic_ms()
        lost: list[messages.AttemptReport] = []
        with context.lock, context.state.lock:
            if now_ms - self._checked_ms > FROZEN_AFTER_MS:
                self._counting_from_ms = now_ms
            self._checked_ms = now_ms
            for worker in context.state.workers.values():
                silent_ms = now_ms - self.heard(worker.facts.worker_id)
                if silent_ms > context.options.worker_silence_ms:
                    self._went_silent(worker.facts.worker_id)
                    lost += self._lost_on(worker, silent_ms)
            self._apply_quarantine()
        self._attempt_reports.report(lost)

    def _apply_quarantine(self) -> None:
        """Take quarantined workers out, and those on probation in again."""
        context = self._context
        now = context.observations.quarantined(context.now_ms())
        changed = now ^ self._quarantined
        self._quarantined = now
        for worker_id in changed:
            _logger.info('quarantine', worker=worker_id, on=worker_id in now)
            self.refresh(worker_id)

    def _went_silent(self, worker_id: messages.WorkerId) -> None:
        if worker_id not in self._silent:
            self._silent.add(worker_id)
            self.refresh(worker_id)

    def _lost_on(
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
