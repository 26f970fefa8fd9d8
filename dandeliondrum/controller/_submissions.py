"""Takes tasks in."""

import concurrent.futures
import dataclasses
import typing

from returns import result

from dandeliondrum import consensus
from dandeliondrum.controller import _context
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

_WHY_NOT = {
    messages.RefusalReason.QUEUE_FULL: 'as many wait in the queue as may',
    messages.RefusalReason.DEADLINE_PASSED: (
        'the deadline leaves no time for the expected run'
    ),
    messages.RefusalReason.DEADLINE_UNREACHABLE: (
        "by the pace at which the team's tasks start, this one would start "
        'too late'
    ),
}


class Submissions:
    """The leader's part that speaks for callers."""

    def __init__(
        self, context: _context.Context, queueing: _queueing.Queueing
    ) -> None:
        self._context = context
        self._queueing = queueing

    def submit(
        self, session: _sessions.Session, call: messages.SubmitTasks
    ) -> concurrent.futures.Future[typing.Any]:
        """Take tasks in; the reply is sent once each one's fate is known."""
        context = self._context
        futures: list[_queueing.StatusFuture] = []
        refusals: list[messages.Refusal] = []
        admissions: list[messages.Admission] = []
        with context.lock:
            for position, declared in enumerate(call.tasks):
                spec = context.observations.sized(self._classed(declared))
                with observability.sampled_span(
                    'judge task', spec.trace_parent, {'task': spec.task_id}
                ):
                    verdict = self._judge(session, spec, call.key)
                match verdict:
                    case messages.TaskStatus():
                        futures.append(self._confirmed(verdict))
                    case messages.Refusal():
                        refusals.append(verdict)
                    case None if spec.durable:
                        body = call.bodies[position]
                        admissions.append(messages.Admission(spec, body))
        if refusals:
            futures += self._queueing.refuse(refusals)
        if admissions:
            futures += self._admit(admissions)
        order = {spec.task_id: i for i, spec in enumerate(call.tasks)}
        return utils.then(
            utils.gather(futures),
            lambda statuses: messages.TaskStatuses(
                tuple(sorted(statuses, key=lambda one: order[one.task_id]))
            ),
        )

    def _classed(self, spec: messages.TaskSpec) -> messages.TaskSpec:
        """Let a task be urgent on a queue for urgent work alone."""
        queue = self._context.state.rules.queues.get(spec.queue)
        is_urgent = spec.task_class is messages.TaskClass.URGENT
        if (
            queue is None
            or not is_urgent
            or queue.task_class is spec.task_class
        ):
            return spec
        return dataclasses.replace(spec, task_class=messages.TaskClass.BATCH)

    def _judge(
        self,
        session: _sessions.Session,
        spec: messages.TaskSpec,
        key: str,
    ) -> messages.TaskStatus | messages.Refusal | None:
        """Return the fate of a task; None when it has to be admitted."""
        context = self._context
        with context.state.lock:
            task = context.state.tasks.get(spec.task_id)
            rules = context.state.rules
        allowed = rules_lib.authorize(rules, spec.team_id, spec.queue, key)
        if isinstance(allowed, result.Failure):
            return _task_outcomes.not_allowed(
                spec.task_id, task, allowed.failure()
            )
        if task is not None:
            known = self._known(session, task, spec)
            if known is not None:
                return known
        entry = context.pending.get(spec.task_id)
        if entry is not None:
            return self._join(session, entry, spec)
        why = self._why_refused(spec, rules)
        if why is not None:
            return why
        if spec.durable and task is None:
            return None
        key_id, _, _ = key.partition('.')
        return self._queue(session, spec, task, key_id)

    def _known(
        self,
        session: _sessions.Session,
        task: _records.TaskRecord,
        spec: messages.TaskSpec,
    ) -> messages.TaskStatus | None:
        if spec.body_digest != task.spec.body_digest and task.spec.body_digest:
            return _task_outcomes.conflict(spec.task_id)
        with self._context.state.lock:
            status = task.status()
        if task.state not in _state.ENDED_STATES:
            self._context.sessions.wait_for(session, spec.task_id)
        is_queued = task.state is messages.TaskState.QUEUED
        if is_queued and spec.task_id not in self._context.pending:
            return None
        return status

    def _join(
        self,
        session: _sessions.Session,
        entry: _pending.PendingEntry,
        spec: messages.TaskSpec,
    ) -> messages.TaskStatus:
        if entry.spec.body_digest != spec.body_digest:
            return _task_outcomes.conflict(spec.task_id)
        self._context.sessions.wait_for(session, spec.task_id)
        return messages.TaskStatus(spec.task_id, messages.TaskState.QUEUED)

    def _why_refused(
        self, spec: messages.TaskSpec, rules: rules_lib.RuleSet
    ) -> messages.Refusal | None:
        queue = rules.queues.get(spec.queue)
        queued_max = queue.queued_max if queue is not None else None
        run_ms = self._context.observations.run_ms(spec)
        admitted = self._context.pending.admit(spec, queued_max, run_ms)
        if isinstance(admitted, result.Success):
            return None
        reason = admitted.failure()
        return _task_outcomes.refusal(
            spec, reason, _WHY_NOT[reason], _task_outcomes.RETRY_AFTER_MS
        )

    def _queue(
        self,
        session: _sessions.Session,
        spec: messages.TaskSpec,
        task: _records.TaskRecord | None,
        key_id: str,
    ) -> messages.TaskStatus | messages.Refusal:
        context = self._context
        deadline_ms = context.now_ms() + spec.timeout_ms
        excluded = frozenset(task.failed_workers if task else ())
        entry = _pending.PendingEntry(spec, deadline_ms, excluded, key_id)
        outcome = context.add_pending(entry)
        if isinstance(outcome, result.Failure):
            return _task_outcomes.refusal(
                spec,
                messages.RefusalReason.NEVER_FITS,
                outcome.failure().detail,
            )
        context.sessions.wait_for(session, spec.task_id)
        return messages.TaskStatus(spec.task_id, messages.TaskState.QUEUED)

    def _confirmed(
        self, status: messages.TaskStatus
    ) -> _queueing.StatusFuture:
        """Return the status once it is sure that this is still the leader.

        A process that was frozen may have been deposed; what it then says of
        a task from memory could be false.
        """
        if status.state is messages.TaskState.QUEUED:
            return utils.resolved(status)
        return utils.then(
            self._context.node.confirm(),
            lambda outcome: _task_outcomes.unless_failed(status, outcome),
        )

    def _admit(
        self, admissions: list[messages.Admission]
    ) -> list[_queueing.StatusFuture]:
        context = self._context
        command = messages.AdmitTasks(context.now_ms(), tuple(admissions))
        committed = context.propose(command)

        def take(
            outcome: result.Result[typing.Any, consensus.ProposeError],
        ) -> result.Result[typing.Any, consensus.ProposeError]:
            if isinstance(outcome, result.Success):
                self._queueing.enqueue_recorded(
                    one.spec.task_id for one in admissions
                )
            return outcome

        taken = utils.then(committed, take)
        return [
            utils.then(
                taken,
                _task_outcomes.pick_status(position, admission.spec.task_id),
            )
            for position, admission in enumerate(admissions)
        ]
