"""Prometheus metrics of a controller."""

import prometheus_client

from dandeliondrum import observability

_BUCKETS_SECONDS = (0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5)


class Metrics:
    """Metrics of one controller, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = observability.process_registry()
        self.leading = prometheus_client.Gauge(
            'dandeliondrum_controller_leading',
            'Whether this controller decides at the moment.',
            registry=self.registry,
        )
        self.pending = prometheus_client.Gauge(
            'dandeliondrum_controller_pending_tasks',
            'Tasks that wait for a worker.',
            registry=self.registry,
        )
        self.assigned = prometheus_client.Counter(
            'dandeliondrum_controller_attempts_assigned',
            'Attempts that were agreed.',
            registry=self.registry,
        )
        self.rejected = prometheus_client.Counter(
            'dandeliondrum_controller_assignments_rejected',
            'Planned assignments that the state machine did not take.',
            registry=self.registry,
        )
        self.evacuated_domains = prometheus_client.Gauge(
            'dandeliondrum_controller_evacuated_domains',
            'Failure domains in which no task is started.',
            registry=self.registry,
        )
        self.withheld = prometheus_client.Counter(
            'dandeliondrum_controller_starts_withheld',
            'Starts that were not sent as the failure domain was evacuated.',
            registry=self.registry,
        )
        self.ended = prometheus_client.Counter(
            'dandeliondrum_controller_attempts_ended',
            'Attempts that ended, by how.',
            ('state',),
            registry=self.registry,
        )
        self.refused = prometheus_client.Counter(
            'dandeliondrum_controller_tasks_refused',
            'Tasks that were refused, by reason.',
            ('reason',),
            registry=self.registry,
        )
        self.plan_seconds = prometheus_client.Histogram(
            'dandeliondrum_controller_plan_seconds',
            'Time that one round of planning took.',
            buckets=_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.commit_seconds = prometheus_client.Histogram(
            'dandeliondrum_controller_commit_seconds',
            'Time from proposing assignments to their being applied.',
            buckets=_BUCKETS_SECONDS,
            registry=self.registry,
        )
