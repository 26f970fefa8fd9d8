"""The replicated state machine of a cell."""

import collections.abc
import threading
import typing

from returns import result

from dandeliondrum.controller import _accounts
from dandeliondrum.controller import _endings
from dandeliondrum.controller import _records
from dandeliondrum.controller import _rules_changes
from dandeliondrum.jobs import evacuations
from dandeliondrum import messages
from dandeliondrum import rules as rules_lib
from dandeliondrum import utils

TOKENS_PER_ENTRY = 4_096

ENDED_STATES = frozenset(
    (
        messages.TaskState.DONE,
        messages.TaskState.FAILED,
        messages.TaskState.REFUSED,
        messages.TaskState.CANCELLED,
        messages.TaskState.IN_DOUBT,
    )
)


class CellState:
    """Replicated state, changed by applying commands in log order.

    Only the applying thread changes the state, and holds ``lock`` while it
    does. Readers of more than one field hold ``lock`` too.
    """

    def __init__(self) -> None:
        self.lock = threading.RLock()
        self._clear()

    def _clear(self) -> None:
        self.cell_time_ms = 0
        self.rules_record = _records.RulesRecord()
        self.rules: rules_lib.RuleSet = rules_lib.EMPTY
        self.tasks: dict[messages.TaskId, _records.TaskRecord] = {}
        self.workers: dict[messages.WorkerId, _records.WorkerRecord] = {}
        # Index of WorkerRecord.fences: the worker of each fenced attempt.
        self.fenced_on: dict[messages.AttemptId, messages.WorkerId] = {}
        self.accounts = _accounts.Accounts()
        self.evacuations = evacuations.Evacuations()
        # Number of tasks that were cancelled before their submission.
        self.early_cancels_count = 0

    def apply(self, index: int, command: bytes) -> typing.Any:
        """Apply one encoded command and return its outcome.

        Raises InvariantError if the command is unreadable or unknown.
        """
        match messages.decode(command):
            case result.Success(message):
                with self.lock:
                    return self._apply(index, message)
            case result.Failure(error):
                raise utils.InvariantError(
                    f'log entry {index} cannot be decoded: {error.reason}'
                )

    def snapshot(self) -> bytes:
        """Return the encoded state.

        Called by the applying thread, which alone changes the state, and
        therefore without ``lock``: holding it while a large state is encoded
        would block heartbeats and submissions, which only read.
        """
        return messages.encode(
            _records.StateSnapshot(
                self.cell_time_ms,
                self.rules_record,
                tuple(self.workers.values()),
                tuple(self.tasks.values()),
                self.evacuations.orders,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot.

        Raises InvariantError if the snapshot is unreadable.
        """
        match messages.decode(data):
            case result.Success(_records.StateSnapshot() as snapshot):
                with self.lock:
                    self._restore(snapshot)
            case _:
                raise utils.InvariantError('the snapshot cannot be decoded')

    def _restore(self, snapshot: _records.StateSnapshot) -> None:
        self._clear()
        self.cell_time_ms = snapshot.cell_time_ms
        self.rules_record = snapshot.rules
        self.rules = _rules_changes.parse_accepted(snapshot.rules.text)
        self.evacuations = evacuations.Evacuations(snapshot.domain_orders)
        self.workers = {
            worker.facts.worker_id: worker for worker in snapshot.workers
        }
        for worker in snapshot.workers:
            for attempt_id in worker.fences:
                self.fenced_on[attempt_id] = worker.facts.worker_id
        for task in snapshot.tasks:
            self.tasks[task.spec.task_id] = task
            self.early_cancels_count += _is_early_cancel(task)
            if task.attempt is not None:
                use = self.accounts.use(task.spec.team_id)
                use.running_count += 1
                use.reserved = use.reserved + task.spec.resources

    def _apply(self, index: int, command: typing.Any) -> typing.Any:
        self.cell_time_ms = max(self.cell_time_ms, command.cell_time_ms)
        match command:
            case messages.AssignTasks():
                return self._assign(index, command)
            case messages.EndAttempts():
                return self._end_attempts(command)
            case messages.RefuseTasks():
                return tuple(map(self._refuse_task, command.refusals))
            case messages.AdmitTasks():
                return tuple(map(self._admit_task, command.admissions))
            case messages.CancelTasks():
                return self._cancel_tasks(command)
            case messages.RegisterWorker():
                return self._register_worker(command)
            case messages.SetWorkerState():
                return self._set_worker_state(command)
            case messages.ApplyRules():
                return self._apply_rules(command)
            case messages.ForgetTasks():
                return self._forget_tasks(command)
            case messages.OrderDomain():
                return self._order_domain(index, command)
        raise utils.InvariantError(f'unknown command {command!r:.200}')

    def _assign(
        self, index: int, command: messages.AssignTasks
    ) -> tuple[_records.AssignOutcome, ...]:
        outcomes: list[_records.AssignOutcome] = []
        for position, assignment in enumerate(command.assignments):
            token = messages.FencingToken(index * TOKENS_PER_ENTRY + position)
            outcomes.append(self._assign_one(assignment, token))
        rejected = [outcome for outcome in outcomes if outcome.attempt is None]
        if not command.all_or_none or not rejected:
            return tuple(outcomes)
        # No attempt has been dispatched yet, so the others can be reverted.
        reason = f'gang incomplete: {rejected[0].rejection_reason}'
        for outcome in outcomes:
            if outcome.attempt is not None:
                self._revert_assignment(outcome.attempt)
        return tuple(
            _records.AssignOutcome(outcome.task_id, None, reason)
            for outcome in outcomes
        )

    def _assign_one(
        self, assignment: messages.Assignment, token: messages.FencingToken
    ) -> _records.AssignOutcome:
        task = self.tasks.get(assignment.task_id)
        spec = task.spec if task is not None else assignment.spec
        worker = self.workers.get(assignment.worker_id)
        reason = self._rejection_reason(assignment, task, spec, worker)
        if reason or spec is None or worker is None:
            return _records.AssignOutcome(assignment.task_id, None, reason)
        if task is None:
            task = self._new_task(spec, None)
        task.attempts_count += 1
        attempt = _records.AttemptRecord(
            messages.AttemptId(f'{spec.task_id}#{task.attempts_count}'),
            spec.task_id,
            token,
            assignment.worker_id,
            assignment.incarnation,
            assignment.gateway_id,
            assignment.lease_ms,
            self.cell_time_ms,
        )
        task.attempt = attempt
        task.state = messages.TaskState.ASSIGNED
        task.add_event(
            self.cell_time_ms,
            f'{attempt.attempt_id} assigned to {attempt.worker_id} '
            f'through {attempt.gateway_id}',
        )
        self.accounts.reserve(worker, attempt, spec)
        return _records.AssignOutcome(spec.task_id, attempt)

    def _rejection_reason(
        self,
        assignment: messages.Assignment,
        task: _records.TaskRecord | None,
        spec: messages.TaskSpec | None,
        worker: _records.WorkerRecord | None,
    ) -> str:
        if task is not None and task.state is not messages.TaskState.QUEUED:
            return f'task is {task.state.value}'
        if spec is None:
            return 'task is unknown'
        if worker is None or worker.state is not messages.WorkerState.ACTIVE:
            return 'worker is unknown or not active'
        if worker.facts.incarnation != assignment.incarnation:
            return 'worker has restarted'
        if self.is_evacuated(worker.facts):
            return 'failure domain is evacuated'
        return self.accounts.rejection_reason(worker, spec, self.rules)

    def _revert_assignment(self, attempt: _records.AttemptRecord) -> None:
        task = self.tasks[attempt.task_id]
        worker = self.workers[attempt.worker_id]
        self.accounts.release(worker, attempt, task.spec)
        task.attempt = None
        task.state = messages.TaskState.QUEUED

    def _end_attempts(
        self, command: messages.EndAttempts
    ) -> tuple[_records.EndedAttempt, ...]:
        ended = []
        for report in command.reports:
            task = self.task_of_attempt(report.attempt_id)
            if task is None:
                continue
            ended_attempt = _endings.end_attempt(self, task, report)
            if ended_attempt is not None:
                ended.append(ended_attempt)
        return tuple(ended)

    def task_of_attempt(
        self, attempt_id: messages.AttemptId
    ) -> _records.TaskRecord | None:
        """Return the task of an attempt, or None if it has no record."""
        task_id, _, _ = attempt_id.rpartition('#')
        return self.tasks.get(messages.TaskId(task_id))

    def _new_task(
        self, spec: messages.TaskSpec, body: bytes | None
    ) -> _records.TaskRecord:
        task = _records.TaskRecord(
            spec,
            messages.TaskState.QUEUED,
            self.cell_time_ms + spec.timeout_ms,
            body,
        )
        self.tasks[spec.task_id] = task
        return task

    def _admit_task(
        self, admission: messages.Admission
    ) -> messages.TaskStatus:
        task = self.tasks.get(admission.spec.task_id)
        if task is None:
            task = self._new_task(admission.spec, admission.body)
            task.add_event(self.cell_time_ms, 'taken for later')
        return task.status()

    def _refuse_task(self, refusal: messages.Refusal) -> messages.TaskStatus:
        task = self.tasks.get(refusal.task_id)
        if task is None:
            task = self._new_task(_refused_spec(refusal), None)
        if task.state is messages.TaskState.QUEUED:
            task.state = messages.TaskState.REFUSED
            if task.may_have_run:
                task.state = messages.TaskState.IN_DOUBT
            task.reason = refusal.reason
            task.detail = refusal.detail
            task.retry_after_ms = refusal.retry_after_ms
            task.body = None
            task.ended_ms = self.cell_time_ms
            task.add_event(self.cell_time_ms, f'refused: {refusal.detail}')
        return task.status()

    def _cancel_tasks(
        self, command: messages.CancelTasks
    ) -> tuple[messages.TaskStatus, ...]:
        statuses = []
        for task_id in command.task_ids:
            task = self.tasks.get(task_id)
            if task is None:
                task = self._new_task(_cancelled_spec(task_id, command), None)
                self.early_cancels_count += 1
            _endings.cancel_task(task, self.cell_time_ms)
            statuses.append(task.status())
        return tuple(statuses)

    def _register_worker(
        self, command: messages.RegisterWorker
    ) -> tuple[_records.EndedAttempt, ...]:
        facts = command.facts
        previous = self.workers.get(facts.worker_id)
        if (
            previous is not None
            and previous.facts.incarnation == facts.incarnation
        ):
            previous.facts = facts
            return ()
        ended: tuple[_records.EndedAttempt, ...] = ()
        former: tuple[messages.Incarnation, ...] = ()
        if previous is not None:
            if facts.incarnation in previous.former_incarnations:
                # The announcement is late.
                return ()
            former = (
                *previous.former_incarnations,
                previous.facts.incarnation,
            )[-_records.FORMER_INCARNATIONS_MAX :]
            ended = _endings.end_worker_attempts(
                self, previous, command.last_heard_ms
            )
            for attempt_id in previous.fences:
                self.fenced_on.pop(attempt_id, None)
        was_quarantined = (
            previous is not None
            and previous.state is messages.WorkerState.QUARANTINED
        )
        self.workers[facts.worker_id] = _records.WorkerRecord(
            facts,
            messages.WorkerState.QUARANTINED
            if was_quarantined
            else messages.WorkerState.ACTIVE,
            former_incarnations=former,
        )
        return ended

    def _set_worker_state(
        self, command: messages.SetWorkerState
    ) -> tuple[_records.TaskRecord, ...]:
        worker = self.workers.get(command.worker_id)
        if worker is None:
            return ()
        if worker.facts.incarnation != command.incarnation:
            return ()
        if command.state is messages.WorkerState.GONE:
            if not worker.attempts:
                del self.workers[command.worker_id]
            return ()
        is_leaving = worker.state is messages.WorkerState.LEAVING
        if not is_leaving:
            worker.state = command.state
        return ()

    def _apply_rules(
        self, command: messages.ApplyRules
    ) -> messages.RulesOutcome:
        self.rules_record, outcome = _rules_changes.apply_change(
            self.rules_record, command
        )
        if outcome.accepted and outcome.version == self.rules_record.version:
            self.rules = _rules_changes.parse_accepted(self.rules_record.text)
        return outcome

    def _forget_tasks(
        self, command: messages.ForgetTasks
    ) -> tuple[_records.TaskRecord, ...]:
        forgotten = tuple(
            task
            for task in self.tasks.values()
            if task.ended_ms is not None
            and task.ended_ms < command.ended_before_ms
        )
        for task in forgotten:
            del self.tasks[task.spec.task_id]
            self.early_cancels_count -= _is_early_cancel(task)
        return forgotten

    def _order_domain(
        self, index: int, command: messages.OrderDomain
    ) -> evacuations.OrderOutcome:
        order = evacuations.DomainOrder(
            command.failure_domain,
            command.evacuated,
            index,
            evacuations.Origin(
                command.operator_id, command.reason, command.requested_unix_ms
            ),
        )
        return self.evacuations.apply(order, command.after_index)

    def is_evacuated(self, facts: messages.WorkerFacts) -> bool:
        """Return whether the domain of a worker is evacuated."""
        return facts.failure_domain in self.evacuations.domains

    def queued(self) -> collections.abc.Iterator[_records.TaskRecord]:
        """Yield the recorded tasks that wait for a worker."""
        for task in self.tasks.values():
            if task.state is messages.TaskState.QUEUED:
                yield task


def _refused_spec(refusal: messages.Refusal) -> messages.TaskSpec:
    return _placeholder_spec(
        refusal.task_id, refusal.team_id, refusal.body_digest
    )


def _cancelled_spec(
    task_id: messages.TaskId, command: messages.CancelTasks
) -> messages.TaskSpec:
    return _placeholder_spec(task_id, command.team_id, '')


def _is_early_cancel(task: _records.TaskRecord) -> bool:
    """Return whether a task was cancelled before its submission."""
    return task.state is messages.TaskState.CANCELLED and not task.spec.queue


def _placeholder_spec(
    task_id: messages.TaskId, team_id: messages.TeamId, digest: str
) -> messages.TaskSpec:
    return messages.TaskSpec(
        task_id,
        team_id,
        messages.QueueName(''),
        messages.TaskClass.BATCH,
        messages.Resources(0, 0),
        idempotent=False,
        timeout_ms=0,
        expected_run_ms=0,
        body_digest=digest,
    )
