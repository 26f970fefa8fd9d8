"""Reports that the leader does not confirm."""

import threading
import time

from returns import result

from dandeliondrum.gateway import _metrics
from dandeliondrum.gateway import _reporter
from dandeliondrum import messages
from dandeliondrum import utils

REPORT = messages.AttemptReport(
    messages.AttemptId('harbour/one#1'), messages.AttemptState.FINISHED
)


class RefusingLink:
    """Link to a leader that refuses calls at once until it works again."""

    def __init__(self):
        self.calls_count = 0
        self.refuses = True

    def is_up(self):
        return True

    def call_async(self, _message):
        self.calls_count += 1
        if self.refuses:
            refused = messages.CallFailed('broken', True)
            return utils.completed_future(result.Success(refused))
        return utils.completed_future(result.Success(messages.Done()))


def test_reports_that_are_refused_at_once_are_not_sent_in_a_tight_loop():
    link = RefusingLink()
    reporter = _reporter.Reporter(link, _metrics.Metrics())
    stopping = threading.Event()
    task = threading.Thread(target=reporter.run, args=(stopping,))
    task.start()
    reporter.report(REPORT)
    time.sleep(3 * _reporter.RETRY_PAUSE_MS / 1000)
    assert 1 <= link.calls_count <= 4
    link.refuses = False
    end_s = time.monotonic() + 5
    while reporter.unconfirmed_count() and time.monotonic() < end_s:
        time.sleep(0.01)
    stopping.set()
    task.join()
    assert reporter.unconfirmed_count() == 0
