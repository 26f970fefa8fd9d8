"""Many links, named by the machines at their ends."""

import contextlib
import dataclasses

from dandeliondrum.testing import _faults
from dandeliondrum.testing import _proxy


@dataclasses.dataclass(frozen=True)
class LinkName:
    """Who dials, whom, and which of its ports."""

    source: str
    target: str
    port: str = ''


class ProxyMesh:
    """Proxies for pairs of names; a cut between two names cuts all of them.

    Example::

        with testing.ProxyMesh(seed=7) as mesh:
            dialled = mesh.link('gateway1', 'controller1', '127.0.0.1:7201')
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
        own_address: str = '127.0.0.1:0',
    ) -> str:
        """Open a link; returns the ``host:port`` that the source dials."""
        name = LinkName(source, target, port)
        if name in self._links:
            raise ValueError(f'{name} exists')
        seed = self._seed * 1_000 + len(self._links)
        proxy = _proxy.Proxy(address, own_address, seed)
        self._links[name] = self._resources.enter_context(proxy)
        return proxy.address

    def proxy(self, source: str, target: str, port: str = '') -> _proxy.Proxy:
        """Return the proxy of one link."""
        return self._links[LinkName(source, target, port)]

    def between(self, one: str, other: str) -> list[_proxy.Proxy]:
        """Return all links between two names, whoever dials."""
        return [
            proxy
            for name, proxy in self._links.items()
            if {name.source, name.target} == {one, other}
        ]

    def of(self, name: str) -> list[_proxy.Proxy]:
        """Return all links of one name, whoever dials."""
        return [
            proxy
            for link, proxy in self._links.items()
            if name in (link.source, link.target)
        ]

    def cut(self, one: str, other: str) -> None:
        """Refuse and reset everything between two names."""
        for proxy in self.between(one, other):
            proxy.set(_faults.CUT)

    def blackhole(self, one: str, other: str) -> None:
        """Swallow everything between two names."""
        for proxy in self.between(one, other):
            proxy.set(_faults.BLACKHOLE)

    def cut_one_way(self, sender: str, receiver: str) -> None:
        """Swallow what one name sends to another, whoever dials."""
        for link, proxy in self._links.items():
            match (link.source, link.target):
                case (first, second) if (first, second) == (sender, receiver):
                    proxy.change(forward=_faults.Flow.SWALLOW)
                case (first, second) if (first, second) == (receiver, sender):
                    proxy.change(backward=_faults.Flow.SWALLOW)

    def isolate(
        self, name: str, faults: _faults.Faults = _faults.BLACKHOLE
    ) -> None:
        """Put faults on all links of a name."""
        for proxy in self.of(name):
            proxy.set(faults)

    def silence(self, one: str, other: str) -> None:
        """Make what is open between two names silent for good."""
        for proxy in self.between(one, other):
            proxy.silence()

    def heal(self) -> None:
        """Take all faults of all links away."""
        for proxy in self._links.values():
            proxy.heal()
