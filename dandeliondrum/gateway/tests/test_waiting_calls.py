"""Tests of callers that wait for a task."""

import hashlib

from dandeliondrum.gateway.tests import fakes
from dandeliondrum import messages


def test_a_caller_gets_the_answer_of_the_worker(front, leader, worker):
    leader.start_on(worker)
    reply = fakes.run(front, b'prism 7', Request_Id='r1', Class='urgent')
    assert (reply.status, reply.body) == (200, b'echo:prism 7')
    assert reply.outcome == 'answered'
    assert reply.headers['Dandeliondrum-Attempt'] == 'bureau/r1#1'
    (submit,) = leader.of(messages.SubmitTasks)
    assert submit.key == fakes.KEY
    assert submit.tasks[0].task_class is messages.TaskClass.URGENT
    digest = hashlib.sha256(b'prism 7').hexdigest()
    assert submit.tasks[0].body_digest == digest
    fakes.until(leader.reports)
    (report,) = leader.reports()
    assert report.state is messages.AttemptState.FINISHED
    assert report.answer.length_bytes == len(reply.body)
    assert report.run_ms == 7
