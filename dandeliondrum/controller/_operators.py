"""Operator calls to the leader: rules, fleet, drain, task explanations."""

import collections
import concurrent.futures
import typing

from returns import result

from dandeliondrum import consensus
from dandeliondrum.controller import _context
from dandeliondrum.controller import _domains
from dandeliondrum.controller import _heartbeats
from dandeliondrum.controller import _queueing
from dandeliondrum.controller import _records
from dandeliondrum import messages
from dandeliondrum import placement
from dandeliondrum import rules as rules_lib
from dandeliondrum import utils


def team_grants(
    rules: rules_lib.RuleSet,
) -> dict[messages.TeamId, placement.TeamGrant]:
    """Convert the share and upper limits of each team for the planner."""
    return {
        team_id: placement.TeamGrant(
            rule.share, rule.running_max, rule.resources_max
        )
        for team_id, rule in rules.teams.items()
    }


class Operators:
    """Handles operator calls on behalf of the leader."""

    def __init__(
        self,
        context: _context.Context,
        heartbeats: _heartbeats.Heartbeats,
        queueing: _queueing.Queueing,
    ) -> None:
        self._context = context
        self._queueing = queueing
        self._heartbeats = heartbeats
        self._domains = _domains.Domains(context, heartbeats)

    def handle(self, message: typing.Any) -> typing.Any:
        """Handle an operator's call; the reply may be a future."""
        match message:
            case messages.ApplyRulesCall():
                return self._apply_rules(message)
            case messages.ShowRules():
                return self._context.answer_if_confirmed(self._show_rules)
            case messages.ShowFleet():
                return self._context.answer_if_confirmed(self._show_fleet)
            case messages.DrainWorker():
                return self._drain(message)
            case messages.ChangeDomain():
                return self._domains.change(message)
            case messages.ShowDomains():
                return self._context.answer_if_confirmed(self._domains.show)
            case messages.ExplainTask():
                return self._explain(message.task_id)
            case messages.AddController():
                node = self._context.node
                return self._reply_when_changed(
                    node.add_member(message.controller_id, message.address)
                )
            case messages.RemoveController():
                node = self._context.node
                return self._reply_when_changed(
                    node.remove_member(message.controller_id)
                )
            case messages.TransferLeadership():
                return self._reply_when_changed(
                    self._context.node.transfer_leadership()
                )
        return messages.CallFailed(
            f'{type(message).__name__} is not a call that a leader handles',
            True,
        )

    def _reply_when_changed(
        self, future: concurrent.futures.Future[typing.Any]
    ) -> concurrent.futures.Future[typing.Any]:
        def answer(
            outcome: result.Result[typing.Any, typing.Any],
        ) -> typing.Any:
            if isinstance(outcome, result.Failure):
                return messages.CallFailed(str(outcome.failure()), False)
            return messages.Done()

        return utils.map_future(future, answer)

    def _apply_rules(
        self, call: messages.ApplyRulesCall
    ) -> concurrent.futures.Future[typing.Any]:
        context = self._context
        committed = context.propose(
            messages.ApplyRules(
                context.now_ms(),
                call.change_id,
                call.operator_id,
                call.expected_version,
                call.text,
            )
        )
        return utils.map_future(committed, self._on_rules_committed)

    def _on_rules_committed(
        self, outcome: result.Result[typing.Any, consensus.ProposeError]
    ) -> typing.Any:
        if isinstance(outcome, result.Failure):
            error = outcome.failure()
            return messages.CallFailed(
                error.failure.value, error.never_committed
            )
        context = self._context
        with context.lock, context.state.lock:
            context.planner.set_teams(team_grants(context.state.rules))
            sessions = context.sessions.all()
        self._heartbeats.apply_rules()
        self._queueing.refuse_withdrawn_keys()
        context.documents.announce(sessions)
        return outcome.unwrap()

    def _show_rules(self) -> messages.RulesShown:
        context = self._context
        with context.lock, context.state.lock:
            record = context.state.rules_record
            return messages.RulesShown(
                record.version,
                record.text,
                self._gateways(),
                record.history,
            )

    def _gateways(
        self,
    ) -> tuple[tuple[messages.GatewayId, messages.RulesVersion], ...]:
        return tuple(
            (session.gateway_id, session.rules_version)
            for session in self._context.sessions.all()
        )

    def _show_fleet(self) -> messages.FleetShown:
        context = self._context
        now_ms = utils.monotonic_ms()
        with context.lock, context.state.lock:
            workers = tuple(
                messages.WorkerView(
                    worker.facts,
                    self._heartbeats.effective_state(worker),
                    now_ms
                    - self._heartbeats.last_heard_ms(worker.facts.worker_id),
                    len(worker.attempts.keys() & context.started_attempts),
                    worker.reserved,
                )
                for worker in context.state.workers.values()
            )
            unstarted_counts = self._unstarted_counts()
            teams = tuple(
                messages.TeamView(
                    team_id,
                    context.state.accounts.use(team_id).running_count
                    - unstarted_counts[team_id],
                    context.planner.pending_count(team_id)
                    + unstarted_counts[team_id],
                    context.state.accounts.use(team_id).reserved,
                )
                for team_id in context.state.rules.teams
            )
            return messages.FleetShown(
                context.term,
                context.options.controller_id,
                context.now_ms(),
                workers,
                teams,
                self._controllers(),
                self._gateways(),
            )

    def _unstarted_counts(self) -> collections.Counter[messages.TeamId]:
        """Return for each team the assigned tasks that have not started."""
        context = self._context
        return collections.Counter(
            context.state.tasks[task_id].spec.team_id
            for worker in context.state.workers.values()
            for attempt_id, task_id in worker.attempts.items()
            if attempt_id not in context.started_attempts
        )

    def _controllers(self) -> tuple[messages.ControllerView, ...]:
        status = self._context.node.status()
        views = []
        for member in status.members:
            role = 'voter' if member.voter else 'learner'
            if member.controller_id == status.leader_id:
                role = 'leader'
            views.append(
                messages.ControllerView(
                    member.controller_id,
                    member.address,
                    role,
                    messages.LogIndex(member.match_index),
                )
            )
        return tuple(views)

    def _drain(self, call: messages.DrainWorker) -> typing.Any:
        with self._context.state.lock:
            worker = self._context.state.workers.get(call.worker_id)
        if worker is None:
            return messages.CallFailed('no such worker', True)
        proposed = self._heartbeats.set_state(
            worker,
            messages.WorkerState.LEAVING,
            f'drained by {call.operator_id}',
        )

        def answer(
            outcome: result.Result[typing.Any, consensus.ProposeError],
        ) -> typing.Any:
            if isinstance(outcome, result.Failure):
                return messages.CallFailed(
                    outcome.failure().failure.value, False
                )
            return messages.Done()

        return utils.map_future(proposed, answer)

    def _explain(self, task_id: messages.TaskId) -> messages.TaskExplained:
        context = self._context
        with context.lock, context.state.lock:
            task = context.state.tasks.get(task_id)
            events = task.events if task is not None else ()
            if task_id in context.pending:
                explanation = f'queued: {context.planner.explain(task_id)}'
            elif task is not None and task.attempt is not None:
                explanation = self._explain_attempt(task.attempt)
            elif task is not None:
                explanation = f'{task.state.value} {task.detail}'.strip()
            else:
                explanation = 'unknown'
        return messages.TaskExplained(explanation, events)

    def _explain_attempt(self, attempt: _records.AttemptRecord) -> str:
        worker_id = attempt.worker_id
        if attempt.attempt_id in self._context.started_attempts:
            return f'running on {worker_id}'
        return f'assigned to {worker_id}, not reported as started yet'
