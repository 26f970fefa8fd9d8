"""A worker program for tests that kill and freeze its process."""

import threading

import fire

from dandeliondrum import messages
from dandeliondrum import worker


def run(address: str, gateway: str, journal: str) -> None:
    """Run a worker until the process is ended."""
    served_worker = worker.Worker(
        worker.Options(
            worker_id=messages.WorkerId('w1'),
            address=address,
            region=messages.Region('gulf'),
            failure_domain=messages.FailureDomain('sattahip'),
            rack=messages.Rack('r1'),
            resources=messages.Resources(16_000, 32_768),
            slots_count=2,
            heartbeat_ms=100,
            gateways=(gateway,),
            journal_path=journal,
        )
    )
    served_worker.start().unwrap()
    threading.Event().wait()


if __name__ == '__main__':
    fire.Fire(run)
