"""Signals keep their default actions unless a command runs a daemon."""

import json
import subprocess
import sys

import pytest

PROGRAM = """
import json
import signal
import sys
import types

from dandeliondrum import command


def run(_words):
    numbers = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
    defaults = (signal.SIG_DFL, signal.default_int_handler)
    print(json.dumps([signal.getsignal(n) in defaults for n in numbers]))
    return 0


sys.modules['dandeliondrum.command._cli'] = types.SimpleNamespace(run=run)
command.main()
"""


@pytest.mark.parametrize(
    ('words', 'default'),
    ((('status', '--json'), True), (('run', 'gateway'), False)),
)
def test_only_a_daemon_handles_signals(words, default):
    done = subprocess.run(
        [sys.executable, '-c', PROGRAM, *words],
        capture_output=True,
        check=True,
        timeout=60,
    )
    assert json.loads(done.stdout) == [default] * 3
