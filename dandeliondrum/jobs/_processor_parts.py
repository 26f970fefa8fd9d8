"""Parts of a controller's work by the names of its threads."""

OTHER_PART = 'other'

# The first prefix that matches a thread's name decides.
_PARTS = (
    ('leadership: scheduler', 'planning'),
    ('leadership: lists', 'lists'),
    ('leadership: speeds', 'speeds'),
    ('leadership: orders', 'orders'),
    ('consensus: applier', 'apply'),
    ('consensus', 'log'),
    ('outgoing-stream', 'log_streams'),
    ('incoming-stream', 'gateway_streams'),
    ('adviser-client', 'adviser'),
    ('http-server', 'control_http'),
    ('CP Server', 'control_http'),
    ('timers', 'timers'),
    ('log', 'logging'),
)


def part_of(thread_name: str) -> str:
    """Return the part to which a thread belongs."""
    for prefix, part in _PARTS:
        if thread_name.startswith(prefix):
            return part
    return OTHER_PART
