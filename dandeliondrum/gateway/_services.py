"""The parts of a gateway that its handlers share."""

import dataclasses

from dandeliondrum.gateway import _dispatch
from dandeliondrum.gateway import _leader_link
from dandeliondrum.gateway import _metrics
from dandeliondrum.gateway import _options
from dandeliondrum.gateway import _readiness
from dandeliondrum.gateway import _reporter
from dandeliondrum.gateway import _rules
from dandeliondrum.gateway import _submitter
from dandeliondrum.gateway import _waiters


@dataclasses.dataclass(frozen=True)
class Services:
    """What a handler needs besides its request."""

    options: _options.Options
    link: _leader_link.LeaderLink
    rules: _rules.RulesInForce
    waiters: _waiters.Waiters
    submitter: _submitter.Submitter
    reporter: _reporter.Reporter
    dispatcher: _dispatch.Dispatcher
    attempts_seen: _dispatch.AttemptsSeen
    readiness: _readiness.Readiness
    metrics: _metrics.Metrics
