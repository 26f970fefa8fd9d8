"""One process of a test from its launch to its end."""

import collections.abc
import contextlib
import json
import pathlib
import signal
import subprocess
import time
import typing

PROC = pathlib.Path('/proc')


class Life:
    """A process that a test has launched, with what the test sent to it.

    ``logs`` names the files of its output, and how long they were before.
    """

    def __init__(
        self,
        name: str,
        number: int,
        process: subprocess.Popen[bytes],
        logs: tuple[tuple[pathlib.Path, int], ...],
    ) -> None:
        self.name = name
        self.number = number
        self.process = process
        self.launched_s = time.monotonic()
        self.stop_requested_s: float | None = None
        # Set where the test lets the process kill itself.
        self.may_be_killed = False
        self._logs = logs

    @property
    def is_running(self) -> bool:
        """Whether the process runs; a frozen one counts as running."""
        return self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process runs, and record it."""
        if not self.is_running:
            return
        if number is signal.SIGKILL:
            self.may_be_killed = True
        elif number is signal.SIGTERM and self.stop_requested_s is None:
            self.stop_requested_s = time.monotonic()
        self.process.send_signal(number)

    def has_handlers(self) -> bool:
        """Return whether SIGTERM is caught, and SIGHUP caught or ignored."""
        masks = {'SigCgt': 0, 'SigIgn': 0}
        with contextlib.suppress(OSError):
            status = (PROC / str(self.process.pid) / 'status').read_text()
            for line in status.splitlines():
                name, _, mask = line.partition(':')
                if name in masks:
                    masks[name] = int(mask, 16)
        caught = masks['SigCgt']
        return _contains(caught, signal.SIGTERM) and _contains(
            caught | masks['SigIgn'], signal.SIGHUP
        )

    def cpu_ms(self) -> float:
        """Return the CPU time of the main thread; 0 after its end."""
        with contextlib.suppress(OSError):
            times = (PROC / str(self.process.pid) / 'schedstat').read_text()
            return int(times.split()[0]) / 1e6
        return 0

    def has_logged(self, event: str) -> bool:
        """Return whether a log line of the process names an event."""
        return any(f'"event": "{event}"' in text for text in self._outputs())

    def lines(self) -> list[dict[str, typing.Any]]:
        """Return the log lines of the process that are JSON objects."""
        found = []
        for text in self._outputs():
            for line in text.splitlines():
                with contextlib.suppress(ValueError):
                    entry = json.loads(line)
                    if isinstance(entry, dict):
                        found.append(entry)
        return found

    def phase(self) -> str:
        """Return the phase of the last line that tells one."""
        phase = 'no line yet'
        for line in self.lines():
            event = str(line.get('event', ''))
            if 'phase' in line:
                phase = f'{event}: {line["phase"]}'
            elif event in ('starting', 'started', 'stopping', 'stopped'):
                phase = event
        return phase

    def tail(self, length_chars: int) -> str:
        """Return the end of the output of the process."""
        return '\n'.join(self._outputs())[-length_chars:]

    def _outputs(self) -> collections.abc.Iterator[str]:
        for path, begin in self._logs:
            with open(path, 'rb') as output:
                output.seek(begin)
                yield output.read().decode(errors='replace')


def _contains(mask: int, number: signal.Signals) -> bool:
    return bool(mask >> (number - 1) & 1)
