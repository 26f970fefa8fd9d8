"""Takes tasks in: submit, cancel, query, release."""

import collections.abc
import concurrent.futures
import dataclasses
import typing

from returns import result

from dandeliondrum import consensus
from dandeliondrum.controller import _context
from dandeliondrum.controller import _pending
from dandeliondrum.controller import _records
from dandeliondrum.controller import _sessions
from dandeliondrum.controller import _state
from dandeliondrum import messages
from dandeliondrum import rules as rules_lib
from dandeliondrum import utils

RETRY_AFTER_MS = 1_000

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

StatusFuture = concurrent.futures.Future[messages.TaskStatus]


class Intake:
    """The leader's part that speaks for callers."""

    def __init__(self, context: _context.Context) -> None:
        self._context = context

    def submit(
        self, session: _sessions.Session, call: messages.SubmitTasks
    ) -> concurrent.futures.Future[typing.Any]:
        """Take tasks in; the reply is sent once each one's fate is known."""
        context = self._context
        futures: list[StatusFuture] = []
        refusals: list[messages.Refusal] = []
        admissions: list[messages.Admission] = []
        with context.lock:
            for position, declared in enumerate(call.tasks):
                spec = context.experience.sized(self._classed(declared))
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
            futures += self._refuse(refusals)
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
            return _not_allowed(spec.task_id, task, allowed.failure())
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
            return _conflict(spec.task_id)
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
            return _conflict(spec.task_id)
        self._context.sessions.wait_for(session, spec.task_id)
        return messages.TaskStatus(spec.task_id, messages.TaskState.QUEUED)

    def _why_refused(
        self, spec: messages.TaskSpec, rules: rules_lib.RuleSet
    ) -> messages.Refusal | None:
        queue = rules.queues.get(spec.queue)
        queued_max = queue.queued_max if queue is not None else None
        run_ms = self._context.experience.run_ms(spec)
        admitted = self._context.pending.admit(spec, queued_max, run_ms)
        if isinstance(admitted, result.Success):
            return None
        reason = admitted.failure()
        return _refusal(spec, reason, _WHY_NOT[reason], RETRY_AFTER_MS)

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
            return _refusal(
                spec,
                messages.RefusalReason.NEVER_FITS,
                outcome.failure().detail,
            )
        context.sessions.wait_for(session, spec.task_id)
        return messages.TaskStatus(spec.task_id, messages.TaskState.QUEUED)

    def _confirmed(self, status: messages.TaskStatus) -> StatusFuture:
        """Return the status once it is sure that this is still the leader.

        A process that was frozen may have been deposed; what it then says of
        a task from memory could be false.
        """
        if status.state is messages.TaskState.QUEUED:
            return utils.resolved(status)
        return utils.then(
            self._context.node.confirm(),
            lambda outcome: _unless_failed(status, outcome),
        )

    def _refuse(self, refusals: list[messages.Refusal]) -> list[StatusFuture]:
        context = self._context
        for one in refusals:
            context.metrics.refused.labels(one.reason.value).inc()
        command = messages.RefuseTasks(context.now_ms(), tuple(refusals))
        committed = context.propose(command)
        return [
            utils.then(committed, _pick_status(position, refusal.task_id))
            for position, refusal in enumerate(refusals)
        ]

    def _admit(
        self, admissions: list[messages.Admission]
    ) -> list[StatusFuture]:
        context = self._context
        command = messages.AdmitTasks(context.now_ms(), tuple(admissions))
        committed = context.propose(command)

        def take(
            outcome: result.Result[typing.Any, consensus.ProposeError],
        ) -> result.Result[typing.Any, consensus.ProposeError]:
            if isinstance(outcome, result.Success):
                self.enqueue_recorded(one.spec.task_id for one in admissions)
            return outcome

        taken = utils.then(committed, take)
        return [
            utils.then(taken, _pick_status(position, admission.spec.task_id))
            for position, admission in enumerate(admissions)
        ]

    def enqueue_recorded(
        self, task_ids: collections.abc.Iterable[messages.TaskId]
    ) -> None:
        """Give the planner durable tasks that are on record and wait."""
        context = self._context
        with context.lock, context.state.lock:
            for task_id in task_ids:
                task = context.state.tasks.get(task_id)
                if task is None or task_id in context.pending:
                    continue
                if task.state is not messages.TaskState.QUEUED:
                    continue
                self._enqueue(task)

    def _enqueue(self, task: _records.TaskRecord) -> None:
        context = self._context
        spec = task.spec
        waited_for = context.sessions.waiters(spec.task_id)
        if not spec.durable and not waited_for:
            context.unwanted[spec.task_id] = task.deadline_ms
            return
        entry = _pending.PendingEntry(
            spec,
            task.deadline_ms,
            frozenset(task.failed_workers),
            is_retry=task.attempts_count > 0,
        )
        outcome = context.add_pending(entry)
        if isinstance(outcome, result.Failure):
            self.refuse_pending(
                [
                    _refusal(
                        spec,
                        messages.RefusalReason.NEVER_FITS,
                        outcome.failure().detail,
                    )
                ]
            )

    def refuse_withdrawn(self) -> None:
        """Refuse what waits under a key that the rules hold no more."""
        context = self._context
        refusals = []
        with context.lock, context.state.lock:
            keys = context.state.rules.keys
            for entry in context.pending.without_key(keys):
                if context.drop_pending(entry.spec.task_id):
                    refusals.append(
                        _refusal(
                            entry.spec,
                            messages.RefusalReason.BAD_KEY,
                            'the key was withdrawn while the task waited',
                        )
                    )
        if refusals:
            self.refuse_pending(refusals)

    def refuse_pending(self, refusals: list[messages.Refusal]) -> None:
        """Refuse tasks that waited; tell those who wait for them."""
        for future in self._refuse(refusals):
            future.add_done_callback(self._tell)

    def _tell(self, done: StatusFuture) -> None:
        status = done.result()
        if status.state in _state.ENDED_STATES:
            with self._context.lock:
                self._context.sessions.end(status)

    def query(
        self, call: messages.QueryTasks
    ) -> concurrent.futures.Future[typing.Any]:
        """Tell where tasks stand, after making sure to be the leader."""
        refused = self._key_refused(call.team_id, call.key)
        if refused is not None:
            return utils.resolved(refused)

        def answer(
            outcome: result.Result[typing.Any, consensus.ProposeError],
        ) -> typing.Any:
            if isinstance(outcome, result.Success):
                return self._look(call)
            return messages.CallFailed('not the leader any more', True)

        return utils.then(self._context.node.confirm(), answer)

    def _key_refused(
        self, team_id: messages.TeamId, key: str
    ) -> messages.CallFailed | None:
        """Return a refusal unless the key is the team's.

        No queue is named, so that an open queue opens nothing here.
        """
        with self._context.state.lock:
            rules = self._context.state.rules
        no_queue = messages.QueueName('')
        allowed = rules_lib.authorize(rules, team_id, no_queue, key)
        if isinstance(allowed, result.Failure):
            return messages.CallFailed(allowed.failure().value, True)
        return None

    def _look(self, call: messages.QueryTasks) -> messages.TaskStatuses:
        context = self._context
        with context.lock, context.state.lock:
            statuses = tuple(
                self._status_of(task_id, call.team_id)
                for task_id in call.task_ids
            )
        return messages.TaskStatuses(statuses)

    def _status_of(
        self, task_id: messages.TaskId, team_id: messages.TeamId
    ) -> messages.TaskStatus:
        task = self._context.state.tasks.get(task_id)
        if task is not None and task.spec.team_id == team_id:
            return task.status()
        if task_id in self._context.pending:
            return messages.TaskStatus(task_id, messages.TaskState.QUEUED)
        return messages.TaskStatus(task_id, messages.TaskState.UNKNOWN)

    def cancel(
        self, call: messages.CancelCall
    ) -> concurrent.futures.Future[typing.Any]:
        """Cancel tasks, thousands in one call if need be."""
        context = self._context
        refused = self._key_refused(call.team_id, call.key)
        if refused is not None:
            return utils.resolved(refused)
        prefix = f'{call.team_id}/'
        own = tuple(one for one in call.task_ids if one.startswith(prefix))
        with context.lock:
            for task_id in own:
                context.drop_pending(task_id)
        committed = context.propose(
            messages.CancelTasks(context.now_ms(), own, call.team_id)
        )
        return utils.then(committed, self._cancelled)

    def _cancelled(
        self, outcome: result.Result[typing.Any, consensus.ProposeError]
    ) -> typing.Any:
        if isinstance(outcome, result.Failure):
            return messages.CallFailed(outcome.failure().failure.value, False)
        statuses = outcome.unwrap()
        with self._context.lock:
            for status in statuses:
                if status.state in _state.ENDED_STATES:
                    self._context.sessions.end(status)
        return messages.TaskStatuses(statuses)


def _not_allowed(
    task_id: messages.TaskId,
    task: _records.TaskRecord | None,
    reason: messages.RefusalReason,
) -> messages.TaskStatus:
    """Turn a key away without claiming more than is known.

    The id may have been run when its key still held.
    """
    may_have_run = task is not None and task.attempts_count > 0
    state = messages.TaskState.REFUSED
    if may_have_run:
        state = messages.TaskState.IN_DOUBT
    return messages.TaskStatus(task_id, state, reason, 'key not accepted')


def _conflict(task_id: messages.TaskId) -> messages.TaskStatus:
    return messages.TaskStatus(
        task_id,
        messages.TaskState.REFUSED,
        messages.RefusalReason.ID_CONFLICT,
        'this id was used with another body',
    )


def _refusal(
    spec: messages.TaskSpec,
    reason: messages.RefusalReason,
    detail: str,
    retry_after_ms: int = 0,
) -> messages.Refusal:
    return messages.Refusal(
        spec.task_id,
        spec.team_id,
        spec.body_digest,
        reason,
        detail,
        retry_after_ms,
    )


def _unless_failed(
    status: messages.TaskStatus,
    outcome: result.Result[typing.Any, consensus.ProposeError],
) -> messages.TaskStatus:
    if isinstance(outcome, result.Success):
        return status
    return messages.TaskStatus(
        status.task_id,
        messages.TaskState.UNKNOWN,
        detail='the leader was deposed',
    )


def _storage_full(
    task_id: messages.TaskId, error: consensus.ProposeError
) -> messages.TaskStatus:
    """Refuse without a record, as there is no room for one.

    The log vouches that it holds nothing of the task.
    """
    state = messages.TaskState.UNKNOWN
    if error.not_done:
        state = messages.TaskState.REFUSED
    return messages.TaskStatus(
        task_id,
        state,
        messages.RefusalReason.STORAGE_FULL,
        'the controllers have no room left on their disks',
        RETRY_AFTER_MS,
    )


def _pick_status(
    position: int, task_id: messages.TaskId
) -> collections.abc.Callable[[typing.Any], messages.TaskStatus]:
    def pick(
        outcome: result.Result[typing.Any, consensus.ProposeError],
    ) -> messages.TaskStatus:
        if isinstance(outcome, result.Success):
            return outcome.unwrap()[position]
        error = outcome.failure()
        if error.failure is consensus.ProposeFailure.STORAGE_FULL:
            return _storage_full(task_id, error)
        return messages.TaskStatus(
            task_id,
            messages.TaskState.UNKNOWN,
            detail=error.failure.value,
        )

    return pick
