"""Ports of concurrent test runs."""

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


def test_concurrent_processes_use_different_partitions():
    """Partitions once were numbered per run, so two runs shared ports."""
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
    partitions = {port % _ports.PARTITIONS_COUNT for port in ports}
    assert len(partitions) == PROCESSES_COUNT
