"""Puts any worker to a test of the worker protocol."""

import collections.abc
import contextlib
import dataclasses

import pycurl

from dandeliondrum.testing import _conformance_calls
from dandeliondrum.testing import _conformance_heartbeats
from dandeliondrum.testing import _fake_gateway
from dandeliondrum.testing import _subject

Check = collections.abc.Callable[[_subject.Subject], None]

CHECKS: tuple[Check, ...] = (
    *_conformance_calls.CHECKS,
    *_conformance_heartbeats.CHECKS,
)


@dataclasses.dataclass(frozen=True)
class CheckResult:
    """How one check went; ``detail`` says what was wrong."""

    name: str
    passed: bool
    detail: str = ''


def check_worker(
    gateway: _fake_gateway.FakeGateway,
    bodies: _subject.Bodies,
    announce_timeout_ms: int,
    checks: collections.abc.Iterable[Check] = CHECKS,
) -> collections.abc.Iterator[CheckResult]:
    """Yield the result of each check on the worker that announces itself.

    The worker has to use ``gateway`` as its only gateway.
    """
    if gateway.wait_for_announcement(announce_timeout_ms) is None:
        detail = '; '.join(gateway.bad) or 'no worker announced itself'
        yield CheckResult('announce', False, detail)
        return
    subject = _subject.Subject(gateway, bodies)
    for check in checks:
        yield _run(check, subject)


def _run(check: Check, subject: _subject.Subject) -> CheckResult:
    name = check.__name__
    try:
        check(subject)
        subject.clear()
    except (_subject.NotConforming, ValueError) as error:
        detail = str(error)
    except pycurl.error as error:
        detail = f'the worker did not answer: {error}'
    else:
        return CheckResult(name, True)
    with contextlib.suppress(_subject.NotConforming):
        subject.clear()
    return CheckResult(name, False, detail)
