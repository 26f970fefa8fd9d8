"""Signals stop a process whichever of its threads receives them."""

import signal
import subprocess
import sys
import time

from dandeliondrum import signals

TIMEOUT_S = 20
PROGRAM = """
import signal
import threading
import time

from dandeliondrum import signals

process_signals = signals.install()


def receive():
    time.sleep(0.2)
    signal.pthread_kill(threading.get_ident(), signal.SIGTERM)
    time.sleep(60)


threading.Thread(target=receive, daemon=True).start()
while not process_signals.stop_requested:
    process_signals.wait(60_000)
"""


def test_a_signal_that_another_thread_receives_is_not_lost():
    ended = subprocess.run(
        [sys.executable, '-c', PROGRAM], timeout=TIMEOUT_S, check=False
    )
    assert ended.returncode == 0


def test_the_time_since_a_stop_counts_from_the_first_signal():
    """A later one would move the end that the platform has set."""
    process_signals = signals.ProcessSignals()
    assert process_signals.since_stop_ms() == 0
    process_signals._request_stop(signal.SIGTERM, None)
    time.sleep(0.2)
    process_signals._request_stop(signal.SIGINT, None)
    assert process_signals.since_stop_ms() >= 200
    assert process_signals.stop_signal == 'SIGTERM'
