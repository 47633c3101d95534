"""The log file of a store, whose changes wait in memory until a sync."""

import io
import os
import pathlib
from types import TracebackType
from typing import Self, final

from turmericmast.disk.records import SYNC_MARK, replace_file, write_all


@final
class LogFile:
    """A file of records that is appended to, cut off and replaced.

    A sync that fails keeps all changes, and the next one tries again.
    """

    def __init__(self, path: pathlib.Path) -> None:
        """Use a path; the file is created on entry if it does not exist."""
        self._path = path
        self._replacement: bytes | None = None
        """What the file is to be replaced by, ``None`` for no replacement."""
        self._written_size = 0
        """Size of the file in bytes, without what is to be cut off."""
        self._has_excess = False
        """Whether the file may be longer than ``_written_size``."""
        self._unwritten = bytearray()
        """What follows in the file, or in the one that replaces it."""
        self.sync_count = 0
        """Number of syncs so far."""

    def __enter__(self) -> Self:
        """Open the file."""
        self._open()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the file without another sync."""
        self._stream.close()

    @property
    def size(self) -> int:
        """Return the size in bytes, with all changes."""
        return self._base_size + len(self._unwritten)

    def read(self) -> bytes:
        """Return the content of the file, without unwritten changes."""
        return self._path.read_bytes()

    def begin(self, size: int) -> None:
        """Keep the first ``size`` bytes of the file that was found.

        Entries that a killed process did not sync may still be in memory, so
        they are synced before they count.
        """
        self._written_size = size
        self._stream.truncate(size)
        os.fsync(self._stream.fileno())

    def begin_empty(self) -> None:
        """Begin with a new file, since the one found was moved away."""
        self._stream.close()
        self._open()
        self._written_size = 0

    def append(self, content: bytes) -> None:
        """Append bytes; the first after a sync follow a mark that tells so."""
        if not self._unwritten:
            self._unwritten.extend(SYNC_MARK)
        self._unwritten.extend(content)

    def cut(self, size: int) -> None:
        """Remove all bytes behind the first ``size`` ones."""
        kept = max(size - self._base_size, 0)
        self._unwritten = self._unwritten[:kept]
        if self._replacement is not None:
            self._replacement = self._replacement[:size]
        elif size < self._written_size:
            self._written_size = size
            self._has_excess = True

    def replace(self, content: bytes) -> None:
        """Replace the whole content, unwritten changes included."""
        self._replacement = content + SYNC_MARK
        self._unwritten.clear()

    def sync(self) -> None:
        """Write all changes durably.

        Raises ``OSError`` if the disk refuses.
        """
        if self._replacement is not None:
            self._write_replacement(self._replacement)
        if self._has_excess:
            # After a crash, later writes must not stand before removed ones.
            self._stream.truncate(self._written_size)
            self._sync_stream()
        if self._unwritten:
            # A write that fails may leave a part of the bytes in the file.
            self._has_excess = True
            write_all(self._stream, bytes(self._unwritten))
            self._sync_stream()
            self._written_size += len(self._unwritten)
            self._unwritten.clear()

    @property
    def _base_size(self) -> int:
        """Return the offset at which unwritten bytes begin."""
        if self._replacement is None:
            return self._written_size
        return len(self._replacement)

    def _open(self) -> None:
        # Unbuffered: a buffer would keep bytes that the disk has refused.
        self._stream: io.FileIO = self._path.open('ab', buffering=0)

    def _write_replacement(self, content: bytes) -> None:
        replace_file(self._path, content)
        self._stream.close()
        self._open()
        self._written_size = len(content)
        self._has_excess = False
        self._replacement = None

    def _sync_stream(self) -> None:
        os.fdatasync(self._stream.fileno())
        self._has_excess = False
        self.sync_count += 1
