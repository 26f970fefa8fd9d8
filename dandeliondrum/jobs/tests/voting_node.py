"""Fake consensus node whose membership changes are completed by a test."""

import collections
import concurrent.futures

from returns import result

from dandeliondrum import consensus

# More than the changes of any test.
SETTLE_ROUNDS = 20


class SlowNode:
    """Consensus node whose membership changes are completed by the test.

    They follow the rules of the real one: one at a time in their order, and
    an addition is complete once the controller is a learner or a voter. A
    learner has no state at first. It is promoted by a change of its own,
    which follows the one that makes room for it, while there are fewer voters
    than ``voters_max``.
    """

    def __init__(self, silences_ms, voters_max):
        self.silences_ms = dict(silences_ms)
        self.voters_max = voters_max
        self.last_index = 1
        self.learners = []
        self.unreachable = []
        self._indexes = dict.fromkeys(self.silences_ms, 1)
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
                    self._indexes.get(name, 1),
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
        """Complete the oldest change."""
        self._indexes = dict.fromkeys(self.silences_ms, 1)
        if not self._queued:
            return
        kind, name, until_voter, future = self._queued.popleft()
        failure = self._failure(kind, name)
        if failure is not None:
            future.set_result(result.Failure(consensus.ChangeError(failure)))
            return
        match kind:
            case 'add':
                self.silences_ms[name] = self._indexes[name] = 0
                self.learners.append(name)
                if until_voter:
                    self._adding[name] = future
            case 'remove':
                del self.silences_ms[name]
                if name in self.learners:
                    self.learners.remove(name)
            case 'promote':
                self.learners.remove(name)
        self._promote_next()
        if kind != 'add' or not until_voter:
            future.set_result(result.Success(None))

    def settle(self, voters):
        """Complete all changes, with checks of the leader between them."""
        for _ in range(SETTLE_ROUNDS):
            self.complete_change()
            voters.check()

    def _failure(self, kind, name):
        known = name in self.silences_ms
        if kind == 'add' and known:
            return consensus.ChangeFailure.ALREADY_MEMBER
        if kind == 'add' and name in self.unreachable:
            return consensus.ChangeFailure.UNREACHABLE
        if kind == 'remove' and not known:
            return consensus.ChangeFailure.UNKNOWN_MEMBER
        return None

    def _promote_next(self):
        """Queue the promotion of a learner before all other changes."""
        if self.learners and len(self.voters) < self.voters_max:
            name = self.learners[0]
            promoted = self._adding.pop(name, concurrent.futures.Future())
            self._queued.appendleft(('promote', name, True, promoted))
