"""Options of the links from the programs to controllers."""

from dandeliondrum import jobs
from dandeliondrum import messages
from dandeliondrum.platform import _settings

CELL_ID = messages.CellId('jobs')


def make_link_options(settings: _settings.Settings) -> jobs.LinkOptions:
    """Return the options of a link to the leading controller."""
    return jobs.LinkOptions(
        messages.GatewayId(settings.ip),
        CELL_ID,
        settings.region,
        settings.failure_domain,
        settings.controllers,
    )
