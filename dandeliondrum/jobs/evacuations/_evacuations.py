"""The replicated set of evacuated failure domains."""

import collections.abc
import dataclasses
import enum

from dandeliondrum import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Requester, reason and time of an order; empty if not known."""

    requested_by: str = ''
    reason: str = ''
    requested_unix_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class DomainOrder:
    """The order in force about a failure domain.

    ``index`` is the log index of its command.
    """

    failure_domain: messages.FailureDomain
    evacuated: bool
    index: int
    origin: Origin = Origin()


class OrderOutcome(enum.Enum):
    """Outcome of an order.

    ``REPEATED`` means that the domain was already in the wanted state, and
    ``OUTDATED`` that another order was committed since the sender read the
    state; it has no effect then.
    """

    CHANGED = 'changed'
    REPEATED = 'repeated'
    OUTDATED = 'outdated'


class Evacuations:
    """The newest order about each domain.

    A domain without an order is not evacuated. ``domains`` are those that are
    evacuated; the set is replaced as a whole, so that it can be read without
    a lock.

    Example::

        evacuations = Evacuations()
        order = DomainOrder(messages.FailureDomain('sattahip'), True, 12)
        evacuations.apply(order, after_index=0)
        assert 'sattahip' in evacuations.domains
    """

    def __init__(
        self, orders: collections.abc.Iterable[DomainOrder] = ()
    ) -> None:
        self._by_domain = {order.failure_domain: order for order in orders}
        self.domains: frozenset[messages.FailureDomain] = frozenset()
        self._update_domains()

    @property
    def orders(self) -> tuple[DomainOrder, ...]:
        """The newest order about each domain, sorted by domain."""
        return tuple(
            order for _, order in sorted(list(self._by_domain.items()))
        )

    def last_index(self, failure_domain: messages.FailureDomain) -> int:
        """Return the log index of the newest order, 0 if there is none."""
        order = self._by_domain.get(failure_domain)
        return order.index if order is not None else 0

    def apply(self, order: DomainOrder, after_index: int) -> OrderOutcome:
        """Apply a committed order; one that changes nothing is not stored.

        ``after_index`` is the :meth:`last_index` that its sender has seen. A
        message that was held up on a link may be delivered after newer orders
        of the same operator were acknowledged, and must not undo them.
        """
        domain = order.failure_domain
        if order.evacuated == (domain in self.domains):
            return OrderOutcome.REPEATED
        if after_index != self.last_index(domain):
            return OrderOutcome.OUTDATED
        self._by_domain[domain] = order
        self._update_domains()
        return OrderOutcome.CHANGED

    def _update_domains(self) -> None:
        self.domains = frozenset(
            order.failure_domain
            for order in self._by_domain.values()
            if order.evacuated
        )
