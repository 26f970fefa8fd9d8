"""Processor time of a leader's calls to workers, without planning.

One leader's worker side runs in this process against cheap HTTP workers in
another one. A fake log commits each batch of proposals after a fixed time.
Measured are the takeover (until all workers are usable), an idle leader and
one that starts runs at given rates; the time of the thread that assigns runs
and of the log is left out. Context switches are those of all threads that
had to wait, as a measure of wake-ups. Example::

    python -m benchmarks.bench_worker_calls --workers=176 --rates=0,100,330
"""

import collections
import concurrent.futures
import contextlib
import itertools
import json
import pathlib
import queue
import resource
import sys
import threading
import time
import typing

from benchmarks import _worker_servers

from dandeliondrum import jobs
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _metrics
from dandeliondrum.jobs import _orders
from dandeliondrum.jobs import _state
from dandeliondrum.jobs import _term
from dandeliondrum.jobs import _workers
from dandeliondrum import messages
from dandeliondrum import observability
from dandeliondrum.platform import _http_ports
from dandeliondrum import utils

import fire
from returns import result

COMMIT_S = 0.005
TICK_S = 0.01
TASKS_PER_JOB = 4
TAKEOVER_TIMEOUT_S = 60
DRAIN_S = 2.0
STEP = jobs.StepSpec(TASKS_PER_JOB, messages.Resources(1_000, 10), 1_000)
CAPACITY = messages.Resources(1_000_000, 1_000_000)

Figures = dict[str, typing.Any]


class _FakeNode:
    """A log that commits everything proposed within ``COMMIT_S`` at once."""

    def __init__(self, state: _state.JobsState) -> None:
        self.proposed: collections.Counter[str] = collections.Counter()
        self.thread_s = 0.0
        self._state = state
        self._queue: queue.SimpleQueue[typing.Any] = queue.SimpleQueue()
        self._index = 0

    def is_leading(self) -> bool:
        """Return True; this node always leads."""
        return True

    def propose(self, command: bytes) -> concurrent.futures.Future:
        """Return the outcome of the command once it is applied."""
        done: concurrent.futures.Future = concurrent.futures.Future()
        self._queue.put((command, done))
        return done

    def run(self, stopping: threading.Event) -> None:
        """Apply commands until stopped."""
        while not stopping.is_set():
            with contextlib.suppress(queue.Empty):
                batch = [self._queue.get(timeout=0.1)]
                time.sleep(COMMIT_S)
                with contextlib.suppress(queue.Empty):
                    while True:
                        batch.append(self._queue.get_nowait())
                for command, done in batch:
                    self.proposed['commands'] += 1
                    self.proposed['bytes'] += len(command)
                    done.set_result(result.Success(self.apply(command)))
            self.thread_s = time.thread_time()

    def apply(self, command: bytes) -> typing.Any:
        """Apply a command at once."""
        self._index += 1
        return self._state.apply(self._index, command)


class _Leader:
    """The worker side of a leader."""

    def __init__(self, addresses: list[str]) -> None:
        self.state = _state.JobsState(lambda _: jobs.Policy())
        self.node = _FakeNode(self.state)
        for number, address in enumerate(addresses):
            facts = jobs.WorkerFacts(
                messages.WorkerId(f'i-{number}'),
                address,
                'pool',
                messages.FailureDomain(f'd{number % 3}'),
                messages.Rack(f'r{number % 12}'),
                ('a', f'r{number % 12}'),
                CAPACITY,
                1,
            )
            self.apply(_commands.PutWorker(facts))
        self.port = _http_ports.HttpWorkerPort()
        options = _term.LeaderOptions(
            messages.ControllerId('c1'), 4_000, 6_000, 150_000, 3
        )
        self.term = _term.Term(
            options,
            messages.Term(1),
            self.state,
            self.node,
            self.port,
            None,
            _metrics.Metrics(),
        )
        self._supervisor = utils.Supervisor('bench')
        self.workers = _workers.Workers(self.term, self._supervisor)

    def apply(self, command: typing.Any) -> typing.Any:
        return self.node.apply(messages.encode(command))

    def take_over(self) -> Figures:
        """Start the peers and wait until all workers are usable."""
        self._supervisor.run('log', self.node.run)
        before_s, begin_s = time.process_time(), time.monotonic()
        self.workers.restore()
        peers = self.term.peers.values()
        usable_s: list[float] = []
        threads_max = 0
        while len(usable_s) < len(peers):
            time.sleep(TICK_S)
            elapsed_s = time.monotonic() - begin_s
            threads_max = max(threads_max, threading.active_count())
            count = sum(peer.usable() for peer in peers)
            usable_s += (count - len(usable_s)) * [elapsed_s]
            if elapsed_s > TAKEOVER_TIMEOUT_S:
                raise TimeoutError(f'only {count} workers are usable')
        return {
            'processor_s': round(time.process_time() - before_s, 3),
            'first_usable_s': round(usable_s[0], 3),
            'half_usable_s': round(usable_s[len(usable_s) // 2], 3),
            'all_usable_s': round(usable_s[-1], 3),
            'threads_max': threads_max,
        }

    def close(self) -> None:
        self._supervisor.stopping.set()
        self.workers.close()
        self._supervisor.close()
        self.port.close()


class _Starter:
    """Assigns runs at a steady rate to the usable workers in turn."""

    def __init__(self, leader: _Leader) -> None:
        self._leader = leader
        self._turn = itertools.cycle(list(leader.term.peers))
        self._jobs_count = 0
        self._tasks: collections.deque[jobs.TaskKey] = collections.deque()
        self.thread_s = 0.0

    def run(self, rate: float, seconds: float) -> int:
        begin_s = time.monotonic()
        started_s = time.thread_time()
        count = 0
        while (elapsed_s := time.monotonic() - begin_s) < seconds:
            due = int(rate * elapsed_s) - count
            if due:
                self._start(due)
                count += due
            time.sleep(TICK_S)
        self.thread_s += time.thread_time() - started_s
        return count

    def _start(self, count: int) -> None:
        term, state = self._leader.term, self._leader.state
        runs = []
        with term.lock, state.lock:
            for _ in range(count):
                worker_id = next(self._turn)
                task = self._next_task()
                order = _orders.Order(1, 'x' * 200, '', 'ticket')
                term.peers[worker_id].orders.plan(task, order)
                runs.append(_commands.RunAssignment(task, 1, worker_id))
        groups = tuple((run,) for run in runs)
        outcome = term.commit(_commands.AssignRuns(groups)).unwrap()
        assert all(outcome)
        for run in runs:
            term.peers[run.worker_id].orders.dispatch(run.task)

    def _next_task(self) -> jobs.TaskKey:
        if not self._tasks:
            self._jobs_count += 1
            job_id = jobs.JobId(f'{self._jobs_count:016x}')
            spec = jobs.JobSpec(
                job_id,
                messages.TeamId('t'),
                messages.QueueName('q'),
                'x' * 200,
                (STEP,),
                0,
            )
            self._leader.apply(_commands.SubmitJob(spec))
            self._tasks.extend(
                jobs.TaskKey(job_id, 0, index)
                for index in range(TASKS_PER_JOB)
            )
        return self._tasks.popleft()


def _thread_times() -> dict[str, float]:
    """Return the processor time of the live threads, summed by role."""
    frames = sys._current_frames()
    times: collections.Counter[str] = collections.Counter()
    for thread in threading.enumerate():
        frame = frames.get(thread.ident or 0)
        role = 'other'
        while frame is not None:
            name = frame.f_code.co_name
            stem = pathlib.PurePath(frame.f_code.co_filename).stem
            if stem == '_worker_peer' and name == 'watch':
                role = 'reads'
            elif stem == '_order_sender':
                role = 'orders'
            frame = frame.f_back
        clock = time.pthread_getcpuclockid(thread.ident)
        with contextlib.suppress(OSError):
            times[role] += time.clock_gettime(clock)
    return dict(times)


def _switches_count() -> int:
    """Return how often the threads of this process have waited so far."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_nvcsw


def _measure(
    leader: _Leader,
    starter: _Starter,
    servers: _worker_servers.WorkerServers,
    rate: float,
    seconds: float,
) -> Figures:
    calls, proposed = servers.calls(), leader.node.proposed.copy()
    switches_count = _switches_count()
    process_s, times = time.process_time(), _thread_times()
    starter_s, log_s = starter.thread_s, leader.node.thread_s
    begin_s = time.monotonic()
    starts = starter.run(rate, seconds)
    elapsed_s = time.monotonic() - begin_s
    switches_count = _switches_count() - switches_count
    used_s = time.process_time() - process_s
    others_s = starter.thread_s - starter_s + leader.node.thread_s - log_s
    calls_s = used_s - others_s
    after = _thread_times()
    received = servers.calls()
    figures: Figures = {
        'starts_per_s': rate,
        'cores': round(calls_s / elapsed_s, 3),
        'threads': threading.active_count(),
        'cores_by_role': {
            name: round((value - times.get(name, 0)) / elapsed_s, 3)
            for name, value in after.items()
        },
        'calls_per_s': {
            name: round((count - calls.get(name, 0)) / elapsed_s, 1)
            for name, count in received.items()
        },
        'switches_per_s': round(switches_count / elapsed_s, 1),
        'commands_per_s': round(
            (leader.node.proposed - proposed)['commands'] / elapsed_s, 1
        ),
    }
    if starts:
        figures['ms_per_start'] = round(1000 * calls_s / starts, 3)
        figures['switches_per_start'] = round(switches_count / starts, 1)
    return figures


def main(
    workers: int = 176,
    rates: tuple[float, ...] = (0, 100, 330),
    seconds: float = 10,
    run_ms: int = 1_000,
    out: str = 'bench-out/worker_calls.json',
) -> None:
    """Measure a takeover, then each rate of starts for ``seconds``."""
    path = pathlib.Path(out)
    path.parent.mkdir(parents=True, exist_ok=True)
    with contextlib.ExitStack() as resources:
        stream = resources.enter_context(path.with_suffix('.log').open('w'))
        observability.configure_logging('controller', 'c1', stream=stream)
        servers = resources.enter_context(
            _worker_servers.WorkerServers(workers, run_ms)
        )
        leader = _Leader(servers.addresses)
        resources.callback(leader.close)
        figures: Figures = {
            'python': sys.version.split()[0],
            'workers': workers,
            'takeover': leader.take_over(),
            'phases': [],
        }
        starter = _Starter(leader)
        for rate in rates:
            figures['phases'].append(
                _measure(leader, starter, servers, rate, seconds)
            )
            time.sleep(DRAIN_S)
        open_jobs = len(leader.state.open_jobs)
        figures['open_jobs_at_end'] = open_jobs
    text = json.dumps(figures, indent=1)
    path.write_text(text + '\n')
    print(text)


if __name__ == '__main__':
    fire.Fire(main)
