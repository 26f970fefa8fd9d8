"""Simulated cell around one scheduler, on a virtual clock.

Commands are applied to the replicated state at once, workers run tasks for
their durations, and processes answer advice calls. Only the scheduler is
real, so its processor time can be measured without network, log or threads.
"""

import collections
import concurrent.futures
import dataclasses
import heapq
import itertools
import random
import threading
import time
import typing
from unittest import mock

from returns import result

from dandeliondrum import jobs
from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _demands
from dandeliondrum.jobs import _metrics
from dandeliondrum.jobs import _orders
from dandeliondrum.jobs import _scheduler
from dandeliondrum.jobs import _state
from dandeliondrum.jobs import _term
from dandeliondrum import messages
from dandeliondrum import transport

POOL = 'pool'
HOST = 'host'
RACK_SIZE = 8
WORKER_CPU_MILLICORES = 32_000
WORKER_MEMORY_MB = 65_536
# Time until a command is applied, the delay of the reports of workers, the
# time to stop a run, and the time a call to the adviser takes beyond its work.
COMMIT_MS = 12
REPORT_MS = 40
STOP_MS = 300
CALL_OVERHEAD_MS = 25


@dataclasses.dataclass(frozen=True)
class JobKind:
    """A kind of jobs; amounts are means.

    ``grants`` is the fraction of workers that the adviser grants.
    """

    name: str
    priority: int
    jobs_per_s: float
    steps_count: float
    tasks_count: float
    run_ms: float
    cpu_millicores: float
    memory_mb: float
    gangs: float
    checkpoints: float
    advice: jobs.AdvicePolicy
    grants: float


@dataclasses.dataclass(frozen=True)
class Load:
    """The size of a cell and what it is asked to run.

    With ``round_ms`` each round takes this time of the virtual clock, and the
    pause follows from it, which makes the simulation repeatable; otherwise a
    round takes its processor time.
    """

    workers_count: int
    gateways_count: int
    kinds: tuple[JobKind, ...]
    round_ms: float | None


@dataclasses.dataclass
class Totals:
    """What a simulation did and how long the scheduler's thread worked."""

    virtual_ms: float = 0.0
    rounds_count: int = 0
    starts_count: int = 0
    jobs_count: int = 0
    jobs_started_count: int = 0
    first_start_ms: float = 0.0
    advice_calls_count: int = 0
    preempted_count: int = 0
    round_cpu_s: float = 0.0
    round_max_s: float = 0.0


class Simulation:
    """One leader's scheduler between simulated callers and workers."""

    def __init__(self, load: Load, seed: int) -> None:
        self.totals = Totals()
        self._stopping = threading.Event()
        self._load = load
        self._random = random.Random(seed)
        self._events: list[
            tuple[float, int, typing.Callable[..., object], tuple[object, ...]]
        ] = []
        self._sequence = itertools.count()
        self._job_numbers = itertools.count()
        self._now_ms = 1_000_000.0
        self._index = 0
        self._apply_cpu_s = 0.0
        self._accepted_ms: dict[str, float] = {}
        self._ending: set[tuple[jobs.TaskKey, int]] = set()
        self._free_at_ms: collections.Counter[str] = collections.Counter()
        self.state = _state.JobsState(lambda _document: self._policy())
        self.term = self._make_term()
        self.scheduler = _scheduler.Scheduler(self.term)
        self._apply(_commands.PutPolicy(1, b'document'))
        for number in range(load.workers_count):
            self._add_worker(number)

    def run(self, virtual_ms: float) -> None:
        """Advance the virtual clock, running rounds like the scheduler."""
        with mock.patch.object(
            _clock, 'elapsed_ms', lambda: int(self._now_ms)
        ):
            self._run(virtual_ms)

    def lock_held_s(self) -> float:
        """Return for how long rounds held the leader's locks in all."""
        name = 'dandeliondrum_jobs_round_lock_held_seconds_sum'
        return self.term.metrics.registry.get_sample_value(name) or 0.0

    def waiting_steps_count(self) -> int:
        """Return how many due steps have waiting tasks."""
        return sum(1 for _ in _demands.open_demands(self.state))

    def _run(self, virtual_ms: float) -> None:
        began_ms = self._now_ms
        for kind in self._load.kinds:
            self._submit_next(kind)
        while self._now_ms - began_ms < virtual_ms:
            if not self.term.round_requested.is_set():
                self._advance(_scheduler.ROUND_MAX_MS, until_requested=True)
            self.term.round_requested.clear()
            used_ms = self._round() * 1000
            fixed_ms = self._load.round_ms
            if fixed_ms is None:
                self._advance(used_ms + self.scheduler.pause_ms())
            else:
                pause_ms = max(_scheduler.ROUND_MIN_MS, fixed_ms)
                self._advance(fixed_ms + pause_ms)
        self.totals.virtual_ms += self._now_ms - began_ms

    def _round(self) -> float:
        """Run a round; return the seconds its thread worked."""
        totals = self.totals
        self._apply_cpu_s = 0.0
        starts_count = totals.starts_count
        started_s = time.thread_time()
        self.scheduler.run_round(self._stopping)
        used_s = time.thread_time() - started_s - self._apply_cpu_s
        totals.rounds_count += 1
        totals.round_cpu_s += used_s
        totals.round_max_s = max(totals.round_max_s, used_s)
        self._send_orders()
        if totals.starts_count > starts_count:
            self._advance(COMMIT_MS)
        return used_s

    def _advance(
        self, duration_ms: float, until_requested: bool = False
    ) -> None:
        until_ms = self._now_ms + duration_ms
        while self._events and self._events[0][0] <= until_ms:
            self._now_ms, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)
            if until_requested and self.term.round_requested.is_set():
                return
        self._now_ms = until_ms

    def _after(
        self,
        delay_ms: float,
        callback: typing.Callable[..., object],
        *arguments: object,
    ) -> None:
        due_ms = self._now_ms + delay_ms
        entry = (due_ms, next(self._sequence), callback, arguments)
        heapq.heappush(self._events, entry)

    # Callers.

    def _submit_next(self, kind: JobKind) -> None:
        delay_ms = self._random.expovariate(kind.jobs_per_s) * 1000
        self._after(delay_ms, self._submit, kind)

    def _submit(self, kind: JobKind) -> None:
        self._submit_next(kind)
        job_id = jobs.JobId(f'j{next(self._job_numbers)}')
        steps_count = self._amount(kind.steps_count, 0.4)
        steps = tuple(self._step(kind, at) for at in range(steps_count))
        spec = jobs.JobSpec(
            job_id,
            messages.TeamId(f'team{self._random.randrange(8)}'),
            messages.QueueName(kind.name),
            'payload',
            steps,
            int(self._now_ms),
        )
        self._accepted_ms[job_id] = self._now_ms
        self.totals.jobs_count += 1
        self._apply(_commands.SubmitJob(spec))
        self.term.round_requested.set()

    def _step(self, kind: JobKind, position: int) -> jobs.StepSpec:
        gang = self._random.random() < kind.gangs
        return jobs.StepSpec(
            self._amount(kind.tasks_count, 0.8),
            messages.Resources(
                self._amount(kind.cpu_millicores, 0.4),
                self._amount(kind.memory_mb, 0.5),
            ),
            expected_run_ms=self._amount(kind.run_ms, 0.5),
            after=(position - 1,) if position else (),
            gang=gang,
            checkpointing=self._random.random() < kind.checkpoints,
        )

    def _amount(self, mean: float, spread: float) -> int:
        value = mean * self._random.lognormvariate(-(spread**2) / 2, spread)
        return max(1, round(min(value, 3 * mean)))

    # Workers.

    def _add_worker(self, number: int) -> None:
        worker_id = messages.WorkerId(f'w{number}')
        rack = f'rack{number // RACK_SIZE}'
        facts = jobs.WorkerFacts(
            worker_id,
            '127.0.0.1:1',
            POOL,
            messages.FailureDomain('d1'),
            messages.Rack(rack),
            ('a' if number % 2 else 'b', rack),
            messages.Resources(WORKER_CPU_MILLICORES, WORKER_MEMORY_MB),
            1,
        )
        self._apply(_commands.PutWorker(facts))
        self.term.peers[worker_id] = typing.cast(typing.Any, _Peer(facts))

    def _send_orders(self) -> None:
        for peer in self.term.peers.values():
            while (item := peer.orders.next(0)) is not None:
                match item:
                    case _orders.Stop(task, run):
                        self.totals.preempted_count += 1
                        self._end_after(
                            STOP_MS, task, run, jobs.RunOutcome.LOST
                        )
                    case task:
                        self._start(peer, task)

    def _start(self, peer: typing.Any, task: jobs.TaskKey) -> None:
        record = self.state.jobs[task.job_id].task(task)
        assert record is not None
        self.totals.starts_count += 1
        accepted_ms = self._accepted_ms.pop(task.job_id, None)
        if accepted_ms is not None:
            self.totals.jobs_started_count += 1
            self.totals.first_start_ms += self._now_ms - accepted_ms
        step = self.state.jobs[task.job_id].spec.steps[task.step]
        run_ms = step.expected_run_ms * (0.8 + 0.4 * self._random.random())
        if step.gang:
            run_ms = step.expected_run_ms
        order = peer.orders.get(task, record.run)
        peer.orders.settle(order, 1)
        self._after(REPORT_MS, peer.orders.mark_listed, task, order.run, '')
        self._after(
            run_ms + REPORT_MS,
            self._end_after,
            0,
            task,
            record.run,
            jobs.RunOutcome.DONE,
        )

    def _end_after(
        self,
        delay_ms: float,
        task: jobs.TaskKey,
        run: int,
        outcome: jobs.RunOutcome,
    ) -> None:
        if (task, run) not in self._ending:
            self._ending.add((task, run))
            self._after(delay_ms, self._end, task, run, outcome)

    def _end(
        self, task: jobs.TaskKey, run: int, outcome: jobs.RunOutcome
    ) -> None:
        self._ending.discard((task, run))
        record = self.state.jobs[task.job_id].task(task)
        if record is None or record.run != run or record.worker_id is None:
            return
        orders = self.term.peers[record.worker_id].orders
        self._apply(_commands.EndRuns((jobs.RunEnd(task, run, outcome),)))
        orders.forget(task, run)
        if self.state.jobs[task.job_id].phase.ended():
            self._accepted_ms.pop(task.job_id, None)
        self.term.round_requested.set()

    # The log, the adviser and the rest of the leader.

    def _make_term(self) -> _term.Term:
        options = jobs.LeaderOptions(
            messages.ControllerId('c1'), 4_500, 6_000, 60_000, 3
        )
        term = _term.Term(
            options,
            messages.Term(1),
            self.state,
            typing.cast(typing.Any, _Node(self._propose)),
            typing.cast(typing.Any, None),
            typing.cast(typing.Any, None),
            _metrics.Metrics(),
        )
        for number in range(self._load.gateways_count):
            gateway_id = messages.GatewayId(f'g{number}')
            connection = _Connection(gateway_id, self._ask)
            term.sessions.add(
                transport.Session(
                    typing.cast(typing.Any, connection),
                    gateway_id,
                    term.sessions.next_number(),
                )
            )
            term.adviser_clients.add(gateway_id)
        return term

    def _policy(self) -> jobs.Policy:
        return jobs.Policy(
            1,
            tuple(
                jobs.QueuePolicy(
                    messages.QueueName(kind.name),
                    HOST,
                    f'/{kind.name}/',
                    POOL,
                    kind.priority,
                    4,
                    1_000,
                    2.0,
                    kind.advice,
                )
                for kind in self._load.kinds
            ),
            (),
            (POOL,),
        )

    def _propose(
        self, command: bytes
    ) -> 'concurrent.futures.Future[result.Result[typing.Any, typing.Any]]':
        future: concurrent.futures.Future[typing.Any] = (
            concurrent.futures.Future()
        )
        started_s = time.thread_time()
        self._index += 1
        value = self.state.apply(self._index, command)
        self._apply_cpu_s += time.thread_time() - started_s
        future.set_result(result.Success(value))
        return future

    def _apply(self, command: typing.Any) -> None:
        self._index += 1
        self.state.apply(self._index, messages.encode(command))

    def _ask(
        self, gateway_id: str, request: _calls.AdviceRequest
    ) -> 'concurrent.futures.Future[typing.Any]':
        self.totals.advice_calls_count += 1
        future: concurrent.futures.Future[typing.Any] = (
            concurrent.futures.Future()
        )
        job_id = jobs.JobId(request.step.split('.')[0])
        queue = self.state.jobs[job_id].spec.queue
        kind = next(one for one in self._load.kinds if one.name == queue)
        begin_ms = max(self._now_ms, self._free_at_ms[gateway_id])
        call_ms = kind.advice.call_ms(len(request.worker_ids))
        self._free_at_ms[gateway_id] = begin_ms + call_ms
        self._after(
            begin_ms + call_ms + CALL_OVERHEAD_MS - self._now_ms,
            self._answer,
            request,
            kind,
            future,
        )
        return future

    def _answer(
        self,
        request: _calls.AdviceRequest,
        kind: JobKind,
        future: 'concurrent.futures.Future[typing.Any]',
    ) -> None:
        grants = tuple(
            jobs.Grant(worker_id, f'{request.step}/{worker_id}')
            for worker_id in request.worker_ids
            if self._granted(request.step, worker_id, kind.grants)
        )
        reply = jobs.AdviceReply(grants, kind.advice.valid_ms)
        future.set_result(result.Success(reply))

    def _granted(self, step: str, worker_id: str, fraction: float) -> bool:
        return random.Random(f'{step}/{worker_id}').random() < fraction


class _Node:
    """Log of which the proposals are applied at once."""

    def __init__(self, propose: typing.Callable[[bytes], object]) -> None:
        self.propose = propose

    def is_leading(self) -> bool:
        return True


class _Connection:
    """Connection of a gateway that answers advice calls."""

    def __init__(
        self,
        gateway_id: messages.GatewayId,
        ask: typing.Callable[[str, _calls.AdviceRequest], object],
    ) -> None:
        self.closed = threading.Event()
        self._gateway_id = gateway_id
        self._ask = ask

    def call_async(self, request: _calls.AdviceRequest) -> object:
        return self._ask(self._gateway_id, request)


class _Peer:
    """Worker that always answers."""

    def __init__(self, facts: _commands.WorkerFacts) -> None:
        self.facts = facts
        self.lock = threading.RLock()
        self.orders = _orders.OrderBook(self.lock)

    def usable(self) -> bool:
        with self.lock:
            return _clock.elapsed_ms() >= 0

    def list_age_ms(self) -> int:
        return 0
