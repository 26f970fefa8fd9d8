"""Passes a large answer on to its caller while it arrives.

The caller is promised the whole length first. The last piece is held back
until length and digest are known to be right; when they are not, the
connection is cut, so that the caller can't take the answer for a whole one.
"""

import collections.abc
import hashlib

import structlog

from dandeliondrum.gateway import _dispatch
from dandeliondrum.gateway import _http
from dandeliondrum.gateway import _outcomes
from dandeliondrum.gateway import _worker_client
from dandeliondrum import messages

WRITE_BYTES = 64 * 1024

_logger = structlog.get_logger()


class AnswerStream:
    """One large answer on its way from a worker to a caller.

    ``on_end`` gets how the attempt ended as soon as the head is there, and
    decides whether the caller gets this answer.
    """

    def __init__(
        self,
        call: _http.Call,
        task_id: messages.TaskId,
        place: messages.AnswerPlace,
        on_end: collections.abc.Callable[[_dispatch.Ended], bool],
    ) -> None:
        self.started = False
        self._call = call
        self._task_id = task_id
        self._place = place
        self._on_end = on_end
        self._hash = hashlib.sha256()
        self._length_bytes = 0
        self._held = b''
        self._write: collections.abc.Callable[[bytes], object] | None = None

    def open(self, head: _worker_client.Head) -> _worker_client.Writer:
        """Return what takes the pieces of the answer with this head."""
        end = _dispatch.end_of(self._place, head)
        if isinstance(end, _dispatch.Uncertain) or not self._on_end(end):
            return _worker_client.discard(head)
        self._place = end.place
        return self._take

    def finish(self) -> bool:
        """Write what was held back, if the answer came whole."""
        whole = (
            self._length_bytes == self._place.length_bytes
            and self._hash.hexdigest() == self._place.digest
        )
        return whole and self._pass_on(self._held)

    def _take(self, chunk: bytes) -> bool:
        for offset in range(0, len(chunk), WRITE_BYTES):
            piece = chunk[offset : offset + WRITE_BYTES]
            self._hash.update(piece)
            self._length_bytes += len(piece)
            held, self._held = self._held, piece
            if held and not self._pass_on(held):
                return False
        return True

    def _pass_on(self, piece: bytes) -> bool:
        try:
            if self._write is None:
                self._write = self._begin()
            self._write(piece)
            return True
        except OSError as error:
            _logger.info(
                'caller went away', task=self._task_id, why=str(error)
            )
            return False

    def _begin(self) -> collections.abc.Callable[[bytes], object]:
        self.started = True
        headers = _outcomes.answer_headers(self._task_id, self._place)
        return self._call.stream(self._place.status, list(headers.items()))
