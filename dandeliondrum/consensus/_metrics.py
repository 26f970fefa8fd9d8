"""Counters of the replicated log."""

import prometheus_client

SENT_BYTES = prometheus_client.Counter(
    'dandeliondrum_consensus_sent_bytes',
    'Bytes of entries and snapshots sent to a peer, as compressed',
    ['peer'],
)
SENT_RAW_BYTES = prometheus_client.Counter(
    'dandeliondrum_consensus_sent_uncompressed_bytes',
    'Bytes of entries and snapshots sent to a peer, before compression',
    ['peer'],
)
SYNC_SECONDS = prometheus_client.Histogram(
    'dandeliondrum_consensus_sync_seconds',
    'Time in which a batch of entries was synced to the disk',
    buckets=(0.0005, 0.001, 0.002, 0.005, 0.01, 0.05, 0.2, 1, 5),
)
ELECTIONS = prometheus_client.Counter(
    'dandeliondrum_consensus_elections_won',
    'Elections that this node won',
)
