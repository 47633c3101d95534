"""The store of a replica in the files of one folder."""

import fcntl
import itertools
import os
import pathlib
from collections.abc import Sequence
from types import TracebackType
from typing import Any, Self, final

from turmericmast.disk.records import (
    frame_record,
    is_torn,
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
    """Files ``vote``, ``snapshot`` and ``log``; a context manager.

    What cannot be trusted is moved aside, and the folder counts as empty:
    the replica then comes back under a new incarnation and is caught up by
    its group, as after the loss of the disk.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Use a folder, which is made when it does not exist."""
        self._folder = folder
        self._log_path = folder / 'log'
        self._ends: list[int] = []
        """Where each entry of the log file ends."""
        self._size = 0
        """Octets of the log file, with what is not written yet."""
        self._first = Index(1)
        """The index of the first entry of the log file."""
        self._is_dirty = False
        self.sync_count = 0

    def __enter__(self) -> Self:
        """Open the folder; only one process may have it open."""
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
        self._log = self._log_path.open('ab')
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Sync and close the files."""
        self.sync()
        self._log.close()
        self._lock.close()

    def load(self) -> RecoveredState:
        """Return what survived, with a torn tail cut off."""
        try:
            return self._load()
        except DiskError:
            self._move_aside()
            return RecoveredState(Vote(), None, ())

    def save_vote(self, vote: Vote) -> None:
        """Replace the vote."""
        self._replace('vote', vote)

    def append(self, entries: Sequence[Entry]) -> None:
        """Add entries behind the last one."""
        octets = [frame_record(encode(entry)) for entry in entries]
        sizes = itertools.accumulate(map(len, octets), initial=self._size)
        self._ends.extend(itertools.islice(sizes, 1, None))
        self._write(b''.join(octets))

    def save_commit(self, index: Index) -> None:
        """Note up to where the log is committed, behind its entries."""
        self._write(frame_record(encode(CommitMark(index))))

    def truncate(self, index: Index) -> None:
        """Drop the entry at ``index`` and all behind it."""
        kept = max(index - self._first, 0)
        self._ends = self._ends[:kept]
        self._log.flush()
        self._size = self._ends[-1] if self._ends else 0
        self._log.truncate(self._size)
        self._is_dirty = True

    def save_snapshot(
        self,
        snapshot: Snapshot,
        tail: Sequence[Entry],
    ) -> None:
        """Replace the snapshot and keep only ``tail`` of the log."""
        self._replace('snapshot', snapshot)
        octets = [frame_record(encode(entry)) for entry in tail]
        replace_file(self._log_path, b''.join(octets))
        self._log.close()
        self._log = self._log_path.open('ab')
        self._ends = list(itertools.accumulate(map(len, octets)))
        self._size = self._ends[-1] if self._ends else 0
        self._first = Index(snapshot.index + 1)

    def sync(self) -> None:
        """Make all earlier writes survive a crash."""
        if self._is_dirty:
            self._log.flush()
            os.fdatasync(self._log.fileno())
            self._is_dirty = False
            self.sync_count += 1

    def _write(self, octets: bytes) -> None:
        self._log.write(octets)
        self._size += len(octets)
        self._is_dirty = True

    def _replace(self, name: str, record: Vote | Snapshot) -> None:
        replace_file(self._folder / name, frame_record(encode(record)))
        self.sync_count += 1

    def _load(self) -> RecoveredState:
        vote = self._read_one('vote') or Vote()
        snapshot = self._read_one('snapshot')
        records = self._read_log()
        entries = [one for one in records if isinstance(one, Entry)]
        base = snapshot.index if snapshot else 0
        fresh = tuple(one for one in entries if one.index > base)
        indexes = [entry.index for entry in fresh]
        if indexes != list(range(base + 1, base + 1 + len(fresh))):
            raise self._damage('the log does not go on where it should')
        self._first = entries[0].index if entries else Index(base + 1)
        marks = (one.index for one in records if isinstance(one, CommitMark))
        return RecoveredState(
            vote, snapshot, fresh, max(marks, default=Index(0))
        )

    def _read_one(self, name: str) -> Any:
        path = self._folder / name
        if not path.exists():
            return None
        records = list(read_records(path.read_bytes()))
        if len(records) != 1:
            raise self._damage(f'{name} is not one whole record')
        return self._decode(records[0][1])

    def _read_log(self) -> list[Entry | CommitMark]:
        image = self._log_path.read_bytes()
        records = list(read_records(image))
        good = records[-1][0] if records else 0
        if good < len(image):
            if not is_torn(image[good:]):
                raise self._damage('a record of the log is damaged')
            self._log.truncate(good)
            os.fsync(self._log.fileno())
        self._size = good
        decoded = [(end, self._decode(octets)) for end, octets in records]
        self._ends = [end for end, one in decoded if isinstance(one, Entry)]
        return [one for _, one in decoded]

    def _decode(self, octets: bytes) -> Any:
        decoded = decode(octets).value_or(None)
        if decoded is None:
            raise self._damage('a record cannot be decoded')
        return decoded

    def _damage(self, found: str) -> DiskError:
        return DiskError(
            found,
            step='load data folder',
            hint='the folder is moved aside and filled again by its group',
        )

    def _move_aside(self) -> None:
        self._log.close()
        for name in ('vote', 'snapshot', 'log'):
            path = self._folder / name
            if path.exists():
                path.replace(self._folder / f'{name}.damaged')
        self._log = self._log_path.open('ab')
        self._ends = []
        self._size = 0
        self._first = Index(1)


def _newest_mark(records: Sequence[Entry | CommitMark]) -> Index:
    marks = (one.index for one in records if isinstance(one, CommitMark))
    return max(marks, default=Index(0))
