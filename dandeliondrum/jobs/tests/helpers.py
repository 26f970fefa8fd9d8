"""Factories for policies, jobs and workers, and a state machine for tests."""

import concurrent.futures
import dataclasses
import json
import threading

from returns import result

from dandeliondrum import consensus
from dandeliondrum import jobs
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _leadership
from dandeliondrum.jobs import _metrics
from dandeliondrum.jobs import _orders
from dandeliondrum.jobs import _planner
from dandeliondrum.jobs import _state
from dandeliondrum.jobs import _term
from dandeliondrum import messages
from dandeliondrum import testing
from dandeliondrum import utils

TEAM = messages.TeamId('harbour')
QUEUE = messages.QueueName('figuring')
NO_LIMIT = messages.Resources(0, 0)


def decode_policy(document):
    """Return the policy that :func:`document` wrote."""
    fields = json.loads(document)
    advice = None
    if fields.get('advised'):
        advice = jobs.AdvicePolicy(5.0, 0.1, 1_500)
    return jobs.Policy(
        fields['version'],
        (jobs.QueuePolicy(QUEUE, 'h', '/q/', 'pool', 1, 3, 500, 1.5, advice),),
        (jobs.TeamPolicy(TEAM, ('key',), 1, NO_LIMIT),),
        ('pool',),
    )


def queue(stretch=1.5, latency_target_ms=500):
    """Return the policy of a queue with a latency objective."""
    return jobs.QueuePolicy(
        QUEUE, 'h', '/q/', 'pool', 1, 3, latency_target_ms, stretch
    )


def document(version=1, advised=False):
    """Return an operator's document."""
    return json.dumps({'version': version, 'advised': advised}).encode()


def step(tasks_count=1, cpu=1_000, **more):
    """Return a step."""
    return jobs.StepSpec(tasks_count, messages.Resources(cpu, 10), **more)


def job(name, *steps, submitted_ms=0):
    """Return a job."""
    return jobs.JobSpec(
        jobs.JobId(name), TEAM, QUEUE, 'payload', steps, submitted_ms
    )


def facts(worker_id, cpu=4_000, **more):
    """Return a worker."""
    known = jobs.WorkerFacts(
        messages.WorkerId(worker_id),
        f'{worker_id}:1',
        'pool',
        messages.FailureDomain('d1'),
        messages.Rack('r1'),
        ('a', 'r1'),
        messages.Resources(cpu, 1_000),
        1,
    )
    return dataclasses.replace(known, **more)


def demand(name, spec, indexes=None, **more):
    """Return a demand for the tasks of a step."""
    known = _planner.Demand(
        name,
        0,
        spec,
        TEAM,
        'pool',
        1,
        0,
        tuple(range(spec.tasks_count)) if indexes is None else indexes,
    )
    return dataclasses.replace(known, **more)


def available_worker(worker_id, cpu=4_000, **more):
    """Return a worker with 4 processors and ``cpu`` millicores free."""
    known = _planner.AvailableWorker(
        worker_id,
        'pool',
        'r1',
        frozenset({'a'}),
        messages.Resources(cpu, 1_000),
        messages.Resources(4_000, 1_000),
    )
    return dataclasses.replace(known, **more)


class Machine:
    """A state machine to which commands are applied one by one."""

    def __init__(self, workers=('w1',)):
        self.state = _state.JobsState(decode_policy)
        self.index = 0
        self(_commands.PutPolicy(1, document()))
        for worker_id in workers:
            self(_commands.PutWorker(facts(worker_id)))

    def __call__(self, command):
        self.index += 1
        return self.state.apply(self.index, messages.encode(command))

    def assign(self, task, run=1, worker_id='w1'):
        """Assign one run; return whether the state accepted it."""
        assignment = _commands.RunAssignment(
            jobs.parse_task_key(task), run, messages.WorkerId(worker_id)
        )
        return self(_commands.AssignRuns(((assignment,),)))[0]

    def begin(self, name):
        """Record that a worker has started a run of a job."""
        self(_commands.EndRuns((), (jobs.JobId(name),)))

    def end(self, task, run=1, outcome=jobs.RunOutcome.DONE, checkpoint=''):
        """Record the end of a run."""
        key = jobs.parse_task_key(task)
        self(_commands.EndRuns((jobs.RunEnd(key, run, outcome, checkpoint),)))

    def task(self, text):
        """Return the record of a task."""
        key = jobs.parse_task_key(text)
        return self.state.jobs[key.job_id].task(key)

    def phase(self, name):
        """Return the phase of a job."""
        return self.state.jobs[name].phase


class LocalNode:
    """Log of one controller that applies commands to a state machine.

    While ``holds`` is set, proposals stay pending until :meth:`release`.
    With ``refuses``, they are never committed.
    """

    def __init__(self, machine):
        self.machine = machine
        self.holds = False
        self.refuses = False
        self.commands = []
        self._pending = []

    def status(self):
        return consensus.NodeStatus(
            'c1', consensus.Role.LEADER, 1, 'c1', True, 1, 1, 1, 0, 'd', ()
        )

    def propose(self, command):
        future = concurrent.futures.Future()
        self.commands.append(messages.decode(command).unwrap())
        if self.refuses:
            error = consensus.ProposeError(
                consensus.ProposeFailure.OVERLOADED, never_committed=True
            )
            future.set_result(result.Failure(error))
            return future
        self._pending.append((self.commands[-1], future))
        if not self.holds:
            self.release()
        return future

    def release(self, count=None):
        """Apply the pending commands, or the first ``count``, in order."""
        pending = self._pending[:count]
        self._pending = self._pending[len(pending) :]
        for command, future in pending:
            future.set_result(result.Success(self.machine(command)))

    def is_leading(self):
        return True

    def confirm_leadership(self):
        return utils.completed_future(result.Success(None))


def new_leadership(machine, node, kept_ms=60_000):
    """Return the components of a leader without workers."""
    return _leadership.Leadership(
        jobs.LeaderOptions(
            messages.ControllerId('c1'), 1_000, 1_500, kept_ms, 3
        ),
        messages.Term(1),
        machine.state,
        node,
        testing.FakeFleet([]),
        None,
        _metrics.Metrics(),
        utils.TimerService(),
    )


def new_term(node, port=None):
    """Return the state of a leader whose log is ``node``."""
    return _term.Term(
        jobs.LeaderOptions(
            messages.ControllerId('c1'), 1_000, 1_500, 60_000, 1
        ),
        messages.Term(1),
        node.machine.state,
        node,
        port,
        None,
        _metrics.Metrics(),
    )


def order_book():
    """Return the orders of a worker that has none."""
    return _orders.OrderBook(threading.RLock())


def pending_proposal():
    """Return the future of a command that is not applied yet."""
    return concurrent.futures.Future()
