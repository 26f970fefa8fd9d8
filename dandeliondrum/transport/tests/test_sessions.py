"""Sessions whose connections close while they are added."""

import threading

from dandeliondrum import messages
from dandeliondrum import transport

GATEWAY = messages.GatewayId('g1')
ROUNDS_COUNT = 500


class FakeConnection:
    """Connection of which only the end matters."""

    def __init__(self):
        self.closed = threading.Event()

    def close(self):
        self.closed.set()


def test_no_session_is_left_when_its_connection_closes_at_the_same_time():
    sessions = transport.SessionTable()
    for _ in range(ROUNDS_COUNT):
        connection = FakeConnection()
        session = transport.Session(
            connection, GATEWAY, sessions.next_number()
        )
        barrier = threading.Barrier(2)

        def end(connection=connection, barrier=barrier):
            barrier.wait()
            connection.close()
            sessions.remove(connection)

        closer = threading.Thread(target=end)
        closer.start()
        barrier.wait()
        sessions.add(session)
        closer.join()
        assert sessions.all() == ()
        assert sessions.by_connection(connection) is None


def test_a_closed_table_refuses_sessions_and_has_closed_the_others():
    sessions = transport.SessionTable()
    early, late = FakeConnection(), FakeConnection()
    assert sessions.add(transport.Session(early, GATEWAY, 1))
    sessions.close()
    assert early.closed.is_set()
    assert not sessions.add(transport.Session(late, GATEWAY, 2))
    assert sessions.all() == ()


def test_a_connection_has_one_session_only():
    sessions = transport.SessionTable()
    connection = FakeConnection()
    assert sessions.add(transport.Session(connection, GATEWAY, 1))
    other = transport.Session(connection, messages.GatewayId('g2'), 2)
    assert not sessions.add(other)
    sessions.remove(connection)
    assert sessions.all() == ()
