"""What a try settles about a call, and what is left when all failed."""

import collections.abc

from returns import result

from dandeliondrum.client import _exchange
from dandeliondrum.client import _outcomes

# Refusals by a gateway alone: the same id is welcome elsewhere.
GATEWAY_REASONS = ('no_leader', 'gateway_busy')

Settled = result.Result[_exchange.Reply, _outcomes.Outcome]
# Says whether a try settled the call, and how.
Settle = collections.abc.Callable[[str, _exchange.Result], Settled | None]
# Statuses with which a gateway says where a task stands.
FINAL_STATUSES = (200, 202, 404)


def settled(request_id: str, outcome: _exchange.Result) -> Settled | None:
    """Return what no further try can change, if it is that."""
    if not isinstance(outcome, _exchange.Reply):
        return None
    plain = outcome.plain()
    reason = str(plain.get('reason') or outcome.status)
    detail = str(plain.get('detail') or '')
    match outcome.outcome():
        case 'answered' | 'accepted':
            whole = outcome.is_unchanged()
            return result.Success(outcome) if whole else None
        case 'refused_not_run' if reason not in GATEWAY_REASONS:
            return result.Failure(
                _outcomes.Refused(
                    request_id, reason, detail, outcome.retry_after_ms()
                )
            )
        case 'in_doubt' if 400 <= outcome.status < 500:
            return result.Failure(
                _outcomes.InDoubt(request_id, reason, detail)
            )
    return None


def reported(request_id: str, outcome: _exchange.Result) -> Settled | None:
    """Return what a question about a task brought, if it is settled."""
    if not isinstance(outcome, _exchange.Reply):
        return None
    final = _exchange.ATTEMPT in outcome.headers
    if final or outcome.status in FINAL_STATUSES:
        whole = outcome.is_unchanged()
        return result.Success(outcome) if whole else None
    if 400 <= outcome.status < 500:
        plain = outcome.plain()
        return result.Failure(
            _outcomes.InDoubt(
                request_id,
                str(plain.get('reason') or outcome.status),
                str(plain.get('detail') or ''),
            )
        )
    return None


def without_effect(outcome: _exchange.Result) -> bool:
    """Return whether this try certainly left nothing behind."""
    match outcome:
        case _exchange.NotSent():
            return True
        case _exchange.Reply():
            return outcome.outcome() == 'refused_not_run'
    return False


def asked_ms(outcome: _exchange.Result) -> int:
    """Return how long the gateway asked to wait before the next try."""
    if isinstance(outcome, _exchange.Reply):
        return outcome.retry_after_ms()
    return 0


def unsettled(
    request_id: str, outcome: _exchange.Result, not_run: bool
) -> _outcomes.Outcome:
    """Return the outcome after the last try."""
    match outcome:
        case _exchange.Reply():
            reason = str(outcome.plain().get('reason') or outcome.status)
            detail = str(outcome.plain().get('detail') or '')
        case _exchange.NotSent(detail) | _exchange.NoReply(detail):
            reason = 'unreachable'
    if not_run:
        return _outcomes.Refused(request_id, reason, detail, asked_ms(outcome))
    return _outcomes.InDoubt(request_id, reason, detail)
