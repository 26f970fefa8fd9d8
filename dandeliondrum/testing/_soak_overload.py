"""A load beyond a cell's capacity, and checks of how the cell bears it.

No faults are injected meanwhile, but the controllers get only a part of their
processor time: less and less, until the load exceeds what they bear. The jobs
need hardly any resources, so that not the workers but the controllers and
gateways are the limit.
"""

import collections.abc
import concurrent.futures
import contextlib
import dataclasses
import json
import math
import threading
import time

from dandeliondrum import jobs
from dandeliondrum.testing import _http
from dandeliondrum.testing import _platform_cell
from dandeliondrum.testing import _soak_callers
from dandeliondrum.testing import _soak_checker
from dandeliondrum.testing import _soak_reports

TASK_CPU = 10
# In each interval, the controllers run for a part of it and are frozen for the
# rest. This part is reduced by a factor until a job is refused.
SLOWED_INTERVAL_S = 0.1
RUNNING_FRACTION_MIN = 0.25
REDUCTION_FACTOR = 0.5
REDUCED_EVERY_S = 1.5
# The load has to exceed the capacity within this time.
EXCEEDED_WITHIN_S = 12
REFUSED_PAUSE_S = 0.3
OPERATOR_PAUSE_S = 0.5
# A second without a response is a failed call for a caller.
REFUSAL_TIME_MAX_S = 1.0
ACKNOWLEDGED_WITHIN_S = 6.0
REPORTED_WITHIN_S = 6.0
# Urgent tasks have to start within this time.
START_TIME_MAX_S = 1.3
STEADY_JOBS_PER_S = 20
STEADY_S = 1.5
STEADY_CALLERS_COUNT = 16
# Lowest share of the old rate, and when it has to be reached again.
SERVED_MIN = 0.9
RECOVERED_AFTER_S = 5.0
# At most this share of the calls may end without a definite reply, or be
# refused late.
LATE_MAX = 0.1


@dataclasses.dataclass(frozen=True)
class LoadReply:
    """The reply to one submission, which was sent once."""

    job_id: jobs.JobId
    status: int
    sent_s: float
    elapsed_s: float
    retry_after: str

    @property
    def accepted(self) -> bool:
        """Whether the job was accepted."""
        return self.status == 200

    @property
    def refused(self) -> bool:
        """Whether the job was refused, so that it must not run."""
        return self.status in (429, 503)


@dataclasses.dataclass(frozen=True)
class OverloadFigures:
    """What callers, operators and workers saw of an overload.

    ``acknowledged_s`` holds how long each document took to be acknowledged,
    None if it was not. Rates are numbers of jobs a second that were accepted
    and started in time.
    """

    replies: tuple[LoadReply, ...]
    acknowledged_s: tuple[float | None, ...]
    unreported_s: float
    rate_before: float
    rate_after: float
    recovered_after_s: float

    def __str__(self) -> str:
        accepted = sum(one.accepted for one in self.replies)
        refused = [one for one in self.replies if one.refused]
        unanswered = len(self.replies) - accepted - len(refused)
        judged = _sent_while_overloaded(self.replies)
        late = sum(not _is_prompt(one) for one in judged)
        refusals_s = sorted(one.elapsed_s for one in refused)
        median_s = refusals_s[len(refusals_s) // 2] if refusals_s else 0.0
        longest_s = max(refusals_s, default=0.0)
        documents = ', '.join(
            'none' if one is None else f'{one:.2f}'
            for one in self.acknowledged_s
        )
        return (
            f'overload: {accepted} accepted, {len(refused)} refused after '
            f'{median_s:.3f} s (median) and {longest_s:.3f} s (longest), '
            f'{unanswered} without a definite reply; {late} of {len(judged)} '
            'sent after the first refusal were late or without one; documents '
            f'acknowledged after {documents} s; reports unanswered for '
            f'at most {self.unreported_s:.1f} s; {self.rate_before:.1f} '
            f'jobs/s before and {self.rate_after:.1f} jobs/s '
            f'{self.recovered_after_s:.1f} s after it'
        )


def check_overload(
    figures: OverloadFigures,
) -> collections.abc.Iterator[str]:
    """Return the violations that the figures of an overload show."""
    replies = figures.replies
    refused = [one for one in replies if one.refused]
    if not any(one.accepted for one in replies):
        yield 'no job was accepted during the overload'
    if not refused:
        yield 'the load did not exceed the capacity: no job was refused'
    for one in refused:
        if not one.retry_after.isdecimal() or int(one.retry_after) < 1:
            yield f'{one.job_id} was refused without a time to retry'
    judged = _sent_while_overloaded(replies)
    late = [one for one in judged if not _is_prompt(one)]
    if len(late) > LATE_MAX * len(judged):
        yield (
            f'{len(late)} of {len(judged)} jobs were refused late or got no '
            'definite reply'
        )
    for seconds in figures.acknowledged_s:
        if seconds is None or seconds > ACKNOWLEDGED_WITHIN_S:
            yield (
                'a valid document was not acknowledged within '
                f'{ACKNOWLEDGED_WITHIN_S:.0f} s during the overload'
            )
    if figures.unreported_s > REPORTED_WITHIN_S:
        yield (
            'reports of a worker were not acknowledged for '
            f'{figures.unreported_s:.1f} s during the overload'
        )
    if figures.rate_after < SERVED_MIN * figures.rate_before:
        yield (
            f'{figures.rate_after:.1f} jobs/s were served '
            f'{figures.recovered_after_s:.1f} s after the overload, '
            f'{figures.rate_before:.1f} jobs/s before it'
        )


def _sent_while_overloaded(
    replies: collections.abc.Collection[LoadReply],
) -> list[LoadReply]:
    """Return the replies to jobs sent after the first one was refused.

    That the load exceeds the capacity shows only once jobs have waited.
    """
    refused_s = min(
        (one.sent_s + one.elapsed_s for one in replies if one.refused),
        default=math.inf,
    )
    return [one for one in replies if one.sent_s >= refused_s]


def _is_prompt(reply: LoadReply) -> bool:
    """Return whether a job was accepted, or refused at once."""
    return reply.accepted or (
        reply.refused and reply.elapsed_s <= REFUSAL_TIME_MAX_S
    )


class Overload:
    """Puts load on a cell without other faults and measures the effects."""

    def __init__(
        self,
        cell: _platform_cell.PlatformCell,
        checker: _soak_checker.InvariantChecker,
        callers: _soak_callers.SoakCallers,
        reporter: _soak_reports.WorkerReporter,
        seed: int,
    ) -> None:
        self._cell = cell
        self._checker = checker
        self._callers = callers
        self._reporter = reporter
        self._seed = seed
        self._lock = threading.Lock()
        self._jobs_count = 0
        # When the first job was refused.
        self._refused_s = math.inf

    def run(self, callers_count: int, length_s: float) -> OverloadFigures:
        """Put load on the cell, and return what was observed.

        The load ends ``length_s`` after the first job was refused.
        """
        rate_before = self._serve_steady_load()
        self._reporter.watch()
        replies, acknowledged_s = self._load(callers_count, length_s)
        ended_s = time.monotonic()
        unreported_s = self._reporter.longest_silence_s()
        while True:
            began_s = time.monotonic() - ended_s
            rate_after = self._serve_steady_load()
            if rate_after >= SERVED_MIN * rate_before:
                break
            if began_s >= RECOVERED_AFTER_S:
                break
        return OverloadFigures(
            replies,
            acknowledged_s,
            unreported_s,
            rate_before,
            rate_after,
            began_s,
        )

    def _load(
        self, callers_count: int, length_s: float
    ) -> tuple[tuple[LoadReply, ...], tuple[float | None, ...]]:
        begin_s = time.monotonic()
        over = threading.Event()

        def loads() -> bool:
            exceeded_s = min(self._refused_s, begin_s + EXCEEDED_WITHIN_S)
            return time.monotonic() < exceeded_s + length_s

        with concurrent.futures.ThreadPoolExecutor(
            callers_count + 2
        ) as executor:
            slowing = executor.submit(self._slow_controllers, over)
            operator = executor.submit(self._change_documents, over)
            sent = [
                executor.submit(self._submit_while, loads, number)
                for number in range(callers_count)
            ]
            try:
                replies = [one for each in sent for one in each.result()]
            finally:
                over.set()
            slowing.result()
            return tuple(replies), operator.result()

    def _slow_controllers(self, over: threading.Event) -> None:
        processes = self._cell.processes
        names = [
            self._cell.controller(number)
            for number in range(len(self._cell.control))
        ]
        running, exceeded = 1.0, False
        reduced_s = time.monotonic()
        while not over.wait(SLOWED_INTERVAL_S * running):
            if running < 1:
                for name in names:
                    processes.freeze(name)
                time.sleep(SLOWED_INTERVAL_S * (1 - running))
                for name in names:
                    processes.thaw(name)
            if self._refused_s < math.inf and not exceeded:
                # The reduction before the last one was sufficient.
                exceeded = True
                running = min(running / REDUCTION_FACTOR, 1.0)
            late = time.monotonic() - reduced_s > REDUCED_EVERY_S
            if late and not exceeded:
                running = max(running * REDUCTION_FACTOR, RUNNING_FRACTION_MIN)
                reduced_s = time.monotonic()

    def _change_documents(
        self, over: threading.Event
    ) -> tuple[float | None, ...]:
        taken_s: list[float | None] = []
        while not over.wait(OPERATOR_PAUSE_S):
            taken_s.append(
                self._callers.acknowledged_after_s(ACKNOWLEDGED_WITHIN_S)
            )
        return tuple(taken_s)

    def _submit_while(
        self, loads: collections.abc.Callable[[], bool], number: int
    ) -> list[LoadReply]:
        replies = []
        with contextlib.closing(_http.HttpClient()) as client:
            while loads():
                reply = self._submit(client, number)
                replies.append(reply)
                if not reply.accepted:
                    time.sleep(REFUSED_PAUSE_S)
        return replies

    def _serve_steady_load(self) -> float:
        """Return how many jobs a second are served at a load that is borne."""
        began_s = time.monotonic()
        sent_s: list[float] = []
        replies: list[concurrent.futures.Future[LoadReply]] = []
        with concurrent.futures.ThreadPoolExecutor(
            STEADY_CALLERS_COUNT
        ) as executor:
            for number in range(int(STEADY_S * STEADY_JOBS_PER_S)):
                due_s = began_s + number / STEADY_JOBS_PER_S
                time.sleep(max(0.0, due_s - time.monotonic()))
                sent_s.append(time.monotonic())
                replies.append(executor.submit(self._submit_new, number))
        time.sleep(max(0.0, sent_s[-1] + START_TIME_MAX_S - time.monotonic()))
        served = 0
        for at_s, one in zip(sent_s, replies, strict=True):
            reply = one.result()
            started_s = self._checker.started_s.get(reply.job_id)
            if reply.accepted and started_s is not None:
                served += started_s - at_s <= START_TIME_MAX_S
        return served / STEADY_S

    def _submit_new(self, number: int) -> LoadReply:
        with contextlib.closing(_http.HttpClient()) as client:
            return self._submit(client, number)

    def _submit(self, client: _http.HttpClient, number: int) -> LoadReply:
        """Submit a job once to a gateway, and register the reply."""
        with self._lock:
            self._jobs_count += 1
            job_id = jobs.JobId(f'{self._seed:08x}ff{self._jobs_count:06x}')
        payload = _soak_checker.payload(TASK_CPU)
        step = {
            'Count': 1,
            'Cpu': TASK_CPU,
            'MemMb': 1,
            'EstimateMs': _soak_callers.TASK_ESTIMATE_MS,
        }
        body = json.dumps({'Spec': payload, 'Steps': [step]}).encode()
        self._checker.submitted(job_id, payload)
        sent_s = time.monotonic()
        reply = self._cell.ask(
            'POST',
            f'/r1/{job_id}',
            body,
            number=number % len(self._cell.callers),
            client=client,
        )
        load_reply = LoadReply(
            job_id,
            reply.status,
            sent_s,
            time.monotonic() - sent_s,
            reply.headers.get('retry-after', ''),
        )
        if load_reply.accepted:
            self._callers.add_accepted(job_id)
        elif load_reply.refused:
            self._checker.refused(job_id)
            with self._lock:
                self._refused_s = min(self._refused_s, time.monotonic())
        if not _is_prompt(load_reply):
            self._checker.log(
                f'{job_id} got status {reply.status} from gateway '
                f'{number % len(self._cell.callers)} after '
                f'{load_reply.elapsed_s:.3f} s'
            )
        return load_reply
