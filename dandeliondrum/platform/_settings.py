"""Reads the settings file that the platform writes for each process."""

import dataclasses
import pathlib

from returns import result

from dandeliondrum import http_server
from dandeliondrum import messages
from dandeliondrum import transport

# Followed by the name of a failure domain; the value is its region.
DOMAIN_PREFIX = 'Zones.'


@dataclasses.dataclass(frozen=True)
class Settings:
    """The platform's settings that a gateway or controller uses.

    ``seed_addresses`` are the control API addresses of some controllers.
    ``losses_max`` is the number of VMs with a disk whose simultaneous loss
    has to be tolerated. ``process_limits`` are those of the VM for this
    process. ``contracts`` are the optional parts of the interface that are in
    use. ``failure_domains`` are all of them; empty if the file names none.
    """

    vm_name: str
    ip: str
    region: messages.Region
    failure_domain: messages.FailureDomain
    callers_address: str
    readiness_address: str
    control_address: str
    stream_port: int
    seed_addresses: tuple[str, ...]
    first_start: bool
    data_folder: pathlib.Path | None
    losses_max: int
    stop_grace_ms: int
    lease_max_ms: int
    job_state_kept_ms: int
    adviser_address: str
    process_limits: http_server.ProcessLimits
    contracts: frozenset[str] = frozenset()
    failure_domains: frozenset[messages.FailureDomain] = frozenset()

    def find_missing(self, role: str) -> str:
        """Return which setting of a role is missing, empty if none is."""
        needed: dict[str, object] = {'Listen.Control': self.control_address}
        needed['DataDir'] = self.data_folder
        if role == 'gateway':
            needed = {
                'Listen.Front': self.callers_address,
                'Listen.Ready': self.readiness_address,
            }
        missing = [name for name, value in needed.items() if not value]
        return f'{missing[0]} is missing' if missing else ''

    @property
    def stream_address(self) -> str:
        """Return the address at which this process accepts streams."""
        return f'{self.ip}:{self.stream_port}'

    @property
    def controllers(self) -> tuple[tuple[messages.ControllerId, str], ...]:
        """Return the seed controllers, in the same order on every VM."""
        ips = sorted(
            {transport.parse_address(seed)[0] for seed in self.seed_addresses}
        )
        return tuple(
            (messages.ControllerId(ip), f'{ip}:{self.stream_port}')
            for ip in ips
        )


def load(path: str) -> result.Result[Settings, str]:
    """Return the settings in a file, or an error message."""
    try:
        content = pathlib.Path(path).read_bytes()
    except OSError as error:
        return result.Failure(f'{path}: {error}')
    return decode(content).alt(lambda error: f'{path}: {error}')


def decode(content: bytes) -> result.Result[Settings, str]:
    """Return the settings in the content of a file, or an error message."""
    try:
        return parse(content.decode().splitlines())
    except UnicodeDecodeError as error:
        return result.Failure(str(error))


def parse(lines: list[str]) -> result.Result[Settings, str]:
    """Parse lines of the form ``name=value``; blank lines are skipped."""
    values: dict[str, str] = {}
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            continue
        name, separator, value = line.partition('=')
        if not separator:
            return result.Failure(f'line {number}: expected name=value')
        values[name.strip()] = value.strip()
    try:
        return result.Success(_build_settings(values))
    except KeyError as error:
        return result.Failure(f'{error.args[0]} is missing')
    except ValueError as error:
        return result.Failure(str(error))


def _build_settings(values: dict[str, str]) -> Settings:
    first_port, _, _last_port = values['PortRange'].partition(',')
    folder = values.get('DataDir')
    seeds = tuple(seed for seed in values['Seeds'].split(',') if seed)
    listened = (
        values.get(f'Listen.{name}', '')
        for name in ('Front', 'Ready', 'Control')
    )
    for address in (*seeds, *filter(None, listened)):
        transport.parse_address(address)
    return Settings(
        vm_name=values['Node'],
        ip=values['Ip'],
        region=messages.Region(values['Region']),
        failure_domain=messages.FailureDomain(values['Zone']),
        callers_address=values.get('Listen.Front', ''),
        readiness_address=values.get('Listen.Ready', ''),
        control_address=values.get('Listen.Control', ''),
        stream_port=int(first_port),
        seed_addresses=seeds,
        first_start=values.get('Bootstrap') == 'true',
        data_folder=pathlib.Path(folder) if folder else None,
        losses_max=int(values['FaultTolerance.Machines']),
        stop_grace_ms=_seconds_to_ms(values['Bounds.GraceS']),
        lease_max_ms=int(values['Bounds.HoldMaxMs']),
        job_state_kept_ms=_seconds_to_ms(values['Bounds.status_s']),
        adviser_address=values.get('PlacementAdvisor', ''),
        contracts=frozenset(
            name.strip()
            for name in values.get('Contracts', '').split(',')
            if name.strip()
        ),
        failure_domains=frozenset(
            messages.FailureDomain(name.removeprefix(DOMAIN_PREFIX))
            for name in values
            if name.startswith(DOMAIN_PREFIX)
        ),
        process_limits=http_server.ProcessLimits(
            _whole_number(values, 'Limits.MemoryMb'),
            _whole_number(values, 'Limits.MaxFds'),
        ),
    )


def _whole_number(values: dict[str, str], name: str) -> int:
    """Return a limit; 0, which stands for none, if it is missing."""
    text = values.get(name, '0')
    if not (text.isascii() and text.isdigit()):
        raise ValueError(f'{name} must be a whole number, not {text!r:.40}')
    return int(text)


def _seconds_to_ms(seconds: str) -> int:
    return int(float(seconds) * 1000)
