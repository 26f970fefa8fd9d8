"""Gateway for jobs: forwards the requests of callers to the leader."""

import collections.abc
import contextlib
import dataclasses

from returns import result
import structlog

from dandeliondrum.jobs import _adviser_client
from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _leader_calls
from dandeliondrum.jobs import _policy
from dandeliondrum.jobs import _port
from dandeliondrum.jobs import _records
from dandeliondrum.jobs import _specs
from dandeliondrum import messages
from dandeliondrum import utils

# A policy that no leader has confirmed for this long may be outdated. A change
# must be in force 2.5 s after its commit, and a heartbeat with its timeout
# takes up to 0.75 s.
POLICY_AGE_MAX_MS = 1_500

_logger = structlog.get_logger()

Unavailable = _leader_calls.Unavailable


@dataclasses.dataclass(frozen=True)
class GatewayOptions:
    """Identity of a gateway and the controllers that it contacts first."""

    link: _leader_calls.LinkOptions


class JobGateway:
    """Caches the active policy and forwards calls to the leader.

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
        self._rules = _leader_calls.ActivePolicy(decode_policy)
        self._adviser_client = _adviser_client.AdviserClient(adviser)
        self._calls = _leader_calls.LeaderCalls(
            options.link, self._rules, self._adviser_client
        )
        self._resources = contextlib.ExitStack()

    @property
    def policy(self) -> _policy.Policy:
        """The active policy; version 0 if none is known."""
        return self._rules.policy

    def start(self) -> None:
        """Start the thread that connects to the leader."""
        supervisor = utils.Supervisor('job gateway')
        self._resources.callback(self._adviser_client.close)
        self._resources.callback(supervisor.close)
        self._resources.callback(self._calls.link.close)
        supervisor.run('leader link', self._calls.link.run)

    def close(self) -> None:
        """Close the connection to the leader."""
        self._resources.close()

    def has_leader(self) -> bool:
        """Return whether a leader answered recently."""
        return self._calls.link.is_answering()

    def wait_for_policy(self, timeout_ms: int) -> _policy.Policy:
        """Return the active policy, version 0 if none is known.

        A gateway that has just started waits for its first policy for as
        long as a failover usually takes, so that callers need fewer retries
        after a power failure.
        """
        if not self.policy.version:
            left_ms = self._calls.failover_left_ms()
            self._rules.wait_until_known(min(timeout_ms, left_ms))
        return self.policy

    def policy_is_current(self) -> bool:
        """Return whether a leader had no newer policy recently.

        Otherwise the gateway must not reject requests because of the policy.
        """
        age_ms = self._calls.link.since_rules_confirmed_ms()
        return age_ms is not None and age_ms <= POLICY_AGE_MAX_MS

    def set_controllers(
        self,
        controllers: collections.abc.Iterable[
            tuple[messages.ControllerId, str]
        ],
    ) -> None:
        """Replace the controllers among which to look for the leader."""
        self._calls.link.set_controllers(controllers)

    def submit(
        self, spec: _specs.JobSpec, timeout_ms: int
    ) -> result.Result[_records.JobPhase | None, Unavailable]:
        """Submit a job; on success it is committed to the log.

        An overloaded leader refuses a job unless it may have accepted it
        before, which only the leader knows.
        """
        return self._status(_calls.JobSubmission(spec), timeout_ms)

    def query(
        self,
        job_id: _specs.JobId,
        team_id: messages.TeamId,
        timeout_ms: int,
    ) -> result.Result[_records.JobPhase | None, Unavailable]:
        """Return the phase of a job, None if the job is not known."""
        return self.query_status(job_id, team_id, timeout_ms).map(
            lambda status: status.phase
        )

    def query_status(
        self,
        job_id: _specs.JobId,
        team_id: messages.TeamId,
        timeout_ms: int,
    ) -> result.Result[_calls.JobStatus, Unavailable]:
        """Return the phase of a job, and why it can't run now if so."""
        return self._calls.call(_calls.JobQuery(job_id, team_id), timeout_ms)

    def cancel(
        self,
        job_id: _specs.JobId,
        team_id: messages.TeamId,
        timeout_ms: int,
    ) -> result.Result[_records.JobPhase | None, Unavailable]:
        """Cancel a job; return its phase, None if the job is not known."""
        return self._status(
            _calls.JobCancellation(job_id, team_id), timeout_ms
        )

    def count_waiting(
        self, queue: messages.QueueName, timeout_ms: int
    ) -> result.Result[int, Unavailable]:
        """Return how many jobs of a queue have not started any task."""
        reply = self._calls.call(_calls.WaitingQuery(queue), timeout_ms)
        return reply.map(lambda count: count.jobs_count)

    def _status(
        self,
        message: _calls.JobSubmission | _calls.JobCancellation,
        timeout_ms: int,
    ) -> result.Result[_records.JobPhase | None, Unavailable]:
        return self._calls.call(message, timeout_ms).map(
            lambda status: status.phase
        )
