"""Latency objectives of jobs, as the latest times at which steps may start."""

import collections.abc

from dandeliondrum.jobs import _policy
from dandeliondrum.jobs import _records
from dandeliondrum.jobs import _specs


def slack_ms(
    steps: collections.abc.Sequence[_specs.StepSpec],
    queue: _policy.QueuePolicy,
) -> list[int | None]:
    """Return for each step when it has to start, in ms after submission.

    A job should end within ``stretch`` times its longest chain of steps and
    ``latency_target_ms`` more. A step that starts later than its slack misses
    that even if the rest of its chain runs without waiting. There is no limit
    for endless steps and for queues without a latency target.

    Example: two steps of 1 s, the second after the first, with a stretch of 2
    and a target of 500 ms, have 2,500 and 3,500 ms.
    """
    if not queue.latency_target_ms:
        return [None] * len(steps)
    chains_ms = _chains_ms(steps)
    limit_ms = _limit_ms(chains_ms, queue)
    return [
        None if step.endless else limit_ms - chain_ms
        for step, chain_ms in zip(steps, chains_ms, strict=True)
    ]


def objective_ms(
    steps: collections.abc.Sequence[_specs.StepSpec],
    queue: _policy.QueuePolicy,
) -> int | None:
    """Return when a job should have ended, in ms after its submission."""
    if not queue.latency_target_ms:
        return None
    return _limit_ms(_chains_ms(steps), queue)


def _limit_ms(chains_ms: list[int], queue: _policy.QueuePolicy) -> int:
    return int(queue.stretch * max(chains_ms)) + queue.latency_target_ms


def _chains_ms(steps: collections.abc.Sequence[_specs.StepSpec]) -> list[int]:
    """Return for each step the longest chain of steps that it begins."""
    chains_ms = [step.expected_run_ms for step in steps]
    for position in range(len(steps) - 1, -1, -1):
        for before in steps[position].after:
            chains_ms[before] = max(
                chains_ms[before],
                steps[before].expected_run_ms + chains_ms[position],
            )
    return chains_ms


class SubmissionTimes:
    """Submission times of open jobs, on the clock of this process.

    For a job that is accepted while this process leads, its own clock counts:
    the time of day of gateways differs between VMs and may jump. The age of
    older jobs is known only by the time of day. Not thread-safe.
    """

    def __init__(self) -> None:
        self._submitted_ms: dict[_specs.JobId, int] | None = None

    def update(
        self,
        open_jobs: collections.abc.Mapping[_specs.JobId, _records.JobRecord],
        now_ms: int,
        unix_ms: int,
    ) -> None:
        """Note the jobs that are open now, at the start of each round.

        ``now_ms`` is the time on this process's clock and ``unix_ms`` the
        time of day, in ms since 1970.
        """
        known = self._submitted_ms
        if known is None:
            self._submitted_ms = {
                job_id: now_ms - max(0, unix_ms - job.spec.submitted_ms)
                for job_id, job in open_jobs.items()
            }
            return
        self._submitted_ms = {
            job_id: known.get(job_id, now_ms) for job_id in open_jobs
        }

    def add(self, job_id: _specs.JobId, now_ms: int) -> None:
        """Note a job that was accepted just now."""
        if self._submitted_ms is not None:
            self._submitted_ms.setdefault(job_id, now_ms)

    def submitted_ms(self, job_id: _specs.JobId) -> int:
        """Return when an open job was submitted, on this process's clock."""
        return (self._submitted_ms or {})[job_id]
