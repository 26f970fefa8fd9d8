"""Where the answer of a waiting call is to be fetched, and how soon."""

from dandeliondrum import messages

FIRST_PAUSE_MS = 50
LONGEST_PAUSE_MS = 1_000


class AnswerWatch:
    """The place of an answer that is not there yet.

    ``of_leader`` is true once the leader itself named a place: its word
    about the end of the task is final and needs no report.
    """

    def __init__(self) -> None:
        self.place: messages.AnswerPlace | None = None
        self.of_leader = False
        self.pause_ms = 0

    def follow(
        self, place: messages.AnswerPlace, of_leader: bool = False
    ) -> None:
        """Fetch from this place, at once."""
        self.place = place
        self.of_leader = self.of_leader or of_leader
        self.pause_ms = 0

    def drop(self) -> None:
        """Fetch nothing."""
        self.place = None

    def back_off(self) -> None:
        """Pause longer, as the place could not be asked."""
        doubled_ms = max(FIRST_PAUSE_MS, self.pause_ms * 2)
        self.pause_ms = min(doubled_ms, LONGEST_PAUSE_MS)

    def ask_again(self, held_ms: int) -> None:
        """Go on after a question that the worker held for ``held_ms``.

        A worker that holds no question is not flooded with them.
        """
        self.pause_ms = max(0, FIRST_PAUSE_MS - held_ms)
