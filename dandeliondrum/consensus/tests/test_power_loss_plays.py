"""Random plays of a node's files, with kills and losses of power.

After each, the files must load, and hold what a returned sync has covered.
The plays of CI are few; DANDELIONDRUM_SEEDS=first-last plays others.
"""

import contextlib
import os
import random

import pytest

from dandeliondrum import consensus
from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _hard_state
from dandeliondrum.consensus import _log
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _options
from dandeliondrum.consensus import _records
from dandeliondrum.consensus import _recovery
from dandeliondrum.consensus import _snapshot
from dandeliondrum.testing import _power_loss

STEPS_COUNT = 60
SEGMENT_BYTES = 6_000
FAULT_SHARE = 0.02
PAYLOAD_BYTES = (0, 20, 300, 2_500)
FOLDER = 'data/controller'


def _seeds():
    first, _, last = os.environ.get('DANDELIONDRUM_SEEDS', '0-39').partition(
        '-'
    )
    return range(int(first), int(last or first) + 1)


class ProcessEnded(Exception):
    """Raised in place of an operation when the process ends within it."""


class FaultyFiles(_power_loss.RecordingFiles):
    """Files of which some writes end midway, and some operations fail.

    A process may also end within an operation, after ``left_count`` more.
    """

    def __init__(self, root, rng):
        super().__init__(root)
        self.random = rng
        self.left_count = 0
        self.before = self._count_down

    def _count_down(self, _operation):
        if self.left_count:
            self.left_count -= 1
            if not self.left_count:
                raise ProcessEnded

    def write(self, descriptor, data):
        if self.random.random() < FAULT_SHARE:
            super().write(
                descriptor, data[: self.random.randint(0, len(data))]
            )
            raise self.random.choice((ProcessEnded, OSError('no space')))
        super().write(descriptor, data)

    def sync_folder(self, folder):
        if self.random.random() < FAULT_SHARE:
            raise OSError('no space')
        super().sync_folder(folder)


class Play:
    """A data folder on which a process works until it ends.

    ``written`` holds the entries of the log by their index, and those up to
    ``durable_index`` are covered by a sync that has returned.
    """

    def __init__(self, root, seed):
        self.root = root
        self.folder = root / FOLDER
        self.random = random.Random(seed)
        self.files = FaultyFiles(root, self.random)
        self.log = None
        self.written = {}
        self.durable_index = 0
        self.term = 1
        self.resources = contextlib.ExitStack()

    def run(self):
        self.begin()
        for _ in range(STEPS_COUNT):
            if self.random.random() < 0.12:
                # The process ends within one of the next operations.
                self.files.left_count = self.random.randint(1, 6)
            try:
                self.take(self.random.choice(self.steps()))
            except ProcessEnded:
                self.end()
                self.begin()
            else:
                if self.random.random() < 0.05:
                    self.end()
                    self.begin()
        self.end()
        self.begin()
        self.close()

    def steps(self):
        return [self.append] * 4 + [self.sync] * 2 + [self.truncate]

    def take(self, step):
        """Take a step; a write that failed leaves everything as it was."""
        written = dict(self.written)
        try:
            step()
        except OSError:
            self.written = written
        except _errors.StorageError as error:
            assert not error.error.is_damage
            raise ProcessEnded from error

    def begin(self):
        """Start a process, which may end within its start, too."""
        while True:
            if self.random.random() < 0.1:
                self.files.left_count = self.random.randint(1, 12)
            try:
                self.open()
            except (ProcessEnded, OSError):
                self.end()
            except _errors.StorageError as error:
                if error.error.is_damage:
                    raise
                self.end()
            else:
                return

    def end(self):
        """End the process; the power may be lost at this moment or not."""
        self.close()
        if self.random.random() < 0.6:
            self.files.lose_power(self.random)

    def close(self):
        self.files.left_count = 0
        self.resources.close()

    def open(self):
        self.resources.enter_context(
            _recovery.lock_folder(self.files, self.folder)
        )
        self.open_files()
        self.check_log()

    def open_files(self):
        self.log = _log.Log(self.files, self.folder)
        self.resources.callback(self.log.close)

    def check_log(self):
        """Check the loaded entries; they count from the next sync on."""
        last_index = self.log.last_index
        assert last_index >= self.durable_index, 'fewer entries than synced'
        first_index = self.log.first_index
        loaded = self.log.read(first_index, last_index, 1 << 40)
        for entry in loaded:
            assert entry == self.written[entry.index]
        self.written = {
            index: entry
            for index, entry in self.written.items()
            if index <= last_index
        }
        self.log.sync()
        self.durable_index = last_index

    def append(self):
        first = self.log.last_index + 1
        entries = [
            _records.make(
                index,
                self.term,
                _records.EntryKind.COMMAND,
                self.random.randbytes(self.random.choice(PAYLOAD_BYTES)),
            )
            for index in range(first, first + self.random.randint(1, 4))
        ]
        self.written.update({entry.index: entry for entry in entries})
        self.log.append(entries)

    def sync(self):
        self.log.sync()
        self.durable_index = self.log.last_index

    def truncate(self):
        last_index = self.log.last_index
        if last_index < self.log.first_index:
            return
        index = self.random.randint(self.log.first_index, last_index)
        # The promise of entries that a new leader replaces ends here.
        self.durable_index = min(self.durable_index, index - 1)
        self.log.truncate_from(index)
        for replaced in range(index, last_index + 1):
            del self.written[replaced]
        # Entries of two terms differ at each index.
        self.next_term()

    def next_term(self):
        self.term += 1


class NodePlay(Play):
    """A play with term, vote, identity, snapshots and their reception."""

    def __init__(self, root, seed):
        super().__init__(root, seed)
        self.vote = (0, '')
        self.disk_id = None
        self.snapshot_index = 0
        self.committed_index = 0

    def steps(self):
        return [
            *super().steps(),
            self.save_vote,
            self.compact,
            self.receive_snapshot,
        ]

    def open_files(self):
        options = consensus.Options(
            controller_id='c1', cell_id='test', data_folder=self.folder
        )
        opened = _recovery.open_files(options, self.files)
        self.log = opened.log
        self.resources.callback(self.log.close)
        self.snapshots = opened.snapshots
        self.check_node(opened)

    def check_node(self, opened):
        state = opened.state
        assert self.disk_id in (None, state.disk_id), 'identity lost'
        self.disk_id = state.disk_id
        assert state.term >= self.vote[0], 'term lost'
        if state.term == self.vote[0]:
            assert self.vote[1] in ('', state.voted_for), 'vote lost'
        self.vote = (state.term, state.voted_for)
        self.term = max(self.term, state.term)
        assert state.snapshot_index >= self.snapshot_index, 'snapshot lost'
        head = (
            (0, 0)
            if opened.snapshot is None
            else (opened.snapshot.head.index, opened.snapshot.head.term)
        )
        self.snapshot_index = head[0]
        self.committed_index = max(self.committed_index, head[0])
        # A received snapshot replaces a log that does not contain its end.
        replaced = self.written.get(head[0])
        if replaced is not None and replaced.term != head[1]:
            self.durable_index = min(self.durable_index, head[0])
            self.written = {}

    def next_term(self):
        self.term += 1
        self._save_vote(self.term, '')

    def save_vote(self):
        self.term += 1
        self._save_vote(self.term, self.random.choice(('', 'c1', 'c2')))

    def _save_vote(self, term, voted_for):
        path = self.folder / _hard_state.STATE_FILE_NAME
        _hard_state.save(
            self.files, path, _hard_state.HardState(term, voted_for)
        )
        self.vote = (term, voted_for)

    def append(self):
        if self.vote[0] < self.term:
            self._save_vote(self.term, '')
        super().append()

    def compact(self):
        """Save a snapshot of applied entries and compact the log."""
        low = max(self.snapshot_index + 1, self.log.first_index)
        if self.log.last_index < low:
            return
        index = self.random.randint(low, self.log.last_index)
        term = self.log.term_at(index)
        # The entries that it covers are committed, also if it isn't saved.
        self.committed_index = index
        self.snapshots.save(self._snapshot(index, term))
        self.snapshot_index = index
        self.log.compact(index)

    def receive_snapshot(self):
        """Receive a snapshot, which the log may or may not contain."""
        index = self.committed_index + self.random.randint(1, 12)
        if self.vote[0] < self.term:
            self._save_vote(self.term, '')
        term = self.log.term_at(index)
        if term is None or self.random.random() < 0.3:
            self.next_term()
            term = self.term
        packed = _snapshot.pack(self._snapshot(index, term))
        half = len(packed) // 2
        try:
            self.snapshots.write_part(0, packed[:half])
            self.snapshots.write_part(half, packed[half:])
            self.snapshots.install_received()
        except OSError as error:
            # Later entries would have to agree with the snapshot.
            raise ProcessEnded from error
        self.snapshot_index = self.committed_index = index
        if self.log.term_at(index) == term:
            self.log.compact(index)
            return
        self.durable_index = index
        self.log.reset(index, term)
        self.written = {}

    def _snapshot(self, index, term):
        head = _snapshot.SnapshotHead(index, term, _messages.Membership())
        return _snapshot.Snapshot(head, self.random.randbytes(1_500))

    def truncate(self):
        last_index = self.log.last_index
        low = max(self.log.first_index, self.committed_index + 1)
        if last_index < low:
            return
        index = self.random.randint(low, last_index)
        self.durable_index = min(self.durable_index, index - 1)
        # The new term is stored before the entries of its leader.
        self.next_term()
        self.log.truncate_from(index)
        for replaced in range(index, last_index + 1):
            self.written.pop(replaced, None)


@pytest.mark.parametrize('play', [Play, NodePlay])
@pytest.mark.parametrize('seed', _seeds())
def test_a_folder_loads_with_all_that_was_synced(
    tmp_path, monkeypatch, play, seed
):
    monkeypatch.setattr(_options, 'SEGMENT_BYTES_MAX', SEGMENT_BYTES)
    play(tmp_path, seed).run()
