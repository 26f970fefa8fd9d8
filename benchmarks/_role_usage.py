"""Processor time, memory and traffic of the processes of a cell, by role."""

import dataclasses
import re
import subprocess
import time
import typing

from dandeliondrum import testing

import psutil

_FIELD = re.compile(r'\b(bytes_sent|bytes_received):(\d+)')
_PID = re.compile(r'pid=(\d+)')


@dataclasses.dataclass(frozen=True)
class _Reading:
    at_s: float
    cpu_s: dict[str, float]
    sent_bytes: dict[str, int]
    received_bytes: dict[str, int]


class RoleUsage:
    """Measures the usage from its creation until ``finish``.

    Stream bytes are the kernel's counters of the TCP connections with a
    controller's port at one end. These connections stay open for the whole
    run, so no bytes are missed. Requires the ``ss`` command.
    """

    def __init__(self, cell: testing.Cell) -> None:
        self._cell = cell
        self._leader = cell.leader()
        self._before = self._read()

    def finish(self) -> dict[str, dict[str, float]]:
        """Return the usage by role.

        ``cpu_s_of_all`` is the sum and ``rss_mb`` the maximum over the
        processes of the role; the other rates are means.
        """
        after = self._read()
        seconds = after.at_s - self._before.at_s
        figures = {}
        for role, names in self._roles().items():
            figures[role] = self._role_figures(names, after, seconds)
        return figures

    def _roles(self) -> dict[str, list[str]]:
        cell = self._cell
        followers = [one for one in cell.controllers if one != self._leader]
        return {
            'leader': [self._leader],
            'follower': followers,
            'gateway': list(cell.gateways),
            'worker': list(cell.workers),
        }

    def _role_figures(
        self, names: list[str], after: _Reading, seconds: float
    ) -> dict[str, float]:
        before = self._before
        live = [one for one in names if one in after.cpu_s]
        count = max(1, len(live))
        cpu_s = sum(after.cpu_s[one] - before.cpu_s[one] for one in live)
        sent_bytes = sum(
            after.sent_bytes[one] - before.sent_bytes[one] for one in live
        )
        received_bytes = sum(
            after.received_bytes[one] - before.received_bytes[one]
            for one in live
        )
        rss_bytes = [self._process(one).memory_info().rss for one in live]
        return {
            'processes_count': len(live),
            'seconds': round(seconds, 2),
            'cpu_s_of_all': round(cpu_s, 3),
            'cpu_cores': round(cpu_s / seconds / count, 4),
            'rss_mb': round(max(rss_bytes, default=0) / 1e6, 1),
            'stream_sent_bytes_per_s': round(sent_bytes / seconds / count),
            'stream_received_bytes_per_s': round(
                received_bytes / seconds / count
            ),
        }

    def _process(self, name: str) -> psutil.Process:
        return psutil.Process(self._cell.processes.id_of(name))

    def _read(self) -> _Reading:
        names = [
            name
            for group in self._roles().values()
            for name in group
            if self._cell.processes.is_running(name)
        ]
        cpu_s = {}
        names_by_pid = {}
        for name in names:
            process = self._process(name)
            times = process.cpu_times()
            cpu_s[name] = times.user + times.system
            names_by_pid[process.pid] = name
        sent_bytes = dict.fromkeys(names, 0)
        received_bytes = dict.fromkeys(names, 0)
        for pid, fields in self._streams():
            name = names_by_pid.get(pid)
            if name is not None:
                sent_bytes[name] += fields.get('bytes_sent', 0)
                received_bytes[name] += fields.get('bytes_received', 0)
        return _Reading(time.monotonic(), cpu_s, sent_bytes, received_bytes)

    def _streams(self) -> list[tuple[int, dict[str, typing.Any]]]:
        ports = {
            self._cell.addresses[name].rpartition(':')[2]
            for name in self._cell.controllers
        }
        listed = subprocess.run(
            ['ss', '-tinHpO', 'state', 'established'],
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        streams = []
        for line in listed.splitlines():
            columns = line.split()
            ends = {one.rpartition(':')[2] for one in columns[2:4]}
            pid = _PID.search(line)
            if pid is None or not ends & ports:
                continue
            fields = {key: int(text) for key, text in _FIELD.findall(line)}
            streams.append((int(pid[1]), fields))
        return streams
