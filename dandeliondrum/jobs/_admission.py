"""Admission control: refuses new jobs while the leader is overloaded.

A leader that lacks processor time finishes its commits, planning rounds and
timers late. As long as it does, new jobs are refused, those of the least
urgent queues first, so that accepted jobs, operators and workers are still
served in time.
"""

import collections
import collections.abc
import random
import threading

# Urgent work has to start within 1.3 s of its submission; the rest is for the
# call to the worker.
START_DELAY_MAX_MS = 1_200
SAMPLE_INTERVAL_MS = 100
# The leader is overloaded once the delay has been too large for this long and
# in this many samples: a burst that is worked off at once is no overload, and
# a process that was not running has no samples.
OVERLOADED_AFTER_MS = 500
OVERLOADED_SAMPLES_MIN = 3
# The overload has ended once the delay has been short and no job has been
# refused for this long.
RECOVERED_AFTER_MS = 10_000
# Least busy time over which the rate of commits is measured.
RATE_WINDOW_MS = 500
RETRY_AFTER_MIN_MS = 1_000
RETRY_AFTER_MAX_MS = 2_000


class Admission:
    """Decides whether new jobs are accepted; thread-safe.

    Decides by the start delay, the expected time from a submission to the
    order to start a task for which a worker is free: the commit of the job,
    the rest of the current planning round, the next round, the commit of the
    assignment and the delay of a timer. The leader is overloaded once this
    has been above ``START_DELAY_MAX_MS`` for a while. Then a job is refused
    as long as the start delay is above the limit of its priority, which is
    ``START_DELAY_MAX_MS`` for the most urgent one and half of it for the
    least urgent one.

    Example::

        admission = Admission()
        admission.sample((0, 1, 2), now_ms)
        retry_after_ms = admission.retry_after_ms(priority=2, now_ms=now_ms)
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._random = random.Random()
        self._last_commit_id = 0
        # Start times of the pending commits, the oldest first.
        self._commits: dict[int, int] = {}
        # Since when commits have been pending, or the last one ended.
        self._busy_since_ms = 0
        # Times from one end of a commit to the next, without idle times, and
        # their sum.
        self._intervals_ms: collections.deque[int] = collections.deque()
        self._busy_ms = 0
        self._round_began_ms: int | None = None
        self._round_ms = 0
        self._sampled_ms: int | None = None
        self._timer_delay_ms = 0
        self._late_since_ms = 0
        self._late_samples_count = 0
        self._limits_ms: dict[int, int] = {}
        self._overloaded_since_ms: int | None = None
        # Last time at which the delay was too large or a job was refused.
        self._late_ms = 0

    def begin_commit(self, now_ms: int) -> int:
        """Record that a commit begins; return an id for its end."""
        with self._lock:
            if not self._commits:
                self._busy_since_ms = now_ms
            self._last_commit_id += 1
            self._commits[self._last_commit_id] = now_ms
            return self._last_commit_id

    def end_commit(self, commit_id: int, now_ms: int) -> None:
        """Record that a commit has ended."""
        with self._lock:
            del self._commits[commit_id]
            intervals_ms = self._intervals_ms
            intervals_ms.append(now_ms - self._busy_since_ms)
            self._busy_ms += intervals_ms[-1]
            while self._busy_ms - intervals_ms[0] >= RATE_WINDOW_MS:
                self._busy_ms -= intervals_ms.popleft()
            self._busy_since_ms = now_ms

    def begin_round(self, now_ms: int) -> None:
        """Record that a planning round begins."""
        with self._lock:
            self._round_began_ms = now_ms

    def end_round(self, now_ms: int) -> None:
        """Record that the planning round has ended."""
        with self._lock:
            if self._round_began_ms is not None:
                self._round_ms = now_ms - self._round_began_ms
            self._round_began_ms = None

    def sample(
        self, priorities: collections.abc.Iterable[int], now_ms: int
    ) -> None:
        """Measure the delay; called every ``SAMPLE_INTERVAL_MS`` by a timer.

        ``priorities`` are those of all queues; 0 is the most urgent.
        """
        with self._lock:
            if self._sampled_ms is not None:
                due_ms = self._sampled_ms + SAMPLE_INTERVAL_MS
                self._timer_delay_ms = now_ms - due_ms
            self._sampled_ms = now_ms
            self._limits_ms = _limits_ms(sorted(set(priorities)))
            self._update_overloaded(self._measure_ms(now_ms), now_ms)

    def retry_after_ms(self, priority: int, now_ms: int) -> int | None:
        """Return when to retry a job of this priority, None to accept it.

        The time grows with the duration of the overload up to a limit, and is
        longer for less urgent jobs. A random part is added, so that callers
        do not all return together.
        """
        if self._overloaded_since_ms is None:
            return None
        with self._lock:
            since_ms = self._overloaded_since_ms
            limit_ms = self._limits_ms.get(priority, START_DELAY_MAX_MS)
            if since_ms is None or self._measure_ms(now_ms) <= limit_ms:
                return None
            self._late_ms = now_ms
        wait_ms = max(RETRY_AFTER_MIN_MS, now_ms - since_ms)
        wait_ms = min(wait_ms, RETRY_AFTER_MAX_MS)
        wait_ms = wait_ms * START_DELAY_MAX_MS // limit_ms
        return wait_ms + self._random.randrange(RETRY_AFTER_MIN_MS)

    def is_overloaded(self) -> bool:
        """Return whether jobs may be refused."""
        return self._overloaded_since_ms is not None

    def start_delay_ms(self, now_ms: int) -> int:
        """Return the expected time from a submission to a start order."""
        with self._lock:
            return self._measure_ms(now_ms)

    def _measure_ms(self, now_ms: int) -> int:
        round_ms = self._round_ms
        if self._round_began_ms is not None:
            round_ms = max(round_ms, now_ms - self._round_began_ms)
        # On average half of the current round is left.
        rounds_ms = round_ms * 3 // 2
        commits_ms = 2 * self._commit_ms(now_ms)
        return commits_ms + rounds_ms + self._timer_delay_ms

    def _commit_ms(self, now_ms: int) -> int:
        """Return the age of the oldest pending commit.

        In an overload, return how long a new commit is expected to take. At
        little load the rate of commits does not tell that.
        """
        if not self._commits:
            return 0
        if self._overloaded_since_ms is None or not self._intervals_ms:
            return now_ms - next(iter(self._commits.values()))
        expected_ms = (
            len(self._commits) * self._busy_ms // len(self._intervals_ms)
        )
        return max(expected_ms, now_ms - self._busy_since_ms)

    def _update_overloaded(self, delay_ms: int, now_ms: int) -> None:
        if delay_ms <= START_DELAY_MAX_MS:
            self._late_samples_count = 0
            if now_ms - self._late_ms >= RECOVERED_AFTER_MS:
                self._overloaded_since_ms = None
            return
        if not self._late_samples_count:
            self._late_since_ms = now_ms
        self._late_samples_count += 1
        self._late_ms = now_ms
        if (
            self._overloaded_since_ms is None
            and self._late_samples_count >= OVERLOADED_SAMPLES_MIN
            and now_ms - self._late_since_ms >= OVERLOADED_AFTER_MS
        ):
            self._overloaded_since_ms = now_ms


def _limits_ms(priorities: list[int]) -> dict[int, int]:
    """Return the longest delay at which jobs of each priority are accepted.

    ``priorities`` begin with the most urgent one.
    """
    last = max(1, len(priorities) - 1)
    return {
        priority: START_DELAY_MAX_MS
        - START_DELAY_MAX_MS // 2 * position // last
        for position, priority in enumerate(priorities)
    }
