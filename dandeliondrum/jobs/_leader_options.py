"""Settings of a leader."""

import dataclasses

from dandeliondrum import messages


@dataclasses.dataclass(frozen=True)
class LeaderOptions:
    """Settings of a leader; see docs/PLATFORM.md.

    ``lease_ms`` is the duration of each lease, and ``lease_max_ms`` the
    longest lease that a worker accepts. ``voters_count`` is the number of
    voting controllers.
    """

    controller_id: messages.ControllerId
    lease_ms: int
    lease_max_ms: int
    ended_jobs_kept_ms: int
    voters_count: int
