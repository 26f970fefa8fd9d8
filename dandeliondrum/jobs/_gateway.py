"""A gateway for jobs: takes them from callers and asks the leader."""

import collections.abc
import contextlib
import dataclasses

from returns import result
import structlog

from dandeliondrum.jobs import _asker
from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _leader_calls
from dandeliondrum.jobs import _policy
from dandeliondrum.jobs import _port
from dandeliondrum.jobs import _records
from dandeliondrum.jobs import _specs
from dandeliondrum import messages
from dandeliondrum import utils

# A policy that no leader has confirmed for so long may have been replaced. A
# change has to be in force 2.5 s after it was agreed, and heartbeats with
# their timeouts take up to 0.75 s.
POLICY_AGE_MAX_MS = 1_500

_logger = structlog.get_logger()

Unavailable = _leader_calls.Unavailable


@dataclasses.dataclass(frozen=True)
class GatewayOptions:
    """Who a gateway is and which controllers it asks first."""

    link: _leader_calls.LinkOptions


class JobGateway:
    """Knows the policy in force and reaches the leader.

    Example::

        gateway = JobGateway(options, adviser_port, decode_policy)
        gateway.start()
        gateway.submit(spec, timeout_ms=2_000)
        gateway.close()
    """

    def __init__(
        self,
        options: GatewayOptions,
        adviser: _port.AdviserPort,
        decode_policy: collections.abc.Callable[[bytes], _policy.Policy],
    ) -> None:
        self._rules = _leader_calls.PolicyInForce(decode_policy)
        self._asker = _asker.Asker(adviser)
        self._calls = _leader_calls.LeaderCalls(
            options.link, self._rules, self._asker
        )
        self._resources = contextlib.ExitStack()

    @property
    def policy(self) -> _policy.Policy:
        """Return the policy in force; version 0 where none is known."""
        return self._rules.policy

    def start(self) -> None:
        """Look for the leader from now on."""
        supervisor = utils.Supervisor('job gateway', threads_count=1)
        self._resources.callback(self._asker.close)
        self._resources.callback(supervisor.close)
        self._resources.callback(self._calls.link.close)
        supervisor.run('leader link', self._calls.link.run)

    def close(self) -> None:
        """Give up the stream to the leader."""
        self._resources.close()

    def answering(self) -> bool:
        """Return whether a leader answered a moment ago."""
        return self._calls.link.answering()

    def wait_for_policy(self, timeout_ms: int) -> _policy.Policy:
        """Return the policy in force, version 0 where none is known.

        A gateway that has just started waits for its first one as long as
        it is likely to find the leader, so that a loss of power costs its
        callers no more tries than it must.
        """
        if not self.policy.version:
            left_ms = self._calls.failover_left_ms()
            self._rules.wait_known(min(timeout_ms, left_ms))
        return self.policy

    def policy_is_current(self) -> bool:
        """Return whether a leader confirmed the policy a moment ago.

        Without that, nothing may be refused for what the policy says.
        """
        silent_ms = self._calls.link.silent_ms()
        return silent_ms is not None and silent_ms <= POLICY_AGE_MAX_MS

    def know(
        self,
        controllers: collections.abc.Iterable[
            tuple[messages.ControllerId, str]
        ],
    ) -> None:
        """Look for the leader among these controllers from now on."""
        self._calls.link.know(controllers)

    def submit(
        self, spec: _specs.JobSpec, timeout_ms: int
    ) -> result.Result[_records.JobPhase | None, Unavailable]:
        """Have a job accepted; it is on record when this succeeds."""
        return self._status(_calls.JobSubmission(spec), timeout_ms)

    def query(
        self,
        job_id: _specs.JobId,
        team_id: messages.TeamId,
        timeout_ms: int,
    ) -> result.Result[_records.JobPhase | None, Unavailable]:
        """Return where a job is, None when it is not known."""
        return self._status(_calls.JobQuery(job_id, team_id), timeout_ms)

    def cancel(
        self,
        job_id: _specs.JobId,
        team_id: messages.TeamId,
        timeout_ms: int,
    ) -> result.Result[_records.JobPhase | None, Unavailable]:
        """Cancel a job; None when it is not known."""
        return self._status(
            _calls.JobCancellation(job_id, team_id), timeout_ms
        )

    def count_waiting(
        self, queue: messages.QueueName, timeout_ms: int
    ) -> result.Result[int, Unavailable]:
        """Return how many jobs of a queue wait for their first task."""
        reply = self._calls.call(_calls.WaitingQuery(queue), timeout_ms)
        return reply.map(lambda count: count.jobs_count)

    def _status(
        self,
        message: _calls.JobSubmission
        | _calls.JobQuery
        | _calls.JobCancellation,
        timeout_ms: int,
    ) -> result.Result[_records.JobPhase | None, Unavailable]:
        return self._calls.call(message, timeout_ms).map(
            lambda status: status.phase
        )
