"""Checksummed records in files."""

import contextlib
import os
import pathlib
import struct
import zlib
from collections.abc import Iterator
from typing import final

HEADER = struct.Struct('>II')
"""Length and CRC-32 of the octets that follow."""
MAX_RECORD_BYTES = 1_073_741_824


def frame_record(octets: bytes) -> bytes:
    """Return a record with its header."""
    return HEADER.pack(len(octets), zlib.crc32(octets)) + octets


def read_records(image: bytes) -> Iterator[tuple[int, bytes]]:
    """Yield the end and the octets of each record up to the first bad one."""
    start = 0
    while start + HEADER.size <= len(image):
        length, checksum = HEADER.unpack_from(image, start)
        end = start + HEADER.size + length
        octets = image[start + HEADER.size : end]
        # Zeros left behind by a crash would pass for empty records.
        is_whole = 0 < length <= MAX_RECORD_BYTES and end <= len(image)
        if not is_whole or zlib.crc32(octets) != checksum:
            return
        yield end, octets
        start = end


def is_torn(rest: bytes) -> bool:
    """Tell whether a bad end of a file is what a crash leaves behind.

    A crash cuts the last write short or leaves zeros in it. A bad record
    that is whole and has a good one behind it was damaged later.
    """
    if len(rest) < HEADER.size:
        return True
    length, _ = HEADER.unpack_from(rest)
    behind = rest[HEADER.size + length :]
    return next(read_records(behind), None) is None


def replace_file(path: pathlib.Path, octets: bytes) -> None:
    """Replace a file so that a crash leaves the old or the new one."""
    fresh = path.with_suffix('.new')
    with fresh.open('wb') as stream:
        stream.write(octets)
        stream.flush()
        os.fsync(stream.fileno())
    fresh.replace(path)
    sync_folder(path.parent)


def sync_folder(folder: pathlib.Path) -> None:
    """Make the names in a folder survive a crash."""
    with contextlib.closing(_Folder(folder)) as opened:
        os.fsync(opened.descriptor)


@final
class _Folder:
    """A folder opened so that it can be synced."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.descriptor = os.open(folder, os.O_RDONLY)

    def close(self) -> None:
        """Close it."""
        os.close(self.descriptor)
