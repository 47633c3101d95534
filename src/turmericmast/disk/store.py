"""Durable storage of a replica in the files of one folder."""

import contextlib
import fcntl
import itertools
import pathlib
from collections.abc import Sequence
from types import TracebackType
from typing import Any, Self, final

from turmericmast.disk.logfile import LogFile
from turmericmast.disk.records import (
    SYNC_MARK,
    frame_record,
    is_torn_write,
    read_records,
    replace_file,
)
from turmericmast.exceptions import DiskError
from turmericmast.ids import Index
from turmericmast.replica.messages import Entry, Snapshot
from turmericmast.replica.store import (
    CommitMark,
    RecoveredState,
    Store,
    Vote,
)
from turmericmast.wire.codec import decode, encode


@final
class FileStore(Store):
    """Keeps the files ``vote``, ``snapshot`` and ``log`` in a locked folder.

    Use it as a context manager. Changes wait in memory until ``sync`` writes
    them. A disk that is full or fails makes ``sync`` raise ``DiskError``; the
    changes are kept, and the next ``sync`` tries again.

    If a file is damaged, all of them are renamed to ``*.damaged`` and the store
    starts empty: the replica comes back under a new incarnation and is brought
    up to date by its group, as after the loss of the disk.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Use a folder; it is created on entry if it does not exist."""
        self._folder = folder
        self._log = LogFile(folder / 'log')
        self._entry_ends: list[int] = []
        """End offset of each entry in the log, with unwritten ones."""
        self._first_index = Index(1)
        """Index of the first entry in the log file."""
        self._unwritten_vote: Vote | None = None
        self._unwritten_snapshot: Snapshot | None = None
        self._replaced_count = 0
        """Number of replaced files so far."""

    def __enter__(self) -> Self:
        """Open and lock the folder.

        Raises ``DiskError`` if another process has locked it.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        self._lock = (self._folder / 'lock').open('wb')
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            self._lock.close()
            raise DiskError(
                f'{self._folder} is in use by another process',
                step='open data folder',
                hint='stop that process or give this one its own folder',
            ) from error
        self._log.__enter__()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Sync if the disk permits, close the files and release the lock."""
        with contextlib.ExitStack() as stack:
            stack.callback(self._lock.close)
            stack.push(self._log)
            stack.enter_context(contextlib.suppress(DiskError))
            self.sync()

    def load(self) -> RecoveredState:
        """Return the stored state, without an incomplete last write.

        Damaged files are moved aside, and the state is empty.
        """
        try:
            return self._load()
        except DiskError:
            self._move_aside()
            return RecoveredState(Vote(), None, ())

    def save_vote(self, vote: Vote) -> None:
        """Replace the stored term and vote."""
        self._unwritten_vote = vote

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries after the last one."""
        for entry in entries:
            self._log.append(frame_record(encode(entry)))
            self._entry_ends.append(self._log.size)

    def save_commit(self, index: Index) -> None:
        """Append the commit index to the log file."""
        self._log.append(frame_record(encode(CommitMark(index))))

    def truncate(self, index: Index) -> None:
        """Remove the entry at ``index`` and all later ones."""
        remaining_count = max(index - self._first_index, 0)
        self._entry_ends = self._entry_ends[:remaining_count]
        self._log.cut(self._entry_ends[-1] if self._entry_ends else 0)

    def save_snapshot(
        self,
        snapshot: Snapshot,
        tail: Sequence[Entry],
    ) -> None:
        """Replace the snapshot and the whole log."""
        framed = [frame_record(encode(entry)) for entry in tail]
        self._unwritten_snapshot = snapshot
        self._log.replace(b''.join(framed))
        self._entry_ends = list(itertools.accumulate(map(len, framed)))
        self._first_index = Index(snapshot.index + 1)

    def sync(self) -> None:
        """Write all earlier changes durably.

        Raises ``DiskError`` if the disk refuses; nothing is lost then.
        """
        try:
            self._write_changes()
        except OSError as error:
            raise DiskError(
                str(error),
                step='write data folder',
                peer=str(self._folder),
                hint='check that the disk works and has room',
            ) from error

    @property
    def sync_count(self) -> int:
        """Return the number of syncs and replaced files so far."""
        return self._log.sync_count + self._replaced_count

    def _write_changes(self) -> None:
        if self._unwritten_vote:
            self._replace_record('vote', self._unwritten_vote)
            self._unwritten_vote = None
        if self._unwritten_snapshot:
            # The log behind a snapshot replaces the earlier one after it.
            self._replace_record('snapshot', self._unwritten_snapshot)
            self._unwritten_snapshot = None
        self._log.sync()

    def _replace_record(self, name: str, record: Vote | Snapshot) -> None:
        replace_file(self._folder / name, frame_record(encode(record)))
        self._replaced_count += 1

    def _load(self) -> RecoveredState:
        vote = self._read_single_record('vote') or Vote()
        snapshot = self._read_single_record('snapshot')
        records = self._read_log()
        entries = [record for record in records if isinstance(record, Entry)]
        if snapshot and _is_superseded(entries, snapshot):
            self._log.replace(b'')
            self._entry_ends = []
            entries = []
        snapshot_index = snapshot.index if snapshot else 0
        later_entries = tuple(
            entry for entry in entries if entry.index > snapshot_index
        )
        indexes = [entry.index for entry in later_entries]
        if indexes != list(
            range(snapshot_index + 1, snapshot_index + 1 + len(later_entries))
        ):
            raise self._damage_error(
                'the entries of the log are not consecutive'
            )
        self._first_index = (
            entries[0].index if entries else Index(snapshot_index + 1)
        )
        marks = (
            record.index for record in records if isinstance(record, CommitMark)
        )
        return RecoveredState(
            vote, snapshot, later_entries, max(marks, default=Index(0))
        )

    def _read_single_record(self, name: str) -> Any:
        path = self._folder / name
        if not path.exists():
            return None
        records = list(read_records(path.read_bytes()))
        if len(records) != 1:
            raise self._damage_error(
                f'file {name} is not exactly one valid record'
            )
        return self._decode(records[0][1])

    def _read_log(self) -> list[Entry | CommitMark]:
        file_bytes = self._log.read()
        records = list(read_records(file_bytes))
        valid_size = records[-1][0] if records else 0
        if valid_size < len(file_bytes):
            if not is_torn_write(file_bytes[valid_size:]):
                raise self._damage_error(
                    'a record inside the log file is damaged'
                )
        self._log.begin(valid_size)
        decoded = [
            (end, self._decode(payload))
            for end, payload in records
            if frame_record(payload) != SYNC_MARK
        ]
        self._entry_ends = [
            end for end, record in decoded if isinstance(record, Entry)
        ]
        return [record for _, record in decoded]

    def _decode(self, payload: bytes) -> Any:
        decoded = decode(payload).value_or(None)
        if decoded is None:
            raise self._damage_error('a valid record cannot be decoded')
        return decoded

    def _damage_error(self, message: str) -> DiskError:
        return DiskError(
            message,
            step='load data folder',
            hint='its files are renamed to *.damaged; the group restores them',
        )

    def _move_aside(self) -> None:
        for name in ('vote', 'snapshot', 'log'):
            path = self._folder / name
            if path.exists():
                path.replace(self._folder / f'{name}.damaged')
        self._log.begin_empty()
        self._entry_ends = []
        self._first_index = Index(1)


def _is_superseded(entries: Sequence[Entry], snapshot: Snapshot) -> bool:
    """Tell whether a log is not the one that a snapshot was made of.

    The snapshot of a leader replaces entries that were never committed. A
    crash before the log was replaced, too, leaves them in the file.
    """
    return any(
        entry.index == snapshot.index and entry.term != snapshot.term
        for entry in entries
    )
