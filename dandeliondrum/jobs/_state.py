"""Replicated state machine of jobs, workers and the policy."""

import collections.abc
import dataclasses
import threading
import typing

from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _policy
from dandeliondrum.jobs import _record_store
from dandeliondrum.jobs import _records
from dandeliondrum.jobs import _run_ends
from dandeliondrum.jobs import _snapshots
from dandeliondrum.jobs import evacuations
from dandeliondrum import messages

# Number of ids that may be recorded as cancelled before their submission.
EARLY_CANCELS_MAX = 20_000

PolicyDecoder = collections.abc.Callable[[bytes], _policy.Policy]


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveDocument:
    """The operator's document in force; version 0 if there is none."""

    version: messages.RulesVersion
    document: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class DomainChanged:
    """Result of an order about a failure domain, and the orders after it."""

    outcome: evacuations.OrderOutcome
    orders: tuple[evacuations.DomainOrder, ...]


class JobsState(_record_store.RecordStore):
    """All jobs, workers and the operator's policy.

    ``decode_policy`` parses an operator's document, which was validated
    before it was proposed. Readers hold ``lock``, except for
    ``active_document``, which is replaced as a whole.
    """

    def __init__(self, decode_policy: PolicyDecoder) -> None:
        super().__init__()
        self.lock = threading.RLock()
        self.policy = _policy.Policy()
        self.active_document = ActiveDocument(messages.RulesVersion(0), b'')
        self._decode_policy = decode_policy

    def apply(self, index: int, command: bytes) -> typing.Any:
        """Apply one command; return the result for its proposer."""
        message = messages.decode(command).unwrap()
        with self.lock:
            match message:
                case _commands.SubmitJob():
                    return self._submit(index, message)
                case _commands.CancelJob():
                    return self._cancel(index, message)
                case _commands.AssignRuns():
                    return self._assign(message)
                case _commands.EndRuns():
                    return _run_ends.end_runs(self, index, message)
                case _commands.PutWorker():
                    return self._put_worker(message)
                case _commands.RemoveWorker():
                    return self._remove_worker(message)
                case _commands.PutPolicy():
                    return self._put_policy(message)
                case _commands.ForgetJobs():
                    return self._forget(message)
                case _commands.EvacuateDomain():
                    return self._change_domain(index, message, True)
                case _commands.RestoreDomain():
                    return self._change_domain(index, message, False)
        raise ValueError(f'unknown command {type(message).__name__}')

    def snapshot(self) -> bytes:
        """Return the serialized state."""
        with self.lock:
            return _snapshots.write(self)

    def restore(self, data: bytes) -> None:
        """Replace the whole state with that of a snapshot."""
        with self.lock:
            document = _snapshots.read(self, data)
            if document:
                self.activate_policy(document)

    def activate_policy(self, document: bytes) -> None:
        """Activate a document regardless of its version."""
        self.document = document
        self.policy = self._decode_policy(document)
        self.active_document = ActiveDocument(
            messages.RulesVersion(self.policy.version), document
        )
        self.queues.update(self.policy.queue_by_name)

    def is_evacuated(self, facts: _commands.WorkerFacts) -> bool:
        """Return whether the domain of a worker is evacuated."""
        return facts.failure_domain in self.evacuations.domains

    def newest_early_cancel(self) -> int:
        """Return the log index of the newest early cancelling, 0 for none."""
        return next(reversed(self.early_cancels.values()), 0)

    def _submit(
        self, index: int, command: _commands.SubmitJob
    ) -> _records.JobPhase:
        spec = command.spec
        known = self.jobs.get(spec.job_id)
        if known is not None:
            return known.phase
        steps = [
            _records.StepRecord(
                [_records.TaskRecord() for _ in range(step.tasks_count)]
            )
            for step in spec.steps
        ]
        job = _records.JobRecord(spec, steps)
        self.jobs[spec.job_id] = job
        self.open_jobs[spec.job_id] = job
        early = self.early_cancels.pop((spec.job_id, spec.team_id), None)
        if early is not None:
            self.finish(job, index, _records.JobPhase.CANCELLED)
        return job.phase

    def _cancel(
        self, index: int, command: _commands.CancelJob
    ) -> _records.JobPhase | _records.EarlyCancel | None:
        job = self.jobs.get(command.job_id)
        if job is None or command.team_id not in (None, job.spec.team_id):
            return self._cancel_early(index, command)
        if not job.phase.ended():
            self.finish(job, index, _records.JobPhase.CANCELLED)
        return job.phase

    def _cancel_early(
        self, index: int, command: _commands.CancelJob
    ) -> _records.EarlyCancel | None:
        if command.team_id is None:
            return None
        key = command.job_id, command.team_id
        known = self.early_cancels.pop(key, None)
        if known is None and len(self.early_cancels) >= EARLY_CANCELS_MAX:
            return _records.EarlyCancel.REFUSED
        self.early_cancels[key] = index
        return _records.EarlyCancel.RECORDED

    def _assign(self, command: _commands.AssignRuns) -> tuple[bool, ...]:
        """Return for each group whether it was assigned."""
        return tuple(self._assign_group(group) for group in command.groups)

    def _assign_group(
        self, group: tuple[_commands.RunAssignment, ...]
    ) -> bool:
        if not all(self._may_assign(run) for run in group):
            return False
        if not self._fits(group):
            return False
        for run in group:
            job = self.jobs[run.task.job_id]
            task = job.steps[run.task.step].tasks[run.task.index]
            task.run = run.run
            task.phase = _records.TaskPhase.ASSIGNED
            task.worker_id = run.worker_id
            task.is_confirmed = False
            job.changes_count += 1
            self.add_usage(job, run.task, run.run, run.worker_id)
        return True

    def _may_assign(self, run: _commands.RunAssignment) -> bool:
        job = self.jobs.get(run.task.job_id)
        worker = self.workers.get(run.worker_id)
        if job is None or worker is None or job.phase.ended():
            return False
        task = job.task(run.task)
        return (
            task is not None
            and task.phase is _records.TaskPhase.WAITING
            and run.run > task.run
            and job.step_is_due(run.task.step)
            and worker.facts.phase is _commands.WorkerPhase.READY
            and not self.is_evacuated(worker.facts)
        )

    def _fits(self, group: tuple[_commands.RunAssignment, ...]) -> bool:
        """Return whether the workers have the resources for all runs.

        A worker may have shrunk since the runs were planned.
        """
        used: dict[messages.WorkerId, messages.Resources] = {}
        for run in group:
            before = used.get(run.worker_id, self.workers[run.worker_id].used)
            step = self.jobs[run.task.job_id].spec.steps[run.task.step]
            used[run.worker_id] = before + step.charged()
        return all(
            total.fits_in(self.workers[worker_id].facts.capacity)
            for worker_id, total in used.items()
        )

    def _put_worker(self, command: _commands.PutWorker) -> bool:
        """Return whether the facts are used; those of an older report aren't.

        Reports may be committed in another order than they were sent.
        """
        facts, sequence = command.facts, command.sequence
        worker = self.workers.get(facts.worker_id)
        if worker is None:
            worker = _records.WorkerRecord(facts)
            self.workers[facts.worker_id] = worker
        elif (
            worker.is_newer(facts, sequence)
            and worker.facts.started_ms != command.replaces_started_ms
        ):
            return False
        worker.facts = facts
        worker.sequence = sequence
        return True

    def _remove_worker(self, command: _commands.RemoveWorker) -> bool:
        worker = self.workers.get(command.worker_id)
        if worker is None or worker.runs:
            return False
        if command.started_ms not in (None, worker.facts.started_ms):
            return False
        del self.workers[command.worker_id]
        return True

    def _put_policy(self, command: _commands.PutPolicy) -> int:
        if command.version > self.policy.version:
            self.activate_policy(command.document)
        return self.policy.version

    def _change_domain(
        self,
        index: int,
        command: _commands.EvacuateDomain | _commands.RestoreDomain,
        evacuated: bool,
    ) -> DomainChanged:
        order = evacuations.DomainOrder(
            command.failure_domain, evacuated, index, command.origin
        )
        outcome = self.evacuations.apply(order, command.after_index)
        return DomainChanged(outcome, self.evacuations.orders)

    def _forget(self, command: _commands.ForgetJobs) -> None:
        until_index = command.early_cancels_until_index
        if until_index:
            self.early_cancels = {
                key: index
                for key, index in self.early_cancels.items()
                if index > until_index
            }
        for job_id in command.job_ids:
            job = self.jobs.get(job_id)
            if job is None or not job.phase.ended():
                continue
            if all(step.idle() for step in job.steps):
                del self.jobs[job_id]
