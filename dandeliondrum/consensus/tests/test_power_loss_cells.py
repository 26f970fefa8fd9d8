"""Random losses of power in cells of nodes that vote, and of disks with them.

After each, all nodes must start, elect a leader and hold what they promised.
The seeds of CI are few; DANDELIONDRUM_SEEDS=first-last plays others.
"""

import os
import random
import shutil
import threading
import time

import pytest
from returns import result
import structlog

from dandeliondrum import consensus
from dandeliondrum.consensus import _files
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _options
from dandeliondrum.consensus import _recovery
from dandeliondrum.consensus.tests import harness
from dandeliondrum.consensus.tests import load
from dandeliondrum.testing import _power_loss

ROUNDS_COUNT = 5
FAULTS_MAX = 4
PROPOSERS_COUNT = 4
COMMAND_BYTES = 120
# With the sizes below it lets a snapshot arrive before the next one is taken,
# also on the slowest disk.
PAUSE_S = 0.01
IN_FLIGHT_CALLS = 4
SEGMENT_BYTES = 6_000
CHUNK_BYTES = 64_000
SNAPSHOT_EVERY_ENTRIES = 100
SYNC_MS = (0, 1, 5, 20)
# How long a fault waits for its moment before it happens anyway.
MOMENT_TIMEOUT_S = 0.3
# More than an election takes.
TRAFFIC_TIMEOUT_S = 1.5

_logger = structlog.get_logger()


def _seeds():
    first, _, last = os.environ.get('DANDELIONDRUM_SEEDS', '2').partition('-')
    return range(int(first), int(last or first) + 1)


class Promises:
    """Guarantees of a node in its replies, which its disk has to keep."""

    def __init__(self):
        self.disk_id = None
        # Called at the first reply that entries are stored.
        self.on_stored = None
        self._lock = threading.Lock()
        # The highest term of a leader's request, which may truncate the log.
        self._leader_term = 0
        self._stored = (0, 0)
        self._vote = (0, '')

    def watch(self, handle):
        """Return a handler that notes the promises of the replies."""

        def on_call(connection, message):
            if isinstance(
                message, _messages.AppendEntries | _messages.InstallSnapshot
            ):
                with self._lock:
                    self._leader_term = max(self._leader_term, message.term)
            future = handle(connection, message)
            # Called before the server sends the reply.
            future.add_done_callback(
                lambda done: self._note(message, done.result())
            )
            return future

        return on_call

    def _note(self, message, reply):
        stored = _messages.Outcome.STORED
        with self._lock:
            match message, reply:
                case _messages.AppendEntries(), _messages.AppendReply():
                    if reply.outcome is stored:
                        self._note_stored(message.term, reply.match_index)
                case _messages.InstallSnapshot(), _messages.SnapshotReply():
                    is_whole = reply.received_bytes >= message.length_bytes
                    if reply.outcome is stored and is_whole:
                        self._note_stored(message.term, message.index)
                case _messages.RequestVote(), _messages.VoteReply():
                    if reply.granted and not message.pre_vote:
                        self._vote = (message.term, message.candidate_id)
                case _messages.FoundCell(), _messages.FoundReply():
                    if reply.granted:
                        self._vote = (message.term, message.founder_id)

    def _note_stored(self, term, index):
        self._stored = max(self._stored, (term, index))
        if index:
            on_stored, self.on_stored = self.on_stored, None
            if on_stored is not None:
                on_stored()

    def check(self, opened):
        """Check the files that the node is about to start with."""
        state = opened.state
        assert self.disk_id in (None, state.disk_id), 'identity lost'
        term, voted_for = self._vote
        assert state.term >= term, f'term {term} lost: {state.term}'
        if state.term == term:
            assert state.voted_for == voted_for, f'vote of term {term} lost'
        term, index = self._stored
        assert state.term >= term, f'term {term} lost: {state.term}'
        if self._leader_term <= term:
            last_index = opened.log.last_index
            assert last_index >= index, f'entry {index} lost: {last_index}'


class UnsyncedFiles(_files.Files):
    """Files of a copy that is read once."""

    def sync(self, descriptor):
        pass

    def sync_folder(self, folder):
        pass


class Disk:
    """The disk of a node; the node may be killed within an operation."""

    def __init__(self, root, delay_s):
        self.root = root
        self.root.mkdir(parents=True, exist_ok=True)
        self.promises = Promises()
        self.files = _power_loss.RecordingFiles(root)
        self.files.before = self._before
        self.is_cut = False
        self.reached = threading.Event()
        self._delay_s = delay_s
        self._is_killed = False
        self._lock = threading.Lock()
        self._left_count = 0
        self._action = None
        self._operation = None

    @property
    def folder(self):
        return self.root / 'data' / 'controller'

    def arm(self, count, action, operation=None):
        """Carry out the action before one of the next operations.

        Without a name, operations of all names count.
        """
        with self._lock:
            self.reached.clear()
            self._left_count = count
            self._operation = operation
            self._action = action

    def disarm(self):
        self.arm(0, None)

    def cut(self):
        self.is_cut = True
        self.files.cut_power()

    def kill(self):
        """Let no later operation happen; what was written stays."""
        self._is_killed = True

    def has_ended(self):
        """Return whether the node has yet to be stopped."""
        return self.is_cut or self._is_killed

    def revive(self):
        self.disarm()
        self._is_killed = False

    def lose_power(self, rng):
        self.revive()
        self.files.lose_power(rng)
        self.is_cut = False

    def _before(self, operation):
        with self._lock:
            if self._left_count and self._operation in (None, operation):
                self._left_count -= 1
                if not self._left_count:
                    self._action()
                    self.reached.set()
        if operation in ('sync', 'sync_folder'):
            # Requests queue up meanwhile, so that several appends follow.
            time.sleep(self._delay_s)
        if self._is_killed:
            raise OSError('killed')


class Cell(harness.Cluster):
    """A cluster whose nodes have a disk each."""

    def __init__(self, folder, count, rng, **options):
        super().__init__(
            folder,
            count,
            snapshot_every_entries=SNAPSHOT_EVERY_ENTRIES,
            **options,
        )
        self.random = rng
        self.disks = {}
        self.listeners = []
        for name in self.names:
            self.replace_disk(name)

    def replace_disk(self, name):
        """Give a stopped node an empty disk."""
        root = self.folder / 'disks' / name
        shutil.rmtree(root, ignore_errors=True)
        delay_s = self.random.choice(SYNC_MS) / 1_000
        self.disks[name] = Disk(root, delay_s)
        self.files[name] = self.disks[name].files

    def data_folder(self, name):
        return self.disks[name].folder

    def on_call(self, name, node):
        return self.disks[name].promises.watch(node.handle)

    def launch(self, name):
        self.check_files(name)
        outcome = super().launch(name)
        if isinstance(outcome, result.Success):
            running = self.running[name]
            self.listeners.append(running.listener)
            disk_id = running.node.status().disk_id
            self.disks[name].promises.disk_id = disk_id
        return outcome

    def check_files(self, name):
        """Check a copy of the files of a stopped node."""
        disk = self.disks[name]
        copy = self.folder / 'copies' / name
        shutil.rmtree(copy, ignore_errors=True)
        shutil.copytree(disk.root, copy)
        folder = copy / disk.folder.relative_to(disk.root)
        options = consensus.Options(
            controller_id=name,
            cell_id=harness.CELL_ID,
            data_folder=folder,
        )
        files = UnsyncedFiles()
        with _recovery.lock_folder(files, folder):
            opened = _recovery.open_files(options, files)
            try:
                disk.promises.check(opened)
            finally:
                opened.log.close()

    def restored_count(self):
        """Return how many snapshots the running nodes have restored."""
        return sum(one.machine.restored_count for one in self.running.values())

    def committed_members(self):
        """Return the members that a leader has committed, or none."""
        for name in self.leaders():
            return self.node(name).status().members
        return ()

    def is_voting(self, name):
        """Return whether the node is a voter with its current disk."""
        disk_id = self.disks[name].promises.disk_id
        return any(
            (member.controller_id, member.disk_id) == (name, disk_id)
            and member.voter
            for member in self.committed_members()
        )


class AllLost(random.Random):
    """Randomness with which no unsynced change survives."""

    def random(self):
        return 1.0

    def choice(self, probabilities):
        return min(probabilities)


class Faults:
    """Series of faults that overlap, with a fixed seed.

    ``killed`` holds stopped nodes whose page cache survives until they start
    or lose power; ``dark`` those whose power was cut. A disk in ``lost`` was
    replaced, and its node is not known to be a voter again.
    """

    def __init__(self, cell):
        self.cell = cell
        self.random = cell.random
        self.killed = set()
        self.dark = set()
        self.isolated = set()
        self.lost = set()
        self.losses_count = 0

    def found(self):
        """Found the cell, with losses of power meanwhile."""
        names = self.cell.names
        is_founded = False
        for _ in range(self.random.randint(0, 3)):
            victims = self._some(names)
            for name in victims:
                disk = self.cell.disks[name]
                disk.arm(self.random.randint(1, 40), disk.cut)
            for name in names:
                if name not in self.cell.running:
                    self._launch(name)
            if not is_founded and set(self.cell.running) == set(names):
                is_founded = self._bootstrap()
            time.sleep(self.random.uniform(0, 0.2))
            self._log('power lost in founding', victims)
            self._cut(victims)
            self._darken(victims)
            if self.random.random() < 0.5:
                others = [name for name in names if name in self.cell.running]
                self._stop(others)
                self.killed.update(others)
        self._start_all()
        if not is_founded:
            harness.wait_for(self._bootstrap, 'a founded cell')
        self.cell.leader()
        self.wait_all_voting()

    def _bootstrap(self):
        members = [(name, 'unused:1') for name in self.cell.names]
        first = self.cell.names[0]
        outcome = self.cell.node(first).bootstrap(members)
        self._log('bootstrap', [first], outcome=str(outcome))
        if isinstance(outcome, result.Success):
            return True
        # The power was lost before the outcome was known, or within a vote.
        failure = outcome.failure().failure
        return failure is consensus.ChangeFailure.HAS_LOG and any(
            one.node.status().last_index for one in self.cell.running.values()
        )

    def round(self, proposers):
        for _ in range(self.random.randint(1, FAULTS_MAX)):
            fault = self.random.choice(
                [
                    self._lose_power,
                    self._lose_power,
                    self._lose_all_power,
                    self._lose_disks_and_power,
                    self._lose_disks_and_power,
                    self._kill_and_lose_power,
                    self._kill_and_lose_power,
                    self._lose_disk,
                    self._kill,
                    self._kill,
                    self._start_one,
                    self._start_one,
                    self._isolate,
                    self._heal,
                    self._transfer,
                ]
            )
            fault(proposers)
            time.sleep(self.random.uniform(0, 0.3))
        self.settle(proposers)

    def settle(self, proposers):
        """End all faults and check that the cell works."""
        for name in sorted(self.isolated):
            self.cell.heal(name)
        self.isolated.clear()
        self._start_all()
        leader = self.cell.leader()
        self._log('leading', [leader])
        proposers.wait_for(self.random.randint(5, 100))
        if self.random.random() < 0.5:
            self.wait_all_voting()

    def wait_all_voting(self):
        harness.wait_for(
            lambda: all(map(self.cell.is_voting, self.cell.names)),
            'all to vote',
        )
        self.lost.clear()

    def _log(self, fault, names, **details):
        _logger.info('fault', what=fault, names=names, **details)

    def _some(self, names, count=None):
        names = sorted(names)
        if not names:
            return []
        count = count or self.random.randint(1, len(names))
        return sorted(self.random.sample(names, count))

    def _lose_power(self, proposers):
        self._lose_power_of(self._some(self.cell.running), proposers)

    def _lose_all_power(self, proposers):
        self._cut_at_some_moment(sorted(self.cell.running), proposers)
        self._end_all([])

    def _lose_power_of(self, names, proposers):
        if not names:
            return
        self._cut_at_some_moment(names, proposers)
        self._darken(names)
        for name in names:
            if self.random.random() < 0.5:
                self._start(name)

    def _lose_disks_and_power(self, proposers):
        """Lose disks of a minority, and the power of all others."""
        victims = self._replaceable()
        if victims:
            self._cut_at_some_moment(
                sorted(self.cell.running), proposers, is_acknowledged=True
            )
            self._end_all(victims)

    def _kill_and_lose_power(self, proposers):
        """Lose power after all followers were killed and started again.

        They find entries that were not synced, and their leader, which waits
        for a quorum, sends no others.
        """
        leaders = self.cell.leaders()
        followers = sorted(set(self.cell.running) - set(leaders))
        if not leaders or not followers:
            return
        victims = self._replaceable()
        self._wait_for_traffic(proposers)
        disks = [self.cell.disks[name] for name in followers]
        operation = self.random.choice(('sync', 'sync', 'sync_folder'))
        disk = self.random.choice(disks)
        disk.arm(1, lambda: [one.kill() for one in disks], operation)
        disk.reached.wait(MOMENT_TIMEOUT_S)
        for one in disks:
            one.kill()
        self._log('killed and started', followers)
        self._stop(followers)
        for one in disks:
            one.revive()
        is_cut = threading.Event()

        def cut_all():
            self._cut(self.cell.names)
            is_cut.set()

        if self.random.random() < 0.7:
            disk.promises.on_stored = cut_all
        for name in followers:
            self._launch(name)
        is_cut.wait(self.random.uniform(0, 0.5))
        disk.promises.on_stored = None
        self._log('power lost', followers, stored=is_cut.is_set())
        cut_all()
        self._end_all(self.random.choice(([], victims)))

    def _end_all(self, victims):
        """Stop all, also the killed nodes, without power; start them.

        The disks of the victims are lost.
        """
        self._darken(self.cell.names)
        if victims:
            self._log('disks lost', victims)
            self._replace_disks(victims)
        self._start_all()

    def _lose_disk(self, _proposers):
        victims = self._replaceable()
        self._log('disks lost', victims)
        self._stop([name for name in victims if name in self.cell.running])
        self._replace_disks(victims)
        for name in victims:
            self._start(name)

    def _replaceable(self):
        """Return nodes whose disks may be lost."""
        self.lost = {
            name for name in self.lost if not self.cell.is_voting(name)
        }
        allowed_count = (len(self.cell.names) - 1) // 2 - len(self.lost)
        intact = [name for name in self.cell.names if name not in self.lost]
        if allowed_count <= 0:
            return []
        return self._some(intact, self.random.randint(1, allowed_count))

    def _replace_disks(self, names):
        for name in names:
            self.cell.replace_disk(name)
            self.lost.add(name)
            self.dark.discard(name)
            self.killed.discard(name)

    def _kill(self, _proposers):
        names = self._some(self.cell.running, 1)
        for name in names:
            disk = self.cell.disks[name]
            if self.random.random() < 0.5:
                operation = self.random.choice((None, 'sync', 'sync_folder'))
                disk.arm(self.random.randint(1, 6), disk.kill, operation)
                disk.reached.wait(MOMENT_TIMEOUT_S)
        self._log('killed', names)
        self._stop(names)
        self.killed.update(names)

    def _start_one(self, _proposers):
        for name in self._some(self.killed | self.dark, 1):
            self._start(name)

    def _isolate(self, _proposers):
        for name in self._some(self.cell.names, 1):
            self._log('isolated', [name])
            self.isolated.add(name)
            self.cell.isolate(name)

    def _heal(self, _proposers):
        for name in self._some(self.isolated, 1):
            self._log('healed', [name])
            self.isolated.discard(name)
            self.cell.heal(name)

    def _transfer(self, _proposers):
        for name in self.cell.leaders():
            self._log('transfer', [name])
            self.cell.node(name).transfer_leadership()

    def _cut(self, names):
        for name in names:
            self.cell.disks[name].cut()

    def _cut_at_some_moment(self, names, proposers, is_acknowledged=False):
        """Cut the power of these nodes at once or in a burst."""
        moment = self.random.choice(
            ('any', 'burst', 'after a sync', 'before a sync', 'within')
        )
        if is_acknowledged and self.random.random() < 0.5:
            moment = 'acknowledged'
        self._log('power lost', names, moment=moment)
        if not names:
            return
        if self.random.random() < 0.7:
            self._wait_for_traffic(proposers)
        disk = self.cell.disks[self.random.choice(names)]
        match moment:
            case 'any':
                time.sleep(self.random.uniform(0, 0.05))
            case 'burst':
                for name in self.random.sample(names, len(names)):
                    self._cut([name])
                    time.sleep(self.random.uniform(0, 0.05))
            case 'after a sync':
                disk.files.wait_for_sync(MOMENT_TIMEOUT_S)
            case 'before a sync':
                disk.arm(
                    self.random.randint(1, 4), lambda: self._cut(names), 'sync'
                )
                disk.reached.wait(MOMENT_TIMEOUT_S)
            case 'within':
                disk.arm(self.random.randint(1, 20), lambda: self._cut(names))
                disk.reached.wait(MOMENT_TIMEOUT_S)
            case 'acknowledged':
                self._wait_for_traffic(proposers)
        self._cut(names)

    def _wait_for_traffic(self, proposers):
        """Wait for an acknowledgement, unless there is no quorum."""
        goal = len(proposers.acknowledged) + 1
        end_s = time.monotonic() + TRAFFIC_TIMEOUT_S
        while len(proposers.acknowledged) < goal:
            if time.monotonic() > end_s:
                return
            time.sleep(0.0005)

    def _darken(self, names):
        """Stop nodes without power; they may still answer for a while."""
        if self.random.random() < 0.3:
            time.sleep(self.random.uniform(0, 0.1))
        self._stop([name for name in names if name in self.cell.running])
        self.dark.update(names)
        self.killed.difference_update(names)

    def _stop(self, names):
        for name in names:
            self.cell.stop(name)

    def _start_all(self):
        stopped = [
            name for name in self.cell.names if name not in self.cell.running
        ]
        for name in self.random.sample(stopped, len(stopped)):
            self._start(name)

    def _start(self, name):
        """Start a node, which may be killed or lose power within its start."""
        disk = self.cell.disks[name]
        while True:
            if self.random.random() < 0.15:
                self._prepare(name)
                ends = self.random.choice((disk.cut, disk.kill))
                disk.arm(self.random.randint(1, 12), ends)
                wait_s = self.random.uniform(0, 0.1)
            else:
                wait_s = 0
            self._launch(name)
            disk.reached.wait(wait_s)
            disk.disarm()
            if not disk.has_ended():
                return
            self._log('ended in its start', [name], is_cut=disk.is_cut)
            if name in self.cell.running:
                self.cell.stop(name)
            (self.dark if disk.is_cut else self.killed).add(name)

    def _launch(self, name):
        """Start a node; only an end in its start is no failure."""
        self._prepare(name)
        outcome = self.cell.launch(name)
        if not self.cell.disks[name].has_ended():
            outcome.unwrap()

    def _prepare(self, name):
        """Carry out what a stopped node has yet to lose."""
        disk = self.cell.disks[name]
        if name in self.dark or (
            name in self.killed and self.random.random() < 0.5
        ):
            self.losses_count += 1
            changes_count = disk.files.disk.changes_count()
            self._log('files lost', [name], unsynced=changes_count)
            disk.lose_power(self.random)
        elif name in self.killed:
            disk.revive()
        self.dark.discard(name)
        self.killed.discard(name)


@pytest.mark.parametrize('count', [3, 5])
@pytest.mark.parametrize('seed', _seeds())
def test_losses_of_power_lose_no_quorum_and_no_acknowledged_command(
    tmp_path, monkeypatch, count, seed
):
    monkeypatch.setattr(_options, 'SEGMENT_BYTES_MAX', SEGMENT_BYTES)
    monkeypatch.setattr(_options, 'SNAPSHOT_CHUNK_BYTES', CHUNK_BYTES)
    monkeypatch.setattr(_options, 'IN_FLIGHT_CALLS_MAX', IN_FLIGHT_CALLS)
    with Cell(tmp_path, count, random.Random(seed)) as cell:
        faults = Faults(cell)
        faults.found()
        with load.Proposers(cell, PROPOSERS_COUNT, COMMAND_BYTES) as proposers:
            for _ in range(ROUNDS_COUNT):
                faults.round(proposers)
            faults.wait_all_voting()
        cell.leader()
        load.check_terms(cell.listeners)
        load.check_history(cell, proposers)
        _logger.info(
            'play done',
            seed=seed,
            losses=faults.losses_count,
            acknowledged=len(proposers.acknowledged),
            unknown=len(proposers.unknown),
            snapshots=cell.restored_count(),
        )


def test_an_acknowledged_command_survives_where_killed_nodes_found_it(
    tmp_path,
):
    # The leader has to wait for the nodes that start again.
    options = {'election_min_ms': 2_000, 'election_max_ms': 3_000}
    with Cell(tmp_path, 3, random.Random(1), **options) as cell:
        leader = cell.bootstrap()
        cell.propose(leader, b'before').unwrap()
        cell.wait_applied([b'before'])
        followers = cell.others(leader)
        disks = [cell.disks[name] for name in followers]
        for disk in disks:
            disk.arm(1, disk.kill, 'sync')
        future = cell.node(leader).propose(b'acknowledged')
        for name, disk in zip(followers, disks, strict=True):
            assert disk.reached.wait(harness.TIMEOUT_S)
            cell.stop(name)
            disk.revive()
        cell.start(*followers)
        future.result(harness.TIMEOUT_S).unwrap()
        for name in cell.names:
            cell.disks[name].cut()
        for name in cell.names:
            cell.stop(name)
        cell.replace_disk(leader)
        for disk in disks:
            disk.lose_power(AllLost())
        cell.start()
        cell.leader()
        cell.wait_applied([b'before', b'acknowledged'])
