"""Replacement of several lost voters, with changes that take some time."""

import collections
import concurrent.futures

import pytest
from returns import result

from dandeliondrum import consensus
from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _voters
from dandeliondrum import messages

VOTERS_COUNT = 5
NO_LIMIT = 99
LOST_MS = 60_000
JOIN_INTERVAL_MS = 250


class SlowNode:
    """Consensus node whose membership changes are completed by the test.

    They follow the rules of the real one: one at a time in their order, and
    an addition is complete once the controller is a voter, which it becomes
    only while there are fewer voters than ``voters_max``.
    """

    def __init__(self, voters, voters_max=VOTERS_COUNT):
        self.silences_ms = dict.fromkeys(voters, 0)
        self.voters_max = voters_max
        self.learners = []
        self._queued = collections.deque()
        self._adding = {}

    @property
    def voters(self):
        return [one for one in self.silences_ms if one not in self.learners]

    def status(self):
        return consensus.NodeStatus(
            'c1',
            consensus.Role.LEADER,
            1,
            'c1',
            True,
            1,
            1,
            1,
            0,
            'd',
            tuple(
                consensus.MemberStatus(
                    name,
                    name,
                    'disk',
                    name not in self.learners,
                    1,
                    silent_ms,
                    False,
                )
                for name, silent_ms in self.silences_ms.items()
            ),
        )

    def add_member(self, controller_id, address, until_voter=True):
        future = concurrent.futures.Future()
        self._queued.append(('add', controller_id, until_voter, future))
        return future

    def remove_member(self, controller_id):
        future = concurrent.futures.Future()
        self._queued.append(('remove', controller_id, True, future))
        return future

    def complete_change(self):
        """Complete the oldest change, and the promotions that are due."""
        if not self._queued:
            return
        kind, name, until_voter, future = self._queued.popleft()
        known = name in self.silences_ms
        if known == (kind == 'add'):
            failure = (
                consensus.ChangeFailure.ALREADY_MEMBER
                if known
                else consensus.ChangeFailure.UNKNOWN_MEMBER
            )
            future.set_result(result.Failure(consensus.ChangeError(failure)))
            return
        if kind == 'remove':
            del self.silences_ms[name]
            if name in self.learners:
                self.learners.remove(name)
        else:
            self.silences_ms[name] = 0
            self.learners.append(name)
            if until_voter:
                self._adding[name] = future
        self._promote()
        if kind == 'remove' or not until_voter:
            future.set_result(result.Success(None))

    def _promote(self):
        for name in list(self.learners):
            if len(self.voters) < self.voters_max:
                self.learners.remove(name)
                future = self._adding.pop(name, None)
                if future is not None:
                    future.set_result(result.Success(None))


@pytest.fixture
def now_ms(monkeypatch):
    clock = [1_000]
    monkeypatch.setattr(_clock, 'elapsed_ms', lambda: clock[0])
    return clock


def _join(names):
    return [
        _calls.JoinRequest(messages.ControllerId(name), f'{name}:1')
        for name in names
    ]


def test_two_lost_voters_with_two_successors_are_both_replaced(now_ms):
    """Regression test for issue 44: a lost voter stayed as the sixth one."""
    node = SlowNode(['c1', 'c2', 'c3', 'c4', 'c5'], voters_max=NO_LIMIT)
    voters = _voters.Voters(node, VOTERS_COUNT)
    node.silences_ms['c4'] = node.silences_ms['c5'] = LOST_MS
    for _ in range(20):
        for request in _join(['c6', 'c7']):
            voters.join(request)
            node.complete_change()
        now_ms[0] += JOIN_INTERVAL_MS
    assert sorted(node.voters) == ['c1', 'c2', 'c3', 'c6', 'c7']
