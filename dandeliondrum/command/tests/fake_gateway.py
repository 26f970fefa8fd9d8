"""A fake gateway that serves operators and callers, with fault injection."""

import http.server
import json
import threading
import urllib.parse

RESOURCES = {
    'cpu_millicores': 16_000,
    'memory_mb': 32_768,
    'accelerators_count': 0,
}
RESERVED = {
    'cpu_millicores': 2_500,
    'memory_mb': 4_096,
    'accelerators_count': 0,
}
FLEET = {
    'term': 3,
    'leader_id': 'c1',
    'cell_time_ms': 5_000,
    'workers': [
        {
            'facts': {
                'worker_id': f'w{number}',
                'incarnation': 'i1',
                'address': f'10.0.1.{number}:9000',
                'region': 'gulf',
                'failure_domain': 'sattahip',
                'rack': 'r1',
                'resources': RESOURCES,
                'slots_count': 8,
                'connections_count': 64,
            },
            'state': state,
            'silent_ms': 120,
            'running_count': number - 1,
            'reserved': reserved,
        }
        for number, state, reserved in (
            (1, 'active', {key: 0 for key in RESERVED}),
            (2, 'active', RESERVED),
            (3, 'quarantined', {key: 0 for key in RESERVED}),
        )
    ],
    'teams': [
        {
            'team_id': 'harbour',
            'running_count': 3,
            'queued_count': 12,
            'reserved': RESERVED,
        }
    ],
    'controllers': [
        {
            'controller_id': 'c1',
            'address': '10.0.0.1:7001',
            'role': 'leader',
            'last_index': 99,
        }
    ],
    'gateways': [['g1', 7]],
}
EXPLAINED = {
    'status_line': 'done',
    'events': [[1_000, 'queued'], [1_004, 'assigned to w2: most free']],
}


DOMAINS = {
    'domains': [
        {
            'failure_domain': 'd1',
            'evacuated': True,
            'workers_count': 2,
            'running_count': 5,
            'index': 7,
            'operator_id': 'anna',
            'reason': 'power work',
            'requested_unix_ms': 1_765_000_000_000,
        },
        {
            'failure_domain': 'd2',
            'evacuated': False,
            'workers_count': 1,
            'running_count': 0,
            'index': 0,
            'operator_id': '',
            'reason': '',
            'requested_unix_ms': 0,
        },
    ]
}
EVACUATIONS = {
    'Evacuations': [
        {
            'Zone': 'd1',
            'By': 'anna',
            'Reason': 'power work',
            'SinceMs': 1_765_000_000_000,
        }
    ]
}


class FakeGateway:
    """Stores rules with compare-and-set, as the leader does.

    The next ``drop_responses_count`` calls are executed, but get no response.
    Another operator applies ``concurrent_texts``, one just before each new
    change. The gateway reports a version of the rules that is
    ``versions_behind`` the version in force.
    """

    def __init__(self):
        self.text = ''
        self.version = 0
        self.versions_behind = 0
        self.history = []
        self.outcomes = {}
        self.calls = []
        self.drop_responses_count = 0
        self.concurrent_texts = []
        # Status of orders about domains at a control port.
        self.control_status = 200
        self.answer = (200, {'Dandeliondrum-Outcome': 'answered'}, b'ground')
        self._server = http.server.ThreadingHTTPServer(
            ('127.0.0.1', 0), self._handler()
        )
        self.address = '127.0.0.1:{}'.format(self._server.server_port)
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(0.02,)
        )
        self._thread.start()

    def close(self):
        self._server.shutdown()
        self._thread.join()
        self._server.server_close()

    def handle(self, method, path, headers, body):
        """Return status, headers and body of the response."""
        match method, path.split('?')[0]:
            case 'GET', '/v1/rules':
                return 200, {}, self._rules_shown()
            case 'PUT', '/v1/rules':
                return self._apply(headers, body.decode())
            case 'GET', '/v1/fleet':
                return 200, {}, FLEET
            case 'GET', '/v1/tasks/r%2F1/explain':
                return 200, {}, EXPLAINED
            case 'POST', '/v1/workers/w1/drain':
                return 200, {}, {}
            case 'GET', '/v1/domains':
                return 200, {}, DOMAINS
            case 'POST' | 'DELETE', '/v1/domains/d1/evacuation':
                return 200, {}, {}
            case 'POST' | 'DELETE', '/evacuations/d1':
                return self.control_status, {}, {}
            case 'POST', '/evacuations/d9':
                detail = "unknown failure domain 'd9'"
                return 404, {}, {'reason': 'bad_request', 'detail': detail}
            case 'GET', '/evacuations':
                return 200, {}, EVACUATIONS
            case 'POST' | 'DELETE', '/v1/controllers' | '/v1/controllers/c4':
                return 200, {}, {}
            case 'POST', '/v1/tasks':
                return self.answer
        return 503, {}, {'reason': 'call_failed', 'detail': 'no such worker'}

    def _rules_shown(self):
        return {
            'version': self.version,
            'text': self.text,
            'gateways': [['g1', self.version - self.versions_behind]],
            'history': self.history,
        }

    def _apply(self, headers, text):
        change_id = headers['Dandeliondrum-Change-Id']
        if change_id not in self.outcomes:
            if self.concurrent_texts:
                self._set_rules(self.concurrent_texts.pop(0), 'rival', 'rival')
            self.outcomes[change_id] = self._compare_and_set(headers, text)
        return self.outcomes[change_id]

    def _compare_and_set(self, headers, text):
        outcome = {'accepted': True, 'version': self.version}
        if headers['If-Match'] != f'"{self.version}"':
            outcome['accepted'] = False
            outcome['detail'] = f'{self.version} is in force'
            outcome['current_text'] = self.text
            return 412, {}, outcome
        self._set_rules(
            text,
            headers['Dandeliondrum-Operator'],
            headers['Dandeliondrum-Change-Id'],
        )
        outcome['version'] = self.version
        return 200, {}, outcome

    def _set_rules(self, text, operator, change_id):
        self.text = text
        self.version += 1
        self.history.append(
            {
                'version': self.version,
                'operator_id': operator,
                'cell_time_ms': 1_000 * self.version,
                'change_id': change_id,
            }
        )

    def _handler(fake):
        class Handler(http.server.BaseHTTPRequestHandler):
            def respond(self):
                length = int(self.headers.get('Content-Length') or 0)
                body = self.rfile.read(length)
                fake.calls.append(
                    (self.command, self.path, dict(self.headers), body)
                )
                status, headers, answer = fake.handle(
                    self.command, self.path, self.headers, body
                )
                if fake.drop_responses_count:
                    fake.drop_responses_count -= 1
                    return
                if not isinstance(answer, bytes):
                    answer = json.dumps(answer).encode()
                self.send_response(status)
                for name, value in headers.items():
                    self.send_header(name, value)
                self.send_header('Content-Length', str(len(answer)))
                self.end_headers()
                self.wfile.write(answer)

            do_GET = do_PUT = do_POST = do_DELETE = respond

            def log_message(self, *_):
                pass

        return Handler


def query(path):
    """Return the query parameters of a path as a mapping."""
    return dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(path).query))
