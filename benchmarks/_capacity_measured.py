"""Tables of the capacity page that hold what was measured."""

from benchmarks import _capacity_format
from benchmarks import _capacity_model as model_lib

Rows = _capacity_format.Rows
Model = model_lib.Model
_n = _capacity_format.number
_span = _capacity_format.listed


def runs(model: Model) -> Rows:
    """Return when each result was measured."""
    e2e = model.end_to_end
    loads = [one['load_after'] for one in e2e['durable'] + e2e['waiting']]
    sizes = model.state['sizes']
    state_loads = [one['load'] for one in sizes]
    heartbeats_loads = [one['load'] for one in model.heartbeats['runs']]
    rows: Rows = [('result', 'run at', 'load average beside it, 10 cores')]
    rows.append(('state.json', model.state['started'], _ends(state_loads)))
    rows.append(('end_to_end.json', e2e['started'], _ends(loads)))
    found = model.failover['failover']
    failover_loads = [found['load'], found['load_after']]
    rows.append(
        ('failover.json', model.failover['started'], _ends(failover_loads))
    )
    rows.append(
        (
            'heartbeats.json',
            model.heartbeats['started'],
            _ends(heartbeats_loads),
        )
    )
    started = str(model.placement['started'])
    rows.append(('placement_speed.json', started, 'not recorded'))
    return rows


def _ends(values: list[float]) -> str:
    return f'{min(values):.1f} to {max(values):.1f}'


def state(model: Model) -> Rows:
    """Return the slopes of the replicated state."""
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
                _n(one['workers_count']),
                _n(one['running_count']),
                _n(one['ended_count']),
                _n(one['assign_us'], 1),
                _n(one['end_us'], 1),
                _n(one['snapshot_ms']),
                _n(one['snapshot_reader_wait_ms']),
                _n(one['restore_ms']),
                _n(one['snapshot_bytes'] / 1e6, 1),
                _n(state_bytes / 1e6, 1),
            )
        )
    return rows


def leader(model: Model) -> Rows:
    """Return the slopes of the leader's own work."""
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
        f'{_n(one["workers_count"])} / {_n(one["running_count"])}'
        f' / {_n(one["ended_count"])}'
        for one in sizes
    )
    rows: Rows = [('workers / running / ended', *head)]
    for name, title in names:
        rows.append((title, *(_n(one[name]) for one in sizes)))
    return rows


def rules(model: Model) -> Rows:
    """Return times of rules by teams."""
    rows: Rows = [('teams', 'text, bytes', 'parse, ms', 'apply, ms')]
    for teams, one in model.state['rules'].items():
        rows.append(
            (
                teams,
                _n(one['text_bytes']),
                _n(one['parse_ms'], 2),
                _n(one['apply_ms'], 2),
            )
        )
    return rows


def log(model: Model) -> Rows:
    """Return bytes in the log for one task."""
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
                _n(one['admit_bytes']),
                _n(one['assign_durable_bytes']),
                _n(one['assign_bytes']),
                _n(one['end_bytes']),
                _n(zlib_bytes),
            )
        )
    return rows


def starts(model: Model) -> Rows:
    """Return rates, waits and costs end to end."""
    e2e = model.end_to_end
    rows: Rows = [('measure', 'each run')]
    durable, waiting = e2e['durable'], e2e['waiting']
    rows.append(
        (
            'durable starts a second, middle four fifths',
            _span(one['starts_per_s'] for one in durable),
        )
    )
    rows.append(
        (
            'durable starts a second, from first submission to last start',
            _span(one['starts_per_s_overall'] for one in durable),
        )
    )
    rows.append(
        (
            f'waiting answers a second, {waiting[0]["callers_count"]} callers',
            _span(one['answers_per_s'] for one in waiting),
        )
    )
    for task_class in ('urgent', 'batch'):
        for name in ('start_p50_ms', 'start_p99_ms', 'answer_p99_ms'):
            kind, quantile, _ = name.split('_')
            rows.append(
                (
                    f'{task_class}: submission to {kind}, {quantile}, ms',
                    _span(one[task_class][name] for one in waiting),
                )
            )
    for role in ('leader', 'follower', 'gateway', 'worker'):
        rows.append(
            (
                f'{role}, all of the role: µs of processor time for one '
                'start, durable / waiting',
                f'{_n(model.start_us("durable", role))} / '
                f'{_n(model.start_us("waiting", role))}',
            )
        )
    return rows


def streams(model: Model) -> Rows:
    """Return what each role used."""
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
                    _n(usage['cpu_cores'], 2),
                    _n(usage['rss_mb']),
                    _n(usage['stream_sent_bytes_per_s'] / 1e3, 1),
                    _n(usage['stream_received_bytes_per_s'] / 1e3, 1),
                )
            )
    return rows


def failover(model: Model) -> Rows:
    """Return gaps after kills."""
    found = model.failover['failover']
    rows: Rows = [('killed', 'longest gap without an answer, ms, each run')]
    for role, gaps in found['gaps_ms'].items():
        rows.append((role, _span(gaps)))
    return rows


def node(model: Model) -> Rows:
    """Return one worker's own share."""
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
                _n(one['rss_mb']),
                _n(one['sent_bytes_per_s']),
                _n(one['received_bytes_per_s']),
                f'{total / model_lib.NODE_BYTES_PER_S:.0%}',
            )
        )
    return rows


def heartbeats(model: Model) -> Rows:
    """Return costs of heartbeats."""
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
        cells = [str(one['running_count']), _n(one['heartbeats_per_s'])]
        for role in ('gateway', 'leader'):
            cores = one['roles'][role]['cpu_cores']
            cells.append(_n(cores, 2))
            cells.append(_n(cores / one['heartbeats_per_s'] * 1e6))
        rows.append(tuple(cells))
    return rows


def placement(model: Model) -> Rows:
    """Return times of one decision."""
    rows: Rows = [('workers', 'regime', 'decisions/s', 'p50, µs', 'p99, µs')]
    for one in model.placement['speed']:
        rows.append(
            (
                _n(one['workers_count']),
                one['regime'],
                _n(one['decisions_per_s']),
                _n(one['p50_us']),
                _n(one['p99_us']),
            )
        )
    return rows
