"""Timing of a leader's work on a state: heartbeats and periodic scans."""

import collections
import collections.abc
import itertools
import statistics
import time

from benchmarks import _state_builder

from dandeliondrum.controller import _context
from dandeliondrum.controller import _leadership
from dandeliondrum.controller import _metrics
from dandeliondrum.controller import _pending
from dandeliondrum import messages
from dandeliondrum import utils

HEARTBEATS_PER_MESSAGE = 32
REPEATS_COUNT = 9


def median_us(
    action: collections.abc.Callable[[], object],
    repeats_count: int = REPEATS_COUNT,
) -> float:
    """Return the median duration of an action in microseconds."""
    times_ns = []
    for _ in range(repeats_count):
        started_ns = time.perf_counter_ns()
        action()
        times_ns.append(time.perf_counter_ns() - started_ns)
    return statistics.median(times_ns) / 1_000


class LeadershipTimer:
    """Times the parts of a leadership on a filled state."""

    def __init__(self, builder: _state_builder.StateBuilder) -> None:
        self._builder = builder
        self._context = _context.Context(
            _state_builder.options(),
            builder.state,
            _state_builder.FakeNode(builder),
            messages.Term(1),
            _metrics.Metrics(),
        )
        self._leadership = _leadership.Leadership(
            self._context, utils.TimerService()
        )

    def measure(self) -> dict[str, float]:
        """Return the figures by name; each name ends in its unit."""
        started_s = time.perf_counter()
        self._leadership._rebuild()
        figures = {'rebuild_ms': (time.perf_counter() - started_s) * 1_000}
        figures.update(self._heartbeats())
        figures.update(self._scans())
        return figures

    def _heartbeats(self) -> dict[str, float]:
        batches = self._batches()
        for batch in batches:
            self._leadership._heartbeats.handle(batch)
        size = statistics.mean(len(one.heartbeats) for one in batches)
        source = itertools.cycle(batches)
        encoded = [messages.encode(one) for one in batches]
        encoded_source = itertools.cycle(encoded)
        reply = self._leadership._heartbeats.handle(batches[0])
        repeats_count = max(300, len(batches))
        bytes_count = statistics.mean(map(len, encoded))
        decode_us = median_us(
            lambda: messages.decode(next(encoded_source)), repeats_count
        )
        handle_us = median_us(
            lambda: self._leadership._heartbeats.handle(next(source)),
            repeats_count,
        )
        encode_us = median_us(lambda: messages.encode(reply), repeats_count)
        total_us = (decode_us + handle_us + encode_us) / size
        return {
            'heartbeat_decode_us': decode_us / size,
            'heartbeat_take_us': handle_us / size,
            'heartbeat_reply_encode_us': encode_us / size,
            'heartbeats_per_s': 1_000_000 / total_us,
            'heartbeat_bytes': bytes_count / size,
            'heartbeat_reply_bytes': len(messages.encode(reply)) / size,
        }

    def _batches(self) -> list[messages.WorkerHeartbeats]:
        """Return one heartbeat per worker, batched as a gateway does."""
        by_worker = collections.defaultdict(list)
        for worker in self._builder.state.workers.values():
            for attempt_id in worker.attempts:
                by_worker[worker.facts.worker_id].append(attempt_id)
        heartbeats = []
        used = messages.Resources(900, 1_000)
        for facts in self._builder.workers:
            running = by_worker[facts.worker_id]
            heartbeats.append(
                messages.WorkerHeartbeat(
                    facts.worker_id,
                    facts.incarnation,
                    tuple(
                        messages.RunningAttempt(attempt_id, used)
                        for attempt_id in running
                    ),
                )
            )
        return [
            messages.WorkerHeartbeats(
                tuple(heartbeats[first : first + HEARTBEATS_PER_MESSAGE])
            )
            for first in range(0, len(heartbeats), HEARTBEATS_PER_MESSAGE)
        ]

    def _scans(self) -> dict[str, float]:
        heartbeats = self._leadership._heartbeats
        figures = {
            'check_us': median_us(heartbeats.check),
            'forget_ended_us': median_us(self._leadership._forget_ended),
            'announce_us': median_us(self._announce),
            'gateway_lost_us': median_us(
                lambda: self._leadership._attempt_reports.gateway_lost(
                    messages.GatewayId('gateway-unknown')
                )
            ),
        }
        waiting_count = 0
        for wanted_count in (1_000, 20_000):
            while waiting_count < wanted_count:
                self._add_waiting_task()
                waiting_count += 1
            figures[f'refuse_overdue_{wanted_count}_waiting_us'] = median_us(
                self._leadership._deadlines.check
            )
        return figures

    def _announce(self) -> None:
        call = messages.AnnounceWorker(self._builder.workers[0])
        self._leadership._heartbeats.announce(call).result()

    def _add_waiting_task(self) -> None:
        spec = self._builder.spec()
        deadline_ms = self._context.now_ms() + 3_600_000
        self._context.add_pending(_pending.PendingEntry(spec, deadline_ms))
