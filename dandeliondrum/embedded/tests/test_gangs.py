"""A gang member that failed is retried and ends.

Guards against a retry that never starts, because the other members of the
gang have already ended.
"""

import dataclasses

from dandeliondrum import embedded
from dandeliondrum.embedded import _fleets
from dandeliondrum import rules
from dandeliondrum import testing


def test_a_failed_member_is_retried_after_the_others_ended(tmp_path):
    key = rules.new_key('figuring', 'a test')
    working = dataclasses.replace(_fleets.workers()[0], slots_count=1)
    failing = dataclasses.replace(
        working, worker_id='failing', fails_everything=True
    )
    with embedded.EmbeddedCell(tmp_path) as cell:
        cell.add_controllers(3)
        cell.add_gateways(2)
        cell.wait_ready(0)
        text = _fleets.rules_text([key.rule_line])
        assert cell.apply_rules(text, 0).status == 200
        cell.add_workers([working, failing])
        cell.wait_ready()
        # Each worker has one slot, so one member runs on the failing worker.
        # It is retried after a pause, when the other member has ended.
        gang = [
            {
                'request_id': f'g{i}',
                'idempotent': True,
                'body': {'run_ms': 10},
            }
            for i in range(2)
        ]
        reply = cell.submit_job(
            key.text,
            gang,
            team='figuring',
            queue=_fleets.GANG_QUEUE,
            gang=True,
        )
        assert reply.status == 202

        def states():
            return [
                cell.ask(key.text, f'tasks/g{i}', team='figuring').json()[
                    'state'
                ]
                for i in range(2)
            ]

        testing.wait_until(lambda: states() == ['done', 'done'], 10_000)
