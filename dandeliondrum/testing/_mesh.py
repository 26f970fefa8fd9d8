"""A set of proxies, addressed by the names of the ends of their links."""

import contextlib
import dataclasses

from dandeliondrum.testing import _faults
from dandeliondrum.testing import _proxy


@dataclasses.dataclass(frozen=True)
class LinkName:
    """The connecting process, its target and a port of the target."""

    source: str
    target: str
    port: str = ''


class ProxyMesh:
    """Proxies for links between named processes.

    Faults between two names apply to all links between them.

    Example::

        with testing.ProxyMesh(seed=7) as mesh:
            address = mesh.link('gateway1', 'controller1', '127.0.0.1:7201')
            ...
            mesh.cut('controller1', 'controller2')
            mesh.cut_one_way('gateway1', 'controller1')
            mesh.isolate('controller3')
            mesh.heal()
    """

    def __init__(self, seed: int = 0) -> None:
        self._seed = seed
        self._resources = contextlib.ExitStack()
        self._links: dict[LinkName, _proxy.Proxy] = {}

    def __enter__(self) -> 'ProxyMesh':
        return self

    def __exit__(self, *_: object) -> None:
        self._resources.close()

    def link(
        self,
        source: str,
        target: str,
        address: str,
        port: str = '',
        listen_address: str = '127.0.0.1:0',
    ) -> str:
        """Open a link; return the ``host:port`` that its source connects to.

        Raises ValueError if the link exists already.
        """
        name = LinkName(source, target, port)
        if name in self._links:
            raise ValueError(f'{name} exists already')
        seed = self._seed * 1_000 + len(self._links)
        proxy = _proxy.Proxy(address, listen_address, seed)
        self._links[name] = self._resources.enter_context(proxy)
        return proxy.address

    def proxy(self, source: str, target: str, port: str = '') -> _proxy.Proxy:
        """Return the proxy of one link."""
        return self._links[LinkName(source, target, port)]

    def between(self, one: str, other: str) -> list[_proxy.Proxy]:
        """Return the links between two names, in both directions."""
        return [
            proxy
            for name, proxy in self._links.items()
            if {name.source, name.target} == {one, other}
        ]

    def links_of(self, name: str) -> list[_proxy.Proxy]:
        """Return the links from or to a name."""
        return [
            proxy
            for link, proxy in self._links.items()
            if name in (link.source, link.target)
        ]

    def cut(self, one: str, other: str) -> None:
        """Refuse and reset all connections between two names."""
        for proxy in self.between(one, other):
            proxy.set(_faults.CUT)

    def blackhole(self, one: str, other: str) -> None:
        """Discard everything sent between two names."""
        for proxy in self.between(one, other):
            proxy.set(_faults.BLACKHOLE)

    def cut_one_way(self, sender: str, receiver: str) -> None:
        """Discard what one name sends to another, on links either opens."""
        for link, proxy in self._links.items():
            match (link.source, link.target):
                case (source, target) if (source, target) == (
                    sender,
                    receiver,
                ):
                    proxy.change(forward=_faults.Flow.DISCARD)
                case (source, target) if (source, target) == (
                    receiver,
                    sender,
                ):
                    proxy.change(backward=_faults.Flow.DISCARD)

    def isolate(
        self, name: str, faults: _faults.Faults = _faults.BLACKHOLE
    ) -> None:
        """Apply faults to all links of a name."""
        for proxy in self.links_of(name):
            proxy.set(faults)

    def silence(self, one: str, other: str) -> None:
        """Silence the open connections between two names permanently."""
        for proxy in self.between(one, other):
            proxy.silence()

    def heal(self) -> None:
        """Remove the faults of all links."""
        for proxy in self._links.values():
            proxy.heal()
