"""Metrics of a job controller, in a separate registry."""

import collections.abc

import prometheus_client
from prometheus_client import metrics_core
from prometheus_client import registry

from dandeliondrum.jobs import _processor_parts
from dandeliondrum.jobs import speeds
from dandeliondrum import utils

WAIT_BUCKETS_SECONDS = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.6,
    3.2,
    6.4,
    12.8,
    30.0,
)

LAG_BUCKETS_SECONDS = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
)


class _ProcessorTimeCollector(registry.Collector):
    """Reads the processor time by part when metrics are collected."""

    def __init__(self, processor_time: utils.ProcessorTime) -> None:
        self._processor_time = processor_time

    def collect(self) -> collections.abc.Iterator[metrics_core.Metric]:
        family = metrics_core.CounterMetricFamily(
            'dandeliondrum_jobs_processor_seconds',
            'Processor time of the controller, by part',
            labels=('part',),
        )
        for part, value in self._processor_time.read().items():
            family.add_metric((part,), value)
        yield family


class Metrics:
    """Counters, gauges and histograms of a job controller."""

    def __init__(self) -> None:
        self.registry = registry.CollectorRegistry()
        self.processor_time = utils.ProcessorTime(_processor_parts.part_of)
        self.registry.register(_ProcessorTimeCollector(self.processor_time))
        self.leading = prometheus_client.Gauge(
            'dandeliondrum_jobs_leading',
            'Whether this controller leads',
            registry=self.registry,
        )
        self.open_jobs = prometheus_client.Gauge(
            'dandeliondrum_jobs_open',
            'Jobs that have not ended',
            registry=self.registry,
        )
        self.contended_pools = prometheus_client.Gauge(
            'dandeliondrum_jobs_contended_pools',
            'Pools in which the due work did not fit in the last round',
            registry=self.registry,
        )
        self.waiting_steps = prometheus_client.Gauge(
            'dandeliondrum_jobs_waiting_steps',
            'Due steps before the last round, by cause of their position',
            ('cause',),
            registry=self.registry,
        )
        self.usable_workers = prometheus_client.Gauge(
            'dandeliondrum_jobs_usable_workers',
            'Workers that are given tasks now',
            registry=self.registry,
        )
        self.accepted = prometheus_client.Counter(
            'dandeliondrum_jobs_accepted',
            'Jobs that were accepted, by queue',
            ('queue',),
            registry=self.registry,
        )
        self.submissions_refused = prometheus_client.Counter(
            'dandeliondrum_jobs_submissions_refused',
            'Jobs that were refused while the leader was overloaded, by queue',
            ('queue',),
            registry=self.registry,
        )
        self.start_delay_seconds = prometheus_client.Gauge(
            'dandeliondrum_jobs_start_delay_seconds',
            'Expected time from a submission to the order to start a task',
            registry=self.registry,
        )
        self.assigned = prometheus_client.Counter(
            'dandeliondrum_jobs_runs_assigned',
            'Runs that were assigned',
            registry=self.registry,
        )
        self.ended = prometheus_client.Counter(
            'dandeliondrum_jobs_runs_ended',
            'Runs whose end was recorded, by outcome',
            ('outcome',),
            registry=self.registry,
        )
        self.worker_crashes = prometheus_client.Counter(
            'dandeliondrum_jobs_worker_crashes',
            'Workers that crashed with runs assigned to them',
            registry=self.registry,
        )
        self.crashed_runs = prometheus_client.Counter(
            'dandeliondrum_jobs_runs_crashed',
            'Runs whose worker crashed, by suspicion',
            ('suspicion',),
            registry=self.registry,
        )
        self.given_up = prometheus_client.Counter(
            'dandeliondrum_jobs_given_up',
            'Jobs that were given up because a task crashes workers',
            registry=self.registry,
        )
        self.refused = prometheus_client.Counter(
            'dandeliondrum_jobs_starts_refused',
            'Starts that workers refused, by reason',
            ('reason',),
            registry=self.registry,
        )
        self.evacuated_domains = prometheus_client.Gauge(
            'dandeliondrum_jobs_evacuated_domains',
            'Failure domains in which no task is started',
            registry=self.registry,
        )
        self.withheld = prometheus_client.Counter(
            'dandeliondrum_jobs_starts_withheld',
            'Starts that were not sent as the failure domain was evacuated',
            registry=self.registry,
        )
        self.misplaced = prometheus_client.Counter(
            'dandeliondrum_jobs_runs_misplaced',
            'Runs that were stopped to be placed elsewhere, by reason',
            ('reason',),
            registry=self.registry,
        )
        self.stuck = prometheus_client.Counter(
            'dandeliondrum_jobs_runs_stuck',
            'Assigned runs on which no thread acted, by cause',
            ('cause',),
            registry=self.registry,
        )
        self.preempted = prometheus_client.Counter(
            'dandeliondrum_jobs_runs_preempted',
            'Runs that were stopped to make room for more urgent work',
            registry=self.registry,
        )
        self.first_start_seconds = prometheus_client.Histogram(
            'dandeliondrum_jobs_first_start_seconds',
            "Time from a job's acceptance to its first assignment, by queue",
            ('queue',),
            buckets=WAIT_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.advice_seconds = prometheus_client.Histogram(
            'dandeliondrum_jobs_advice_seconds',
            'Time of a call to the adviser, by outcome',
            ('outcome',),
            buckets=WAIT_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.round_seconds = prometheus_client.Histogram(
            'dandeliondrum_jobs_round_seconds',
            'Time of a round of planning with a demand',
            buckets=WAIT_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.lock_wait_seconds = prometheus_client.Histogram(
            'dandeliondrum_jobs_round_lock_wait_seconds',
            "Time that a round waited for the leader's locks",
            buckets=LAG_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.lock_held_seconds = prometheus_client.Histogram(
            'dandeliondrum_jobs_round_lock_held_seconds',
            "Time that a round held the leader's locks",
            buckets=LAG_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.command_seconds = prometheus_client.Histogram(
            'dandeliondrum_jobs_command_seconds',
            'Time from the proposal of a command to its result',
            buckets=LAG_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.workers_by_speed = prometheus_client.Gauge(
            'dandeliondrum_jobs_workers_by_speed',
            'Workers with a measured speed, by pool and tier',
            ('pool', 'tier'),
            registry=self.registry,
        )
        self.pool_speed = prometheus_client.Gauge(
            'dandeliondrum_jobs_pool_speed',
            "Median speed of a pool's workers relative to callers' estimates",
            ('pool',),
            registry=self.registry,
        )

    def record_speeds(self, pool_name: str, pool: speeds.PoolSpeeds) -> None:
        """Set the gauges of the speeds of a pool."""
        self.pool_speed.labels(pool_name).set(pool.rate)
        for tier in speeds.Tier:
            self.workers_by_speed.labels(pool_name, tier.value).set(
                pool.count(tier)
            )
