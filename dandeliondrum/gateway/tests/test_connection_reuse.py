"""Calls of different kinds over one connection, whose options are kept."""

import contextlib
import http.server
import threading

from dandeliondrum import gateway

JSON = ('Content-Type', 'application/json')


class Worker(http.server.BaseHTTPRequestHandler):
    """Records requests; answers with the path."""

    protocol_version = 'HTTP/1.1'

    def _serve(self):
        size_bytes = int(self.headers.get('Content-Length') or 0)
        self.server.seen.append(
            (
                self.command,
                self.path,
                self.headers.get('X-Expect-Instance'),
                self.rfile.read(size_bytes),
                self.client_address,
            )
        )
        body = self.path.encode()
        self.send_response(404 if 'missing' in self.path else 200)
        self.send_header('Content-Length', str(len(body)))
        if 'last' in self.path:
            self.send_header('Connection', 'close')
        self.end_headers()
        self.wfile.write(body)

    do_GET = do_POST = do_DELETE = _serve

    def log_message(self, *_):
        """Write nothing."""


@contextlib.contextmanager
def _serving():
    with http.server.ThreadingHTTPServer(('127.0.0.1', 0), Worker) as server:
        server.seen = []
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        try:
            yield server
        finally:
            server.shutdown()
            thread.join()


def _request(server, method, path, instance, body=b'', **more):
    host, port = server.server_address
    return gateway.WorkerRequest(
        method,
        f'{host}:{port}',
        path,
        5_000,
        (JSON, ('X-Expect-Instance', instance)),
        body,
        timeout_ms=5_000,
        **more,
    )


def test_each_call_is_sent_with_its_own_options():
    """Otherwise a call would carry the options of the one before it."""
    calls = [
        ('POST', '/start', 'i-1', b'{"Run":1}', False),
        ('POST', '/start', 'i-1', b'', False),
        ('POST', '/missing', 'i-1', b'{}', False),
        ('GET', '/state', 'i-1', b'', True),
        ('DELETE', '/state', 'i-2', b'', True),
        ('POST', '/start', 'i-2', b'{"Run":2}', True),
        ('POST', '/start', 'i-2', b'{"Run":3}', False),
    ]
    with _serving() as server:
        client = gateway.WorkerClient(1)
        with contextlib.closing(client):
            for method, path, instance, body, reads_headers in calls:
                outcome = client.call(
                    _request(
                        server,
                        method,
                        path,
                        instance,
                        body,
                        reads_headers=reads_headers,
                    )
                )
                assert outcome.complete
                assert outcome.body == path.encode()
                status = 404 if 'missing' in path else 200
                assert outcome.head.status == status
                assert bool(outcome.head.headers) == reads_headers
        assert [seen[:4] for seen in server.seen] == [
            call[:4] for call in calls
        ]
        assert len({seen[4] for seen in server.seen}) == 1


def test_a_call_after_one_that_was_not_answered_has_no_status_of_it():
    """The handle is not reset in between."""
    with _serving() as server:
        client = gateway.WorkerClient(1)
        request = _request(server, 'POST', '/last', 'i-1', reads_headers=False)
        assert client.call(request).head.status == 200
    # The server is gone, and with it the connection.
    outcome = client.call(request)
    assert isinstance(outcome, gateway.NotSent | gateway.NoReply)
    client.close()


def test_an_invalid_header_does_not_affect_the_next_call():
    with _serving() as server:
        client = gateway.WorkerClient(1)
        with contextlib.closing(client):
            bad = _request(server, 'POST', '/a', 'i-1\r\nX: y')
            assert isinstance(client.call(bad), gateway.NotSent)
            good = _request(server, 'POST', '/a', 'i-1')
            assert client.call(good).head.status == 200
        assert [seen[2] for seen in server.seen] == ['i-1']
