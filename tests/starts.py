"""Launches real programs whose starts are disturbed, and reads their logs."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

TIMEOUT_MS = 30_000
# Imports of the entry points until their handlers are installed.
EARLY = (
    'collections',
    'dandeliondrum',
    'dandeliondrum.command',
    'dandeliondrum.command._exit_code',
    'dandeliondrum.command._main',
    'dandeliondrum.platform',
    'dandeliondrum.platform._settings_path',
    'dandeliondrum.signals',
    'dandeliondrum.signals._process_signals',
    'enum',
    'faulthandler',
    'functools',
    'select',
    'signal',
    'time',
    'types',
)
# Sends a signal at each import of a module, or at the one with a number.
SIGNALLING = """
import os, runpy, signal, sys, time, types
number, only = int(sys.argv[1]), int(sys.argv[2])
early, count, sending = sys.argv[3].split(','), 0, False
module = sys.argv[4]

def hook(event, arguments):
    global count, sending
    if event != 'import' or arguments[0] in early or sending:
        return
    sending = True
    count += 1
    if only in (0, count):
        os.kill(os.getpid(), number)
    sending = False

import collections, enum, faulthandler, functools, importlib.util
import pkgutil, select
sys.addaudithook(hook)
sys.argv[1:] = sys.argv[5:]
runpy.run_module(module, run_name='__main__')
"""


class Program:
    """A program with its settings file and the logs of its processes.

    ``flags`` are those of the interpreter that runs ``module``.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        module: str,
        arguments: tuple[str, ...],
        text: str,
        flags: tuple[str, ...] = (),
    ) -> None:
        self.folder = folder
        self.path = folder / 'process.conf'
        self.text = text
        self.write(text)
        self._module = module
        self._arguments = arguments
        self._flags = flags
        self._processes: list[subprocess.Popen[bytes]] = []

    def write(self, text: str) -> None:
        self.path.write_text(text)

    def launch(
        self, stdout: int | None = None, stderr: int | None = None
    ) -> subprocess.Popen[bytes]:
        command = (*self._flags, '-m', self._module)
        return self._launch(command, stdout, stderr)

    def launch_code(
        self, code: str, *arguments: str
    ) -> subprocess.Popen[bytes]:
        """Run code in place of the module, with arguments before its own."""
        return self._launch(('-c', code, *arguments))

    def launch_signalled(
        self, number: int, only: int = 0
    ) -> subprocess.Popen[bytes]:
        """Send a signal at each import, or only at the one with a number."""
        numbers = (str(int(number)), str(only))
        return self.launch_code(
            SIGNALLING, *numbers, ','.join(EARLY), self._module
        )

    def _launch(
        self,
        command: tuple[str, ...],
        stdout: int | None = None,
        stderr: int | None = None,
    ) -> subprocess.Popen[bytes]:
        number = len(self._processes)
        with (
            open(self.folder / f'{number}.out', 'wb') as out,
            open(self.folder / f'{number}.err', 'wb') as err,
        ):
            process = subprocess.Popen(
                [sys.executable, *command, *self._arguments],
                stdout=out if stdout is None else stdout,
                stderr=err if stderr is None else stderr,
                env={**os.environ, 'DANDELIONDRUM_SETTINGS': str(self.path)},
            )
        self._processes.append(process)
        return process

    def lines(self, number: int = 0) -> list[dict[str, object]]:
        found = []
        for suffix in ('out', 'err'):
            text = (self.folder / f'{number}.{suffix}').read_text()
            for line in text.splitlines():
                with contextlib.suppress(ValueError):
                    found.append(json.loads(line))
        return found

    def output(self) -> str:
        return '\n'.join(
            path.read_text(errors='replace')
            for path in sorted(self.folder.glob('*.[oe]*'))
        )

    def has(self, event: str, number: int = 0) -> bool:
        return any(line['event'] == event for line in self.lines(number))

    def wait_for(self, event: str, number: int = 0) -> dict[str, object]:
        """Return the line; fail if the process ends before it."""
        process = self._processes[number]
        end_s = time.monotonic() + TIMEOUT_MS / 1000
        while time.monotonic() < end_s:
            ended = process.poll() is not None
            for line in self.lines(number):
                if line['event'] == event:
                    return line
            assert not ended, (process.returncode, self.output())
            time.sleep(0.02)
        raise AssertionError(f'no {event!r}: {self.output()}')

    def close(self) -> None:
        for process in self._processes:
            process.kill()
            process.wait()


def stopped_in_order(process: subprocess.Popen[bytes]) -> bool:
    process.send_signal(signal.SIGTERM)
    return process.wait(TIMEOUT_MS / 1000) == 0
