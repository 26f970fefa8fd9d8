"""Turns settings into the library's parts, one for each role.

A process loads only the role that it runs, which is why the parts are
imported where they are made.
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

Started = result.Result[str, str]
Fields = dict[str, typing.Any]
OnFatal = collections.abc.Callable[[utils.InvariantError], object]


def process_id(loaded: settings.Settings) -> str:
    """Return the id of the process that the settings are for."""
    match loaded:
        case settings.ControllerSettings():
            return loaded.controller_id
        case settings.GatewaySettings():
            return loaded.gateway_id
        case settings.WorkerSettings():
            return loaded.worker_id


def start(
    loaded: settings.Settings,
    resources: contextlib.ExitStack,
    on_fatal: OnFatal,
) -> Started:
    """Start the part; the stack closes it. Returns where it listens.

    ``on_fatal`` is called when an invariant of the part is broken.
    """
    match loaded:
        case settings.ControllerSettings():
            return _start_controller(loaded, resources, on_fatal)
        case settings.GatewaySettings():
            return _start_gateway(loaded, resources, on_fatal)
        case settings.WorkerSettings():
            return _start_worker(loaded, resources)


def _start_controller(
    loaded: settings.ControllerSettings,
    resources: contextlib.ExitStack,
    on_fatal: OnFatal,
) -> Started:
    from dandeliondrum import controller

    fields = _same_fields(loaded, controller.Options)
    fields['data_folder'] = pathlib.Path(loaded.data_folder)
    fields['started_ns'] = dandeliondrum.LOADED_NS
    fields['controllers'] = {
        item.controller_id: item.address for item in loaded.controllers
    }
    part = controller.Controller(controller.Options(**fields), on_fatal)
    return _started(part.start, part.close, loaded.listen_address, resources)


def _start_gateway(
    loaded: settings.GatewaySettings,
    resources: contextlib.ExitStack,
    on_fatal: OnFatal,
) -> Started:
    from dandeliondrum import gateway

    fields = _same_fields(loaded, gateway.Options)
    fields['controllers'] = tuple(
        (item.controller_id, item.address) for item in loaded.controllers
    )
    part = gateway.Gateway(gateway.Options(**fields), on_fatal)
    return _started(part.start, part.close, loaded.callers_address, resources)


def _start_worker(
    loaded: settings.WorkerSettings, resources: contextlib.ExitStack
) -> Started:
    from dandeliondrum import worker

    fields = _same_fields(loaded, worker.Options)
    fields['gateways'] = tuple(
        f'http://{address}' for address in loaded.gateways
    )
    fields['resources'] = messages.Resources(
        loaded.cpu_millicores, loaded.memory_mb, loaded.accelerators_count
    )
    part = worker.Worker(worker.Options(**fields))

    def close() -> None:
        part.leave()
        part.wait_idle(loaded.drain_max_ms)
        part.close()

    return _started(part.start, close, loaded.address, resources)


def _started(
    begin: collections.abc.Callable[[], result.Result[None, typing.Any]],
    close: collections.abc.Callable[[], object],
    address: str,
    resources: contextlib.ExitStack,
) -> Started:
    try:
        outcome = begin()
    except OSError as error:
        return result.Failure(f'{address}: {error}')
    if isinstance(outcome, result.Failure):
        return result.Failure(str(outcome.failure()))
    resources.callback(close)
    return result.Success(address)


def _same_fields(loaded: settings.Settings, options: type) -> Fields:
    """Return the settings whose names the options have as well."""
    names = {field.name for field in dataclasses.fields(options)}
    return {
        field.name: getattr(loaded, field.name)
        for field in dataclasses.fields(loaded)
        if field.name in names
    }
