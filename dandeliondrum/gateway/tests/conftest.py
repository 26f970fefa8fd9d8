"""Fixtures of the gateway's tests."""

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
def front(leader):
    with fakes.serving(leader.address) as one:
        yield one


@pytest.fixture(scope='module')
def shared_leader():
    with contextlib.closing(fakes.Leader()) as one:
        yield one


@pytest.fixture(scope='module')
def shared_front(shared_leader):
    """Serve all tests of a module, for those that end nothing."""
    with fakes.serving(shared_leader.address) as one:
        yield one
