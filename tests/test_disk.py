"""File store: incomplete writes, damaged files, snapshots and locking."""

import pathlib
import tempfile
import unittest
from collections.abc import Callable

from parameterized import parameterized

from turmericmast.disk.store import FileStore
from turmericmast.exceptions import DiskError
from turmericmast.ids import Incarnation, Index, MemberId, Term
from turmericmast.replica.messages import (
    Entry,
    EntryKind,
    Snapshot,
)
from turmericmast.replica.seat import Seat
from turmericmast.replica.store import RecoveredState, Vote

VOTE = Vote(Term(3), MemberId('m1'), Incarnation('i1'))
SEATS = (Seat(MemberId('m1'), Incarnation('i1'), witness=False),)


def _entry(index: int) -> Entry:
    payload = b'x' * (20 + index)
    return Entry(Index(index), Term(1), EntryKind.command, payload)


def _truncate_last(file_bytes: bytes) -> bytes:
    return file_bytes[:-5]


def _append_zeros(file_bytes: bytes) -> bytes:
    return file_bytes + bytes(40)


def _flip_bit_in_last_record(file_bytes: bytes) -> bytes:
    return file_bytes[:-1] + bytes([file_bytes[-1] ^ 1])


def _flip_bit_in_length(file_bytes: bytes) -> bytes:
    start = file_bytes.index(b'x' * 21) - 20
    return file_bytes[:start] + b'\x7f' * 8 + file_bytes[start + 8 :]


def _lose_first_write(file_bytes: bytes) -> bytes:
    start = file_bytes.index(b'x' * 21) - 20
    return file_bytes[:start] + bytes(24) + file_bytes[start + 24 :]


def _tear_first_write(file_bytes: bytes) -> bytes:
    start = file_bytes.index(b'x' * 21)
    return file_bytes[:start] + bytes(9) + file_bytes[start + 9 :]


def _flip_bit_in_first_record(file_bytes: bytes) -> bytes:
    return file_bytes[:12] + bytes([file_bytes[12] ^ 1]) + file_bytes[13:]


ENTRIES = [_entry(index) for index in range(1, 5)]


class FileStoreTest(unittest.TestCase):
    """State that is recovered after a normal stop, a crash or damage."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name) / 'data'

    def _write(self, count: int) -> None:
        with FileStore(self.folder) as store:
            store.load()
            store.save_vote(VOTE)
            store.append([_entry(index) for index in range(1, count + 1)])

    def _load(self) -> RecoveredState:
        with FileStore(self.folder) as store:
            return store.load()

    def test_state_is_recovered(self) -> None:
        self._write(5)
        recovered = self._load()
        self.assertEqual(VOTE, recovered.vote)
        self.assertEqual(
            [_entry(index) for index in range(1, 6)], list(recovered.entries)
        )

    @parameterized.expand(
        [
            ('truncated', _truncate_last, 4),
            ('zeros_at_the_end', _append_zeros, 5),
            ('last_damaged', _flip_bit_in_last_record, 4),
        ],
    )
    def test_incomplete_last_write_is_removed(
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

    @parameterized.expand(
        [
            ('bit', _flip_bit_in_first_record),
            ('length', _flip_bit_in_length),
            ('zeros', _lose_first_write),
            ('torn', _tear_first_write),
        ]
    )
    def test_damage_before_a_sync_is_not_taken_for_a_torn_write(
        self, _name: str, damage: Callable[[bytes], bytes]
    ) -> None:
        with FileStore(self.folder) as store:
            store.load()
            store.save_vote(VOTE)
            for entry in ENTRIES:
                store.append([entry])
                store.sync()
        log = self.folder / 'log'
        log.write_bytes(damage(log.read_bytes()))
        self.assertEqual(RecoveredState(Vote(), None, ()), self._load())
        self.assertTrue((self.folder / 'vote.damaged').exists())

    @parameterized.expand(
        [
            ('length', _flip_bit_in_length),
            ('lost', _lose_first_write),
            ('torn', _tear_first_write),
        ]
    )
    def test_any_part_of_unsynced_writes_may_survive(
        self, _name: str, damage: Callable[[bytes], bytes]
    ) -> None:
        self._write(5)
        log = self.folder / 'log'
        log.write_bytes(damage(log.read_bytes()))
        recovered = self._load()
        self.assertEqual((VOTE, ()), (recovered.vote, recovered.entries))

    def test_removed_entries_do_not_stand_behind_new_ones(self) -> None:
        with FileStore(self.folder) as store:
            store.load()
            for entry in ENTRIES:
                store.append([entry])
                store.sync()
            store.truncate(2)
            store.append([_entry(2)])
        self.assertEqual(list(self._load().entries), ENTRIES[:2])
        self.assertEqual(list(self._load().entries), ENTRIES[:2])

    @parameterized.expand([('log',), ('vote',), ('snapshot',)])
    def test_damaged_folder_loads_as_empty(self, name: str) -> None:
        self._write(5)
        with FileStore(self.folder) as store:
            store.load()
            store.save_snapshot(
                Snapshot(Index(2), Term(1), SEATS, b'state'),
                [_entry(3), _entry(4), _entry(5)],
            )
        path = self.folder / name
        path.write_bytes(_flip_bit_in_first_record(path.read_bytes()))
        self.assertEqual(RecoveredState(Vote(), None, ()), self._load())
        self.assertTrue((self.folder / f'{name}.damaged').exists())

    @parameterized.expand([('complete', 0, 3), ('truncated', 4, 2)])
    def test_commit_index_is_recovered(
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
            recovered = store.load()
            self.assertEqual(recovered.commit, commit)
            self.assertEqual(recovered.entries, tuple(ENTRIES[:3]))
            store.append(ENTRIES[3:4])
        with FileStore(self.folder) as store:
            self.assertEqual(store.load().entries, tuple(ENTRIES[:4]))

    def test_snapshot_replaces_entries(self) -> None:
        self._write(5)
        snapshot = Snapshot(Index(3), Term(1), SEATS, b'state')
        with FileStore(self.folder) as store:
            store.load()
            store.save_snapshot(snapshot, [_entry(4), _entry(5)])
            store.append([_entry(6)])
            store.truncate(Index(6))
            store.append([_entry(6)])
        recovered = self._load()
        self.assertEqual(snapshot, recovered.snapshot)
        self.assertEqual(
            [4, 5, 6], [entry.index for entry in recovered.entries]
        )

    def test_crash_between_replacing_snapshot_and_log(self) -> None:
        self._write(5)
        log = (self.folder / 'log').read_bytes()
        with FileStore(self.folder) as store:
            store.load()
            store.save_snapshot(
                Snapshot(Index(3), Term(1), SEATS, b'state'),
                [_entry(4), _entry(5)],
            )
        (self.folder / 'log').write_bytes(log)
        self.assertEqual(
            [4, 5], [entry.index for entry in self._load().entries]
        )
        with FileStore(self.folder) as store:
            store.load()
            store.truncate(Index(5))
        self.assertEqual([4], [entry.index for entry in self._load().entries])

    @parameterized.expand([('same_log', 1, [4, 5]), ('another_log', 2, [])])
    def test_entries_behind_a_snapshot_of_another_log_are_dropped(
        self, _name: str, term: int, expected: list[int]
    ) -> None:
        self._write(5)
        log = (self.folder / 'log').read_bytes()
        snapshot = Snapshot(Index(3), Term(term), SEATS, b'state')
        with FileStore(self.folder) as store:
            store.load()
            store.save_snapshot(snapshot, [])
        (self.folder / 'log').write_bytes(log)
        with FileStore(self.folder) as store:
            recovered = store.load()
            self.assertEqual(
                [entry.index for entry in recovered.entries], expected
            )
            store.truncate(Index(4))
            store.append([_entry(4)])
        recovered = self._load()
        self.assertEqual(recovered.snapshot, snapshot)
        self.assertEqual(recovered.entries, (_entry(4),))

    def test_two_processes_cannot_share_a_folder(self) -> None:
        with FileStore(self.folder):
            with self.assertRaises(DiskError) as caught:
                FileStore(self.folder).__enter__()
        self.assertIn('in use by another process', caught.exception.show())
