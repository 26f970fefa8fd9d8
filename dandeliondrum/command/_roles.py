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
from dandeliondrum import utils

StartResult = result.Result[str, str]
Fields = dict[str, typing.Any]
OnFatal = collections.abc.Callable[[utils.InvariantError], object]


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
    loaded: settings.Settings,
    exit_stack: contextlib.ExitStack,
    on_fatal: OnFatal,
) -> StartResult:
    """Start a component and return its listen address or an error.

    The component is closed with ``exit_stack``. ``on_fatal`` is called when
    an invariant of the component is broken.
    """
    match loaded:
        case settings.ControllerSettings():
            return _start_controller(loaded, exit_stack, on_fatal)
        case settings.GatewaySettings():
            return _start_gateway(loaded, exit_stack, on_fatal)
        case settings.WorkerSettings():
            return _start_worker(loaded, exit_stack)


def _start_controller(
    loaded: settings.ControllerSettings,
    exit_stack: contextlib.ExitStack,
    on_fatal: OnFatal,
) -> StartResult:
    from dandeliondrum import controller

    fields = _common_fields(loaded, controller.Options)
    fields['data_folder'] = pathlib.Path(loaded.data_folder)
    fields['started_ns'] = dandeliondrum.IMPORTED_NS
    fields['controllers'] = {
        item.controller_id: item.address for item in loaded.controllers
    }
    component = controller.Controller(controller.Options(**fields), on_fatal)
    return _start_component(
        component.start, component.close, loaded.listen_address, exit_stack
    )


def _start_gateway(
    loaded: settings.GatewaySettings,
    exit_stack: contextlib.ExitStack,
    on_fatal: OnFatal,
) -> StartResult:
    from dandeliondrum import gateway

    fields = _common_fields(loaded, gateway.Options)
    fields['controllers'] = tuple(
        (item.controller_id, item.address) for item in loaded.controllers
    )
    component = gateway.Gateway(gateway.Options(**fields), on_fatal)
    return _start_component(
        component.start, component.close, loaded.callers_address, exit_stack
    )


def _start_worker(
    loaded: settings.WorkerSettings, exit_stack: contextlib.ExitStack
) -> StartResult:
    from dandeliondrum import worker

    fields = _common_fields(loaded, worker.Options)
    fields['gateways'] = tuple(
        f'http://{address}' for address in loaded.gateways
    )
    fields['resources'] = messages.Resources(
        loaded.cpu_millicores, loaded.memory_mb, loaded.accelerators_count
    )
    component = worker.Worker(worker.Options(**fields))

    def close() -> None:
        component.leave()
        component.wait_idle(loaded.drain_max_ms)
        component.close()

    return _start_component(component.start, close, loaded.address, exit_stack)


def _start_component(
    start_function: collections.abc.Callable[
        [], result.Result[None, typing.Any]
    ],
    close: collections.abc.Callable[[], object],
    address: str,
    exit_stack: contextlib.ExitStack,
) -> StartResult:
    try:
        outcome = start_function()
    except OSError as error:
        return result.Failure(f'{address}: {error}')
    if isinstance(outcome, result.Failure):
        return result.Failure(str(outcome.failure()))
    exit_stack.callback(close)
    return result.Success(address)


def _common_fields(loaded: settings.Settings, options: type) -> Fields:
    """Return the settings that exist under the same name in the options."""
    names = {field.name for field in dataclasses.fields(options)}
    return {
        field.name: getattr(loaded, field.name)
        for field in dataclasses.fields(loaded)
        if field.name in names
    }
