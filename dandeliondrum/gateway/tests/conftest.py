"""Fixtures for the gateway tests."""

import contextlib

import pytest

from dandeliondrum.gateway.tests import fakes


@pytest.fixture
def leader():
    with contextlib.closing(fakes.Leader()) as one:
        yield one


@pytest.fixture
def worker():
    with contextlib.closing(fakes.Worker()) as one:
        yield one


@pytest.fixture
def gw(leader):
    with fakes.serving(leader.address) as one:
        yield one


@pytest.fixture(scope='module')
def shared_leader():
    with contextlib.closing(fakes.Leader()) as one:
        yield one


@pytest.fixture(scope='module')
def shared_gateway(shared_leader):
    """Return a gateway for tests of a module that don't stop it."""
    with fakes.serving(shared_leader.address) as one:
        yield one
