"""Tests of the packages whose modules are imported at first use."""

import importlib
import subprocess
import sys

import pytest

from dandeliondrum import gateway

PACKAGES = (
    'dandeliondrum.gateway',
    'dandeliondrum.http_server',
    'dandeliondrum.messages',
    'dandeliondrum.observability',
)


@pytest.mark.parametrize('package', PACKAGES)
def test_no_public_name_is_missing(package):
    module = importlib.import_module(package)
    for name in module.__all__:
        assert getattr(module, name) is not None


@pytest.mark.parametrize('package', PACKAGES)
def test_no_public_name_depends_on_what_was_imported_before(package):
    names = importlib.import_module(package).__all__
    program = f"""
import importlib, sys
module = importlib.import_module({package!r})
value = getattr(module, sys.argv[1])
assert vars(module)[sys.argv[1]] is value
"""
    running = [
        subprocess.Popen([sys.executable, '-c', program, name])
        for name in sorted({names[0], names[len(names) // 2], names[-1]})
    ]
    assert [process.wait(60) for process in running] == [0] * len(running)


def test_an_unknown_name_is_an_attribute_error():
    with pytest.raises(AttributeError, match="no attribute 'Gatewy'"):
        gateway.Gatewy  # noqa: B018
