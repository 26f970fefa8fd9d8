"""Gateways connected to the leader and the tasks they wait for."""

import dataclasses

from dandeliondrum import messages
from dandeliondrum import transport


@dataclasses.dataclass(eq=False)
class Session(transport.Session):
    """The connection of one gateway to the leader."""

    region: messages.Region
    rules_version: messages.RulesVersion
    waiting_for: set[messages.TaskId] = dataclasses.field(default_factory=set)


class Sessions:
    """The sessions of a leader.

    Not thread-safe, except for ``by_connection``, ``by_gateway`` and ``all``;
    the owner's lock protects the rest.
    """

    def __init__(self) -> None:
        self._registered: transport.SessionTable[Session] = (
            transport.SessionTable()
        )
        self._waiters_by_task: dict[messages.TaskId, list[Session]] = {}
        self._round_robin_count = 0

    def next_number(self) -> int:
        """Return the number of a registration whose call has arrived."""
        return self._registered.next_number()

    def register(self, session: Session) -> bool:
        """Add a session; it replaces an earlier one of its gateway.

        Returns False if it must not be used; see
        :meth:`transport.SessionTable.add`.
        """
        return self._registered.add(session)

    def close(self) -> None:
        """Close all connections; later registrations are refused."""
        self._registered.close()

    def remove(self, connection: transport.Connection) -> Session | None:
        """Remove the session of a closed connection and return it."""
        session = self._registered.remove(connection)
        if session is None:
            return None
        for task_id in session.waiting_for:
            waiters = self._waiters_by_task.get(task_id, [])
            if session in waiters:
                waiters.remove(session)
            if not waiters:
                self._waiters_by_task.pop(task_id, None)
        return session

    def by_connection(
        self, connection: transport.Connection
    ) -> Session | None:
        """Return the session of a connection."""
        return self._registered.by_connection(connection)

    def by_gateway(self, gateway_id: messages.GatewayId) -> Session | None:
        """Return the session of a gateway."""
        return self._registered.by_gateway(gateway_id)

    def all(self) -> tuple[Session, ...]:
        """Return the current session of each gateway."""
        return self._registered.all()

    def wait_for(self, session: Session, task_id: messages.TaskId) -> None:
        """Record that a caller of this gateway waits for the task."""
        if task_id not in session.waiting_for:
            session.waiting_for.add(task_id)
            self._waiters_by_task.setdefault(task_id, []).append(session)

    def waiters(self, task_id: messages.TaskId) -> tuple[Session, ...]:
        """Return the sessions that wait for a task, the latest one last."""
        return tuple(self._waiters_by_task.get(task_id, ()))

    def notify_ended(self, status: messages.TaskStatus) -> None:
        """Send the final status of a task to the gateways waiting for it."""
        for session in self._waiters_by_task.pop(status.task_id, ()):
            session.waiting_for.discard(status.task_id)
            session.connection.push(status)

    def choose_gateway(
        self, spec: messages.TaskSpec, region: messages.Region | None
    ) -> Session | None:
        """Choose the gateway that dispatches a task; None if there is none.

        The body of a task that is not durable is held only by a gateway that
        waits for it. Any gateway can dispatch a durable task; one in the
        worker's region is preferred, so that the body does not cross a paid
        link between regions twice.
        """
        if not spec.durable:
            waiters = self._waiters_by_task.get(spec.task_id)
            return waiters[-1] if waiters else None
        sessions = self.all()
        candidates = [
            session for session in sessions if session.region == region
        ] or sessions
        if not candidates:
            return None
        self._round_robin_count += 1
        return candidates[self._round_robin_count % len(candidates)]
