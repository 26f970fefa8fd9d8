"""Maps each role to its settings class."""

import collections.abc

from dandeliondrum.settings import _controller
from dandeliondrum.settings import _gateway
from dandeliondrum.settings import _worker

Settings = (
    _controller.ControllerSettings
    | _gateway.GatewaySettings
    | _worker.WorkerSettings
)

# The field that identifies the role of a settings file.
ROLE_FIELDS: collections.abc.Mapping[str, type[Settings]] = {
    'gateway_id': _gateway.GatewaySettings,
    'worker_id': _worker.WorkerSettings,
    'controller_id': _controller.ControllerSettings,
}
