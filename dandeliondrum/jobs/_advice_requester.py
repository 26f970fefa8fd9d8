"""Requests advice for waiting steps through the pool of processes."""

import collections.abc
import functools
import typing

from returns import result
import structlog

from dandeliondrum.jobs import _advice
from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _planner
from dandeliondrum.jobs import _policy
from dandeliondrum.jobs import _specs
from dandeliondrum.jobs import _term
from dandeliondrum import messages
from dandeliondrum import transport

_logger = structlog.get_logger()


class AdviceRequester:
    """Selects in each round the steps that need advice and requests it."""

    def __init__(self, term: _term.Term) -> None:
        self._term = term

    def request(
        self,
        demands: list[tuple[_planner.Demand, _policy.QueuePolicy]],
        workers: list[_planner.AvailableWorker],
        steps_with_capacity: collections.abc.Set[
            tuple[_specs.JobId, _specs.StepIndex]
        ],
    ) -> None:
        """Request advice in scheduling order while a process is free.

        For the steps in ``steps_with_capacity``, workers were reserved on
        which tasks fit, now or once runs have been stopped. The tickets of
        gangs among these steps are renewed in the meantime.
        """
        advised = [
            (demand, queue.advice)
            for demand, queue in demands
            if queue.advice is not None
        ]
        advised.sort(key=lambda pair: _planner.priority_key(pair[0]))
        names = set()
        for demand, policy in advised:
            name = _specs.step_name(demand.job_id, demand.step)
            names.add(name)
            expects_capacity = (
                demand.spec.gang
                and (demand.job_id, demand.step) in steps_with_capacity
            )
            candidates = _candidates(demand, workers, expects_capacity)
            self._ask(name, demand, policy, workers, candidates)
        self._term.advice.retain(names)

    def _ask(
        self,
        name: str,
        demand: _planner.Demand,
        policy: _policy.AdvicePolicy,
        workers: list[_planner.AvailableWorker],
        candidates: list[_advice.Candidate],
    ) -> None:
        term = self._term
        now_ms = _clock.elapsed_ms()
        included = term.advice.select_workers(
            name,
            candidates,
            now_ms,
            _workers_needed(demand, workers),
            policy if demand.spec.gang else None,
        )
        if not included:
            return
        client_id = term.adviser_clients.choose(policy, len(included), now_ms)
        if client_id is None:
            return
        term.advice.record_call(name, term.adviser_clients.due_ms(client_id))
        request = _calls.AdviceRequest(name, included)
        self._send(client_id, request).add_done_callback(
            functools.partial(self._answered, client_id, request, now_ms)
        )

    def _send(
        self, client_id: str, request: _calls.AdviceRequest
    ) -> typing.Any:
        for connection, gateway_id in self._term.sessions.items():
            if gateway_id == client_id:
                return connection.call_async(request)
        return self._term.adviser_client.ask(request)

    def _answered(
        self,
        client_id: str,
        request: _calls.AdviceRequest,
        sent_ms: int,
        done: typing.Any,
    ) -> None:
        reply = _calls.AdviceReply((), 0, 'call cancelled or failed')
        if not done.cancelled() and done.exception() is None:
            match done.result():
                case _calls.AdviceReply() as own:
                    reply = own
                case result.Success(_calls.AdviceReply() as other):
                    reply = other
                case result.Failure(transport.CallError() as error):
                    reply = _calls.AdviceReply((), 0, str(error.failure))
        term = self._term
        with term.lock:
            now_ms = _clock.elapsed_ms()
            term.adviser_clients.record_finished(client_id, now_ms)
            term.advice.record_reply(
                request.step, request.worker_ids, reply, now_ms
            )
        took_ms = now_ms - sent_ms
        term.metrics.advice_seconds.labels(
            'failed' if reply.problem else 'answered'
        ).observe(took_ms / 1000)
        _logger.info(
            'advice',
            step=request.step,
            took_ms=took_ms,
            asked_count=len(request.worker_ids),
            granted_count=len(reply.grants),
            asker=client_id,
            problem=reply.problem,
        )
        term.round_requested.set()


def _candidates(
    demand: _planner.Demand,
    workers: list[_planner.AvailableWorker],
    expects_capacity: bool,
) -> list[_advice.Candidate]:
    label = demand.spec.required_label
    charge = demand.spec.charged()
    fitting: list[tuple[int, messages.WorkerId, bool]] = []
    for worker in workers:
        if worker.pool != demand.pool or label and label not in worker.labels:
            continue
        has_capacity = not _is_at_limit(demand, worker.worker_id) and (
            expects_capacity or charge.fits_in(worker.free)
        )
        fitting.append(
            (-worker.free.cpu_millicores, worker.worker_id, has_capacity)
        )
    return [
        _advice.Candidate(worker_id, has_capacity)
        for _, worker_id, has_capacity in sorted(fitting)
    ]


def _is_at_limit(
    demand: _planner.Demand, worker_id: messages.WorkerId
) -> bool:
    """Return whether the step may run no more tasks on the worker."""
    per_worker_max = demand.spec.per_worker_max
    count = demand.per_worker_counts.get(worker_id, 0)
    return bool(per_worker_max) and count >= per_worker_max


def _workers_needed(
    demand: _planner.Demand, workers: list[_planner.AvailableWorker]
) -> int:
    """Return how many empty workers would hold the waiting tasks."""
    charge = demand.spec.charged()
    per_worker_max = demand.spec.per_worker_max
    tasks_per_worker = max(
        (
            _specs.tasks_that_fit(charge, worker.capacity)
            for worker in workers
            if worker.pool == demand.pool
        ),
        default=1,
    )
    if per_worker_max:
        tasks_per_worker = min(tasks_per_worker, per_worker_max)
    return -(-len(demand.indexes) // max(1, tasks_per_worker))
