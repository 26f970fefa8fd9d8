"""The operator's policy for jobs: queues, teams and pools of workers."""

import dataclasses
import functools

from dandeliondrum import messages

KeyText = str


@dataclasses.dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """An adviser must grant a step its workers.

    A call takes ``decide_ms`` and ``per_worker_ms`` for each worker named; a
    grant holds for ``valid_ms``.
    """

    decide_ms: float
    per_worker_ms: float
    valid_ms: int

    def call_ms(self, workers_count: int) -> float:
        """Return how long a call about so many workers takes."""
        return self.decide_ms + self.per_worker_ms * workers_count


@dataclasses.dataclass(frozen=True, slots=True)
class QueuePolicy:
    """One queue: how callers address it, and how its jobs are run.

    ``priority`` 0 goes first. ``pool`` names the workers that run its tasks.
    ``attempts_max`` counts runs of one task that ended as failed.
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
    """One team: its keys, its share when all is full, and its upper limit.

    An amount of 0 in ``limit`` is no limit.
    """

    team_id: messages.TeamId
    keys: tuple[KeyText, ...]
    share: int
    limit: messages.Resources


@dataclasses.dataclass(frozen=True)
class Policy:
    """What is in force, whole."""

    version: int = 0
    queues: tuple[QueuePolicy, ...] = ()
    teams: tuple[TeamPolicy, ...] = ()
    pools: tuple[str, ...] = ()

    @functools.cached_property
    def queue_by_name(self) -> dict[messages.QueueName, QueuePolicy]:
        """Return the queues by their names."""
        return {queue.name: queue for queue in self.queues}

    @functools.cached_property
    def team_by_id(self) -> dict[messages.TeamId, TeamPolicy]:
        """Return the teams by their ids."""
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
        """Return the queue with the longest prefix that the path has."""
        for queue in self._queues_by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None
