"""Processor time of this process by groups of threads."""

import collections
import collections.abc
import resource
import threading

# Its first field is the processor time of the thread in nanoseconds. The
# thread's clock is no source: where clocks are virtual, it follows the time
# of day.
_THREAD_FILE = '/proc/self/task/{}/schedstat'
_NS_PER_S = 1_000_000_000

UNKNOWN_PART = 'unknown'


class ProcessorTime:
    """Processor seconds since the start of the process, by part; thread-safe.

    ``part_of`` returns the part to which a thread belongs by its name. What
    threads used after their last reading before they exited, and what
    threads without a name in this interpreter used, belongs to
    ``UNKNOWN_PART``.
    """

    def __init__(self, part_of: collections.abc.Callable[[str], str]) -> None:
        self._part_of = part_of
        self._lock = threading.Lock()
        self._by_thread: dict[threading.Thread, float] = {}
        self._by_part: dict[str, float] = collections.defaultdict(float)

    def read(self) -> dict[str, float]:
        """Return the seconds used so far by each part."""
        with self._lock:
            by_thread = {}
            for thread in threading.enumerate():
                used_s = _used_s(thread)
                if used_s is None:
                    continue
                # A thread may change its name and thereby its part.
                self._by_part[self._part_of(thread.name)] += (
                    used_s - self._by_thread.get(thread, 0.0)
                )
                by_thread[thread] = used_s
            self._by_thread = by_thread
            known_s = sum(self._by_part.values())
            unknown_s = max(0.0, _process_used_s() - known_s)
            return {**self._by_part, UNKNOWN_PART: unknown_s}


def _used_s(thread: threading.Thread) -> float | None:
    if thread.native_id is None:
        return None
    try:
        with open(
            _THREAD_FILE.format(thread.native_id), encoding='ascii'
        ) as file:
            return int(file.read().split()[0]) / _NS_PER_S
    except (OSError, ValueError, IndexError):
        # The thread has exited since it was enumerated, or the kernel keeps
        # no such times; its time then counts for UNKNOWN_PART.
        return None


def _process_used_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
