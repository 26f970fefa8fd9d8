"""Admission of submitted tasks."""

import concurrent.futures
import dataclasses
import typing

from returns import result

from dandeliondrum import consensus
from dandeliondrum.controller import _context
from dandeliondrum.controller import _crashes
from dandeliondrum.controller import _pending
from dandeliondrum.controller import _queueing
from dandeliondrum.controller import _records
from dandeliondrum.controller import _sessions
from dandeliondrum.controller import _state
from dandeliondrum.controller import _task_outcomes
from dandeliondrum import messages
from dandeliondrum import observability
from dandeliondrum import rules as rules_lib
from dandeliondrum import utils

_REFUSAL_DETAILS = {
    messages.RefusalReason.QUEUE_FULL: 'the queue is full',
    messages.RefusalReason.DEADLINE_PASSED: (
        'the deadline leaves no time for the expected run'
    ),
    messages.RefusalReason.DEADLINE_UNREACHABLE: (
        "at the rate at which the team's tasks start, this one would start "
        'too late'
    ),
}


class Submissions:
    """Admits, refuses or joins submitted tasks on behalf of the leader."""

    def __init__(
        self, context: _context.Context, queueing: _queueing.Queueing
    ) -> None:
        self._context = context
        self._queueing = queueing

    def submit(
        self, session: _sessions.Session, call: messages.SubmitTasks
    ) -> concurrent.futures.Future[typing.Any]:
        """Submit tasks; the reply is sent once each is queued or decided."""
        context = self._context
        futures: list[_queueing.StatusFuture] = []
        refusals: list[messages.Refusal] = []
        admissions: list[messages.Admission] = []
        with context.lock:
            for position, declared in enumerate(call.tasks):
                spec = context.observations.with_estimated_memory(
                    self._with_allowed_class(declared)
                )
                with observability.sampled_span(
                    'judge task', spec.trace_parent, {'task': spec.task_id}
                ):
                    decision = self._decide_or_enqueue(session, spec, call.key)
                match decision:
                    case messages.TaskStatus():
                        futures.append(self._confirm_status(decision))
                    case messages.Refusal():
                        refusals.append(decision)
                    case None if spec.durable:
                        body = call.bodies[position]
                        admissions.append(messages.Admission(spec, body))
        if refusals:
            futures += self._queueing.refuse(refusals)
        if admissions:
            futures += self._admit(admissions)
        order = {spec.task_id: i for i, spec in enumerate(call.tasks)}
        return utils.map_future(
            utils.gather(futures),
            lambda statuses: messages.TaskStatuses(
                tuple(
                    sorted(statuses, key=lambda status: order[status.task_id])
                )
            ),
        )

    def _with_allowed_class(
        self, spec: messages.TaskSpec
    ) -> messages.TaskSpec:
        """Lower an urgent task to batch if its queue's rule is not urgent.

        A task on a queue without a rule keeps its class.
        """
        queue = self._context.state.rules.queues.get(spec.queue)
        is_urgent = spec.task_class is messages.TaskClass.URGENT
        if (
            queue is None
            or not is_urgent
            or queue.task_class is spec.task_class
        ):
            return spec
        return dataclasses.replace(spec, task_class=messages.TaskClass.BATCH)

    def _decide_or_enqueue(
        self,
        session: _sessions.Session,
        spec: messages.TaskSpec,
        key: str,
    ) -> messages.TaskStatus | messages.Refusal | None:
        """Return the status or refusal of a task; None if it must be admitted.

        A durable task that has no record yet must be admitted to the log.
        """
        context = self._context
        with context.state.lock:
            task = context.state.tasks.get(spec.task_id)
            rules = context.state.rules
        authorized = rules_lib.authorize(rules, spec.team_id, spec.queue, key)
        if isinstance(authorized, result.Failure):
            return _task_outcomes.unauthorized(
                spec.task_id, task, authorized.failure()
            )
        if task is not None:
            status = self._join_recorded(session, task, spec)
            if status is not None:
                return status
        entry = context.pending.get(spec.task_id)
        if entry is not None:
            return self._join_pending(session, entry, spec)
        refusal = self._check_admission(spec, rules)
        if refusal is not None:
            return refusal
        if spec.durable and task is None:
            return None
        key_id, _, _ = key.partition('.')
        return self._enqueue(session, spec, task, key_id)

    def _join_recorded(
        self,
        session: _sessions.Session,
        task: _records.TaskRecord,
        spec: messages.TaskSpec,
    ) -> messages.TaskStatus | None:
        if spec.body_digest != task.spec.body_digest and task.spec.body_digest:
            return _task_outcomes.id_conflict(spec.task_id)
        with self._context.state.lock:
            status = task.status()
        if task.state not in _state.ENDED_STATES:
            self._context.sessions.wait_for(session, spec.task_id)
        is_queued = task.state is messages.TaskState.QUEUED
        if is_queued and spec.task_id not in self._context.pending:
            return None
        return status

    def _join_pending(
        self,
        session: _sessions.Session,
        entry: _pending.PendingEntry,
        spec: messages.TaskSpec,
    ) -> messages.TaskStatus:
        if entry.spec.body_digest != spec.body_digest:
            return _task_outcomes.id_conflict(spec.task_id)
        self._context.sessions.wait_for(session, spec.task_id)
        return messages.TaskStatus(spec.task_id, messages.TaskState.QUEUED)

    def _check_admission(
        self, spec: messages.TaskSpec, rules: rules_lib.RuleSet
    ) -> messages.Refusal | None:
        queue = rules.queues.get(spec.queue)
        queued_max = queue.queued_max if queue is not None else None
        run_ms = self._context.observations.estimated_run_ms(spec)
        admitted = self._context.pending.check_admission(
            spec, queued_max, run_ms
        )
        if isinstance(admitted, result.Success):
            return None
        reason = admitted.failure()
        return _task_outcomes.refusal(
            spec,
            reason,
            _REFUSAL_DETAILS[reason],
            _task_outcomes.RETRY_AFTER_MS,
        )

    def _enqueue(
        self,
        session: _sessions.Session,
        spec: messages.TaskSpec,
        task: _records.TaskRecord | None,
        key_id: str,
    ) -> messages.TaskStatus | messages.Refusal:
        context = self._context
        deadline_ms = context.now_ms() + spec.timeout_ms
        excluded_workers = frozenset(task.failed_workers if task else ())
        entry = _pending.PendingEntry(
            spec,
            deadline_ms,
            excluded_workers,
            key_id,
            isolated=task is not None and _crashes.is_suspect(task),
        )
        outcome = context.add_pending(entry)
        if isinstance(outcome, result.Failure):
            return _task_outcomes.refusal(
                spec,
                messages.RefusalReason.NEVER_FITS,
                outcome.failure().detail,
            )
        context.sessions.wait_for(session, spec.task_id)
        return messages.TaskStatus(spec.task_id, messages.TaskState.QUEUED)

    def _confirm_status(
        self, status: messages.TaskStatus
    ) -> _queueing.StatusFuture:
        """Return the status after confirming leadership.

        A process that was suspended may have lost leadership, and its copy
        of the task's status may be out of date.
        """
        if status.state is messages.TaskState.QUEUED:
            return utils.completed_future(status)
        return utils.map_future(
            self._context.node.confirm_leadership(),
            lambda outcome: _task_outcomes.status_if_confirmed(
                status, outcome
            ),
        )

    def _admit(
        self, admissions: list[messages.Admission]
    ) -> list[_queueing.StatusFuture]:
        context = self._context
        command = messages.AdmitTasks(context.now_ms(), tuple(admissions))
        committed = context.propose(command)

        def enqueue(
            outcome: result.Result[typing.Any, consensus.ProposeError],
        ) -> result.Result[typing.Any, consensus.ProposeError]:
            if isinstance(outcome, result.Success):
                self._queueing.enqueue_recorded(
                    admission.spec.task_id for admission in admissions
                )
            return outcome

        enqueued = utils.map_future(committed, enqueue)
        return [
            utils.map_future(
                enqueued,
                _task_outcomes.status_picker(position, admission.spec.task_id),
            )
            for position, admission in enumerate(admissions)
        ]
