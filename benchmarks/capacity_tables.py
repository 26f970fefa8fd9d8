"""Makes the tables of docs/CAPACITY.md from the results of the benches.

Each table stands between ``<!-- table: NAME -->`` and ``<!-- end -->``::

    python -m benchmarks.capacity_tables
"""

import collections.abc
import pathlib
import re

from benchmarks import _capacity_model as model_lib

import fire

ROOT = pathlib.Path(__file__).parent.parent
MARK = re.compile(r'(<!-- table: ([a-z_]+) -->\n).*?(<!-- end -->)', re.DOTALL)

Rows = list[tuple[str, ...]]
Model = model_lib.Model


def run(
    page: str = str(ROOT / 'docs' / 'CAPACITY.md'),
    results: str = str(ROOT / 'benchmarks' / 'results'),
) -> None:
    """Rewrite the tables of the page in place."""
    path = pathlib.Path(page)
    model = model_lib.load(pathlib.Path(results))
    path.write_text(filled(path.read_text(), model))


def filled(text: str, model: Model) -> str:
    """Return the page with its tables; unknown names raise KeyError."""

    def table(found: re.Match[str]) -> str:
        rows = TABLES[found[2]](model)
        return f'{found[1]}{_markdown(rows)}{found[3]}'

    return MARK.sub(table, text)


def _markdown(rows: Rows) -> str:
    head, *body = rows
    lines = [head, tuple('---' for _ in head), *body]
    return ''.join(f'| {" | ".join(line)} |\n' for line in lines)


def _n(value: float, digits: int = 0) -> str:
    return f'{value:,.{digits}f}'


def _span(values: collections.abc.Iterable[float], digits: int = 0) -> str:
    found = sorted(values)
    return ', '.join(_n(one, digits) for one in found)


def _runs(model: Model) -> Rows:
    e2e = model.end_to_end
    loads = [one['load_after'] for one in e2e['durable'] + e2e['waiting']]
    sizes = model.state['sizes']
    state_loads = [one['load'] for one in sizes]
    beats_loads = [one['load'] for one in model.beats['runs']]
    rows: Rows = [('result', 'run at', 'load average beside it, 10 cores')]
    rows.append(('state.json', model.state['started'], _ends(state_loads)))
    rows.append(('end_to_end.json', e2e['started'], _ends(loads)))
    rows.append(('beats.json', model.beats['started'], _ends(beats_loads)))
    started = str(model.placement['started'])
    rows.append(('placement_speed.json', started, 'not recorded'))
    return rows


def _ends(values: list[float]) -> str:
    return f'{min(values):.1f} to {max(values):.1f}'


def _state(model: Model) -> Rows:
    rows: Rows = [
        (
            'workers',
            'running',
            'ended',
            'assign, µs',
            'end, µs',
            'snapshot, ms',
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
                _n(one['restore_ms']),
                _n(one['snapshot_bytes'] / 1e6, 1),
                _n(state_bytes / 1e6, 1),
            )
        )
    return rows


def _leader(model: Model) -> Rows:
    names = (
        ('beat_decode_us', 'decode of one heartbeat, µs'),
        ('beat_take_us', 'answer to one heartbeat, µs'),
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


def _rules(model: Model) -> Rows:
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


def _log(model: Model) -> Rows:
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


def _starts(model: Model) -> Rows:
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
            'durable starts a second, from first hand-in to last start',
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
                    f'{task_class}: hand-in to {kind}, {quantile}, ms',
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


def _streams(model: Model) -> Rows:
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


def _failover(model: Model) -> Rows:
    found = model.end_to_end['failover']
    rows: Rows = [('killed', 'longest gap without an answer, ms, each run')]
    for role, gaps in found['gaps_ms'].items():
        rows.append((role, _span(gaps)))
    return rows


def _node(model: Model) -> Rows:
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


def _beats(model: Model) -> Rows:
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
    for one in model.beats['runs']:
        cells = [str(one['running_count']), _n(one['beats_per_s'])]
        for role in ('gateway', 'leader'):
            cores = one['roles'][role]['cpu_cores']
            cells.append(_n(cores, 2))
            cells.append(_n(cores / one['beats_per_s'] * 1e6))
        rows.append(tuple(cells))
    return rows


def _needs(model: Model) -> Rows:
    rows: Rows = [('what', 'arithmetic', 'need')]
    for interval_ms in (model_lib.HEARTBEAT_MS, 1_000):
        beats_per_s = model_lib.WORKERS_COUNT * 1_000 / interval_ms
        for role in ('leader', 'gateway'):
            rows.append(
                (
                    f'heartbeats every {interval_ms} ms: {role}',
                    f'{_n(beats_per_s)}/s × {_n(model.beat_us(role))} µs',
                    f'{_n(model.beats_cores(role, interval_ms), 1)} cores',
                )
            )
    for kind in ('durable', 'waiting'):
        for role in ('leader', 'follower', 'gateway'):
            title = 'two followers' if role == 'follower' else role
            rows.append(
                (
                    f'starts, all {kind}: {title}',
                    f'{_n(model_lib.STARTS_PER_S)}/s × '
                    f'{_n(model.start_us(kind, role))} µs',
                    f'{_n(model.starts_cores(kind, role), 1)} cores',
                )
            )
    rows.append(_state_need(model))
    rows.append(
        (
            'one snapshot holds the state',
            f'{_n(model.full["snapshot_ms"])} ms + '
            f'{_n(model.ended_at_peak_count)} × '
            f'{_n(model.snapshot_us_per_ended, 1)} µs',
            f'{_n(model.snapshot_pause_ms / 1_000, 1)} s',
        )
    )
    rows.append(_log_need(model))
    rows.append(_rules_need(model))
    check_us = model.full['check_us']
    rows.append(
        (
            'search for silent workers: leader',
            f'{model_lib.CHECKS_PER_S}/s × {_n(check_us)} µs',
            f'{_n(model_lib.CHECKS_PER_S * check_us / 1e6, 2)} cores',
        )
    )
    return rows


def _state_need(model: Model) -> tuple[str, ...]:
    return (
        'state of a controller at the peak',
        f'{_n(model_lib.RUNNING_COUNT)} × {_n(model.running_bytes)} B + '
        f'{_n(model.ended_at_peak_count)} × {_n(model.ended_bytes)} B + '
        f'{_n(model_lib.WORKERS_COUNT)} × {_n(model.worker_bytes)} B',
        f'{_n(model.state_bytes / 1e9, 1)} GB',
    )


def _log_need(model: Model) -> tuple[str, ...]:
    raw = model_lib.STARTS_PER_S * model.log_bytes
    packed = model_lib.STARTS_PER_S * model.log_zlib_bytes
    return (
        'log to each follower, all durable',
        f'{_n(model_lib.STARTS_PER_S)}/s × {_n(model.log_bytes)} B, '
        f'compressed {_n(model.log_zlib_bytes)} B',
        f'{_n(raw * 8 / 1e6, 1)} Mbit/s, compressed '
        f'{_n(packed * 8 / 1e6, 1)} Mbit/s',
    )


def _rules_need(model: Model) -> tuple[str, ...]:
    one = model.state['rules'][str(model_lib.TEAMS_COUNT)]
    per_day = model_lib.RULES_CHANGES_PER_DAY
    return (
        'rules, whole text to each gateway and follower',
        f'{_n(per_day)} a day × {_n(one["text_bytes"])} B',
        f'{_n(per_day * one["text_bytes"] / 1e9, 2)} GB a day for each, '
        f'{_n(per_day * one["apply_ms"] / 1_000 / 60, 1)} core minutes a day',
    )


def _breaks(model: Model) -> Rows:
    portion = model_lib.CORE_PORTION
    beats_per_worker = 1_000 / model_lib.HEARTBEAT_MS
    rows: Rows = [('what breaks', 'limit', 'at', 'the target')]

    def add(what: str, limit: str, at: str, target: str) -> None:
        rows.append((what, limit, at, target))

    records = model_lib.PAUSE_MAX_MS * 1_000 / model.snapshot_us_per_running
    total = model_lib.RUNNING_COUNT + model.ended_at_peak_count
    add(
        'a snapshot stops the log from being applied',
        f'{model_lib.PAUSE_MAX_MS} ms',
        f'{_n(records)} tasks on record',
        _n(total),
    )
    for role in ('gateway', 'leader'):
        per_worker_us = beats_per_worker * model.beat_us(role)
        add(
            f'heartbeats through one {role}',
            f'{portion:.0%} of a core',
            f'{_n(portion * 1e6 / per_worker_us)} workers',
            _n(model_lib.WORKERS_COUNT),
        )
    for kind in ('durable', 'waiting'):
        for role in ('leader', 'gateway'):
            add(
                f'{kind} starts through one {role}',
                f'{portion:.0%} of a core',
                f'{_n(portion * 1e6 / model.start_us(kind, role))} a second',
                _n(model_lib.STARTS_PER_S),
            )
    room_bytes = model_lib.VM_MEMORY_GB * 1e9 / 2
    add(
        'ended tasks fill a controller',
        f'half of {model_lib.VM_MEMORY_GB} GB',
        f'{_n(room_bytes / model.ended_bytes)} ended tasks',
        _n(model.ended_at_peak_count),
    )
    add(
        'edits of the one rules file meet',
        f'half of the edits that take {model_lib.EDIT_S} s',
        f'{_n(0.6931 / model_lib.EDIT_S * model_lib.DAY_S)} changes a day',
        f'{_n(model_lib.RULES_CHANGES_PER_DAY)} '
        f'({model.conflict_portion():.0%} meet)',
    )
    add(
        "a worker's heartbeats in JSON, 500 ms",
        '3,000 bytes/s',
        f'{_n(model.node_running_max, 1)} tasks on one worker',
        f'{model_lib.RUNNING_COUNT / model_lib.WORKERS_COUNT:.1f} on average',
    )
    return rows


def _vms(model: Model) -> Rows:
    rows: Rows = [
        (
            'heartbeats every',
            'calls',
            'leaders of shards',
            'gateway processes',
            'VMs for gateways',
            'VMs for shards',
            'VMs in all, of 22',
        )
    ]
    cores = model_lib.VM_CORES
    for interval_ms in (500, 1_000, 2_000):
        for kind in ('durable', 'waiting'):
            shards = model.shards_count(kind, interval_ms)
            gateways = model.gateways_count(kind, interval_ms)
            gateway_vms = -(-gateways // cores)
            # A leader, and as much again for two followers' work.
            shard_vms = max(model_lib.VOTERS_COUNT, shards)
            rows.append(
                (
                    f'{interval_ms} ms',
                    kind,
                    str(shards),
                    str(gateways),
                    str(gateway_vms),
                    str(shard_vms),
                    str(gateway_vms + shard_vms),
                )
            )
    return rows


def _placement(model: Model) -> Rows:
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


TABLES: dict[str, collections.abc.Callable[[Model], Rows]] = {
    'runs': _runs,
    'state': _state,
    'leader': _leader,
    'rules': _rules,
    'log': _log,
    'starts': _starts,
    'streams': _streams,
    'failover': _failover,
    'node': _node,
    'beats': _beats,
    'placement': _placement,
    'needs': _needs,
    'breaks': _breaks,
    'vms': _vms,
}


if __name__ == '__main__':
    fire.Fire(run)
