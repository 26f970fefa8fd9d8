"""Report of the leader's load."""

import prometheus_client
import structlog.testing

from dandeliondrum.jobs import _leader_load
from dandeliondrum.jobs import _metrics
from dandeliondrum.jobs import _processor_parts


def test_a_report_holds_what_happened_since_the_last_one():
    load = _leader_load.LeaderLoad(_metrics.Metrics())
    load.record_starts(3)
    load.record_advice_call()
    load.record_round(0.02, 0.005, 0.010)
    load.record_round(0.04, 0.001, 0.030)
    load.record_command(0.25)
    load.record_waiting(7, 9)
    load.record_fleet(0.25, 2)
    load.record_fleet(0.15, 4)
    with structlog.testing.capture_logs() as lines:
        load.report()
        load.report()
    first, second = lines
    assert first['starts_count'] == 3
    assert first['rounds_count'] == 2
    assert first['round_mean_ms'] == 30.0
    assert first['lock_wait_max_ms'] == 5.0
    assert first['lock_held_max_ms'] == 30.0
    assert first['command_max_ms'] == 250.0
    assert first['advice_calls_count'] == 1
    assert (first['waiting_steps_count'], first['open_jobs_count']) == (7, 9)
    assert first['fleet_free_cpu_share'] == 0.2
    assert first['late_steps_max_count'] == 4
    assert second['fleet_free_cpu_share'] is None
    assert second['rounds_count'] == second['starts_count'] == 0


def test_the_processor_time_by_part_is_a_metric():
    metrics = _metrics.Metrics()
    text = prometheus_client.generate_latest(metrics.registry).decode()
    assert 'dandeliondrum_jobs_processor_seconds_total{part="other"}' in text


def test_threads_of_a_controller_belong_to_parts():
    parts = {
        'leadership: scheduler': 'planning',
        'leadership: orders to w1': 'orders',
        'leadership: lists of w1': 'lists',
        'consensus: applier': 'apply',
        'consensus: peer c2': 'log',
        'outgoing-stream writer': 'log_streams',
        'incoming-stream_3': 'gateway_streams',
        'incoming-stream_3 writer': 'gateway_streams',
        'CP Server Thread-7': 'control_http',
        'timers': 'timers',
        'MainThread': _processor_parts.OTHER_PART,
    }
    assert {name: _processor_parts.part_of(name) for name in parts} == parts
