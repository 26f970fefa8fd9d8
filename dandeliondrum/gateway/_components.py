"""Components of a gateway that its request handlers share."""

import dataclasses

from dandeliondrum.gateway import _active_rules
from dandeliondrum.gateway import _dispatch
from dandeliondrum.gateway import _leader_link
from dandeliondrum.gateway import _metrics
from dandeliondrum.gateway import _options
from dandeliondrum.gateway import _readiness
from dandeliondrum.gateway import _reporter
from dandeliondrum.gateway import _submitter
from dandeliondrum.gateway import _waiters


@dataclasses.dataclass(frozen=True)
class Components:
    """Shared objects that the request handlers depend on."""

    options: _options.Options
    link: _leader_link.LeaderLink
    rules: _active_rules.ActiveRules
    waiters: _waiters.WaiterRegistry
    submitter: _submitter.Submitter
    reporter: _reporter.Reporter
    dispatcher: _dispatch.Dispatcher
    recent_attempts: _dispatch.RecentAttempts
    readiness: _readiness.Readiness
    metrics: _metrics.Metrics
