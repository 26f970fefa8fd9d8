"""Resource usage of the teams, their shares and their upper limits."""

import collections.abc

from dandeliondrum import messages
from dandeliondrum.placement import _fleet
from dandeliondrum.placement import _tasks

# Weight of a team whose share is 0. It ranks last but can still use capacity
# that no other team needs.
MIN_WEIGHT = 0.001


class TeamAccount:
    """The usage and the limits of one team."""

    __slots__ = (
        'team_id',
        'grant',
        'running_count',
        'cpu_millicores',
        'memory_mb',
        'accelerators_count',
        'urgent_count',
        'services_count',
        'services_resources',
        'held_count',
        'held_resources',
    )

    def __init__(self, team_id: messages.TeamId) -> None:
        self.team_id = team_id
        self.grant: _tasks.TeamGrant | None = None
        self.running_count = 0
        self.cpu_millicores = 0
        self.memory_mb = 0
        self.accelerators_count = 0
        self.urgent_count = 0
        self.services_count = 0
        self.services_resources = messages.Resources(0, 0, 0)
        self.held_count = 0
        self.held_resources = messages.Resources(0, 0, 0)

    def count(self, task: _tasks.PendingTask, sign: int) -> None:
        """Add (1) or subtract (-1) the usage of a running task."""
        resources = task.resources
        self.running_count += sign
        self.cpu_millicores += sign * resources.cpu_millicores
        self.memory_mb += sign * resources.memory_mb
        self.accelerators_count += sign * resources.accelerators_count
        if task.task_class is messages.TaskClass.URGENT:
            self.urgent_count += sign
        if task.task_class is messages.TaskClass.SERVICE:
            self.services_count += sign
            services = self.services_resources
            self.services_resources = (
                services + resources if sign > 0 else services - resources
            )

    def hold(self, count: int, resources: messages.Resources) -> None:
        """Hold a part of the upper limits for the reserved tasks."""
        self.held_count = count
        self.held_resources = resources

    def allows(self, resources: messages.Resources, count: int = 1) -> bool:
        """Return whether ``count`` more tasks stay within the limits.

        ``resources`` is their sum. What is held counts as used.
        """
        grant = self.grant
        if grant is None:
            return False
        if (
            grant.running_max is not None
            and self.running_count + self.held_count + count
            > grant.running_max
        ):
            return False
        limit = grant.resources_max
        if limit is None:
            return True
        held = self.held_resources
        return (
            self.cpu_millicores
            + held.cpu_millicores
            + resources.cpu_millicores
            <= limit.cpu_millicores
            and self.memory_mb + held.memory_mb + resources.memory_mb
            <= limit.memory_mb
            and self.accelerators_count
            + held.accelerators_count
            + resources.accelerators_count
            <= limit.accelerators_count
        )

    def may_allow(self, resources: messages.Resources, count: int) -> bool:
        """Return whether ``count`` more tasks fit once others have ended.

        ``resources`` is their sum. The services of the team have no end.
        """
        grant = self.grant
        if grant is None:
            return False
        running_max = grant.running_max
        if running_max is not None and (
            self.services_count + count > running_max
        ):
            return False
        limit = grant.resources_max
        return limit is None or (self.services_resources + resources).fits_in(
            limit
        )

    def allows_held(self) -> bool:
        """Return whether the reserved tasks are within the limits now."""
        count, resources = self.held_count, self.held_resources
        self.hold(0, messages.Resources(0, 0, 0))
        allowed = self.allows(resources, count)
        self.hold(count, resources)
        return allowed

    def dominant_share(self, totals: _fleet.Totals) -> float:
        """Return the team's dominant share of the fleet, from 0 to 1.

        That is its largest fraction of any one resource; slots count as a
        resource.
        """
        share = self.running_count / (totals.slots_count or 1)
        cpu = self.cpu_millicores / (totals.cpu_millicores or 1)
        if cpu > share:
            share = cpu
        memory = self.memory_mb / (totals.memory_mb or 1)
        if memory > share:
            share = memory
        if self.accelerators_count:
            accelerators = self.accelerators_count / (
                totals.accelerators_count or 1
            )
            share = max(share, accelerators)
        return share

    def dominant_share_of(
        self,
        resources: messages.Resources,
        count: int,
        totals: _fleet.Totals,
    ) -> float:
        """Return the dominant share of ``count`` tasks of this sum."""
        return max(
            count / (totals.slots_count or 1),
            resources.cpu_millicores / (totals.cpu_millicores or 1),
            resources.memory_mb / (totals.memory_mb or 1),
            resources.accelerators_count / (totals.accelerators_count or 1),
        )

    def weight(self) -> float:
        """Return the granted share as a positive weight."""
        if self.grant is None:
            return MIN_WEIGHT
        return max(self.grant.share, MIN_WEIGHT)


class Teams:
    """The accounts of all teams that have a grant or running tasks."""

    def __init__(self) -> None:
        self.accounts: dict[messages.TeamId, TeamAccount] = {}

    def set_grants(
        self,
        grants: collections.abc.Mapping[messages.TeamId, _tasks.TeamGrant],
    ) -> None:
        """Replace all grants."""
        for account in self.accounts.values():
            account.grant = None
        for team_id, grant in grants.items():
            self.account(team_id).grant = grant

    def account(self, team_id: messages.TeamId) -> TeamAccount:
        """Return the account of a team, created if there is none."""
        account = self.accounts.get(team_id)
        if account is None:
            account = TeamAccount(team_id)
            self.accounts[team_id] = account
        return account

    def granted(self, team_id: messages.TeamId) -> bool:
        """Return whether the team has a grant."""
        account = self.accounts.get(team_id)
        return account is not None and account.grant is not None
