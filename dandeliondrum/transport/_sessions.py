"""Sessions of the gateways that are registered at a leader.

A gateway registers with a call whose reply needs a quorum, and the
connection may close before that reply. A session that was added after the
close would never be removed again, so :class:`SessionTable` refuses it.
"""

import dataclasses
import itertools
import threading
import typing

from dandeliondrum import messages
from dandeliondrum.transport import _connection


@dataclasses.dataclass(eq=False)
class Session:
    """The registration of a gateway over a connection.

    ``number`` orders registrations by the arrival of their calls, and
    ``takes_parts`` tells that the gateway requests a large document in parts.
    """

    connection: _connection.Connection
    gateway_id: messages.GatewayId
    number: int
    takes_parts: bool = dataclasses.field(default=False, kw_only=True)


AnySession = typing.TypeVar('AnySession', bound=Session)


class SessionTable(typing.Generic[AnySession]):
    """The sessions at one leader; thread-safe.

    Example::

        sessions = SessionTable()
        number = sessions.next_number()
        ...
        if not sessions.add(Session(connection, gateway_id, number)):
            return messages.NotLeader()
        ...
        sessions.remove(connection)
        sessions.close()
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._numbers = itertools.count(1)
        self._by_connection: dict[_connection.Connection, AnySession] = {}
        self._by_gateway: dict[messages.GatewayId, AnySession] = {}
        self._closed = False

    def next_number(self) -> int:
        """Return the number of a registration whose call has arrived."""
        return next(self._numbers)

    def add(self, session: AnySession) -> bool:
        """Add a session, and close the connection that it replaces.

        Returns False if the session must not be used: its connection has
        closed or has a session already, its gateway has registered again
        since, or the table has been closed.
        """
        connection = session.connection
        with self._lock:
            known = self._by_gateway.get(session.gateway_id)
            # ``remove`` is called after the connection has closed and takes
            # the same lock, so it finds each session that is added here.
            if self._closed or connection.closed.is_set():
                return False
            if connection in self._by_connection:
                return False
            if known is not None and known.number > session.number:
                return False
            self._by_connection[connection] = session
            self._by_gateway[session.gateway_id] = session
        if known is not None:
            known.connection.close()
        return True

    def remove(self, connection: _connection.Connection) -> AnySession | None:
        """Remove the session of a closed connection and return it."""
        with self._lock:
            session = self._by_connection.pop(connection, None)
            if session is None:
                return None
            if self._by_gateway.get(session.gateway_id) is session:
                del self._by_gateway[session.gateway_id]
            return session

    def by_connection(
        self, connection: _connection.Connection
    ) -> AnySession | None:
        """Return the session of a connection."""
        with self._lock:
            return self._by_connection.get(connection)

    def by_gateway(self, gateway_id: messages.GatewayId) -> AnySession | None:
        """Return the current session of a gateway."""
        with self._lock:
            return self._by_gateway.get(gateway_id)

    def all(self) -> tuple[AnySession, ...]:
        """Return the current session of each gateway."""
        with self._lock:
            return tuple(self._by_gateway.values())

    def close(self) -> None:
        """Close all connections; later registrations are refused."""
        with self._lock:
            self._closed = True
            connections = tuple(self._by_connection)
            self._by_connection.clear()
            self._by_gateway.clear()
        for connection in connections:
            connection.close()
