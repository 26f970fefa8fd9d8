"""Runs the conformance test of the worker protocol on any worker."""

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
    """The result of one check; ``detail`` explains a failure."""

    name: str
    passed: bool
    detail: str = ''


def check_worker(
    gateway: _fake_gateway.FakeGateway,
    bodies: _subject.Bodies,
    announce_timeout_ms: int,
    checks: collections.abc.Iterable[Check] = CHECKS,
) -> collections.abc.Iterator[CheckResult]:
    """Wait for a worker to announce itself and yield a result per check.

    The worker has to use ``gateway`` as its only gateway. Without an
    announcement in time, yield one failed result named ``announce``.
    """
    if gateway.wait_for_announcement(announce_timeout_ms) is None:
        detail = '; '.join(gateway.bad_calls) or 'no worker announced itself'
        yield CheckResult('announce', False, detail)
        return
    subject = _subject.Subject(gateway, bodies)
    for check in checks:
        yield _run_check(check, subject)


def _run_check(check: Check, subject: _subject.Subject) -> CheckResult:
    name = check.__name__
    try:
        check(subject)
        subject.clean_up()
    except (_subject.ConformanceError, ValueError) as error:
        detail = str(error)
    except pycurl.error as error:
        detail = f'the worker did not answer: {error}'
    else:
        return CheckResult(name, True)
    with contextlib.suppress(_subject.ConformanceError):
        subject.clean_up()
    return CheckResult(name, False, detail)
