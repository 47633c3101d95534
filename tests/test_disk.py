"""The store on disk: torn tails, damage, snapshots, a lost folder."""

import pathlib
import tempfile
import unittest
from collections.abc import Callable

from parameterized import parameterized

from turmericmast.disk.store import FileStore
from turmericmast.exceptions import DiskError
from turmericmast.ids import Incarnation, Index, MemberId, Term
from turmericmast.replica.messages import Entry, EntryKind, Seat, Snapshot
from turmericmast.replica.store import RecoveredState, Vote

VOTE = Vote(Term(3), MemberId('m1'), Incarnation('i1'))
SEATS = (Seat(MemberId('m1'), Incarnation('i1'), witness=False),)


def _entry(index: int) -> Entry:
    payload = b'x' * (20 + index)
    return Entry(Index(index), Term(1), EntryKind.command, payload)


def _cut(octets: bytes) -> bytes:
    return octets[:-5]


def _zero_tail(octets: bytes) -> bytes:
    return octets + bytes(40)


def _flip_last(octets: bytes) -> bytes:
    return octets[:-1] + bytes([octets[-1] ^ 1])


def _flip_first(octets: bytes) -> bytes:
    return octets[:12] + bytes([octets[12] ^ 1]) + octets[13:]


ENTRIES = [_entry(one) for one in range(1, 5)]


class FileStoreTest(unittest.TestCase):
    """What is found again after a stop of any kind."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name) / 'data'

    def _write(self, count: int) -> None:
        with FileStore(self.folder) as store:
            store.load()
            store.save_vote(VOTE)
            store.append([_entry(one) for one in range(1, count + 1)])

    def _load(self) -> RecoveredState:
        with FileStore(self.folder) as store:
            return store.load()

    def test_everything_is_found_again(self) -> None:
        self._write(5)
        found = self._load()
        self.assertEqual(VOTE, found.vote)
        self.assertEqual(
            [_entry(one) for one in range(1, 6)], list(found.entries)
        )

    @parameterized.expand(
        [
            ('cut', _cut, 4),
            ('zeros', _zero_tail, 5),
            ('last_damaged', _flip_last, 4),
        ],
    )
    def test_torn_tail_is_cut_off(
        self,
        _name: str,
        damage: Callable[[bytes], bytes],
        expected: int,
    ) -> None:
        self._write(5)
        log = self.folder / 'log'
        log.write_bytes(damage(log.read_bytes()))
        self.assertEqual(expected, len(self._load().entries))
        with FileStore(self.folder) as store:
            store.load()
            store.append([_entry(expected + 1)])
        self.assertEqual(expected + 1, len(self._load().entries))

    @parameterized.expand([('log',), ('vote',), ('snapshot',)])
    def test_damaged_folder_counts_as_lost(self, name: str) -> None:
        self._write(5)
        with FileStore(self.folder) as store:
            store.load()
            store.save_snapshot(
                Snapshot(Index(2), Term(1), SEATS, b'state'),
                [_entry(3), _entry(4), _entry(5)],
            )
        path = self.folder / name
        path.write_bytes(_flip_first(path.read_bytes()))
        self.assertEqual(RecoveredState(Vote(), None, ()), self._load())
        self.assertTrue((self.folder / f'{name}.damaged').exists())

    @parameterized.expand([('whole', 0, 3), ('torn', 4, 2)])
    def test_commit_is_found_again(
        self,
        _name: str,
        lost: int,
        commit: int,
    ) -> None:
        with FileStore(self.folder) as store:
            store.load()
            store.append(ENTRIES[:2])
            store.save_commit(2)
            store.append(ENTRIES[2:3])
            store.save_commit(3)
        path = self.folder / 'log'
        path.write_bytes(path.read_bytes()[: path.stat().st_size - lost])
        with FileStore(self.folder) as store:
            found = store.load()
            self.assertEqual(found.commit, commit)
            self.assertEqual(found.entries, tuple(ENTRIES[:3]))
            store.append(ENTRIES[3:4])
        with FileStore(self.folder) as store:
            self.assertEqual(store.load().entries, tuple(ENTRIES[:4]))

    def test_snapshot_takes_the_place_of_entries(self) -> None:
        self._write(5)
        snapshot = Snapshot(Index(3), Term(1), SEATS, b'state')
        with FileStore(self.folder) as store:
            store.load()
            store.save_snapshot(snapshot, [_entry(4), _entry(5)])
            store.append([_entry(6)])
            store.truncate(Index(6))
            store.append([_entry(6)])
        found = self._load()
        self.assertEqual(snapshot, found.snapshot)
        self.assertEqual([4, 5, 6], [one.index for one in found.entries])

    def test_crash_between_snapshot_and_log(self) -> None:
        self._write(5)
        log = (self.folder / 'log').read_bytes()
        with FileStore(self.folder) as store:
            store.load()
            store.save_snapshot(
                Snapshot(Index(3), Term(1), SEATS, b'state'),
                [_entry(4), _entry(5)],
            )
        (self.folder / 'log').write_bytes(log)
        self.assertEqual([4, 5], [one.index for one in self._load().entries])
        with FileStore(self.folder) as store:
            store.load()
            store.truncate(Index(5))
        self.assertEqual([4], [one.index for one in self._load().entries])

    def test_two_processes_cannot_share_a_folder(self) -> None:
        with FileStore(self.folder):
            with self.assertRaises(DiskError) as caught:
                FileStore(self.folder).__enter__()
        self.assertIn('in use by another process', caught.exception.show())
