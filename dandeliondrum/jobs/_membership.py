"""Founding the cell, or joining one that exists."""

import collections.abc
import dataclasses
import threading

from returns import result
import structlog

from dandeliondrum import consensus
from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _leader_calls
from dandeliondrum import messages

FOUNDING_INTERVAL_MS = 250
# The second of the founders founds the cell if the first has not done so
# within this time, and the third after twice this time.
FOUNDER_TIMEOUT_MS = 3_000
# After its first attempt a founder waits this long for all of the founders.
ALL_FOUNDERS_TIMEOUT_MS = 1_500
# A member asks for the case that it was replaced, which it may not know.
MEMBER_JOIN_INTERVAL_MS = 1_000
JOIN_INTERVAL_MS = 250
JOIN_TIMEOUT_MS = 900

_logger = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class MembershipOptions:
    """How a controller becomes a member of the cell.

    The first of ``founders`` founds the cell with all of them as members. If
    one of them is lost, another founds it, or the others are the members.
    ``may_found`` is set only when the whole system starts for the first time.
    """

    controller_id: messages.ControllerId
    address: str
    founders: tuple[tuple[messages.ControllerId, str], ...]
    may_found: bool


class Membership:
    """Thread that keeps this controller a member of the cell."""

    def __init__(
        self,
        options: MembershipOptions,
        node: consensus.Node,
        calls: _leader_calls.LeaderCalls,
    ) -> None:
        self._options = options
        self._node = node
        self._calls = calls
        self._seeds = options.founders
        self._started_ms = _clock.elapsed_ms()
        self._first_attempt_ms: int | None = None
        self._is_leaving = threading.Event()
        self._join_failure = ''

    def set_seeds(
        self,
        seeds: collections.abc.Iterable[tuple[messages.ControllerId, str]],
    ) -> None:
        """Replace the controllers to ask for the leader.

        The founders stay those of the start: with others, a controller that
        is late could found a second cell.
        """
        seeds = tuple(seeds)
        if seeds != self._seeds:
            _logger.info('seeds changed', seeds=[seed[0] for seed in seeds])
        self._seeds = seeds

    def leave(self) -> None:
        """Ask for no membership any more."""
        self._is_leaving.set()

    def run(self, stopping: threading.Event) -> None:
        """Found or join the cell, and update the known controllers.

        A member keeps sending join requests, which have no effect while it
        is one. It may have been replaced while its link or its disk was down,
        and then it does not receive the log entry that removed it.
        """
        while not stopping.is_set():
            status = self._node.status()
            me = self._options.controller_id
            interval_ms = JOIN_INTERVAL_MS
            self._update_controllers(status)
            if self._is_member(status):
                if status.leader_id != me:
                    self._join()
                interval_ms = MEMBER_JOIN_INTERVAL_MS
            elif self._should_found(status):
                self._found_cell()
                interval_ms = FOUNDING_INTERVAL_MS
            else:
                self._join()
            stopping.wait(interval_ms / 1000)

    def _update_controllers(self, status: consensus.NodeStatus) -> None:
        """Look for the leader among members, seeds and founders.

        A member trusts the log more than the seeds, which may be older; for
        another controller the log may be the older one.
        """
        members = tuple(
            (member.controller_id, member.address) for member in status.members
        )
        ordered = (*self._seeds, *members)
        if self._is_member(status):
            ordered = (*members, *self._seeds)
        known: dict[messages.ControllerId, str] = {}
        for controller_id, address in ordered:
            known.setdefault(controller_id, address)
        known.update(self._options.founders)
        self._calls.link.set_controllers(known.items())

    def _is_member(self, status: consensus.NodeStatus) -> bool:
        me = self._options.controller_id
        return any(member.controller_id == me for member in status.members)

    def _should_found(self, status: consensus.NodeStatus) -> bool:
        options = self._options
        if not options.may_found or not status.grants_founding:
            return False
        if status.members or status.last_index:
            return False
        waited_ms = _clock.elapsed_ms() - self._started_ms
        return any(
            founder_id == options.controller_id
            and waited_ms >= position * FOUNDER_TIMEOUT_MS
            for position, (founder_id, _) in enumerate(options.founders)
        )

    def _found_cell(self) -> None:
        now_ms = _clock.elapsed_ms()
        if self._first_attempt_ms is None:
            self._first_attempt_ms = now_ms
        waited_ms = now_ms - self._first_attempt_ms
        match self._node.bootstrap(
            self._options.founders, waited_ms > ALL_FOUNDERS_TIMEOUT_MS
        ):
            case result.Success():
                _logger.info(
                    'cell founded',
                    controllers=[
                        founder[0] for founder in self._options.founders
                    ],
                )
            case result.Failure(error):
                _logger.info('cell not founded yet', why=str(error))
                if error.failure is consensus.ChangeFailure.HAS_LOG:
                    # The others have founded it.
                    self._join()

    def _join(self) -> None:
        if self._is_leaving.is_set():
            return
        request = _calls.JoinRequest(
            self._options.controller_id, self._options.address
        )
        failure = ''
        match self._calls.call(request, JOIN_TIMEOUT_MS):
            case result.Success():
                _logger.debug('join request accepted')
            case result.Failure(error):
                failure = error.reason
        if failure and failure != self._join_failure:
            _logger.info('join request not accepted', why=failure)
        self._join_failure = failure
