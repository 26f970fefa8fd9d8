"""Requests advice for waiting steps through the pool of processes."""

import collections.abc
import dataclasses
import functools
import queue
import typing

from returns import result
import structlog

from dandeliondrum.jobs import _advice_candidates
from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _planner
from dandeliondrum.jobs import _policy
from dandeliondrum.jobs import _specs
from dandeliondrum.jobs import _term
from dandeliondrum.jobs import queueing
from dandeliondrum import messages
from dandeliondrum import transport
from dandeliondrum import utils

_logger = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """The outcome of a call and the time at which it was known."""

    request: _calls.AdviceRequest
    policy: _policy.AdvicePolicy
    reply: _calls.AdviceReply
    is_lost: bool
    answered_ms: int


class AdviceRequester:
    """Selects in each round the steps that need advice and requests it."""

    def __init__(self, term: _term.Term) -> None:
        self._term = term
        # Answers that are not recorded yet.
        self._answers: queue.SimpleQueue[_Answer] = queue.SimpleQueue()
        # The workers as the last round left them.
        self._candidate_workers = _advice_candidates.CandidateWorkers(())

    def request(
        self,
        demands: list[tuple[_planner.Demand, _policy.QueuePolicy]],
        workers: list[_planner.AvailableWorker],
        steps_with_capacity: collections.abc.Set[
            tuple[_specs.JobId, _specs.StepIndex]
        ],
        reserved_ids: collections.abc.Set[messages.WorkerId],
        team_available: collections.abc.Mapping[
            messages.TeamId, messages.Resources
        ],
        skipped_steps: collections.abc.Container[_planner.StepKey] = (),
    ) -> None:
        """Request advice in scheduling order while a process is free.

        For the steps in ``steps_with_capacity``, workers were reserved on
        which tasks fit, now or once runs have been stopped. The tickets of
        gangs among these steps are renewed in the meantime. ``reserved_ids``
        are the workers that the last round kept free. While a team is at its
        limit, only the first call about each of its steps is made. None is
        made about ``skipped_steps``, which the round does not plan.
        """
        advised = [
            (demand, queue_policy.advice)
            for demand, queue_policy in demands
            if queue_policy.advice is not None
        ]
        advised.sort(key=lambda pair: queueing.sort_key(pair[0]))
        candidate_workers = _advice_candidates.CandidateWorkers(
            workers, reserved_ids
        )
        self._candidate_workers = candidate_workers
        busy_policies: set[_policy.AdvicePolicy] = set()
        for demand, policy in advised:
            name = _specs.step_name(demand.job_id, demand.step)
            if policy in busy_policies or (
                (demand.job_id, demand.step) in skipped_steps
            ):
                continue
            if not self._term.advice.is_unknown(
                name
            ) and not _planner.team_allows(demand, team_available):
                continue
            expects_capacity = (
                demand.spec.gang
                and (demand.job_id, demand.step) in steps_with_capacity
            )
            included = _advice_candidates.workers_for_call(
                self._term.advice,
                name,
                demand,
                policy,
                candidate_workers,
                _clock.elapsed_ms(),
                expects_capacity,
            )
            request = _calls.AdviceRequest(name, included)
            if included and not self._call(request, policy):
                busy_policies.add(policy)

    def record_answers(self) -> None:
        """Record the answers so far; the caller holds the lock of the term."""
        while True:
            try:
                answer = self._answers.get_nowait()
            except queue.Empty:
                return
            self._term.advice.record_reply(
                answer.request.step,
                answer.request.worker_ids,
                answer.reply,
                answer.answered_ms,
                answer.is_lost,
            )
            if answer.is_lost:
                self._call(answer.request, answer.policy)

    def clear(self) -> None:
        """Forget the workers, while nothing waits and they are not read."""
        self._candidate_workers = _advice_candidates.CandidateWorkers(())

    def request_first(
        self,
        demands: list[tuple[_planner.Demand, _policy.QueuePolicy]],
        skipped_steps: collections.abc.Container[_planner.StepKey],
    ) -> None:
        """Request advice for demands of new jobs between two rounds.

        They would lose the rest of the pause between rounds, and a reply
        that comes during the next round the whole of another one. None is
        requested for ``skipped_steps``.
        """
        advised = [
            (demand, queue_policy.advice)
            for demand, queue_policy in demands
            if queue_policy.advice is not None
            and (demand.job_id, demand.step) not in skipped_steps
        ]
        advised.sort(key=lambda pair: queueing.sort_key(pair[0]))
        for demand, policy in advised:
            name = _specs.step_name(demand.job_id, demand.step)
            if not self._term.advice.is_unknown(name):
                continue
            included = _advice_candidates.workers_for_call(
                self._term.advice,
                name,
                demand,
                policy,
                self._candidate_workers,
                _clock.elapsed_ms(),
            )
            request = _calls.AdviceRequest(name, included)
            if included and not self._call(request, policy):
                return

    def _call(
        self, request: _calls.AdviceRequest, policy: _policy.AdvicePolicy
    ) -> bool:
        """Make a call; return False if no process is free for it."""
        term = self._term
        now_ms = _clock.elapsed_ms()
        clients = term.adviser_clients
        client_id = clients.choose(policy, len(request.worker_ids), now_ms)
        if client_id is None:
            return False
        term.advice.record_call(request.step, clients.due_ms(client_id))
        term.load.record_advice_call()
        self._send(client_id, request).add_done_callback(
            functools.partial(
                self._answered, client_id, request, policy, now_ms
            )
        )
        return True

    def _send(
        self, client_id: str, request: _calls.AdviceRequest
    ) -> typing.Any:
        if client_id == self._term.options.controller_id:
            return self._term.adviser_client.ask(request)
        session = self._term.sessions.by_gateway(messages.GatewayId(client_id))
        if session is None:
            return utils.completed_future(
                result.Failure(
                    transport.CallError(transport.CallFailure.NOT_SENT)
                )
            )
        return session.connection.call_async(request)

    def _answered(
        self,
        client_id: str,
        request: _calls.AdviceRequest,
        policy: _policy.AdvicePolicy,
        sent_ms: int,
        done: typing.Any,
    ) -> None:
        reply, is_lost = _read_reply(done)
        term = self._term
        now_ms = _clock.elapsed_ms()
        if reply.problem:
            term.adviser_clients.record_failed(client_id, now_ms)
        else:
            term.adviser_clients.record_finished(client_id, now_ms)
        self._answers.put(_Answer(request, policy, reply, is_lost, now_ms))
        # This thread also reads the calls of a gateway. It must not wait for
        # a planning round; the next one records the answer.
        if term.lock.acquire(blocking=False):
            try:
                self.record_answers()
            finally:
                term.lock.release()
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


def _read_reply(done: typing.Any) -> tuple[_calls.AdviceReply, bool]:
    """Return the reply to a call and whether its connection was lost."""
    if done.cancelled():
        return _calls.AdviceReply((), 0, 'call cancelled'), False
    if done.exception() is not None:
        return _calls.AdviceReply((), 0, repr(done.exception())), False
    match done.result():
        case _calls.AdviceReply() as reply:
            return reply, False
        case result.Success(_calls.AdviceReply() as reply):
            return reply, False
        case result.Success(messages.CallFailed(reason)):
            return _calls.AdviceReply((), 0, reason), False
        case result.Failure(transport.CallError() as error):
            return _calls.AdviceReply((), 0, str(error.failure)), True
        case other:
            return _calls.AdviceReply((), 0, f'reply {other!r}'), False
