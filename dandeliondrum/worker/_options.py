"""Options of a stand-in worker."""

import dataclasses

from dandeliondrum import messages

DEFAULT_ANSWERS_BYTES = 256 * 1024 * 1024
DEFAULT_ANSWERS_COUNT = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Options:
    """Options of one stand-in worker.

    ``address`` is the ``host:port`` to listen on; port 0 picks a free port.
    ``advertised_address`` is announced in its place if clients have to
    connect to another address, such as a proxy. ``gateways`` holds the base
    URLs (``http://host:port``) of the gateways' ``workers_address``.
    ``answers_bytes`` and ``answers_count`` limit the stored answers. With an
    empty ``journal_path`` the journal is stored in memory only.

    Example::

        Options(
            worker_id=messages.WorkerId('w1'),
            address='127.0.0.1:0',
            region=messages.Region('gulf'),
            failure_domain=messages.FailureDomain('sattahip'),
            rack=messages.Rack('r1'),
            resources=messages.Resources(16_000, 32_768),
            slots_count=8,
            gateways=('http://127.0.0.1:7301',),
        )
    """

    worker_id: messages.WorkerId
    address: str
    region: messages.Region
    failure_domain: messages.FailureDomain
    rack: messages.Rack
    resources: messages.Resources
    slots_count: int
    gateways: tuple[str, ...]
    advertised_address: str = ''
    connections_count: int = 64
    heartbeat_ms: int = 500
    journal_path: str = ''
    fails_everything: bool = False
    answers_bytes: int = DEFAULT_ANSWERS_BYTES
    answers_count: int = DEFAULT_ANSWERS_COUNT
