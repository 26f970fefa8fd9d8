"""The operator's policy for jobs: queues, teams and pools of workers."""

import dataclasses
import functools

from dandeliondrum import messages

KeyText = str


@dataclasses.dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """Settings of a queue whose steps need grants from an adviser.

    A call takes ``decide_ms`` plus ``per_worker_ms`` for each worker in it. A
    grant is valid for ``valid_ms``.
    """

    decide_ms: float
    per_worker_ms: float
    valid_ms: int

    def call_ms(self, workers_count: int) -> float:
        """Return the expected duration of a call about this many workers."""
        return self.decide_ms + self.per_worker_ms * workers_count


@dataclasses.dataclass(frozen=True, slots=True)
class QueuePolicy:
    """One queue: how callers address it, and how its jobs are run.

    ``priority`` 0 is the most urgent. ``pool`` names the workers that run its
    tasks. A job fails after ``attempts_max`` failed runs of one task.
    """

    name: messages.QueueName
    host: str
    path_prefix: str
    pool: str
    priority: int
    attempts_max: int
    latency_target_ms: int
    stretch: float
    advice: AdvicePolicy | None = None
    is_open: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TeamPolicy:
    """One team: its keys, its share under contention, and its upper limit.

    An amount of 0 in ``limit`` means that there is no limit.
    """

    team_id: messages.TeamId
    keys: tuple[KeyText, ...]
    share: int
    limit: messages.Resources


@dataclasses.dataclass(frozen=True)
class Policy:
    """The complete policy of one version."""

    version: int = 0
    queues: tuple[QueuePolicy, ...] = ()
    teams: tuple[TeamPolicy, ...] = ()
    pools: tuple[str, ...] = ()

    @functools.cached_property
    def queue_by_name(self) -> dict[messages.QueueName, QueuePolicy]:
        """The queues by name."""
        return {queue.name: queue for queue in self.queues}

    @functools.cached_property
    def team_by_id(self) -> dict[messages.TeamId, TeamPolicy]:
        """The teams by id."""
        return {team.team_id: team for team in self.teams}

    @functools.cached_property
    def _team_by_key(self) -> dict[KeyText, TeamPolicy]:
        return {key: team for team in self.teams for key in team.keys}

    @functools.cached_property
    def _queues_by_host(self) -> dict[str, list[QueuePolicy]]:
        by_host: dict[str, list[QueuePolicy]] = {}
        for queue in sorted(self.queues, key=lambda q: -len(q.path_prefix)):
            by_host.setdefault(queue.host, []).append(queue)
        return by_host

    def team_for_key(self, key: KeyText) -> TeamPolicy | None:
        """Return the team that holds a key."""
        return self._team_by_key.get(key)

    def queue_at(self, host: str, path: str) -> QueuePolicy | None:
        """Return the queue of the host with the longest matching prefix."""
        for queue in self._queues_by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None
