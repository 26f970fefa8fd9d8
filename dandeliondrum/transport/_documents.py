"""Transfer of the newest document from the leader to gateways.

A small document is sent as one message. A large one would hold up replies to
heartbeats on a narrow link until their timeouts, so gateways request it in
compressed parts, one at a time. A transfer continues after a change of the
connection or of the leader.
"""

import collections
import collections.abc
import dataclasses
import hashlib
import threading
import zlib

from returns import result
import structlog

from dandeliondrum import messages
from dandeliondrum.transport import _connection
from dandeliondrum.transport import _errors
from dandeliondrum.transport import _sessions

WHOLE_MAX_BYTES = 16 * 1024
PART_BYTES = 16 * 1024
# Versions whose transfers can still be completed after newer ones exist.
# Otherwise no transfer would end while the document keeps changing.
VERSIONS_KEPT = 8

_logger = structlog.get_logger()

# Returns the version and the text of the newest document.
ReadDocument = collections.abc.Callable[[], tuple[messages.RulesVersion, str]]
# Activates a document if its version is newer than the active one.
Activate = collections.abc.Callable[[messages.RulesVersion, str], object]


@dataclasses.dataclass(frozen=True, slots=True)
class _Compressed:
    version: messages.RulesVersion
    digest: str
    data: bytes


class DocumentSender:
    """Sends the newest document to registered gateways; thread-safe.

    Example::

        sender = DocumentSender(lambda: (record.version, record.text))
        reply = sender.registered(term, controller_id, takes_parts=True)
        ...
        sender.announce(sessions.all())
    """

    def __init__(self, read: ReadDocument) -> None:
        self._read = read
        self._lock = threading.Lock()
        # By digest, the newest last.
        self._kept: collections.OrderedDict[str, _Compressed] = (
            collections.OrderedDict()
        )

    def registered(
        self,
        term: messages.Term,
        leader_id: messages.ControllerId,
        takes_parts: bool,
    ) -> messages.GatewayRegistered:
        """Return the reply to a registration, with a small document."""
        version, text = self._read()
        if takes_parts and _is_large(text):
            return messages.GatewayRegistered(
                term, leader_id, messages.RulesVersion(0), '', version
            )
        return messages.GatewayRegistered(
            term, leader_id, version, text, version
        )

    def announce(
        self, sessions: collections.abc.Iterable[_sessions.Session]
    ) -> None:
        """Push a small document, and the version of a large one."""
        version, text = self._read()
        whole = messages.RulesPush(version, text)
        changed = messages.RulesChanged(version)
        for session in sessions:
            in_parts = session.takes_parts and _is_large(text)
            session.connection.push(changed if in_parts else whole)

    def part(self, query: messages.RulesPartQuery) -> messages.RulesPart:
        """Return the requested part.

        It is the first part of the newest document if the query is for none
        or for one that is not kept.
        """
        with self._lock:
            document = self._kept.get(query.digest)
            if document is None:
                document = self._newest()
                offset = 0
            else:
                offset = query.offset
        return messages.RulesPart(
            document.version,
            document.digest,
            len(document.data),
            offset,
            document.data[offset : offset + PART_BYTES],
        )

    def _newest(self) -> _Compressed:
        version, text = self._read()
        for kept in reversed(self._kept.values()):
            if kept.version == version:
                return kept
        data = zlib.compress(text.encode())
        digest = hashlib.sha256(data).hexdigest()
        document = _Compressed(version, digest, data)
        self._kept[digest] = document
        if len(self._kept) > VERSIONS_KEPT:
            self._kept.popitem(last=False)
        return document


class DocumentReceiver:
    """Requests the parts of a document and activates it; thread-safe."""

    def __init__(self, activate: Activate) -> None:
        self._activate = activate
        self._lock = threading.Lock()
        self._digest = ''
        self._data = bytearray()
        self._newest = messages.RulesVersion(0)
        self._active = messages.RulesVersion(0)
        # The connection on which a request is under way.
        self._requested_on: _connection.Connection | None = None

    def request(
        self,
        connection: _connection.Connection,
        newest: messages.RulesVersion,
        active: messages.RulesVersion,
    ) -> None:
        """Request the newest version unless it is active or requested."""
        with self._lock:
            self._newest = newest
            self._active = max(self._active, active)
        self._request_next(connection)

    def _request_next(self, connection: _connection.Connection) -> None:
        with self._lock:
            if self._active >= self._newest:
                return
            if self._requested_on is connection:
                return
            self._requested_on = connection
            query = messages.RulesPartQuery(self._digest, len(self._data))
        connection.call_async(query).add_done_callback(
            lambda done: self._on_reply(connection, done.result())
        )

    def _on_reply(
        self,
        connection: _connection.Connection,
        reply: result.Result[messages.RulesPart, _errors.CallError],
    ) -> None:
        with self._lock:
            if self._requested_on is not connection:
                return
            self._requested_on = None
            match reply:
                case result.Success(messages.RulesPart() as part):
                    data = self._add(part)
                case other:
                    _logger.info('document part not received', why=str(other))
                    return
        if data is not None:
            self._use(part.version, data)
        self._request_next(connection)

    def _add(self, part: messages.RulesPart) -> bytes | None:
        """Add a part; return the compressed document once it is complete."""
        if part.digest != self._digest:
            self._digest = part.digest
            self._data.clear()
        if part.offset == len(self._data):
            self._data += part.data
        if len(self._data) < part.size_bytes:
            return None
        data = bytes(self._data)
        self._digest = ''
        self._data.clear()
        self._active = max(self._active, part.version)
        return data

    def _use(self, version: messages.RulesVersion, data: bytes) -> None:
        try:
            text = zlib.decompress(data).decode()
        except (zlib.error, UnicodeDecodeError) as error:
            _logger.error(
                'document not readable', version=version, why=str(error)
            )
            return
        _logger.info(
            'document received',
            version=version,
            size_bytes=len(text),
            compressed_bytes=len(data),
        )
        self._activate(version, text)


def _is_large(text: str) -> bool:
    return len(text) > WHOLE_MAX_BYTES
