"""A disk that refuses writes for a while, under a member of a group.

Pattern: the disk of a core member is full at any single write or sync, and has
room again later.
"""

import contextlib
import errno
import os
import pathlib
import tempfile
import unittest.mock
from collections.abc import Callable, Iterator
from typing import Any

from parameterized import parameterized

from turmericmast.clock import HybridClock, SystemClock
from turmericmast.disk import logfile
from turmericmast.disk.store import FileStore
from turmericmast.exceptions import DiskError
from turmericmast.ids import Incarnation, Index, MemberId, Term
from turmericmast.metrics import Metrics
from turmericmast.programs.groupmember import GroupMember
from turmericmast.replica.messages import (
    Entry,
    EntryKind,
    Snapshot,
    VoteRequest,
)
from turmericmast.replica.seat import Seat
from turmericmast.replica.state import ReplicaConfig
from turmericmast.replica.store import RecoveredState, Vote
from turmericmast.wire.link import ProcessContext

MEMBERS = (MemberId('m1'), MemberId('m2'), MemberId('m3'))
SEATS = tuple(Seat(name, Incarnation(name), witness=False) for name in MEMBERS)
VOTE = Vote(Term(3), MEMBERS[1], Incarnation('m1'))
SNAPSHOT = Snapshot(Index(2), Term(1), SEATS, b'state' * 10)
FIRST_REPLACED = 3
"""Index from which a step replaces entries."""
REFUSED_OPERATIONS: tuple[tuple[Any, str], ...] = (
    (os, 'fsync'),
    (os, 'fdatasync'),
    (pathlib.Path, 'replace'),
    (logfile, 'write_all'),
)


def _entry(index: int, term: int = 1) -> Entry:
    payload = b'x' * (5000 + index)
    return Entry(Index(index), Term(term), EntryKind.command, payload)


def _start(store: FileStore) -> None:
    store.save_vote(VOTE)
    store.append([_entry(1)])


def _append(store: FileStore) -> None:
    store.append([_entry(2), _entry(3)])
    store.save_commit(Index(2))


def _replace_entries(store: FileStore) -> None:
    store.truncate(Index(3))
    store.append([_entry(3, term=2), _entry(4, term=2)])


def _vote_again(store: FileStore) -> None:
    store.save_vote(Vote(Term(5), MEMBERS[2], Incarnation('m1')))


def _compact(store: FileStore) -> None:
    store.save_snapshot(SNAPSHOT, [_entry(3, term=2), _entry(4, term=2)])
    store.append([_entry(5, term=2)])


STEPS: tuple[Callable[[FileStore], None], ...] = (
    _start,
    _append,
    _replace_entries,
    _vote_again,
    _compact,
)


class FullDisk:
    """Refuses the operations on the disk from one on, until ``has_room``."""

    def __init__(self, refused_from: int) -> None:
        self.has_room = False
        self.count = 0
        self._refused_from = refused_from

    @contextlib.contextmanager
    def patched(self) -> Iterator[None]:
        """Refuse the operations inside of this context."""
        with contextlib.ExitStack() as stack:
            for owner, name in REFUSED_OPERATIONS:
                stack.enter_context(self._patch(owner, name))
            yield

    def _patch(self, owner: Any, name: str) -> Any:
        original = getattr(owner, name)

        def operation(*arguments: Any) -> Any:
            self.count += 1
            if not self.has_room and self.count > self._refused_from:
                if name == 'write_all':
                    # A full disk takes a part of a write.
                    original(arguments[0], arguments[1][:4096])
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            return original(*arguments)

        return unittest.mock.patch.object(owner, name, operation)


class FullDiskTest(unittest.TestCase):
    """Nothing that was synced is lost, and nothing is written twice."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    @parameterized.expand([(number,) for number in range(20)])
    def test_full_from_one_operation_on(self, refused_from: int) -> None:
        disk = FullDisk(refused_from)
        synced = 0
        with contextlib.ExitStack() as stack:
            store = stack.enter_context(FileStore(self.folder / 'data'))
            store.load()
            stack.enter_context(disk.patched())
            for number, step in enumerate(STEPS, 1):
                step(store)
                with contextlib.suppress(DiskError):
                    store.sync()
                    synced = number
            self._copy('data', 'crashed')
            disk.has_room = True
            store.sync()
        self.assertEqual(self._load('data'), self._written(len(STEPS)))
        self._check_crash(self._load('crashed'), self._written(synced))

    def _check_crash(
        self, crashed: RecoveredState, synced: RecoveredState
    ) -> None:
        """Check that a crash left what was synced and not replaced since."""
        self.assertGreaterEqual(crashed.vote.term, synced.vote.term)
        compacted = crashed.snapshot.index if crashed.snapshot else 0
        kept = {entry.index for entry in crashed.entries}
        for entry in synced.entries:
            is_replaced = entry.index >= FIRST_REPLACED
            is_kept = entry.index in kept or entry.index <= compacted
            self.assertTrue(is_replaced or is_kept, entry.index)

    def _written(self, steps: int) -> RecoveredState:
        """Return the state after some steps on a disk that works."""
        with FileStore(self.folder / 'works') as store:
            store.load()
            for step in STEPS[:steps]:
                step(store)
                store.sync()
        recovered = self._load('works')
        for path in (self.folder / 'works').iterdir():
            path.unlink()
        return recovered

    def _copy(self, name: str, copy: str) -> None:
        target = self.folder / copy
        target.mkdir()
        for path in (self.folder / name).iterdir():
            (target / path.name).write_bytes(path.read_bytes())

    def _load(self, name: str) -> RecoveredState:
        with FileStore(self.folder / name) as store:
            return store.load()


class RefusedVoteTest(unittest.IsolatedAsyncioTestCase):
    """A vote that the disk has refused is not given, not even when asked again.

    Otherwise the member could vote for another one after a restart.
    """

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.store = FileStore(pathlib.Path(folder.name) / 'data')
        self.enterContext(self.store)
        self.store.load()
        self.store.save_vote(Vote(Term(1), MemberId(''), Incarnation('m1')))
        membership = Entry(Index(1), Term(1), EntryKind.membership, seats=SEATS)
        self.store.append([membership])
        self.store.sync()
        self.clock = unittest.mock.Mock()
        self.clock.now.return_value = 100
        self.events = unittest.mock.Mock()
        context = ProcessContext('m1', HybridClock(SystemClock()), Metrics())
        self.member = GroupMember(
            context,
            ReplicaConfig(MEMBERS[0], MEMBERS),
            self.store,
            unittest.mock.Mock(),
            self.clock,
            self.events,
        )
        self.sent: list[Any] = []
        link = unittest.mock.Mock(send=self.sent.append)
        self.member.links = unittest.mock.Mock(to=lambda _: link)
        self.clock.now.return_value = 110

    async def test_vote(self) -> None:
        disk = FullDisk(0)
        with disk.patched():
            for _ in range(2):
                self._ask()
            self.assertEqual(self.sent, [])
            disk.has_room = True
            self._ask()
        self.assertEqual([reply.granted for reply in self.sent], [True])
        self.assertEqual(self.store.load().vote.voted_for, MEMBERS[1])
        events = [call.args[0] for call in self.events.write.call_args_list]
        self.assertEqual(events.count('disk_refuses'), 1)
        self.assertEqual(events.count('disk_accepts'), 1)

    def _ask(self) -> None:
        self.member.receive(
            VoteRequest(
                term=Term(7),
                candidate=MEMBERS[1],
                incarnation=Incarnation('m2'),
                last_index=Index(1),
                last_term=Term(1),
                trial=False,
            )
        )
        self.member._flush()
