"""The leader during one term: its components and the calls to them."""

import collections
import concurrent.futures
import contextlib
import json
import threading
import typing

from returns import result
import structlog

from dandeliondrum import consensus
from dandeliondrum.jobs import _admission
from dandeliondrum.jobs import _adviser_client
from dandeliondrum.jobs import _audit
from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _domain_orders
from dandeliondrum.jobs import _leader_load
from dandeliondrum.jobs import _leader_options
from dandeliondrum.jobs import _metrics
from dandeliondrum.jobs import _port
from dandeliondrum.jobs import _records
from dandeliondrum.jobs import _replies
from dandeliondrum.jobs import _scheduler
from dandeliondrum.jobs import _specs
from dandeliondrum.jobs import _speed_refresher
from dandeliondrum.jobs import _state
from dandeliondrum.jobs import _term
from dandeliondrum.jobs import _voters
from dandeliondrum.jobs import _workers
from dandeliondrum import messages
from dandeliondrum import transport
from dandeliondrum import utils

CLEANUP_INTERVAL_MS = 5_000
JOINS_RETRY_MS = 250

_logger = structlog.get_logger()

_Reply = concurrent.futures.Future[typing.Any]

_CONTROLLERS_ARE_JOINING = messages.CallFailed(
    'controllers are joining', True, JOINS_RETRY_MS
)


class Leadership:
    """The components that are active while a controller leads.

    Their state is rebuilt from the replicated state and from the runs that
    workers list, and discarded when leadership is lost.
    """

    def __init__(
        self,
        options: _leader_options.LeaderOptions,
        number: messages.Term,
        state: _state.JobsState,
        node: consensus.Node,
        port: _port.WorkerPort,
        adviser_client: _adviser_client.AdviserClient,
        metrics: _metrics.Metrics,
        timers: utils.TimerService,
    ) -> None:
        self._term = _term.Term(
            options, number, state, node, port, adviser_client, metrics
        )
        self._timers = timers
        self._resources = contextlib.ExitStack()
        self._supervisor = utils.Supervisor('leadership')
        self._workers = _workers.Workers(self._term, self._supervisor)
        self._audit = _audit.Audit(self._term, self._workers)
        self._documents = transport.DocumentSender(self._newest_document)
        self._scheduler = _scheduler.Scheduler(self._term)
        self._speed_refresher = _speed_refresher.SpeedRefresher(self._term)
        self._voters = _voters.Voters(node, options.voters_count)
        self._ended_ms: dict[_specs.JobId, int] = {}
        # When this leader first knew of early cancellings up to a log index.
        self._early_cancel_marks: collections.deque[tuple[int, int]] = (
            collections.deque()
        )
        # How many submissions of a job are being committed.
        self._submitting: collections.Counter[_specs.JobId] = (
            collections.Counter()
        )
        self._submitting_lock = threading.Lock()
        # Keeps the pool of the adviser's clients in step with the sessions.
        self._registration_lock = threading.RLock()

    def open(self) -> None:
        """Start the peers of all known workers, then the scheduler."""
        term = self._term
        self._resources.callback(self._supervisor.close)
        self._resources.callback(self._workers.close)
        self._resources.callback(term.round_requested.set)
        self._resources.callback(term.new_jobs.put, None)
        term.adviser_clients.add(term.options.controller_id)
        self._workers.restore()
        self._supervisor.run('scheduler', self._scheduler.run)
        self._supervisor.run('speeds', self._speed_refresher.run)
        for interval_ms, callback in (
            (_workers.CHECK_INTERVAL_MS, self._workers.check),
            (_workers.STARTS_INTERVAL_MS, self._workers.commit_starts),
            (_audit.INTERVAL_MS, self._audit.check),
            (_voters.CHECK_INTERVAL_MS, self._voters.check),
            (CLEANUP_INTERVAL_MS, self._forget_ended),
            (_leader_load.REPORT_INTERVAL_MS, term.load.report),
            (_admission.SAMPLE_INTERVAL_MS, self._sample_start_delay),
        ):
            timer = self._timers.every(interval_ms, callback)
            self._resources.callback(timer.cancel)

    def resign(self) -> None:
        """Stop scheduling and close the connections of registered processes.

        Those processes then look for the next leader. An exception of one
        step is raised after the others.
        """
        self._supervisor.stopping.set()
        with contextlib.ExitStack() as steps:
            steps.callback(self._term.sessions.close)
            steps.callback(self._term.adviser_clients.clear)
            steps.callback(self._voters.close)
            steps.callback(self._workers.close)

    def close(self) -> None:
        """Wait for all threads, some of which wait for replies of workers."""
        with self._resources:
            self.resign()

    def handle(
        self, connection: transport.Connection | None, message: typing.Any
    ) -> typing.Any:
        """Handle a call; return the reply or a future of it."""
        if isinstance(message, messages.RegisterGateway):
            return self._register(connection, message)
        if self._term.node.is_leading():
            return self._handle_as_leader(connection, message)
        return self._handle_if_confirmed(connection, message)

    def acknowledge(
        self, report: _calls.WorkerReport
    ) -> _calls.WorkerNoted | None:
        """Return the reply to a report that needs no waiting, else None."""
        if not self._term.node.is_leading():
            return None
        return self._workers.acknowledge(report)

    def _handle_if_confirmed(
        self, connection: transport.Connection | None, message: typing.Any
    ) -> _Reply:
        """Handle a call once a quorum has confirmed the leadership.

        The contact with the quorum may be late for a moment only. To refuse
        calls then would make all gateways search for a leader.
        """

        def reply(
            outcome: result.Result[typing.Any, consensus.ProposeError],
        ) -> typing.Any:
            if isinstance(outcome, result.Success):
                return self._handle_as_leader(connection, message)
            if isinstance(message, messages.GatewayHeartbeat):
                return _replies.heartbeat_refusal(outcome.failure())
            return _replies.failure_reply(outcome.failure())

        return utils.chain_future(self._term.node.confirm_leadership(), reply)

    def _handle_as_leader(
        self, connection: transport.Connection | None, message: typing.Any
    ) -> typing.Any:
        match message:
            case messages.GatewayHeartbeat():
                return self._heartbeat(connection, message)
            case _calls.JobSubmission():
                return self._submit(message)
            case _calls.JobQuery():
                return self._query(message)
            case _calls.JobCancellation():
                return self._cancel(message)
            case _calls.WaitingQuery():
                return self._count_waiting(message)
            case _calls.WorkerReport():
                return self._workers.handle_report(message)
            case _calls.WorkerLeft():
                return self._workers.handle_leave(message)
            case _calls.DocumentChange():
                return self._change_document(message)
            case _calls.DocumentQuery():
                return self._read_document(message)
            case messages.RulesPartQuery():
                return self._documents.part(message)
            case _calls.DomainChange():
                return self._change_domain(message)
            case _calls.DomainQuery():
                return _domain_orders.read(self._term)
            case _calls.JoinRequest():
                return self._voters.join(message)
            case _calls.LeaveRequest():
                return self._voters.leave(message)
        return messages.CallFailed('unknown call', True)

    def disconnected(self, connection: transport.Connection) -> None:
        """Remove the session of a connection that has closed."""
        term = self._term
        with self._registration_lock:
            session = term.sessions.remove(connection)
            if session is None:
                return
            gateway_id = session.gateway_id
            if term.sessions.by_gateway(gateway_id) is not None:
                return
            if gateway_id != term.options.controller_id:
                term.adviser_clients.remove(gateway_id)
        _logger.info('process disconnected', peer=gateway_id)

    def _heartbeat(
        self,
        connection: transport.Connection | None,
        message: messages.GatewayHeartbeat,
    ) -> messages.GatewayHeartbeatReply:
        version = self._term.state.active_document.version
        if connection is not None and message.rules_version < version:
            session = self._term.sessions.by_connection(connection)
            if session is not None:
                self._documents.announce((session,))
        return messages.GatewayHeartbeatReply(
            self._term.number, version, self._term.node.status().addresses()
        )

    def _register(
        self,
        connection: transport.Connection | None,
        message: messages.RegisterGateway,
    ) -> typing.Any:
        term = self._term
        if connection is None:
            return messages.NotLeader()
        session = transport.Session(
            connection,
            message.gateway_id,
            term.sessions.next_number(),
            takes_parts=message.takes_parts,
        )

        def make_reply(
            outcome: result.Result[typing.Any, consensus.ProposeError],
        ) -> typing.Any:
            if isinstance(outcome, result.Failure):
                return _replies.failure_reply(outcome.failure())
            with self._registration_lock:
                added = term.sessions.add(session)
                if added:
                    term.adviser_clients.add(message.gateway_id)
            if not added:
                _logger.info('registration refused', peer=message.gateway_id)
                return messages.NotLeader()
            _logger.info(
                'process registered',
                peer=message.gateway_id,
                process_age_ms=message.process_age_ms,
            )
            return self._documents.registered(
                term.number, term.options.controller_id, message.takes_parts
            )

        return utils.map_future(term.node.confirm_leadership(), make_reply)

    def _sample_start_delay(self) -> None:
        term, admission = self._term, self._term.admission
        now_ms = _clock.elapsed_ms()
        was_overloaded = admission.is_overloaded()
        admission.sample(
            (queue.priority for queue in term.state.policy.queues), now_ms
        )
        delay_ms = admission.start_delay_ms(now_ms)
        term.metrics.start_delay_seconds.set(delay_ms / 1000)
        if admission.is_overloaded() != was_overloaded:
            _logger.warning(
                'overload ends' if was_overloaded else 'overload begins',
                start_delay_ms=delay_ms,
            )

    def _refusal(self, spec: _specs.JobSpec) -> messages.CallFailed | None:
        """Return the refusal of a new job, None if it is accepted.

        A job that was submitted before is never refused, since it may run.
        """
        # Read without the lock of the state, for which a refusal would have
        # to wait. A job leaves the first after it has entered the second.
        state = self._term.state
        if spec.job_id in self._submitting or spec.job_id in state.jobs:
            return None
        queue = state.policy.queue_by_name.get(spec.queue)
        if queue is None:
            return None
        retry_after_ms = self._term.admission.retry_after_ms(
            queue.priority, _clock.elapsed_ms()
        )
        if retry_after_ms is None:
            return None
        self._term.metrics.submissions_refused.labels(spec.queue).inc()
        return messages.CallFailed('overloaded', True, retry_after_ms)

    def _submit(self, message: _calls.JobSubmission) -> typing.Any:
        spec = message.spec
        refusal = self._refusal(spec)
        if refusal is not None:
            return refusal
        self._count_submission(spec.job_id, 1)

        def make_reply(
            outcome: result.Result[typing.Any, consensus.ProposeError],
        ) -> typing.Any:
            self._count_submission(spec.job_id, -1)
            if isinstance(outcome, result.Failure):
                return _replies.failure_reply(outcome.failure())
            _logger.info(
                'job accepted',
                job=spec.job_id,
                queue=spec.queue,
                team=spec.team_id,
                tasks_count=sum(step.tasks_count for step in spec.steps),
            )
            term = self._term
            phase = outcome.unwrap()
            term.metrics.accepted.labels(spec.queue).inc()
            if not phase.ended():
                term.accepted_ms[spec.job_id] = (
                    spec.queue,
                    _clock.elapsed_ms(),
                )
                term.new_jobs.put(spec.job_id)
            term.round_requested.set()
            return _calls.JobStatus(phase)

        return utils.map_future(
            self._term.propose(_commands.SubmitJob(spec)), make_reply
        )

    def _count_submission(self, job_id: _specs.JobId, change: int) -> None:
        with self._submitting_lock:
            self._submitting[job_id] += change
            if not self._submitting[job_id]:
                del self._submitting[job_id]

    def _query(self, message: _calls.JobQuery) -> _Reply:
        def make_reply(
            outcome: result.Result[typing.Any, consensus.ProposeError],
        ) -> typing.Any:
            if isinstance(outcome, result.Failure):
                return _replies.failure_reply(outcome.failure())
            phase = self._phase(message.job_id, message.team_id)
            detail = ''
            if phase is not None and not phase.ended():
                detail = self._term.unfit_reasons.get(message.job_id, '')
            return _calls.JobStatus(phase, detail)

        phase = self._phase(message.job_id, message.team_id)
        if phase is not None and phase.ended():
            # An ended job never changes, so no quorum has to confirm it.
            return utils.completed_future(_calls.JobStatus(phase))
        return utils.map_future(
            self._term.node.confirm_leadership(), make_reply
        )

    def _phase(
        self, job_id: _specs.JobId, team_id: messages.TeamId
    ) -> _records.JobPhase | None:
        with self._term.state.lock:
            job = self._term.state.jobs.get(job_id)
            if job is None or job.spec.team_id != team_id:
                return None
            return job.phase

    def _cancel(self, message: _calls.JobCancellation) -> typing.Any:
        """Commit a cancelling, also that of a job that is not known.

        Its submission may be on the way, and is ordered after it in the log
        or before it.
        """

        def make_reply(
            outcome: result.Result[typing.Any, consensus.ProposeError],
        ) -> typing.Any:
            if isinstance(outcome, result.Failure):
                return _replies.failure_reply(outcome.failure())
            match outcome.unwrap():
                case _records.EarlyCancel.REFUSED:
                    _logger.warning(
                        'cancelling refused',
                        job=message.job_id,
                        why='too many ids that are not known',
                    )
                    return messages.CallFailed(
                        'too many cancelled ids', True, CLEANUP_INTERVAL_MS
                    )
                case _records.EarlyCancel.RECORDED:
                    _logger.info('unknown job cancelled', job=message.job_id)
                    return _calls.JobStatus(None)
                case phase:
                    _logger.info('job cancelled', job=message.job_id)
                    self._workers.stop_obsolete((message.job_id,))
                    return _calls.JobStatus(phase)

        command = _commands.CancelJob(message.job_id, message.team_id)
        return utils.map_future(self._term.propose(command), make_reply)

    def _count_waiting(
        self, message: _calls.WaitingQuery
    ) -> _calls.WaitingCount:
        state = self._term.state
        with state.lock:
            return _calls.WaitingCount(
                sum(
                    job.phase is _records.JobPhase.QUEUED
                    and job.spec.queue == message.queue
                    for job in state.open_jobs.values()
                )
            )

    def _change_document(self, message: _calls.DocumentChange) -> _Reply:
        def make_reply(
            outcome: result.Result[typing.Any, consensus.ProposeError],
        ) -> typing.Any:
            if isinstance(outcome, result.Failure):
                return _replies.failure_reply(outcome.failure())
            self._push_document()
            return _calls.DocumentInForce(outcome.unwrap())

        if not self._may_acknowledge():
            return utils.completed_future(_CONTROLLERS_ARE_JOINING)
        command = _commands.PutPolicy(message.version, message.document)
        return self._acknowledge_safely(
            utils.map_future(self._term.propose(command), make_reply)
        )

    def _acknowledge_safely(self, reply: _Reply) -> _Reply:
        """Delay a reply to an operator while a lost voter is replaced.

        What is acknowledged has to survive as many further losses as the
        deployment bears, which the voters do only afterwards.
        """
        return utils.chain_future(
            reply,
            lambda message: utils.map_future(
                self._voters.wait_for_replacements(), lambda _: message
            ),
        )

    def _may_acknowledge(self) -> bool:
        """Return whether what operators send bears the losses it has to."""
        is_first = not self._term.state.active_document.version
        return not is_first or self._voters.may_begin()

    def _change_domain(self, message: _calls.DomainChange) -> _Reply:
        if not self._may_acknowledge():
            return utils.completed_future(_CONTROLLERS_ARE_JOINING)
        return _domain_orders.change(self._term, message)

    def _push_document(self) -> None:
        self._documents.announce(self._term.sessions.all())
        active = self._term.state.active_document
        _logger.info(
            'policy in force',
            version=active.version,
            size_bytes=len(active.document),
        )
        self._term.round_requested.set()

    def _newest_document(self) -> tuple[messages.RulesVersion, str]:
        active = self._term.state.active_document
        # A document that an earlier version accepted may be in UTF-16.
        encoding = json.detect_encoding(active.document)
        return active.version, active.document.decode(
            encoding, 'surrogatepass'
        )

    def _read_document(self, query: _calls.DocumentQuery) -> _Reply:
        def make_reply(
            outcome: result.Result[typing.Any, consensus.ProposeError],
        ) -> typing.Any:
            if isinstance(outcome, result.Failure):
                return _replies.failure_reply(outcome.failure())
            active = self._term.state.active_document
            if active.version == query.known_version:
                return _calls.DocumentInForce(active.version)
            return _calls.DocumentInForce(active.version, active.document)

        return utils.map_future(
            self._term.node.confirm_leadership(), make_reply
        )

    def _forget_ended(self) -> None:
        """Drop the leader's notes on ended jobs and remove the oldest.

        A job is removed once this leader has known for more than
        ``ended_jobs_kept_ms`` that it has ended; until then callers can query
        its phase. The time starts anew in each term.
        """
        now_ms = _clock.elapsed_ms()
        kept_ms = self._term.options.ended_jobs_kept_ms
        with self._term.state.lock:
            ended = {
                job_id
                for job_id, job in self._term.state.jobs.items()
                if job.phase.ended()
            }
        self._ended_ms = {
            job_id: self._ended_ms.get(job_id, now_ms) for job_id in ended
        }
        with self._term.lock:
            for job_id in ended:
                self._term.accepted_ms.pop(job_id, None)
            for key in list(self._term.failed_on):
                if key[0] in ended:
                    del self._term.failed_on[key]
            self._term.progress.forget_jobs(ended)
        due = tuple(
            job_id
            for job_id, since_ms in self._ended_ms.items()
            if now_ms - since_ms > kept_ms
        )
        until_index = self._early_cancels_due(now_ms - kept_ms)
        if due or until_index:
            self._term.propose(_commands.ForgetJobs(due, until_index))

    def _early_cancels_due(self, before_ms: int) -> int:
        """Return the log index up to which early cancellings are forgotten.

        It is 0 for none. Each is kept as long as an ended job, so that a
        submission that was on the way meets it.
        """
        marks = self._early_cancel_marks
        with self._term.state.lock:
            newest_index = self._term.state.newest_early_cancel()
        if newest_index and (not marks or marks[-1][1] != newest_index):
            marks.append((_clock.elapsed_ms(), newest_index))
        until_index = 0
        while marks and marks[0][0] < before_ms:
            until_index = marks.popleft()[1]
        return until_index
