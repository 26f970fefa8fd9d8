"""Streams a large answer from a worker to the caller.

The response declares the full length before any data is sent. The last piece
is held back until the length and the digest are verified. If verification
fails, the connection is closed early, so that the caller sees an incomplete
response instead of a corrupt one.
"""

import collections.abc
import hashlib

import structlog

from dandeliondrum.gateway import _dispatch
from dandeliondrum.gateway import _http
from dandeliondrum.gateway import _responses
from dandeliondrum.gateway import _worker_client
from dandeliondrum import messages

WRITE_BYTES = 64 * 1024

_logger = structlog.get_logger()


class AnswerStream:
    """One large answer that is streamed from a worker to a caller.

    ``on_end`` is called with the end of the attempt as soon as the headers
    have arrived; it returns whether this answer is sent to the caller.
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
        self._held_piece = b''
        self._write: collections.abc.Callable[[bytes], object] | None = None

    def open(self, head: _worker_client.Head) -> _worker_client.Writer:
        """Return the writer for the body that follows these headers."""
        end = _dispatch.ended_from_head(self._place, head)
        if isinstance(end, _dispatch.Uncertain) or not self._on_end(end):
            return _worker_client.discard_body(head)
        self._place = end.place
        return self._handle_chunk

    def finish(self) -> bool:
        """Send the last piece if the answer is complete and verified.

        Returns whether the whole answer was sent.
        """
        complete = (
            self._length_bytes == self._place.length_bytes
            and self._hash.hexdigest() == self._place.digest
        )
        return complete and self._send(self._held_piece)

    def _handle_chunk(self, chunk: bytes) -> bool:
        for offset in range(0, len(chunk), WRITE_BYTES):
            piece = chunk[offset : offset + WRITE_BYTES]
            self._hash.update(piece)
            self._length_bytes += len(piece)
            held, self._held_piece = self._held_piece, piece
            if held and not self._send(held):
                return False
        return True

    def _send(self, piece: bytes) -> bool:
        try:
            if self._write is None:
                self._write = self._open_response()
            self._write(piece)
            return True
        except OSError as error:
            _logger.info(
                'caller disconnected', task=self._task_id, why=str(error)
            )
            return False

    def _open_response(self) -> collections.abc.Callable[[bytes], object]:
        self.started = True
        headers = _responses.answer_headers(self._task_id, self._place)
        return self._call.stream(self._place.status, list(headers.items()))
