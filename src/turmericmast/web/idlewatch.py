"""Notices at once what happens on connections that have no request.

curl looks at an idle connection only when it wants to use it, and not even then
if it was used less than a second ago.
"""

import fcntl
import select
import socket
import struct
import termios
from collections.abc import Callable
from types import TracebackType
from typing import Self, final

from tornado.ioloop import IOLoop

from turmericmast.web.connections import (
    Connection,
    Descriptor,
    borrowed_socket,
)

MAX_EVENTS = 64
"""Connections that are looked at in one turn; others are in the next one."""
UNREAD = struct.Struct('=i')
"""The number of unread bytes, as the kernel returns it."""


@final
class IdleWatch:
    """Watches idle connections with an ``epoll`` object of its own.

    The loop watches that object alone. A connection costs one system call when
    it becomes idle and two when it is used again. The kernel forgets
    connections that curl closes.
    """

    def __init__(self, on_ready: Callable[[Connection], None]) -> None:
        """Prepare to call ``on_ready`` for each connection that has got bytes.

        It is also called for one that the peer has ended, and once only until
        the connection is idle again.
        """
        self._on_ready = on_ready
        self._epoll = select.epoll()
        self._idle_by_descriptor: dict[Descriptor, Connection] = {}
        self._loop = IOLoop.current()

    def __enter__(self) -> Self:
        """Begin to watch."""
        self._loop.add_handler(self._epoll, self._check, IOLoop.READ)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Watch nothing any more."""
        self._loop.remove_handler(self._epoll)
        self._epoll.close()

    def add(self, connection: Connection) -> None:
        """Watch a connection that has become idle."""
        descriptor = connection.descriptor
        self._idle_by_descriptor[descriptor] = connection
        mask = select.EPOLLIN | select.EPOLLONESHOT
        if connection.is_watched:
            self._epoll.modify(descriptor, mask)
        else:
            connection.is_watched = True
            self._epoll.register(descriptor, mask)

    def remove(self, connection: Connection) -> None:
        """Watch a connection no longer."""
        if self.includes(connection):
            self._idle_by_descriptor.pop(connection.descriptor)
            self._epoll.modify(connection.descriptor, select.EPOLLONESHOT)

    def includes(self, connection: Connection) -> bool:
        """Tell whether a connection is idle."""
        descriptor = connection.descriptor
        return self._idle_by_descriptor.get(descriptor) is connection

    def check(self, connection: Connection) -> None:
        """Report a connection if it has got bytes or was ended.

        Others are reported as well, up to that one.
        """
        while self.includes(connection):
            if self._report_ready() < MAX_EVENTS:
                break

    def _report_ready(self) -> int:
        """Report some connections; return how many events there were."""
        events = self._epoll.poll(0, MAX_EVENTS)
        for descriptor, _ in events:
            connection = self._idle_by_descriptor.pop(
                Descriptor(descriptor), None
            )
            if connection:
                self._on_ready(connection)
        return len(events)

    def _check(self, _epoll: object, _events: int) -> None:
        self._report_ready()


def unread_bytes(descriptor: Descriptor) -> int:
    """Return how many bytes of a connection wait to be read."""
    octets = fcntl.ioctl(descriptor, termios.FIONREAD, bytes(UNREAD.size))
    return int(UNREAD.unpack(octets)[0])


def has_ended(descriptor: Descriptor) -> bool:
    """Tell whether a connection without unread bytes was ended by the peer."""
    with borrowed_socket(descriptor) as borrowed:
        try:
            return not borrowed.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
