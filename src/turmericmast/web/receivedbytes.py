"""Bytes that a connection has received for one response."""

import fcntl
import socket
import sys
import termios
from typing import final

from turmericmast.web.connections import Connection, Descriptor
from turmericmast.web.unseenbytes import RECEIVED_BYTES

INT_BYTES = 4
"""Size of the kernel's count of unread bytes."""
CLOSE_WAIT = 8
"""State of a connection that the peer has closed, the first byte of the
kernel's ``struct tcp_info``."""


@final
class ReceivedBytes:
    """Counts what a connection receives after a request was sent on it.

    The kernel is asked once for each response with a length, and once more
    after one without.
    """

    def __init__(self, connection: Connection) -> None:
        """Begin to count; bytes that wait to be read count too."""
        self._connection = connection
        self._before = connection.accounted
        if self._before is None:
            descriptor = connection.descriptor
            self._before = _total(descriptor) - _unread(descriptor)
        connection.accounted = None

    def beyond(self, octets: int) -> int:
        """Return how many bytes were received beyond ``octets``.

        It is 0 where the kernel does not tell. If it is 0, the response has
        ended, and the next one begins.
        """
        total = _total(self._connection.descriptor)
        excess = max(total - (self._before or 0) - octets, 0)
        self._connection.accounted = None if excess else total
        return excess

    @property
    def consumed(self) -> int:
        """Return how many bytes curl has read since the request."""
        descriptor = self._connection.descriptor
        before = self._before or 0
        return _total(descriptor) - _unread(descriptor) - before

    @property
    def has_unread(self) -> bool:
        """Tell whether bytes wait on the connection that curl hasn't read."""
        return _unread(self._connection.descriptor) > 0


def _total(descriptor: Descriptor) -> int:
    try:
        octets = _tcp_info(descriptor)
    except OSError:
        return 0
    if len(octets) < RECEIVED_BYTES.size:
        return 0
    # The kernel counts the end of the stream as a byte.
    has_ended = octets[0] == CLOSE_WAIT
    return int(RECEIVED_BYTES.unpack(octets)[0]) - int(has_ended)


def _tcp_info(descriptor: Descriptor) -> bytes:
    """Return what the kernel tells of a connection that curl owns.

    This runs for each response, so it takes less time than
    ``borrowed_socket``: the plain type of sockets is told all that it would
    ask the kernel for.

    Raises:
        OSError: if the descriptor is not a socket.

    """
    borrowed = socket.SocketType(
        socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, descriptor
    )
    try:
        octets = borrowed.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, RECEIVED_BYTES.size
        )
    except OSError:
        octets = b''
    # curl owns the descriptor, so the socket object must not close it.
    borrowed.detach()
    return octets


def _unread(descriptor: Descriptor) -> int:
    try:
        octets = fcntl.ioctl(descriptor, termios.FIONREAD, bytes(INT_BYTES))
    except OSError:
        return 0
    return int.from_bytes(octets, sys.byteorder)
