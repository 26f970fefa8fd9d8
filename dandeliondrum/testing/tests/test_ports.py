"""Ports of test runs that go on side by side."""

import contextlib
import subprocess
import sys

from dandeliondrum.testing import _ports

SHOW_PORT = (
    'import sys; from dandeliondrum import testing;'
    "print(testing.free_address().rpartition(':')[2], flush=True);"
    'sys.stdin.read()'
)
PROCESSES_COUNT = 3


def test_processes_side_by_side_take_ports_of_different_parts():
    """The parts of two runs were the same, as each numbered its own."""
    with contextlib.ExitStack() as resources:
        processes = [
            resources.enter_context(
                subprocess.Popen(
                    [sys.executable, '-c', SHOW_PORT],
                    stdin=subprocess.PIPE,
                    stdout=subprocess.PIPE,
                    text=True,
                )
            )
            for _ in range(PROCESSES_COUNT)
        ]
        ports = [int(process.stdout.readline()) for process in processes]
        for process in processes:
            process.stdin.close()
    parts = {port % _ports.PARTS_COUNT for port in ports}
    assert len(parts) == PROCESSES_COUNT
