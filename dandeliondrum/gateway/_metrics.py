"""Prometheus metrics of one gateway."""

import prometheus_client
from prometheus_client import registry

LATENCY_BUCKETS_SECONDS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
    300.0,
)


class Metrics:
    """Counters, gauges and histograms in a registry of their own."""

    def __init__(self) -> None:
        self.registry = registry.CollectorRegistry()
        self.calls = prometheus_client.Counter(
            'dandeliondrum_gateway_calls',
            'Calls served, by route, status and outcome',
            ('route', 'status', 'outcome'),
            registry=self.registry,
        )
        self.call_seconds = prometheus_client.Histogram(
            'dandeliondrum_gateway_call_seconds',
            'Time from the head of a call to its answer',
            ('route',),
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.open_calls = prometheus_client.Gauge(
            'dandeliondrum_gateway_open_calls',
            'Calls that are being served now',
            registry=self.registry,
        )
        self.task_wait_seconds = prometheus_client.Histogram(
            'dandeliondrum_gateway_task_wait_seconds',
            'Time from the arrival of a task to its first start, by class',
            ('task_class',),
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.waiting_tasks = prometheus_client.Gauge(
            'dandeliondrum_gateway_waiting_tasks',
            'Callers that wait for a task now, by class',
            ('task_class',),
            registry=self.registry,
        )
        self.attempts = prometheus_client.Counter(
            'dandeliondrum_gateway_attempts',
            'Reports about attempts, by state',
            ('state',),
            registry=self.registry,
        )
        self.refused_input = prometheus_client.Counter(
            'dandeliondrum_gateway_refused_input',
            'Requests that the HTTP server refused, by status or cause',
            ('status',),
            registry=self.registry,
        )
        self.heartbeats = prometheus_client.Counter(
            'dandeliondrum_gateway_worker_heartbeats',
            'Heartbeats of workers, by outcome',
            ('outcome',),
            registry=self.registry,
        )
        self.leader_up = prometheus_client.Gauge(
            'dandeliondrum_gateway_leader_up',
            '1 while a leader answers heartbeats, else 0',
            registry=self.registry,
        )
        self.reports_unconfirmed = prometheus_client.Gauge(
            'dandeliondrum_gateway_reports_unconfirmed',
            'Reports that the leader has not confirmed',
            registry=self.registry,
        )

    def observe_call(
        self, route: str, status: int, outcome: str, seconds: float
    ) -> None:
        """Record a call that was served."""
        self.calls.labels(route, str(status), outcome).inc()
        self.call_seconds.labels(route).observe(seconds)

    def observe_refused(self, status: str) -> None:
        """Count a request that the HTTP server itself rejected."""
        self.refused_input.labels(status).inc()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
