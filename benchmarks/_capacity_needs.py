"""Tables of the capacity page with values derived from measurements."""

from benchmarks import _capacity_format
from benchmarks import _capacity_model as model_lib

Rows = _capacity_format.Rows
Model = model_lib.Model
_fmt = _capacity_format.format_number


def needs(model: Model) -> Rows:
    """Return the resources that the target size needs."""
    rows: Rows = [('what', 'arithmetic', 'need')]
    for interval_ms in (model_lib.HEARTBEAT_MS, 1_000):
        heartbeats_per_s = model_lib.WORKERS_COUNT * 1_000 / interval_ms
        for role in ('leader', 'gateway'):
            cores = model.heartbeats_cores(role, interval_ms)
            rows.append(
                (
                    f'heartbeats every {interval_ms} ms: {role}',
                    f'{_fmt(heartbeats_per_s)}/s × '
                    f'{_fmt(model.heartbeat_us(role))} µs',
                    f'{_fmt(cores, 1)} cores',
                )
            )
    for kind in ('durable', 'waiting'):
        for role in ('leader', 'follower', 'gateway'):
            title = 'two followers' if role == 'follower' else role
            rows.append(
                (
                    f'starts, all {kind}: {title}',
                    f'{_fmt(model_lib.STARTS_PER_S)}/s × '
                    f'{_fmt(model.start_us(kind, role))} µs',
                    f'{_fmt(model.starts_cores(kind, role), 1)} cores',
                )
            )
    rows.append(_state_need(model))
    rows.append(
        (
            'one snapshot stops applying for',
            f'{_fmt(model.full["snapshot_ms"])} ms + '
            f'{_fmt(model.ended_at_peak_count)} × '
            f'{_fmt(model.snapshot_us_per_ended, 1)} µs',
            f'{_fmt(model.snapshot_pause_ms / 1_000, 1)} s',
        )
    )
    rows.append(_log_need(model))
    rows.append(_rules_need(model))
    check_us = model.full['check_us']
    rows.append(
        (
            'search for silent workers: leader',
            f'{model_lib.CHECKS_PER_S}/s × {_fmt(check_us)} µs',
            f'{_fmt(model_lib.CHECKS_PER_S * check_us / 1e6, 2)} cores',
        )
    )
    return rows


def _state_need(model: Model) -> tuple[str, ...]:
    return (
        'state of a controller at the peak',
        f'{_fmt(model_lib.RUNNING_COUNT)} × {_fmt(model.running_bytes)} B + '
        f'{_fmt(model.ended_at_peak_count)} × {_fmt(model.ended_bytes)} B + '
        f'{_fmt(model_lib.WORKERS_COUNT)} × {_fmt(model.worker_bytes)} B',
        f'{_fmt(model.state_bytes / 1e9, 1)} GB',
    )


def _log_need(model: Model) -> tuple[str, ...]:
    raw = model_lib.STARTS_PER_S * model.log_bytes
    packed = model_lib.STARTS_PER_S * model.log_zlib_bytes
    return (
        'log to each follower, all durable',
        f'{_fmt(model_lib.STARTS_PER_S)}/s × {_fmt(model.log_bytes)} B, '
        f'compressed {_fmt(model.log_zlib_bytes)} B',
        f'{_fmt(raw * 8 / 1e6, 1)} Mbit/s, compressed '
        f'{_fmt(packed * 8 / 1e6, 1)} Mbit/s',
    )


def _rules_need(model: Model) -> tuple[str, ...]:
    one = model.state['rules'][str(model_lib.TEAMS_COUNT)]
    per_day = model_lib.RULES_CHANGES_PER_DAY
    return (
        'rules, whole text to each gateway and follower',
        f'{_fmt(per_day)} a day × {_fmt(one["text_bytes"])} B',
        f'{_fmt(per_day * one["text_bytes"] / 1e9, 2)} GB a day for each, '
        f'{_fmt(per_day * one["apply_ms"] / 1_000 / 60, 1)} '
        'core minutes a day',
    )


def breaks(model: Model) -> Rows:
    """Return the size at which each limit is reached."""
    portion = model_lib.CORE_PORTION
    heartbeats_per_worker = 1_000 / model_lib.HEARTBEAT_MS
    rows: Rows = [('what breaks', 'limit', 'at', 'the target')]

    def add(what: str, limit: str, at: str, target: str) -> None:
        rows.append((what, limit, at, target))

    records = model_lib.PAUSE_MAX_MS * 1_000 / model.snapshot_us_per_running
    total = model_lib.RUNNING_COUNT + model.ended_at_peak_count
    add(
        'a snapshot stops the log from being applied',
        f'{model_lib.PAUSE_MAX_MS} ms',
        f'{_fmt(records)} tasks on record',
        _fmt(total),
    )
    for role in ('gateway', 'leader'):
        per_worker_us = heartbeats_per_worker * model.heartbeat_us(role)
        add(
            f'heartbeats through one {role}',
            f'{portion:.0%} of a core',
            f'{_fmt(portion * 1e6 / per_worker_us)} workers',
            _fmt(model_lib.WORKERS_COUNT),
        )
    for kind in ('durable', 'waiting'):
        for role in ('leader', 'gateway'):
            add(
                f'{kind} starts through one {role}',
                f'{portion:.0%} of a core',
                f'{_fmt(portion * 1e6 / model.start_us(kind, role))} a second',
                _fmt(model_lib.STARTS_PER_S),
            )
    memory_bytes = model_lib.VM_MEMORY_GB * 1e9 / 2
    add(
        'ended tasks fill a controller',
        f'half of {model_lib.VM_MEMORY_GB} GB',
        f'{_fmt(memory_bytes / model.ended_bytes)} ended tasks',
        _fmt(model.ended_at_peak_count),
    )
    add(
        'edits of the one rules file meet',
        f'half of the edits that take {model_lib.EDIT_S} s',
        f'{_fmt(0.6931 / model_lib.EDIT_S * model_lib.DAY_S)} changes a day',
        f'{_fmt(model_lib.RULES_CHANGES_PER_DAY)} '
        f'({model.conflict_portion():.0%} meet)',
    )
    add(
        "a worker's heartbeats in JSON, 500 ms",
        '3,000 bytes/s',
        f'{_fmt(model.node_running_max, 1)} tasks on one worker',
        f'{model_lib.RUNNING_COUNT / model_lib.WORKERS_COUNT:.1f} on average',
    )
    return rows


def vms(model: Model) -> Rows:
    """Return the numbers of VMs by heartbeat interval and kind of calls."""
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
            # Per shard, one core for the leader and as much again for the two
            # followers, which makes one VM of two cores.
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
