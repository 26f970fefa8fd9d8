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
