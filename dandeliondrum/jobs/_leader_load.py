"""Load of the leader: processor time by part, rounds, and lags."""

import dataclasses
import threading

import structlog

from dandeliondrum.jobs import _metrics
from dandeliondrum import utils

REPORT_INTERVAL_MS = 5_000

_logger = structlog.get_logger()


@dataclasses.dataclass(slots=True)
class _Amounts:
    """What happened since the last report."""

    starts_count: int = 0
    advice_calls_count: int = 0
    rounds_count: int = 0
    rounds_s: float = 0.0
    round_max_s: float = 0.0
    lock_wait_max_s: float = 0.0
    lock_held_max_s: float = 0.0
    fleet_samples_count: int = 0
    fleet_free_share: float = 0.0
    late_steps_max_count: int = 0
    commands_count: int = 0
    commands_s: float = 0.0
    command_max_s: float = 0.0


class LeaderLoad:
    """Collects the load of one term and reports it; thread-safe."""

    def __init__(self, metrics: _metrics.Metrics) -> None:
        self._metrics = metrics
        self._lock = threading.Lock()
        self._amounts = _Amounts()
        self._waiting_steps_count = 0
        self._open_jobs_count = 0
        self._read_at_s = utils.monotonic_ms() / 1000
        self._used_s = metrics.processor_time.read()

    def record_starts(self, count: int) -> None:
        """Record that ``count`` runs were assigned."""
        with self._lock:
            self._amounts.starts_count += count

    def record_advice_call(self) -> None:
        """Record that a call to the adviser was sent."""
        with self._lock:
            self._amounts.advice_calls_count += 1

    def record_round(
        self, round_s: float, lock_wait_s: float, lock_held_s: float
    ) -> None:
        """Record a planning round and its use of the leader's locks."""
        self._metrics.lock_wait_seconds.observe(lock_wait_s)
        self._metrics.lock_held_seconds.observe(lock_held_s)
        with self._lock:
            amounts = self._amounts
            amounts.rounds_count += 1
            amounts.rounds_s += round_s
            amounts.round_max_s = max(amounts.round_max_s, round_s)
            amounts.lock_wait_max_s = max(amounts.lock_wait_max_s, lock_wait_s)
            amounts.lock_held_max_s = max(amounts.lock_held_max_s, lock_held_s)

    def record_waiting(self, steps_count: int, jobs_count: int) -> None:
        """Record the due steps and the open jobs before a round."""
        with self._lock:
            self._waiting_steps_count = steps_count
            self._open_jobs_count = jobs_count

    def record_fleet(
        self, free_cpu_share: float, late_steps_count: int
    ) -> None:
        """Record the free part of the usable workers' CPU before a round.

        ``late_steps_count`` is the number of waiting steps that can't meet
        their objective any more.
        """
        with self._lock:
            amounts = self._amounts
            amounts.fleet_samples_count += 1
            amounts.fleet_free_share += free_cpu_share
            amounts.late_steps_max_count = max(
                amounts.late_steps_max_count, late_steps_count
            )

    def record_command(self, elapsed_s: float) -> None:
        """Record the time from the proposal of a command to its result."""
        self._metrics.command_seconds.observe(elapsed_s)
        with self._lock:
            amounts = self._amounts
            amounts.commands_count += 1
            amounts.commands_s += elapsed_s
            amounts.command_max_s = max(amounts.command_max_s, elapsed_s)

    def report(self) -> None:
        """Log the load since the last report."""
        used_s = self._metrics.processor_time.read()
        now_s = utils.monotonic_ms() / 1000
        with self._lock:
            amounts, self._amounts = self._amounts, _Amounts()
            waiting_steps_count = self._waiting_steps_count
            open_jobs_count = self._open_jobs_count
        before, self._used_s = self._used_s, used_s
        elapsed_s, self._read_at_s = now_s - self._read_at_s, now_s
        by_part = {
            part: value - before.get(part, 0.0)
            for part, value in used_s.items()
        }
        _logger.info(
            'leader load',
            elapsed_s=round(elapsed_s, 2),
            processor_s={
                part: round(value, 3)
                for part, value in sorted(by_part.items())
                if value >= 0.0005
            },
            processor_total_s=round(sum(by_part.values()), 3),
            starts_count=amounts.starts_count,
            rounds_count=amounts.rounds_count,
            round_mean_ms=_mean_ms(amounts.rounds_s, amounts.rounds_count),
            round_max_ms=_ms(amounts.round_max_s),
            lock_wait_max_ms=_ms(amounts.lock_wait_max_s),
            lock_held_max_ms=_ms(amounts.lock_held_max_s),
            commands_count=amounts.commands_count,
            command_mean_ms=_mean_ms(
                amounts.commands_s, amounts.commands_count
            ),
            command_max_ms=_ms(amounts.command_max_s),
            waiting_steps_count=waiting_steps_count,
            open_jobs_count=open_jobs_count,
            advice_calls_count=amounts.advice_calls_count,
            fleet_free_cpu_share=_mean(
                amounts.fleet_free_share, amounts.fleet_samples_count
            ),
            late_steps_max_count=amounts.late_steps_max_count,
        )


def _mean(total: float, count: int) -> float | None:
    return round(total / count, 3) if count else None


def _ms(value_s: float) -> float:
    return round(value_s * 1000, 1)


def _mean_ms(total_s: float, count: int) -> float:
    return _ms(total_s / count) if count else 0.0
