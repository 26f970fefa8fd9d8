"""Polling state of a call that fetches its answer from a worker."""

from dandeliondrum import messages

FIRST_PAUSE_MS = 50
LONGEST_PAUSE_MS = 1_000


class AnswerPolling:
    """Where to fetch the answer of a task, and the pause before the next try.

    ``from_leader`` is true once the leader has named a place: the end of the
    task is then final and needs no report.
    """

    def __init__(self) -> None:
        self.place: messages.AnswerPlace | None = None
        self.from_leader = False
        self.pause_ms = 0

    def start(
        self, place: messages.AnswerPlace, from_leader: bool = False
    ) -> None:
        """Fetch from this place, at once."""
        self.place = place
        self.from_leader = self.from_leader or from_leader
        self.pause_ms = 0

    def stop(self) -> None:
        """Stop fetching an answer."""
        self.place = None

    def back_off(self) -> None:
        """Double the pause, as the answer could not be fetched."""
        doubled_ms = max(FIRST_PAUSE_MS, self.pause_ms * 2)
        self.pause_ms = min(doubled_ms, LONGEST_PAUSE_MS)

    def poll_again(self, held_ms: int) -> None:
        """Set the pause after a request that the worker held for ``held_ms``.

        The pause limits the request rate if the worker replies at once.
        """
        self.pause_ms = max(0, FIRST_PAUSE_MS - held_ms)
