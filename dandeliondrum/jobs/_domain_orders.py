"""Orders of operators about failure domains, handled by the leader."""

import concurrent.futures
import typing

from returns import result
import structlog

from dandeliondrum import consensus
from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _replies
from dandeliondrum.jobs import _state
from dandeliondrum.jobs import _term
from dandeliondrum.jobs import evacuations
from dandeliondrum import utils

_logger = structlog.get_logger()

_Reply = concurrent.futures.Future[typing.Any]


def change(term: _term.Term, message: _calls.DomainChange) -> _Reply:
    """Commit an order; the reply is sent once it is applied here."""
    make_command = (
        _commands.EvacuateDomain
        if message.evacuated
        else _commands.RestoreDomain
    )
    command = make_command(
        message.failure_domain, message.after_index, message.origin
    )

    def make_reply(
        outcome: result.Result[typing.Any, consensus.ProposeError],
    ) -> typing.Any:
        if isinstance(outcome, result.Failure):
            return _replies.failure_reply(outcome.failure())
        changed: _state.DomainChanged = outcome.unwrap()
        _report(term, message, changed.outcome)
        term.round_requested.set()
        return _calls.EvacuatedDomains(
            changed.orders,
            changed.outcome is evacuations.OrderOutcome.OUTDATED,
        )

    return utils.map_future(term.propose(command), make_reply)


def read(term: _term.Term) -> _Reply:
    """Return the orders in force once a quorum has confirmed the leader."""

    def make_reply(
        outcome: result.Result[typing.Any, consensus.ProposeError],
    ) -> typing.Any:
        if isinstance(outcome, result.Failure):
            return _replies.failure_reply(outcome.failure())
        with term.state.lock:
            return _calls.EvacuatedDomains(term.state.evacuations.orders)

    return utils.map_future(term.node.confirm_leadership(), make_reply)


def _report(
    term: _term.Term,
    message: _calls.DomainChange,
    outcome: evacuations.OrderOutcome,
) -> None:
    """Log an order, with the workers and runs that it concerns."""
    domain = message.failure_domain
    with term.state.lock:
        workers = [
            worker
            for worker in term.state.workers.values()
            if worker.facts.failure_domain == domain
        ]
        runs_count = sum(len(worker.runs) for worker in workers)
        index = term.state.evacuations.last_index(domain)
    _logger.info(
        'domain evacuated' if message.evacuated else 'domain restored',
        failure_domain=domain,
        outcome=outcome.value,
        index=index,
        requested_by=message.origin.requested_by,
        reason=message.origin.reason,
        workers_count=len(workers),
        runs_count=runs_count,
    )
