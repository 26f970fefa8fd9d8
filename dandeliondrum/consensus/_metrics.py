"""Prometheus metrics of one node of the replicated log."""

import prometheus_client

_SYNC_BUCKETS_S = (0.0005, 0.001, 0.002, 0.005, 0.01, 0.05, 0.2, 1, 5)


class Metrics:
    """The metrics of a node, registered with its owner's registry.

    Without a registry they are kept in a private one.
    """

    def __init__(
        self, registry: prometheus_client.CollectorRegistry | None = None
    ) -> None:
        if registry is None:
            registry = prometheus_client.CollectorRegistry()
        self.sent_bytes = prometheus_client.Counter(
            'dandeliondrum_consensus_sent_bytes',
            'Bytes of entries and snapshots sent to a peer, as compressed',
            ['peer'],
            registry=registry,
        )
        self.sent_raw_bytes = prometheus_client.Counter(
            'dandeliondrum_consensus_sent_uncompressed_bytes',
            'Bytes of entries and snapshots sent, before compression',
            ['peer'],
            registry=registry,
        )
        self.sync_seconds = prometheus_client.Histogram(
            'dandeliondrum_consensus_sync_seconds',
            'Time in which a batch of entries was synced to the disk',
            buckets=_SYNC_BUCKETS_S,
            registry=registry,
        )
        self.elections_won = prometheus_client.Counter(
            'dandeliondrum_consensus_elections_won',
            'Elections that this node won',
            registry=registry,
        )
        self.voters = prometheus_client.Gauge(
            'dandeliondrum_consensus_voters',
            'Voters of the membership in effect',
            registry=registry,
        )
        self.voters_missing = prometheus_client.Gauge(
            'dandeliondrum_consensus_voters_missing',
            'Voters that do not count towards a quorum; 0 on a follower',
            registry=registry,
        )
