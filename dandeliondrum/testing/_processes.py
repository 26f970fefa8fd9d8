"""Runs and signals processes for tests, and only these."""

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
from dandeliondrum.testing import _lives
from dandeliondrum import transport
from dandeliondrum import worker

READY_TIMEOUT_MS = 20_000
STOP_TIMEOUT_MS = 15_000
PROBE_TIMEOUT_MS = 1_000

_MAIN_CODE = 'from dandeliondrum import command; command.main()'
_RUN_COMMAND = (sys.executable, '-m', 'dandeliondrum.command', 'run')


class ProcessError(Exception):
    """A process did not start, become ready or end as required."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Program:
    """A command and its readiness probe.

    The process is ready once ``ready_url`` answers with status 200 or
    ``ready_address`` accepts a connection. Without either it counts as ready
    at once. ``environment`` is added to that of the test.
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
    """Return the program of a controller, gateway or worker.

    ``broken_by`` is Python code that runs first and introduces a fault, so
    that a test can verify that its checks detect it.
    """
    command = _RUN_COMMAND
    if broken_by:
        command = (sys.executable, '-c', f'{broken_by}\n{_MAIN_CODE}', 'run')
    return Program(
        arguments=(*command, kind, '--settings', str(settings_path)),
        ready_url=ready_url,
        ready_address=ready_address,
    )


class Processes:
    """Starts, kills, freezes and stops processes by name.

    Processes that still run are killed at the end of the context. Kills and
    freezes are recorded as outages for the history of the run.

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
        # The last process of each name, and all of them.
        self._current: dict[str, _lives.Life] = {}
        self._lives: list[_lives.Life] = []
        self._frozen_since_ms: dict[str, float] = {}
        self._outages: list[_history.Outage] = []

    def __enter__(self) -> 'Processes':
        self._folder.mkdir(parents=True, exist_ok=True)
        return self

    def __exit__(self, *_: object) -> None:
        self.kill_all()
        self._resources.close()

    def kill_all(self) -> None:
        """Kill all processes that still run."""
        with contextlib.ExitStack() as kills:
            for life in self.lives:
                kills.callback(self._kill, life)

    def start(self, name: str, program: Program) -> None:
        """Start a process and wait until it is ready.

        Raises ProcessError, with the end of its log, if it does not become
        ready.
        """
        self.launch(name, program)
        self.wait_ready(name)

    def launch(
        self, name: str, program: Program, *, beside: bool = False
    ) -> _lives.Life:
        """Start a process without waiting until it is ready.

        With ``beside`` its predecessor may still run. It then has log files
        of its own.
        """
        is_beside = self.is_running(name)
        if is_beside and not beside:
            raise ProcessError(f'{name} is already running')
        number = len(self._lives)
        log_name = f'{name}.{number}' if is_beside else name
        paths = [self._log_path(log_name, kind) for kind in ('out', 'err')]
        with open(paths[0], 'ab') as out, open(paths[1], 'ab') as err:
            logs = tuple((path, path.stat().st_size) for path in paths)
            process = subprocess.Popen(
                program.arguments,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
                env={**os.environ, **dict(program.environment)},
            )
        life = _lives.Life(name, number, process, logs)
        self._current[name] = life
        self._lives.append(life)
        self._programs[name] = program
        return life

    def relaunch(self, name: str, *, beside: bool = False) -> _lives.Life:
        """Start a process again, with the same program, without waiting."""
        return self.launch(name, self._programs[name], beside=beside)

    def life(self, name: str) -> _lives.Life:
        """Return the last process of a name."""
        return self._current[name]

    @property
    def lives(self) -> tuple[_lives.Life, ...]:
        """All processes so far."""
        return tuple(self._lives)

    def wait_ready(
        self, name: str, timeout_ms: int = READY_TIMEOUT_MS
    ) -> None:
        """Wait until a process is ready; raise ProcessError on failure."""
        program = self._programs[name]

        def ended_or_ready() -> bool:
            return not self.is_running(name) or _is_ready(program)

        ready = _fake_gateway.wait_for(ended_or_ready, timeout_ms)
        if not ready or not self.is_running(name):
            state = 'not ready' if self.is_running(name) else 'ended'
            raise ProcessError(f'{name} {state}: {self.log_tail(name)}')

    def restart(self, name: str) -> None:
        """Restart a process that has ended, with the same program."""
        self.start(name, self._programs[name])

    def kill(self, name: str) -> None:
        """Kill a process, if it runs, and wait for its end."""
        self._kill(self._current[name])

    def kill_together(self, names: collections.abc.Iterable[str]) -> None:
        """Kill processes at the same moment and wait for their end."""
        chosen = [name for name in names if self.is_running(name)]
        for name in chosen:
            self._current[name].send(signal.SIGKILL)
        for name in chosen:
            self._current[name].process.wait()
            self._record_end(name)

    def freeze(self, name: str) -> None:
        """Suspend a process with SIGSTOP until it is thawed.

        Returns once all its threads are stopped: the signal takes effect only
        when one of them is scheduled, and the others run until then. Raises
        ProcessError if the process ends instead.
        """
        process = self._running_process(name)
        from_ms = worker.now_ms()
        process.send_signal(signal.SIGSTOP)
        if not _fake_gateway.wait_for(
            lambda: _is_stopped(name, process), STOP_TIMEOUT_MS
        ):
            raise ProcessError(f'{name} did not stop after SIGSTOP')
        self._frozen_since_ms[name] = from_ms

    def thaw(self, name: str) -> None:
        """Resume a frozen process."""
        self._running_process(name).send_signal(signal.SIGCONT)
        self._record_freeze(name)

    def stop(self, name: str, timeout_ms: int = STOP_TIMEOUT_MS) -> int:
        """Terminate a process with SIGTERM and return its exit code.

        Raises ProcessError if it does not end within the timeout.
        """
        process = self._running_process(name)
        self._current[name].send(signal.SIGTERM)
        try:
            return process.wait(timeout_ms / 1000)
        except subprocess.TimeoutExpired:
            raise ProcessError(
                f'{name} did not end after SIGTERM: {self.log_tail(name)}'
            ) from None

    def is_running(self, name: str) -> bool:
        """Return whether a process runs; a frozen one counts as running."""
        life = self._current.get(name)
        return life is not None and life.is_running

    def exit_code(self, name: str) -> int | None:
        """Return the exit code of a process; None while it runs."""
        return self._current[name].process.poll()

    def id_of(self, name: str) -> int:
        """Return the process id."""
        return self._current[name].process.pid

    @property
    def outages(self) -> tuple[_history.Outage, ...]:
        """The kills and freezes so far."""
        return tuple(self._outages)

    def log(self, name: str) -> list[dict[str, typing.Any]]:
        """Return the log lines of a process that are JSON objects."""
        return list(self._log_lines(name))

    def log_tail(self, name: str, length_chars: int = 2_000) -> str:
        """Return the end of the output of a process."""
        outputs = [
            self._log_path(name, kind).read_text(errors='replace')
            for kind in ('out', 'err')
        ]
        return '\n'.join(outputs)[-length_chars:]

    def describe(self) -> str:
        """Return the state of each process with the end of its log."""
        descriptions = []
        for name, life in self._current.items():
            code = life.process.poll()
            state = 'running' if code is None else f'ended with {code}'
            descriptions.append(f'{name} {state}: {self.log_tail(name)}')
        return '\n'.join(descriptions)

    def _kill(self, life: _lives.Life) -> None:
        if life.is_running:
            life.send(signal.SIGKILL)
            life.process.wait()
            self._record_end(life.name)

    def _record_end(self, name: str) -> None:
        self._record_freeze(name)
        now_ms = worker.now_ms()
        self._outages.append(
            _history.Outage(name, _history.OutageKind.KILLED, now_ms, now_ms)
        )

    def _record_freeze(self, name: str) -> None:
        from_ms = self._frozen_since_ms.pop(name, None)
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
            path = self._log_path(name, kind)
            for line in path.read_text(errors='replace').splitlines():
                with contextlib.suppress(ValueError):
                    entry = json.loads(line)
                    if isinstance(entry, dict):
                        yield entry

    def _running_process(self, name: str) -> subprocess.Popen[bytes]:
        if not self.is_running(name):
            raise ProcessError(f'{name} is not running')
        return self._current[name].process

    def _log_path(self, name: str, kind: str) -> pathlib.Path:
        return self._folder / f'{name}.{kind}'


def _is_stopped(name: str, process: subprocess.Popen[bytes]) -> bool:
    """Return whether all threads are stopped; raise if the process ended.

    The status is left for later calls and for ``Popen.poll``.
    """
    options = os.WSTOPPED | os.WEXITED | os.WNOHANG | os.WNOWAIT
    try:
        status = os.waitid(os.P_PID, process.pid, options)
    except ChildProcessError:
        # Another thread has polled the process after its end.
        raise ProcessError(f'{name} ended before it stopped') from None
    if status is not None and status.si_code != os.CLD_STOPPED:
        raise ProcessError(f'{name} ended before it stopped')
    return status is not None


def _is_ready(program: Program) -> bool:
    if program.ready_url:
        return _answers_with_200(program.ready_url)
    if program.ready_address:
        return _accepts_connections(program.ready_address)
    return True


def _accepts_connections(address: str) -> bool:
    try:
        stream = socket.create_connection(
            transport.parse_address(address), PROBE_TIMEOUT_MS / 1000
        )
    except OSError:
        return False
    stream.close()
    return True


def _answers_with_200(url: str) -> bool:
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
