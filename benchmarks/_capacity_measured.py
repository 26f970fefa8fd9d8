"""Tables of the capacity page with measured values."""

from benchmarks import _capacity_format
from benchmarks import _capacity_model as model_lib

Rows = _capacity_format.Rows
Model = model_lib.Model
_fmt = _capacity_format.format_number
_sorted_numbers = _capacity_format.format_sorted


def runs(model: Model) -> Rows:
    """Return when each result was measured and under which load."""
    e2e = model.end_to_end
    loads = [one['load_after'] for one in e2e['durable'] + e2e['waiting']]
    sizes = model.state['sizes']
    state_loads = [one['load'] for one in sizes]
    heartbeats_loads = [one['load'] for one in model.heartbeats['runs']]
    rows: Rows = [('result', 'run at', 'load average beside it, 10 cores')]
    rows.append(
        ('state.json', model.state['started'], _min_to_max(state_loads))
    )
    rows.append(('end_to_end.json', e2e['started'], _min_to_max(loads)))
    found = model.failover['failover']
    failover_loads = [found['load'], found['load_after']]
    rows.append(
        (
            'failover.json',
            model.failover['started'],
            _min_to_max(failover_loads),
        )
    )
    rows.append(
        (
            'heartbeats.json',
            model.heartbeats['started'],
            _min_to_max(heartbeats_loads),
        )
    )
    started = str(model.placement['started'])
    rows.append(('placement_speed.json', started, 'not recorded'))
    return rows


def _min_to_max(values: list[float]) -> str:
    return f'{min(values):.1f} to {max(values):.1f}'


def state(model: Model) -> Rows:
    """Return the cost of the replicated state by size."""
    rows: Rows = [
        (
            'workers',
            'running',
            'ended',
            'assign, µs',
            'end, µs',
            'snapshot, ms',
            'reader waits, ms',
            'restore, ms',
            'snapshot, MB',
            'state, MB',
        )
    ]
    for one in model.state['sizes']:
        state_bytes = (
            one['rss_workers_bytes']
            + one['rss_running_bytes']
            + one['rss_ended_bytes']
        )
        rows.append(
            (
                _fmt(one['workers_count']),
                _fmt(one['running_count']),
                _fmt(one['ended_count']),
                _fmt(one['assign_us'], 1),
                _fmt(one['end_us'], 1),
                _fmt(one['snapshot_ms']),
                _fmt(one['snapshot_reader_wait_ms']),
                _fmt(one['restore_ms']),
                _fmt(one['snapshot_bytes'] / 1e6, 1),
                _fmt(state_bytes / 1e6, 1),
            )
        )
    return rows


def leader(model: Model) -> Rows:
    """Return the cost of the leader's work by size."""
    names = (
        ('heartbeat_decode_us', 'decode of one heartbeat, µs'),
        ('heartbeat_take_us', 'answer to one heartbeat, µs'),
        ('check_us', 'search for silent workers, every 250 ms, µs'),
        ('announce_us', 'one announcement, µs'),
        ('gateway_lost_us', 'loss of one gateway, µs'),
        ('forget_ended_us', 'search for what to forget, every 10 s, µs'),
        (
            'refuse_overdue_20000_waiting_us',
            'search for overdue among 20,000 waiting, every 100 ms, µs',
        ),
        ('rebuild_ms', 'a new leader fills its planner, ms'),
    )
    sizes = model.state['sizes']
    head = tuple(
        f'{_fmt(one["workers_count"])} / {_fmt(one["running_count"])}'
        f' / {_fmt(one["ended_count"])}'
        for one in sizes
    )
    rows: Rows = [('workers / running / ended', *head)]
    for name, title in names:
        rows.append((title, *(_fmt(one[name]) for one in sizes)))
    return rows


def rules(model: Model) -> Rows:
    """Return the times to parse and apply rules by number of teams."""
    rows: Rows = [('teams', 'text, bytes', 'parse, ms', 'apply, ms')]
    for teams, one in model.state['rules'].items():
        rows.append(
            (
                teams,
                _fmt(one['text_bytes']),
                _fmt(one['parse_ms'], 2),
                _fmt(one['apply_ms'], 2),
            )
        )
    return rows


def log(model: Model) -> Rows:
    """Return the bytes in the log for one task by batch size."""
    rows: Rows = [
        (
            'tasks in a command',
            'taken',
            'assigned (durable)',
            'assigned (waiting)',
            'ended',
            'durable, all, zlib',
        )
    ]
    for size, one in model.state['bytes'].items():
        zlib_bytes = (
            one['admit_zlib_bytes']
            + one['assign_durable_zlib_bytes']
            + one['end_zlib_bytes']
        )
        rows.append(
            (
                size,
                _fmt(one['admit_bytes']),
                _fmt(one['assign_durable_bytes']),
                _fmt(one['assign_bytes']),
                _fmt(one['end_bytes']),
                _fmt(zlib_bytes),
            )
        )
    return rows


def starts(model: Model) -> Rows:
    """Return rates, waiting times and costs of end-to-end runs."""
    e2e = model.end_to_end
    rows: Rows = [('measure', 'each run')]
    durable, waiting = e2e['durable'], e2e['waiting']
    rows.append(
        (
            'durable starts a second, middle four fifths',
            _sorted_numbers(one['starts_per_s'] for one in durable),
        )
    )
    rows.append(
        (
            'durable starts a second, from first submission to last start',
            _sorted_numbers(one['starts_per_s_overall'] for one in durable),
        )
    )
    rows.append(
        (
            f'waiting answers a second, {waiting[0]["callers_count"]} callers',
            _sorted_numbers(one['answers_per_s'] for one in waiting),
        )
    )
    for task_class in ('urgent', 'batch'):
        for name in ('start_p50_ms', 'start_p99_ms', 'answer_p99_ms'):
            kind, quantile, _ = name.split('_')
            rows.append(
                (
                    f'{task_class}: submission to {kind}, {quantile}, ms',
                    _sorted_numbers(one[task_class][name] for one in waiting),
                )
            )
    for role in ('leader', 'follower', 'gateway', 'worker'):
        rows.append(
            (
                f'{role}, all of the role: µs of processor time for one '
                'start, durable / waiting',
                f'{_fmt(model.start_us("durable", role))} / '
                f'{_fmt(model.start_us("waiting", role))}',
            )
        )
    return rows


def streams(model: Model) -> Rows:
    """Return the processor time, memory and traffic of each role."""
    rows: Rows = [
        ('role', 'cores', 'memory, MB', 'sent, KB/s', 'received, KB/s')
    ]
    for kind in ('durable', 'waiting'):
        one = model.end_to_end[kind][-1]
        for role in ('leader', 'follower', 'gateway', 'worker'):
            usage = one['roles'][role]
            rows.append(
                (
                    f'{kind}: {role}',
                    _fmt(usage['cpu_cores'], 2),
                    _fmt(usage['rss_mb']),
                    _fmt(usage['stream_sent_bytes_per_s'] / 1e3, 1),
                    _fmt(usage['stream_received_bytes_per_s'] / 1e3, 1),
                )
            )
    return rows


def failover(model: Model) -> Rows:
    """Return the gaps between answers after processes were killed."""
    found = model.failover['failover']
    rows: Rows = [('killed', 'longest gap without an answer, ms, each run')]
    for role, gaps in found['gaps_ms'].items():
        rows.append((role, _sorted_numbers(gaps)))
    return rows


def node(model: Model) -> Rows:
    """Return what the control traffic costs on one worker."""
    rows: Rows = [
        (
            'tasks running',
            'core',
            'memory, MB',
            'sent, bytes/s',
            'received, bytes/s',
            'of 3,000 bytes/s',
        )
    ]
    for one in model.end_to_end['node']:
        total = one['sent_bytes_per_s'] + one['received_bytes_per_s']
        rows.append(
            (
                str(one['running_count']),
                f'{one["cpu_portion"]:.1%}',
                _fmt(one['rss_mb']),
                _fmt(one['sent_bytes_per_s']),
                _fmt(one['received_bytes_per_s']),
                f'{total / model_lib.NODE_BYTES_PER_S:.0%}',
            )
        )
    return rows


def heartbeats(model: Model) -> Rows:
    """Return the rates and costs of heartbeats."""
    rows: Rows = [
        (
            'attempts in a heartbeat',
            'heartbeats a second',
            'gateway, cores',
            'gateway, µs each',
            'leader, cores',
            'leader, µs each',
        )
    ]
    for one in model.heartbeats['runs']:
        cells = [str(one['running_count']), _fmt(one['heartbeats_per_s'])]
        for role in ('gateway', 'leader'):
            cores = one['roles'][role]['cpu_cores']
            cells.append(_fmt(cores, 2))
            cells.append(_fmt(cores / one['heartbeats_per_s'] * 1e6))
        rows.append(tuple(cells))
    return rows


def placement(model: Model) -> Rows:
    """Return the times of one placement decision."""
    rows: Rows = [('workers', 'regime', 'decisions/s', 'p50, µs', 'p99, µs')]
    for one in model.placement['speed']:
        rows.append(
            (
                _fmt(one['workers_count']),
                one['regime'],
                _fmt(one['decisions_per_s']),
                _fmt(one['p50_us']),
                _fmt(one['p99_us']),
            )
        )
    return rows
