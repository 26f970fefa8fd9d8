"""The replicated state of a cell: what the log's commands add up to."""

import collections.abc
import threading
import typing

from returns import result

from dandeliondrum.controller import _accounts
from dandeliondrum.controller import _endings
from dandeliondrum.controller import _records
from dandeliondrum.controller import _rules_changes
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
    """Applies commands in the order of the log.

    Only the applying thread changes the state; it holds ``lock`` while it
    does, and so does whoever reads more than one field.
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
        # Which worker each lost attempt is fenced on, for a quick look-up.
        self.fenced_on: dict[messages.AttemptId, messages.WorkerId] = {}
        self.accounts = _accounts.Accounts()

    def apply(self, index: int, command: bytes) -> typing.Any:
        """Apply one command and return its typed outcome."""
        match messages.decode(command):
            case result.Success(message):
                with self.lock:
                    return self._apply(index, message)
            case result.Failure(error):
                raise utils.InvariantError(
                    f'entry {index} of the log is unreadable: {error.reason}'
                )

    def snapshot(self) -> bytes:
        """Return the whole state as bytes.

        The applying thread calls this. Nobody else changes the state, so it
        takes no lock: that would keep heartbeats and submissions, which
        only read, waiting for as long as a large state takes.
        """
        return messages.encode(
            _records.StateSnapshot(
                self.cell_time_ms,
                self.rules_record,
                tuple(self.workers.values()),
                tuple(self.tasks.values()),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        match messages.decode(data):
            case result.Success(_records.StateSnapshot() as snapshot):
                with self.lock:
                    self._restore(snapshot)
            case _:
                raise utils.InvariantError('a snapshot is unreadable')

    def _restore(self, snapshot: _records.StateSnapshot) -> None:
        self._clear()
        self.cell_time_ms = snapshot.cell_time_ms
        self.rules_record = snapshot.rules
        self.rules = _rules_changes.parsed(snapshot.rules.text)
        self.workers = {
            worker.facts.worker_id: worker for worker in snapshot.workers
        }
        for worker in snapshot.workers:
            for attempt_id in worker.fences:
                self.fenced_on[attempt_id] = worker.facts.worker_id
        for task in snapshot.tasks:
            self.tasks[task.spec.task_id] = task
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
                return self._end(command)
            case messages.RefuseTasks():
                return tuple(map(self._refuse, command.refusals))
            case messages.AdmitTasks():
                return tuple(map(self._admit, command.admissions))
            case messages.CancelTasks():
                return self._cancel(command)
            case messages.RegisterWorker():
                return self._register(command.facts)
            case messages.SetWorkerState():
                return self._set_worker_state(command)
            case messages.ApplyRules():
                return self._apply_rules(command)
            case messages.ForgetTasks():
                return self._forget(command)
        raise utils.InvariantError(f'no way to apply {command!r:.200}')

    def _assign(
        self, index: int, command: messages.AssignTasks
    ) -> tuple[_records.AssignOutcome, ...]:
        outcomes: list[_records.AssignOutcome] = []
        for position, assignment in enumerate(command.assignments):
            token = messages.FencingToken(index * TOKENS_PER_ENTRY + position)
            outcomes.append(self._assign_one(assignment, token))
        rejected = [one for one in outcomes if one.attempt is None]
        if not command.all_or_none or not rejected:
            return tuple(outcomes)
        # Nothing has been dispatched yet, so the rest can be taken back.
        why = f'gang incomplete: {rejected[0].rejected_because}'
        for outcome in outcomes:
            if outcome.attempt is not None:
                self._take_back(outcome.attempt)
        return tuple(
            _records.AssignOutcome(one.task_id, None, why) for one in outcomes
        )

    def _assign_one(
        self, assignment: messages.Assignment, token: messages.FencingToken
    ) -> _records.AssignOutcome:
        task = self.tasks.get(assignment.task_id)
        spec = task.spec if task is not None else assignment.spec
        worker = self.workers.get(assignment.worker_id)
        why = self._why_not(assignment, task, spec, worker)
        if why or spec is None or worker is None:
            return _records.AssignOutcome(assignment.task_id, None, why)
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
        task.note(
            self.cell_time_ms,
            f'{attempt.attempt_id} assigned to {attempt.worker_id} '
            f'through {attempt.gateway_id}',
        )
        self.accounts.reserve(worker, attempt, spec)
        return _records.AssignOutcome(spec.task_id, attempt)

    def _why_not(
        self,
        assignment: messages.Assignment,
        task: _records.TaskRecord | None,
        spec: messages.TaskSpec | None,
        worker: _records.WorkerRecord | None,
    ) -> str:
        if task is not None and task.state is not messages.TaskState.QUEUED:
            return f'task is {task.state.value}'
        if spec is None:
            return 'task is not known'
        if worker is None or worker.state is not messages.WorkerState.ACTIVE:
            return 'worker takes no tasks'
        if worker.facts.incarnation != assignment.incarnation:
            return 'worker has started anew'
        return self.accounts.why_not(worker, spec, self.rules)

    def _take_back(self, attempt: _records.AttemptRecord) -> None:
        task = self.tasks[attempt.task_id]
        worker = self.workers[attempt.worker_id]
        self.accounts.free(worker, attempt, task.spec)
        task.attempt = None
        task.state = messages.TaskState.QUEUED

    def _end(
        self, command: messages.EndAttempts
    ) -> tuple[_records.EndedAttempt, ...]:
        ended = []
        for report in command.reports:
            task = self.task_of(report.attempt_id)
            if task is None:
                continue
            news = _endings.end(self, task, report)
            if news is not None:
                ended.append(news)
        return tuple(ended)

    def task_of(
        self, attempt_id: messages.AttemptId
    ) -> _records.TaskRecord | None:
        """Return the task of an attempt, if the log still knows it."""
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

    def _admit(self, admission: messages.Admission) -> messages.TaskStatus:
        task = self.tasks.get(admission.spec.task_id)
        if task is None:
            task = self._new_task(admission.spec, admission.body)
            task.note(self.cell_time_ms, 'taken for later')
        return task.status()

    def _refuse(self, refusal: messages.Refusal) -> messages.TaskStatus:
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
            task.note(self.cell_time_ms, f'refused: {refusal.detail}')
        return task.status()

    def _cancel(
        self, command: messages.CancelTasks
    ) -> tuple[messages.TaskStatus, ...]:
        statuses = []
        for task_id in command.task_ids:
            task = self.tasks.get(task_id)
            if task is None:
                task = self._new_task(_cancelled_spec(task_id, command), None)
            _endings.cancel(task, self.cell_time_ms)
            statuses.append(task.status())
        return tuple(statuses)

    def _register(
        self, facts: messages.WorkerFacts
    ) -> tuple[_records.EndedAttempt, ...]:
        known = self.workers.get(facts.worker_id)
        if known is not None and known.facts.incarnation == facts.incarnation:
            known.facts = facts
            return ()
        ended: tuple[_records.EndedAttempt, ...] = ()
        if known is not None:
            ended = _endings.end_all_on(self, known)
            for attempt_id in known.fences:
                self.fenced_on.pop(attempt_id, None)
        quarantined = (
            known is not None
            and known.state is messages.WorkerState.QUARANTINED
        )
        self.workers[facts.worker_id] = _records.WorkerRecord(
            facts,
            messages.WorkerState.QUARANTINED
            if quarantined
            else messages.WorkerState.ACTIVE,
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
        leaving = worker.state is messages.WorkerState.LEAVING
        if not leaving:
            worker.state = command.state
        return ()

    def _apply_rules(
        self, command: messages.ApplyRules
    ) -> messages.RulesOutcome:
        self.rules_record, outcome = _rules_changes.change(
            self.rules_record, command
        )
        if outcome.accepted and outcome.version == self.rules_record.version:
            self.rules = _rules_changes.parsed(self.rules_record.text)
        return outcome

    def _forget(
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
        return forgotten

    def queued(self) -> collections.abc.Iterator[_records.TaskRecord]:
        """Yield the tasks that are on record and wait for a worker."""
        for task in self.tasks.values():
            if task.state is messages.TaskState.QUEUED:
                yield task


def _refused_spec(refusal: messages.Refusal) -> messages.TaskSpec:
    return _placeholder(refusal.task_id, refusal.team_id, refusal.body_digest)


def _cancelled_spec(
    task_id: messages.TaskId, command: messages.CancelTasks
) -> messages.TaskSpec:
    return _placeholder(task_id, command.team_id, '')


def _placeholder(
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
