"""Public names of a package whose modules are imported at their first use."""

import collections.abc
import importlib
import typing


def import_on_use(
    package: str,
    names_by_module: collections.abc.Mapping[str, tuple[str, ...]],
) -> collections.abc.Callable[[str], typing.Any]:
    """Return the ``__getattr__`` of a package, see PEP 562.

    A process then imports only the modules whose names it uses, with all
    that these import. The names are also imported for type checkers, under
    ``typing.TYPE_CHECKING``.

    Example::

        __getattr__ = utils.import_on_use(__name__, {'_server': ('Server',)})
    """
    modules = {
        name: f'{package}.{module}'
        for module, names in names_by_module.items()
        for name in names
    }

    def load(name: str) -> typing.Any:
        if name not in modules:
            raise AttributeError(
                f'module {package!r} has no attribute {name!r}'
            )
        module = importlib.import_module(modules[name])
        value = getattr(module, name)
        # Later uses find it without this function.
        setattr(importlib.import_module(package), name, value)
        return value

    return load
