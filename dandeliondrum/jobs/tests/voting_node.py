"""Fake consensus node whose membership changes are completed by a test."""

import collections
import concurrent.futures

from returns import result

from dandeliondrum import consensus


class SlowNode:
    """Consensus node whose membership changes are completed by the test.

    They follow the rules of the real one: one at a time in their order, and
    an addition is complete once the controller is a voter, which it becomes
    only while there are fewer voters than ``voters_max``.
    """

    def __init__(self, silences_ms, voters_max):
        self.silences_ms = dict(silences_ms)
        self.voters_max = voters_max
        self.last_index = 1
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
            self.last_index,
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

    def complete_changes(self):
        """Complete all changes, and those that follow from them."""
        while self._queued:
            self.complete_change()

    def _promote(self):
        for name in list(self.learners):
            if len(self.voters) < self.voters_max:
                self.learners.remove(name)
                future = self._adding.pop(name, None)
                if future is not None:
                    future.set_result(result.Success(None))
