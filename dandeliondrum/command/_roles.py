"""Creates and starts the component of each role from its settings.

Components are imported where they are created, so that a process loads only
the role that it runs.
"""

import collections.abc
import contextlib
import dataclasses
import pathlib
import typing

from returns import result

import dandeliondrum
from dandeliondrum import messages
from dandeliondrum import settings
from dandeliondrum import startup

Fields = dict[str, typing.Any]


def process_id(loaded: settings.Settings) -> str:
    """Return the id of the controller, gateway or worker, as in ``c1``."""
    match loaded:
        case settings.ControllerSettings():
            return loaded.controller_id
        case settings.GatewaySettings():
            return loaded.gateway_id
        case settings.WorkerSettings():
            return loaded.worker_id


def start(
    start: startup.Startup,
    loaded: settings.Settings,
    resources: contextlib.ExitStack,
) -> None:
    """Start a component, which runs until ``resources`` are closed.

    Raises NotStartedError if it can't start. A broken invariant of the
    component ends the process.
    """
    match loaded:
        case settings.ControllerSettings():
            _start_controller(start, loaded, resources)
        case settings.GatewaySettings():
            _start_gateway(start, loaded, resources)
        case settings.WorkerSettings():
            _start_worker(start, loaded, resources)


def _start_controller(
    start: startup.Startup,
    loaded: settings.ControllerSettings,
    resources: contextlib.ExitStack,
) -> None:
    with start.phase('imports of the role'):
        from dandeliondrum import controller
    fields = _common_fields(loaded, controller.Options)
    fields['data_folder'] = pathlib.Path(loaded.data_folder)
    fields['started_ns'] = dandeliondrum.IMPORTED_NS
    fields['controllers'] = {
        item.controller_id: item.address for item in loaded.controllers
    }
    component = controller.Controller(
        controller.Options(**fields), startup.end_broken_process
    )
    with start.phase('ports and log'):
        _start_component(start, component.start)
    resources.callback(component.close)


def _start_gateway(
    start: startup.Startup,
    loaded: settings.GatewaySettings,
    resources: contextlib.ExitStack,
) -> None:
    with start.phase('imports of the role'):
        from dandeliondrum import gateway
    fields = _common_fields(loaded, gateway.Options)
    fields['controllers'] = tuple(
        (item.controller_id, item.address) for item in loaded.controllers
    )
    component = gateway.Gateway(
        gateway.Options(**fields), startup.end_broken_process
    )
    with start.phase('ports'):
        _start_component(start, component.start)
    resources.callback(component.close)


def _start_worker(
    start: startup.Startup,
    loaded: settings.WorkerSettings,
    resources: contextlib.ExitStack,
) -> None:
    with start.phase('imports of the role'):
        from dandeliondrum import worker
    fields = _common_fields(loaded, worker.Options)
    fields['gateways'] = tuple(
        f'http://{address}' for address in loaded.gateways
    )
    fields['resources'] = messages.Resources(
        loaded.cpu_millicores, loaded.memory_mb, loaded.accelerators_count
    )
    component = worker.Worker(worker.Options(**fields))
    with start.phase('ports'):
        _start_component(start, component.start)
    resources.callback(component.close)
    resources.callback(component.wait_idle, loaded.drain_max_ms)
    resources.callback(component.leave)


def _start_component(
    start: startup.Startup,
    start_function: collections.abc.Callable[
        [startup.Retry], result.Result[None, typing.Any]
    ],
) -> None:
    """Start a component; raise NotStartedError if it can't start."""
    try:
        outcome = start_function(start.retry)
    except OSError as error:
        raise startup.NotStartedError(str(error)) from error
    if isinstance(outcome, result.Failure):
        raise startup.NotStartedError(str(outcome.failure()))


def _common_fields(loaded: settings.Settings, options: type) -> Fields:
    """Return the settings that exist under the same name in the options."""
    names = {field.name for field in dataclasses.fields(options)}
    return {
        field.name: getattr(loaded, field.name)
        for field in dataclasses.fields(loaded)
        if field.name in names
    }
