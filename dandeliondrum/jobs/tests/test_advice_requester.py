"""Calls to the adviser through processes that fail."""

import collections
import concurrent.futures
import threading

import pytest
from returns import result

from dandeliondrum import jobs
from dandeliondrum.jobs import _advice_requester
from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _specs
from dandeliondrum.jobs.tests import helpers
from dandeliondrum.jobs.tests import test_leadership
from dandeliondrum import messages
from dandeliondrum import transport

leadership = test_leadership.leadership
node = test_leadership.node

POLICY = jobs.AdvicePolicy(5.0, 0.1, 1_500)
QUEUE = jobs.QueuePolicy(
    helpers.QUEUE, 'h', '/q/', 'pool', 1, 3, 500, 1.5, POLICY
)
ANSWER_MS = 20
TICK_MS = 5
STEPS_COUNT = 200
LIVE_COUNT = 6
GRANTS = jobs.AdviceReply((jobs.Grant(messages.WorkerId('w1'), 't'),), 1_500)


class Client:
    """Connection of a process that fails at once or replies later."""

    def __init__(self, now_ms, failure=None):
        self.closed = threading.Event()
        self.steps = []
        self._now_ms = now_ms
        self._failure = failure
        self._pending = collections.deque()

    def call_async(self, request):
        self.steps.append(request.step)
        future = concurrent.futures.Future()
        if self._failure is None:
            self._pending.append((self._now_ms[0] + ANSWER_MS, future))
        else:
            error = transport.CallError(self._failure)
            future.set_result(result.Failure(error))
        return future

    def answer(self):
        """Answer the calls that are due."""
        while self._pending and self._pending[0][0] <= self._now_ms[0]:
            self._pending.popleft()[1].set_result(result.Success(GRANTS))

    def close(self):
        self.closed.set()


class Round:
    """Rounds of requests on a clock that the test moves."""

    def __init__(self, leadership, node, now_ms, failing):
        self.now_ms = now_ms
        self.term = leadership._term
        self.clients = [Client(now_ms, failing)]
        self.clients += [Client(now_ms) for _ in range(LIVE_COUNT)]
        for number, client in enumerate(self.clients):
            leadership.handle(
                client,
                messages.RegisterGateway(
                    messages.GatewayId(f'g{number}'),
                    messages.Region('gulf'),
                    messages.FailureDomain('d1'),
                    messages.RulesVersion(0),
                ),
            )
            node.confirm()
        self._requester = _advice_requester.AdviceRequester(self.term)
        self._workers = [helpers.available_worker('w1')]
        self._open = {}
        self.team_available = {}

    def request(self, names=()):
        """Request advice for new steps and for those without a grant."""
        for name in names:
            self._open[name] = helpers.demand(name, helpers.step())
        self._requester.request(
            [(demand, QUEUE) for demand in self._open.values()],
            self._workers,
            set(),
            set(),
            self.team_available,
        )

    def advance(self):
        """Move the clock and drop the steps that were granted."""
        self.now_ms[0] += TICK_MS
        for client in self.clients:
            client.answer()
        for name in list(self._open):
            if self.term.advice.granted(_specs.step_name(name, 0)):
                del self._open[name]

    def calls_count(self):
        return sum(len(client.steps) for client in self.clients)

    def open_names(self):
        return list(self._open)


@pytest.fixture
def now_ms(monkeypatch):
    clock = [1_000]
    monkeypatch.setattr(_clock, 'elapsed_ms', lambda: clock[0])
    return clock


def _run(leadership, node, now_ms, failing):
    rounds = Round(leadership, node, now_ms, failing)
    for number in range(STEPS_COUNT):
        rounds.request([f'j{number}'])
        rounds.advance()
    return rounds


@pytest.mark.parametrize(
    'failure', [transport.CallFailure.NOT_SENT, transport.CallFailure.CLOSED]
)
def test_a_process_that_fails_at_once_does_not_draw_all_calls(
    leadership, node, now_ms, failure
):
    rounds = _run(leadership, node, now_ms, failure)
    for _ in range(2 * ANSWER_MS // TICK_MS):
        rounds.request()
        rounds.advance()
    assert rounds.open_names() == []
    assert len(rounds.clients[0].steps) <= 5


def test_a_call_whose_connection_is_lost_is_made_elsewhere_at_once(
    leadership, node, now_ms
):
    rounds = Round(leadership, node, now_ms, transport.CallFailure.NOT_SENT)
    rounds.request(['j0'])
    assert rounds.clients[0].steps == [_specs.step_name('j0', 0)]
    assert sum(len(client.steps) for client in rounds.clients[1:]) == 1


def test_no_process_is_asked_after_the_leader_has_resigned(
    leadership, node, now_ms
):
    rounds = Round(leadership, node, now_ms, transport.CallFailure.NOT_SENT)
    leadership.resign()
    rounds.request(['j0'])
    assert all(not client.steps for client in rounds.clients)


def test_a_step_whose_team_is_at_its_limit_is_asked_about_once(
    leadership, node, now_ms
):
    rounds = Round(leadership, node, now_ms, None)
    rounds.team_available[helpers.TEAM] = messages.Resources(0, 0)
    rounds.request(['j0'])
    for _ in range(2 * ANSWER_MS // TICK_MS):
        rounds.advance()
    assert rounds.calls_count() == 1
    now_ms[0] += 2 * POLICY.valid_ms
    rounds.request(['j0'])
    assert rounds.calls_count() == 1
    rounds.team_available.clear()
    rounds.request(['j0'])
    assert rounds.calls_count() == 2
