"""Gateways that are connected to the leader, and who waits for what."""

import dataclasses

from dandeliondrum import messages
from dandeliondrum import transport


@dataclasses.dataclass
class Session:
    """One gateway's stream to the leader."""

    connection: transport.Connection
    gateway_id: messages.GatewayId
    region: messages.Region
    rules_version: messages.RulesVersion
    waiting_for: set[messages.TaskId] = dataclasses.field(default_factory=set)


class Sessions:
    """The sessions of a leader; its owner's lock protects them."""

    def __init__(self) -> None:
        self._by_connection: dict[transport.Connection, Session] = {}
        self._by_gateway: dict[messages.GatewayId, Session] = {}
        self._waiters: dict[messages.TaskId, list[Session]] = {}
        self._turn = 0

    def register(self, session: Session) -> None:
        """Take a gateway in; its earlier stream counts no more."""
        self._by_connection[session.connection] = session
        self._by_gateway[session.gateway_id] = session

    def remove(self, connection: transport.Connection) -> Session | None:
        """Forget a stream that has ended; return its session."""
        session = self._by_connection.pop(connection, None)
        if session is None:
            return None
        if self._by_gateway.get(session.gateway_id) is session:
            del self._by_gateway[session.gateway_id]
        for task_id in session.waiting_for:
            waiters = self._waiters.get(task_id, [])
            if session in waiters:
                waiters.remove(session)
            if not waiters:
                self._waiters.pop(task_id, None)
        return session

    def of(self, connection: transport.Connection) -> Session | None:
        """Return the session of a stream."""
        return self._by_connection.get(connection)

    def gateway(self, gateway_id: messages.GatewayId) -> Session | None:
        """Return the session of a gateway."""
        return self._by_gateway.get(gateway_id)

    def all(self) -> tuple[Session, ...]:
        """Return all sessions."""
        return tuple(self._by_gateway.values())

    def wait_for(self, session: Session, task_id: messages.TaskId) -> None:
        """Remember that a caller of this gateway waits for the task."""
        if task_id not in session.waiting_for:
            session.waiting_for.add(task_id)
            self._waiters.setdefault(task_id, []).append(session)

    def waiters(self, task_id: messages.TaskId) -> tuple[Session, ...]:
        """Return the gateways that wait for a task, the latest last."""
        return tuple(self._waiters.get(task_id, ()))

    def end(self, status: messages.TaskStatus) -> None:
        """Notify those who wait for a task how it ended."""
        for session in self._waiters.pop(status.task_id, ()):
            session.waiting_for.discard(status.task_id)
            session.connection.push(status)

    def pick(
        self, spec: messages.TaskSpec, region: messages.Region | None
    ) -> Session | None:
        """Choose the gateway that dispatches a task.

        A task that is not durable has its body only at a gateway that waits
        for it. Any gateway will do for a durable one, rather one that is in
        the worker's region, since the body then crosses no paid link twice.
        """
        if not spec.durable:
            waiters = self._waiters.get(spec.task_id)
            return waiters[-1] if waiters else None
        sessions = self.all()
        near = [one for one in sessions if one.region == region] or sessions
        if not near:
            return None
        self._turn += 1
        return near[self._turn % len(near)]
