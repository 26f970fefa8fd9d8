"""A start that fails at its end leaves nothing of a role open."""

import contextlib
import socket
import threading

import pytest

from dandeliondrum.command import _roles
from dandeliondrum import settings
from dandeliondrum import signals
from dandeliondrum import startup
from dandeliondrum import testing
from dandeliondrum import transport
from dandeliondrum import utils

PLACE = {'region': 'gulf', 'failure_domain': 'sattahip'}
CONTROLLERS = (
    settings.ControllerAddress(controller_id='c1', address='127.0.0.1:1'),
)


def controller_settings(folder, addresses):
    return settings.ControllerSettings(
        controller_id='c1',
        cell_id='cell',
        listen_address=addresses[0],
        metrics_address=addresses[1],
        data_folder=str(folder / 'data'),
        controllers=CONTROLLERS,
        **PLACE,
    )


def gateway_settings(_folder, addresses):
    return settings.GatewaySettings(
        gateway_id='g1',
        cell_id='cell',
        callers_address=addresses[0],
        workers_address=addresses[1],
        operators_address=addresses[2],
        controllers=CONTROLLERS,
        **PLACE,
    )


def worker_settings(_folder, addresses):
    return settings.WorkerSettings(
        worker_id='w1',
        address=addresses[0],
        rack='r1',
        cpu_millicores=1_000,
        memory_mb=1_000,
        gateways=('127.0.0.1:1',),
        **PLACE,
    )


@pytest.mark.parametrize(
    ('make_settings', 'broken', 'method'),
    (
        (controller_settings, transport.Server, 'start'),
        (gateway_settings, utils.Supervisor, 'run'),
        (worker_settings, utils.Supervisor, 'run'),
    ),
)
def test_an_error_at_the_end_of_a_start_leaves_no_port_or_thread(
    tmp_path, monkeypatch, make_settings, broken, method
):
    def fail(*_arguments):
        raise RuntimeError("can't start new thread")

    addresses = testing.free_addresses(3)
    loaded = make_settings(tmp_path, addresses)
    threads = set(threading.enumerate())
    monkeypatch.setattr(broken, method, fail)
    with contextlib.ExitStack() as resources:
        with pytest.raises(RuntimeError):
            _roles.start(
                startup.Startup(signals.ProcessSignals()), loaded, resources
            )
    for address in addresses:
        socket.create_server(transport.parse_address(address)).close()
    testing.wait_until(lambda: set(threading.enumerate()) <= threads)
