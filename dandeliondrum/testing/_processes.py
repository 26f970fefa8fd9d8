"""Runs real processes for tests, and signals none but these."""

import collections.abc
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import typing

import pycurl

from dandeliondrum.testing import _fake_gateway
from dandeliondrum.testing import _history
from dandeliondrum import transport
from dandeliondrum import worker

READY_TIMEOUT_MS = 20_000
STOP_TIMEOUT_MS = 15_000
PROBE_TIMEOUT_MS = 1_000

_MAIN = 'from dandeliondrum import command; command.main()'
_COMMAND = (sys.executable, '-m', 'dandeliondrum.command', 'run')


class ProcessError(Exception):
    """A process did not do what the test needs of it."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Program:
    """What to run and how to see that it is ready.

    ``ready_url`` is asked until it answers with 200; ``ready_address`` is
    dialled until it accepts. Without either a process counts as ready at
    once.
    """

    arguments: tuple[str, ...]
    ready_url: str = ''
    ready_address: str = ''
    environment: tuple[tuple[str, str], ...] = ()


def daemon(
    kind: str,
    settings_path: str | pathlib.Path,
    ready_url: str = '',
    ready_address: str = '',
    broken_by: str = '',
) -> Program:
    """Return the program of a daemon of ours.

    ``broken_by`` is Python code that runs first and breaks the program on
    purpose, so that a test can show that its checks notice.
    """
    command = _COMMAND
    if broken_by:
        command = (sys.executable, '-c', f'{broken_by}\n{_MAIN}', 'run')
    return Program(
        arguments=(*command, kind, '--settings', str(settings_path)),
        ready_url=ready_url,
        ready_address=ready_address,
    )


class Processes:
    """Starts, kills, freezes and stops processes by name.

    Whatever still runs is killed at the end. Kills and freezes are kept as
    events for the history of the run.

    Example::

        with testing.Processes(tmp_path) as processes:
            processes.start('c1', testing.daemon('controller', settings))
            processes.freeze('c1')
            processes.thaw('c1')
            processes.kill('c1')
            processes.restart('c1')
    """

    def __init__(self, log_folder: str | pathlib.Path) -> None:
        self._folder = pathlib.Path(log_folder)
        self._resources = contextlib.ExitStack()
        self._programs: dict[str, Program] = {}
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._frozen_ms: dict[str, float] = {}
        self._outages: list[_history.Outage] = []

    def __enter__(self) -> 'Processes':
        self._folder.mkdir(parents=True, exist_ok=True)
        return self

    def __exit__(self, *_: object) -> None:
        for name in list(self._processes):
            self._resources.callback(self.kill, name)
        self._resources.close()

    def start(self, name: str, program: Program) -> None:
        """Start a process and wait until it is ready.

        Raises ProcessError, with the end of its log, when it isn't.
        """
        self.launch(name, program)
        self.wait_ready(name)

    def launch(self, name: str, program: Program) -> None:
        """Start a process and wait for nothing."""
        if self.is_running(name):
            raise ProcessError(f'{name} runs already')
        with open(self._path(name, 'out'), 'ab') as out:
            with open(self._path(name, 'err'), 'ab') as err:
                self._processes[name] = subprocess.Popen(
                    program.arguments,
                    stdin=subprocess.DEVNULL,
                    stdout=out,
                    stderr=err,
                    env={**os.environ, **dict(program.environment)},
                )
        self._programs[name] = program

    def wait_ready(
        self, name: str, timeout_ms: int = READY_TIMEOUT_MS
    ) -> None:
        """Wait until a process is ready; raises ProcessError if it isn't."""
        program = self._programs[name]

        def ended_or_ready() -> bool:
            return not self.is_running(name) or _is_ready(program)

        ready = _fake_gateway.wait_for(ended_or_ready, timeout_ms)
        if not ready or not self.is_running(name):
            state = 'not ready' if self.is_running(name) else 'ended'
            raise ProcessError(f'{name} {state}: {self.log_end(name)}')

    def restart(self, name: str) -> None:
        """Start a process that ended with the arguments that it had."""
        self.start(name, self._programs[name])

    def kill(self, name: str) -> None:
        """Kill a process and wait until it is gone."""
        process = self._processes[name]
        if process.poll() is not None:
            return
        process.kill()
        process.wait()
        self._end_freeze(name)
        now_ms = worker.now_ms()
        self._outages.append(
            _history.Outage(name, _history.OutageKind.KILLED, now_ms, now_ms)
        )

    def freeze(self, name: str) -> None:
        """Stop a process in its tracks until it is thawed."""
        self._frozen_ms[name] = worker.now_ms()
        self._running(name).send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen process go on."""
        self._running(name).send_signal(signal.SIGCONT)
        self._end_freeze(name)

    def stop(self, name: str, timeout_ms: int = STOP_TIMEOUT_MS) -> int:
        """Ask a process to end and return its exit code.

        Raises ProcessError when it takes too long.
        """
        process = self._running(name)
        process.terminate()
        try:
            return process.wait(timeout_ms / 1000)
        except subprocess.TimeoutExpired:
            raise ProcessError(
                f'{name} does not end: {self.log_end(name)}'
            ) from None

    def is_running(self, name: str) -> bool:
        """Return whether a process runs, frozen or not."""
        process = self._processes.get(name)
        return process is not None and process.poll() is None

    def exit_code(self, name: str) -> int | None:
        """Return the exit code of a process; None while it runs."""
        return self._processes[name].poll()

    def id_of(self, name: str) -> int:
        """Return the process id."""
        return self._processes[name].pid

    @property
    def outages(self) -> tuple[_history.Outage, ...]:
        """The kills and freezes so far."""
        return tuple(self._outages)

    def log(self, name: str) -> list[dict[str, typing.Any]]:
        """Return the JSON lines that a process logged, others left out."""
        return list(self._log_lines(name))

    def log_end(self, name: str, length_chars: int = 2_000) -> str:
        """Return the end of what a process wrote."""
        texts = [
            self._path(name, kind).read_text(errors='replace')
            for kind in ('out', 'err')
        ]
        return '\n'.join(texts)[-length_chars:]

    def describe(self) -> str:
        """Return the state of each process with the end of its log."""
        texts = []
        for name, process in self._processes.items():
            code = process.poll()
            state = 'running' if code is None else f'ended with {code}'
            texts.append(f'{name} {state}: {self.log_end(name)}')
        return '\n'.join(texts)

    def _end_freeze(self, name: str) -> None:
        from_ms = self._frozen_ms.pop(name, None)
        if from_ms is not None:
            self._outages.append(
                _history.Outage(
                    name,
                    _history.OutageKind.FROZEN,
                    from_ms,
                    worker.now_ms(),
                )
            )

    def _log_lines(
        self, name: str
    ) -> collections.abc.Iterator[dict[str, typing.Any]]:
        for kind in ('out', 'err'):
            path = self._path(name, kind)
            for line in path.read_text(errors='replace').splitlines():
                with contextlib.suppress(ValueError):
                    entry = json.loads(line)
                    if isinstance(entry, dict):
                        yield entry

    def _running(self, name: str) -> subprocess.Popen[bytes]:
        if not self.is_running(name):
            raise ProcessError(f'{name} does not run')
        return self._processes[name]

    def _path(self, name: str, kind: str) -> pathlib.Path:
        return self._folder / f'{name}.{kind}'


def _is_ready(program: Program) -> bool:
    if program.ready_url:
        return _answers(program.ready_url)
    if program.ready_address:
        return _accepts(program.ready_address)
    return True


def _accepts(address: str) -> bool:
    try:
        stream = socket.create_connection(
            transport.parse_address(address), PROBE_TIMEOUT_MS / 1000
        )
    except OSError:
        return False
    stream.close()
    return True


def _answers(url: str) -> bool:
    curl = pycurl.Curl()
    try:
        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.PROXY, '')
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TIMEOUT_MS, PROBE_TIMEOUT_MS)
        curl.setopt(pycurl.WRITEFUNCTION, lambda _chunk: None)
        curl.perform()
        return curl.getinfo(pycurl.RESPONSE_CODE) == 200
    except pycurl.error:
        return False
    finally:
        curl.close()
