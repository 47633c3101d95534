"""Bytes that curl receives on a connection without passing anything on.

curl keeps a line of a head until it ends, and calls no callback before; the
kernel counts its bytes.
"""

import socket
import struct
from typing import final

from turmericmast.web.connections import borrowed_socket
from turmericmast.web.responselimits import MAX_FRAMING_BYTES

RECEIVED_BYTES = struct.Struct('=128xQ')
"""Offset of ``tcpi_bytes_received`` in the kernel's ``struct tcp_info``."""


@final
class UnseenBytes:
    """Counts the bytes of each connection since curl passed something on."""

    def __init__(self) -> None:
        """Start with no connection."""
        self._has_progress = False
        self._received_by_fd: dict[int, int] = {}
        """Bytes received when curl first passed nothing on."""

    def begin(self) -> None:
        """Begin to watch for progress, before curl reads a connection."""
        self._has_progress = False

    def note_progress(self) -> None:
        """Note that curl has passed on a line or a part of a body."""
        self._has_progress = True

    def forget(self, fd: int) -> None:
        """Forget a connection that curl watches no longer."""
        self._received_by_fd.pop(fd, None)

    def is_excessive(self, fd: int) -> bool:
        """Tell whether a connection, just read, has exceeded the limit."""
        if self._has_progress:
            self._received_by_fd.pop(fd, None)
            return False
        received = _received_bytes(fd)
        before = self._received_by_fd.setdefault(fd, received)
        return received - before > MAX_FRAMING_BYTES


def _received_bytes(fd: int) -> int:
    """Return the bytes that a TCP connection has ever received.

    It is 0 where the kernel does not tell; then only time limits them.
    """
    with borrowed_socket(fd) as borrowed:
        octets = _read_info(borrowed)
    if len(octets) < RECEIVED_BYTES.size:
        return 0
    return int(RECEIVED_BYTES.unpack(octets)[0])


def _read_info(connection: socket.socket) -> bytes:
    try:
        return connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, RECEIVED_BYTES.size
        )
    except OSError:
        return b''
