"""Orders of operators to evacuate failure domains and to restore them."""

import collections
import time
import typing

from returns import result
import structlog

from dandeliondrum import consensus
from dandeliondrum.controller import _context
from dandeliondrum.controller import _heartbeats
from dandeliondrum.jobs import evacuations
from dandeliondrum import messages
from dandeliondrum import utils

# Stored for each domain, so it is bounded.
TEXT_CHARS_MAX = 500

_logger = structlog.get_logger()


class Domains:
    """Handles orders about failure domains on behalf of the leader."""

    def __init__(
        self, context: _context.Context, heartbeats: _heartbeats.Heartbeats
    ) -> None:
        self._context = context
        self._heartbeats = heartbeats

    def show(self) -> messages.DomainsShown:
        """Return the domains of the workers and those with an order."""
        context = self._context
        workers_counts: collections.Counter[messages.FailureDomain] = (
            collections.Counter()
        )
        running_counts = workers_counts.copy()
        with context.state.lock:
            for worker in context.state.workers.values():
                domain = worker.facts.failure_domain
                workers_counts[domain] += 1
                running_counts[domain] += len(worker.attempts)
            orders = {
                order.failure_domain: order
                for order in context.state.evacuations.orders
            }
        views = []
        for domain in sorted(workers_counts.keys() | orders.keys()):
            order = orders.get(
                domain, evacuations.DomainOrder(domain, False, 0)
            )
            views.append(
                messages.DomainView(
                    domain,
                    order.evacuated,
                    workers_counts[domain],
                    running_counts[domain],
                    order.index,
                    messages.OperatorId(order.origin.requested_by),
                    order.origin.reason,
                    order.origin.requested_unix_ms,
                )
            )
        return messages.DomainsShown(tuple(views))

    def change(self, call: messages.ChangeDomain) -> typing.Any:
        """Commit an order; only domains that are shown are known."""
        known = [view.failure_domain for view in self.show().domains]
        if call.failure_domain not in known:
            return messages.CallFailed(
                f'no such failure domain; known are: {", ".join(known)}', True
            )
        if max(len(call.operator_id), len(call.reason)) > TEXT_CHARS_MAX:
            return messages.CallFailed(
                f'operator and reason have at most {TEXT_CHARS_MAX} '
                'characters',
                True,
            )
        command = messages.OrderDomain(
            self._context.now_ms(),
            call.failure_domain,
            call.evacuated,
            call.after_index,
            call.operator_id,
            call.reason,
            time.time_ns() // 1_000_000,
        )

        def answer(
            outcome: result.Result[typing.Any, consensus.ProposeError],
        ) -> typing.Any:
            if isinstance(outcome, result.Failure):
                error = outcome.failure()
                return messages.CallFailed(
                    error.failure.value, error.never_committed
                )
            return self._on_committed(call, outcome.unwrap())

        return utils.map_future(self._context.propose(command), answer)

    def _on_committed(
        self, call: messages.ChangeDomain, outcome: evacuations.OrderOutcome
    ) -> typing.Any:
        _logger.info(
            'domain evacuated' if call.evacuated else 'domain restored',
            failure_domain=call.failure_domain,
            outcome=outcome.value,
            requested_by=call.operator_id,
            reason=call.reason,
        )
        if outcome is evacuations.OrderOutcome.OUTDATED:
            return messages.CallFailed(
                'there is a newer order about the domain', True
            )
        self._refresh(call.failure_domain)
        shown = self.show()
        if call.evacuated and all(view.evacuated for view in shown.domains):
            # The operator decides, so the order is obeyed.
            _logger.warning(
                'all failure domains are evacuated',
                failure_domains=[
                    view.failure_domain for view in shown.domains
                ],
            )
        return messages.Done()

    def _refresh(self, failure_domain: messages.FailureDomain) -> None:
        """Update the eligibility of the workers of a domain."""
        context = self._context
        with context.state.lock:
            worker_ids = [
                worker_id
                for worker_id, worker in context.state.workers.items()
                if worker.facts.failure_domain == failure_domain
            ]
        for worker_id in worker_ids:
            self._heartbeats.refresh(worker_id)
