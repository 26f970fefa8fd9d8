"""Tests of the transfer of documents in parts."""

import concurrent.futures
import random
from unittest import mock

import pytest
from returns import result

from dandeliondrum import messages
from dandeliondrum import transport
from dandeliondrum.transport import _documents

LEADER = messages.ControllerId('c1')
TERM = messages.Term(1)


def large_text(seed):
    """Return a text whose compressed form has several parts."""
    return random.Random(seed).randbytes(3 * _documents.PART_BYTES).hex()


class Leader:
    """A sender and a connection to it that answers when it is told to."""

    def __init__(self, version, text):
        self.version, self.text = version, text
        self.sender = transport.DocumentSender(
            lambda: (self.version, self.text)
        )
        self.queries = []
        self._pending = []

    def call_async(self, query):
        self.queries.append(query)
        future = concurrent.futures.Future()
        self._pending.append((query, future))
        return future

    def answer(self, count=1):
        for _ in range(count):
            query, future = self._pending.pop(0)
            future.set_result(result.Success(self.sender.part(query)))

    def answer_all(self):
        while self._pending:
            self.answer()

    def close(self):
        for _, future in self._pending:
            future.set_result(
                result.Failure(
                    transport.CallError(transport.CallFailure.CLOSED)
                )
            )
        self._pending.clear()


class Gateway:
    """A receiver and what it has activated."""

    def __init__(self):
        self.active = []
        self.receiver = transport.DocumentReceiver(
            lambda version, text: self.active.append((version, text))
        )

    def request(self, leader):
        version = self.active[-1][0] if self.active else 0
        self.receiver.request(leader, leader.version, version)


@pytest.fixture
def gateway():
    return Gateway()


def test_a_large_document_arrives_in_parts(gateway):
    leader = Leader(1, large_text(1))
    gateway.request(leader)
    leader.answer_all()
    assert gateway.active == [(1, leader.text)]
    assert len(leader.queries) > 2


def test_only_one_part_is_requested_at_a_time(gateway):
    leader = Leader(1, large_text(1))
    for _ in range(3):
        gateway.request(leader)
    assert len(leader.queries) == 1


def test_a_transfer_continues_on_the_next_connection(gateway):
    leader = Leader(1, large_text(1))
    gateway.request(leader)
    leader.answer(2)
    leader.close()
    successor = Leader(1, leader.text)
    successor.sender = leader.sender
    gateway.request(successor)
    assert successor.queries[0].offset == 2 * _documents.PART_BYTES
    successor.answer_all()
    assert gateway.active == [(1, leader.text)]


def test_a_transfer_starts_anew_at_a_leader_without_its_version(gateway):
    leader = Leader(1, large_text(1))
    gateway.request(leader)
    leader.answer(2)
    leader.close()
    successor = Leader(2, large_text(2))
    gateway.request(successor)
    successor.answer_all()
    assert gateway.active == [(2, successor.text)]


def test_a_transfer_is_completed_although_the_document_changes(gateway):
    leader = Leader(1, large_text(1))
    first = leader.text
    gateway.request(leader)
    leader.answer()
    leader.version, leader.text = 2, large_text(2)
    gateway.request(leader)
    leader.answer_all()
    assert gateway.active == [(1, first), (2, leader.text)]


def test_the_newest_document_is_requested_after_an_older_one_was(gateway):
    leader = Leader(3, large_text(3))
    gateway.request(leader)
    leader.answer_all()
    leader.version = 2
    gateway.request(leader)
    assert [version for version, _ in gateway.active] == [3]
    assert len(leader._pending) == 0


def test_a_refused_part_is_requested_again(gateway):
    leader = Leader(1, large_text(1))
    gateway.request(leader)
    _, future = leader._pending.pop()
    future.set_result(result.Success(messages.NotLeader()))
    gateway.request(leader)
    leader.answer_all()
    assert gateway.active == [(1, leader.text)]


@pytest.mark.parametrize('takes_parts', [True, False])
@pytest.mark.parametrize('text', ['small', large_text(1)])
def test_registrations_carry_what_the_gateway_can_use(text, takes_parts):
    leader = Leader(7, text)
    reply = leader.sender.registered(TERM, LEADER, takes_parts)
    left_out = takes_parts and text != 'small'
    assert (reply.rules_version, reply.rules_text) == (
        (0, '') if left_out else (7, text)
    )
    assert reply.newest_rules_version == 7


def test_versions_beyond_the_limit_are_dropped():
    leader = Leader(1, large_text(1))
    first = leader.sender.part(messages.RulesPartQuery('', 0))
    for version in range(2, _documents.VERSIONS_KEPT + 2):
        leader.version, leader.text = version, large_text(version)
        leader.sender.part(messages.RulesPartQuery('', 0))
    part = leader.sender.part(messages.RulesPartQuery(first.digest, 5))
    assert (part.version, part.offset) == (leader.version, 0)


def test_an_older_document_of_a_leader_is_requested_once(gateway):
    leader = Leader(3, large_text(3))
    gateway.request(leader)
    leader.close()
    successor = Leader(2, large_text(2))
    gateway.request(successor)
    for _ in range(50):
        if successor._pending:
            successor.answer()
    assert gateway.active == [(2, successor.text)]
    assert not successor._pending


@pytest.mark.parametrize('takes_parts', [True, False])
@pytest.mark.parametrize('text', ['small', large_text(1)])
def test_announcements_carry_what_the_gateway_can_use(text, takes_parts):
    leader = Leader(7, text)
    pushed = []
    connection = mock.Mock(push=pushed.append)
    session = transport.Session(
        connection, messages.GatewayId('g1'), 1, takes_parts=takes_parts
    )
    leader.sender.announce((session,))
    left_out = takes_parts and text != 'small'
    whole = messages.RulesPush(7, text)
    assert pushed == [messages.RulesChanged(7) if left_out else whole]


def test_a_part_delays_a_narrow_link_for_less_than_a_heartbeat_waits():
    part = Leader(1, large_text(1)).sender.part(messages.RulesPartQuery('', 0))
    assert len(part.data) <= 16 * 1024


def test_a_transfer_continues_while_the_former_connection_is_open(gateway):
    former = Leader(1, large_text(1))
    gateway.request(former)
    successor = Leader(1, former.text)
    gateway.request(successor)
    assert successor.queries
    former.answer()
    assert len(former.queries) == 1
    successor.answer_all()
    assert gateway.active == [(1, former.text)]


def test_replies_to_the_same_request_are_used_once(gateway):
    leader = Leader(1, large_text(1))
    other = Leader(1, leader.text)
    for one in (leader, other, leader):
        gateway.request(one)
    leader.answer_all()
    assert gateway.active == [(1, leader.text)]


def test_a_transfer_is_completed_after_requests_for_newer_versions(gateway):
    leader = Leader(1, large_text(1))
    first = leader.text
    gateway.request(leader)
    leader.answer()
    for version in (2, 3, 4):
        leader.version, leader.text = version, large_text(version)
        leader.sender.part(messages.RulesPartQuery('', 0))
    gateway.request(leader)
    leader.answer_all()
    assert gateway.active == [(1, first), (4, leader.text)]
