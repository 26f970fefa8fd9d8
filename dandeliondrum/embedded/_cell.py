"""Runs controllers, gateways and workers as threads of this process."""

import collections.abc
import contextlib
import dataclasses
import pathlib

from dandeliondrum import controller
from dandeliondrum import gateway
from dandeliondrum import messages
from dandeliondrum import testing
from dandeliondrum import worker

# The threads of all roles share one interpreter, which delays heartbeats more
# than in separate processes.
HEARTBEAT_MS = 150
ELECTION_MIN_MS = 1_000
ELECTION_MAX_MS = 2_000

CALLERS_THREADS_COUNT = 24
WORKERS_THREADS_COUNT = 8
DRAIN_MAX_MS = 3_000
LOOPBACK = '127.0.0.1:0'


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkerConfig:
    """The configuration of one worker of an embedded cell."""

    worker_id: messages.WorkerId
    region: messages.Region
    failure_domain: messages.FailureDomain
    rack: messages.Rack
    resources: messages.Resources
    slots_count: int = 8
    fails_everything: bool = False


class EmbeddedCell(testing.CellCalls):
    """A cell whose roles run as threads; it starts no other process.

    Each controller stores its data in a folder of its own in ``folder``.

    Example::

        with embedded.EmbeddedCell(folder) as cell:
            cell.add_controllers(3)
            cell.add_gateways(2)
            cell.wait_ready(0)
            cell.apply_rules(text, expected_version=0)
            cell.add_workers(configs)
            cell.wait_ready()
            cell.stop_leader()
    """

    def __init__(self, folder: str | pathlib.Path) -> None:
        super().__init__()
        self.folder = pathlib.Path(folder)
        self._resources = contextlib.ExitStack()
        self._controllers: dict[str, controller.Controller] = {}
        self._workers: list[worker.Worker] = []

    def __enter__(self) -> 'EmbeddedCell':
        self._resources.callback(self._close_controllers)
        return self

    def __exit__(self, *_: object) -> None:
        self._resources.close()

    def add_controllers(self, count: int) -> None:
        """Start controllers and form the cell from them."""
        names = [f'c{number}' for number in range(1, count + 1)]
        for name, address in zip(names, testing.free_addresses(count)):
            self.addresses[name] = address
        for name in names:
            self._add_controller(name, names)
        self.form(names)

    def _add_controller(self, name: str, members: list[str]) -> None:
        component = controller.Controller(
            controller.Options(
                controller_id=messages.ControllerId(name),
                cell_id=testing.CELL_ID,
                region=messages.Region('gulf'),
                failure_domain=messages.FailureDomain('sattahip'),
                listen_address=self.addresses[name],
                data_folder=self.folder / name,
                controllers=self._controller_addresses(members),
                heartbeat_ms=HEARTBEAT_MS,
                election_min_ms=ELECTION_MIN_MS,
                election_max_ms=ELECTION_MAX_MS,
            )
        )
        component.start().unwrap()
        self.controllers.append(name)
        self._controllers[name] = component

    def add_gateways(self, count: int) -> None:
        """Start gateways that are connected to all controllers."""
        for number in range(1, count + 1):
            self._add_gateway(f'g{number}')

    def _add_gateway(self, name: str) -> None:
        component = gateway.Gateway(
            gateway.Options(
                gateway_id=messages.GatewayId(name),
                cell_id=testing.CELL_ID,
                region=messages.Region('gulf'),
                failure_domain=messages.FailureDomain('sattahip'),
                callers_address=LOOPBACK,
                workers_address=LOOPBACK,
                operators_address=LOOPBACK,
                controllers=tuple(
                    self._controller_addresses(self.controllers).items()
                ),
                callers_threads_count=CALLERS_THREADS_COUNT,
                workers_threads_count=WORKERS_THREADS_COUNT,
                drain_notice_ms=0,
                drain_max_ms=DRAIN_MAX_MS,
            )
        )
        component.start().unwrap()
        self._resources.callback(component.close)
        self.gateways.append(name)
        self.addresses[f'{name}/callers'] = component.callers_address
        self.addresses[f'{name}/workers'] = component.workers_address
        self.addresses[f'{name}/operators'] = component.operators_address

    def add_workers(
        self, configs: collections.abc.Iterable[WorkerConfig]
    ) -> None:
        """Start workers that are connected to all gateways."""
        gateways = tuple(
            f'http://{self.addresses[f"{name}/workers"]}'
            for name in self.gateways
        )
        for config in configs:
            fields = {
                field.name: getattr(config, field.name)
                for field in dataclasses.fields(config)
            }
            component = worker.Worker(
                worker.Options(address=LOOPBACK, gateways=gateways, **fields)
            )
            component.start().unwrap()
            self._resources.callback(component.close)
            self._workers.append(component)
            self.workers.append(config.worker_id)

    def leader(self) -> str:
        """Wait until there is a leader, and return its name."""
        return testing.wait_until(self.leader_now)

    def leader_now(self) -> str:
        """Return the name of the current leader; empty when there is none."""
        for name, component in self._controllers.items():
            if component.is_leading():
                return name
        return ''

    def stop_leader(self) -> str:
        """Stop the leader without transferring leadership; return its name.

        Its connections break without notice, as when its VM is lost. Unlike
        a killed process, it closes its files in order.
        """
        name = self.leader()
        self._controllers.pop(name).close(transfer_leadership=False)
        return name

    def journal_events(self) -> tuple[worker.Event, ...]:
        """Return the journal events of all workers."""
        return tuple(
            event
            for component in self._workers
            for event in component.events()
        )

    def _controller_addresses(
        self, names: collections.abc.Iterable[str]
    ) -> dict[messages.ControllerId, str]:
        return {
            messages.ControllerId(name): self.addresses[name] for name in names
        }

    def _close_controllers(self) -> None:
        while self._controllers:
            _, component = self._controllers.popitem()
            component.close(transfer_leadership=False)
