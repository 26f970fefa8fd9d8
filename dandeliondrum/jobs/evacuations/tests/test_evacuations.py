"""Orders about failure domains, which may be repeated and delayed."""

from dandeliondrum.jobs import evacuations
from dandeliondrum import messages

DOMAIN = messages.FailureDomain('sattahip')
OTHER = messages.FailureDomain('rayong')


def _order(evacuated, index, domain=DOMAIN):
    return evacuations.DomainOrder(domain, evacuated, index)


def _apply(state, evacuated, index, after_index, domain=DOMAIN):
    return state.apply(_order(evacuated, index, domain), after_index)


def test_a_domain_is_evacuated_until_it_is_restored():
    state = evacuations.Evacuations()
    assert _apply(state, True, 5, 0) is evacuations.OrderOutcome.CHANGED
    assert state.domains == {DOMAIN}
    assert _apply(state, True, 6, 0, OTHER) is evacuations.OrderOutcome.CHANGED
    assert _apply(state, False, 7, 5) is evacuations.OrderOutcome.CHANGED
    assert state.domains == {OTHER}
    assert [order.index for order in state.orders] == [6, 7]


def test_a_repeated_order_keeps_the_first_one():
    state = evacuations.Evacuations()
    _apply(state, True, 5, 0)
    assert _apply(state, True, 6, 0) is evacuations.OrderOutcome.REPEATED
    assert state.last_index(DOMAIN) == 5


def test_the_revocation_of_no_order_stores_nothing():
    state = evacuations.Evacuations()
    assert _apply(state, False, 5, 0) is evacuations.OrderOutcome.REPEATED
    assert state.orders == ()


def test_an_order_that_was_held_up_does_not_undo_a_newer_one():
    """Otherwise tasks would start in a domain whose evacuation is in force."""
    state = evacuations.Evacuations()
    _apply(state, True, 5, 0)
    _apply(state, False, 6, 5)
    _apply(state, True, 7, 6)
    assert _apply(state, False, 8, 5) is evacuations.OrderOutcome.OUTDATED
    assert state.domains == {DOMAIN}
    assert state.last_index(DOMAIN) == 7


def test_orders_are_restored_with_their_indexes():
    state = evacuations.Evacuations()
    _apply(state, True, 5, 0)
    _apply(state, False, 6, 5)
    _apply(state, True, 7, 0, OTHER)
    again = evacuations.Evacuations(state.orders)
    assert again.orders == state.orders
    assert again.domains == {OTHER}
