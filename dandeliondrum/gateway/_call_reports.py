"""Reports of one waiting call about its attempts."""

from dandeliondrum.gateway import _dispatch
from dandeliondrum.gateway import _reporter
from dandeliondrum import messages


class CallReports:
    """Reports the outcome of each attempt of a call to the leader once."""

    def __init__(self, reporter: _reporter.Reporter) -> None:
        self._reporter = reporter
        self._reported: set[messages.AttemptId] = set()

    def ended(self, ended: _dispatch.Ended) -> None:
        """Report how an attempt ended and where its answer is stored."""
        self._report(
            messages.AttemptReport(
                ended.attempt_id, ended.state, ended.place, '', ended.run_ms
            )
        )

    def never_started(self, attempt_id: messages.AttemptId, why: str) -> None:
        """Report that an attempt did not start and never will."""
        state = messages.AttemptState.NEVER_STARTED
        self._report(messages.AttemptReport(attempt_id, state, detail=why))

    def uncertain(self, attempt_id: messages.AttemptId, why: str) -> None:
        """Report that an attempt may have started."""
        state = messages.AttemptState.UNCERTAIN
        self._report(messages.AttemptReport(attempt_id, state, detail=why))

    def _report(self, report: messages.AttemptReport) -> None:
        if report.attempt_id not in self._reported:
            self._reported.add(report.attempt_id)
            self._reporter.report(report)
