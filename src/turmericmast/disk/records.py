"""Files of records with checksums, and atomic replacement of files."""

import contextlib
import io
import os
import pathlib
import struct
import zlib
from collections.abc import Iterator
from typing import final

HEADER = struct.Struct('>II')
"""Length in bytes and CRC-32 of the payload that follows."""
MAX_RECORD_BYTES = 1_073_741_824
"""Most bytes in a payload; a larger length field is read as damage."""


def frame_record(payload: bytes) -> bytes:
    """Return a payload with its header in front."""
    return HEADER.pack(len(payload), zlib.crc32(payload)) + payload


SYNC_MARK = frame_record(b'\x00synced\x00')
"""Record that stands behind bytes that have been synced.

Its payload is no valid message, so that no other record contains it."""


def read_records(file_bytes: bytes) -> Iterator[tuple[int, bytes]]:
    """Yield the end offset and the payload of each record.

    Stops at the first record that is incomplete or damaged.
    """
    start = 0
    while start + HEADER.size <= len(file_bytes):
        length, checksum = HEADER.unpack_from(file_bytes, start)
        end = start + HEADER.size + length
        payload = file_bytes[start + HEADER.size : end]
        # Zeros, which a crash may leave in a file, would be read as records
        # of length 0 with a matching checksum.
        is_valid = 0 < length <= MAX_RECORD_BYTES and end <= len(file_bytes)
        if not is_valid or zlib.crc32(payload) != checksum:
            return
        yield end, payload
        start = end


def is_torn_write(tail: bytes) -> bool:
    """Tell whether the unreadable end of a file was never synced.

    A crash may leave any part of the writes since the last sync, or zeros in
    their place. What stands before a ``SYNC_MARK`` was complete once, so it
    was corrupted later.
    """
    return SYNC_MARK not in tail


def write_all(stream: io.FileIO, content: bytes) -> None:
    """Append bytes to an unbuffered file, in as many writes as it takes.

    After an ``OSError``, a part of them may have been written.
    """
    rest = memoryview(content)
    while rest:
        rest = rest[stream.write(rest) :]


def replace_file(path: pathlib.Path, content: bytes) -> None:
    """Replace a file durably; a crash leaves either the old or the new."""
    temporary = path.with_suffix('.new')
    with temporary.open('wb') as stream:
        stream.write(content)
        stream.flush()
        os.fsync(stream.fileno())
    temporary.replace(path)
    sync_folder(path.parent)


def sync_folder(folder: pathlib.Path) -> None:
    """Make created and renamed files in a folder durable."""
    with contextlib.closing(_OpenFolder(folder)) as open_folder:
        os.fsync(open_folder.descriptor)


@final
class _OpenFolder:
    """An open file descriptor of a folder, for ``fsync``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.descriptor = os.open(folder, os.O_RDONLY)

    def close(self) -> None:
        """Close the descriptor."""
        os.close(self.descriptor)
