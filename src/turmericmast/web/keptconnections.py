"""Connections between two requests, and after the last one."""

import contextlib
import dataclasses
import functools
from collections.abc import Callable
from types import TracebackType
from typing import Self, final

from turmericmast.balance.framing import Stutter
from turmericmast.web.connections import Connection, Connections
from turmericmast.web.idlewatch import IdleWatch, has_ended, unread_bytes
from turmericmast.web.lingering import MAX_DUPLICATES, Duplicate, Lingering


@final
@dataclasses.dataclass(frozen=True)
class StrayBytes:
    """Bytes of a peer that answer no request."""

    stutter: Stutter
    address: str
    """Host and port that the connection was opened to."""
    last_request: str
    """Id of the last request that was sent on it, empty for a health check."""
    served: int
    """Requests that were sent on it."""
    octets: int
    """Bytes that have come so far, 0 if that is not known."""


@final
class KeptConnections:
    """Decides whether a connection that curl keeps may be used again.

    One that got bytes while it was idle, or that was ended, is not. What still
    comes on a connection that is used no more is read and dropped for a while,
    since closing it at once may interrupt the peer.
    """

    def __init__(self, connections: Connections) -> None:
        """Follow ``connections``."""
        self._connections = connections
        self._stack = contextlib.ExitStack()
        self._idle = IdleWatch(self._on_idle_ready)
        self._lingering = Lingering()
        self.on_stray: Callable[[StrayBytes], None] = _ignore_stray
        """Called when a peer has sent bytes that answer no request."""

    def limit_lingering(self, most: int) -> None:
        """Duplicate fewer descriptors at a time, if ``most`` is lower."""
        self._lingering.max_duplicates = min(most, MAX_DUPLICATES)

    def __enter__(self) -> Self:
        """Begin to watch connections."""
        self._stack.enter_context(self._idle)
        self._stack.enter_context(self._lingering)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Watch nothing any more, and end what lingers."""
        self._stack.close()

    def __len__(self) -> int:
        """Return the number of connections that are held or that linger."""
        return len(self._lingering)

    def begin_use(
        self, connection: Connection, address: str, request: str
    ) -> bool:
        """Note that ``request`` is about to be sent on a connection.

        Return whether it may be.
        """
        if self._idle.includes(connection):
            self._idle.check(connection)
            self._idle.remove(connection)
        if connection.is_retired:
            return False
        connection.served += 1
        connection.address = address
        connection.last_request = request
        return True

    def keep(self, connection: Connection) -> None:
        """Note that a request has ended, and that curl keeps its connection."""
        if connection.is_retired:
            self._drop_later_input(connection, Stutter.idle)
        else:
            self._idle.add(connection)

    def hold(self, connection: Connection) -> Duplicate | None:
        """Keep a connection open while curl may close it.

        Return ``None`` if too many are held. Each one ends with ``release`` or
        ``linger``.
        """
        return self._lingering.duplicate(connection.descriptor)

    def release(self, held: Duplicate) -> None:
        """Leave a connection to curl alone, which may have closed it."""
        self._lingering.release(held)

    def linger(
        self, held: Duplicate, connection: Connection, stutter: Stutter | None
    ) -> None:
        """Close a connection when the peer has stopped to write.

        The peer is told at once that it gets nothing more. ``stutter`` says
        what it means if bytes come; ``None`` if that is known already.
        """
        held.stop_sending()
        self._lingering.linger(held, self._reporter(stutter, connection))

    def report(
        self, stutter: Stutter, connection: Connection, octets: int = 0
    ) -> None:
        """Report that a peer has sent bytes that answer no request."""
        self.on_stray(
            StrayBytes(
                stutter,
                connection.address,
                connection.last_request,
                connection.served,
                octets,
            )
        )

    def retire(self, address: str) -> None:
        """Use no connection to an address again that is open now."""
        for connection in self._connections.at(address):
            is_idle = self._idle.includes(connection)
            if is_idle and not connection.is_retired and connection.is_open:
                self._drop_later_input(connection, Stutter.idle)
            connection.is_retired = True

    def _on_idle_ready(self, connection: Connection) -> None:
        if not connection.is_open:
            # It was reset, or curl has closed it.
            connection.is_retired = True
            return
        octets = unread_bytes(connection.descriptor)
        if not octets and not has_ended(connection.descriptor):
            # The event was of an earlier connection with this descriptor.
            self._idle.add(connection)
            return
        connection.is_retired = True
        if octets:
            self._drop_later_input(connection, None)
            self.report(Stutter.idle, connection, octets)

    def _drop_later_input(
        self, connection: Connection, stutter: Stutter | None
    ) -> None:
        self._idle.remove(connection)
        held = self.hold(connection)
        if held:
            # It is ended only when the peer is silent: the peer may take an
            # end for one of the request whose response it still writes.
            self._lingering.linger(held, self._reporter(stutter, connection))

    def _reporter(
        self, stutter: Stutter | None, connection: Connection
    ) -> Callable[[int], None]:
        if stutter is None:
            return _ignore_input
        return functools.partial(self.report, stutter, connection)


def _ignore_stray(stray: StrayBytes) -> None:
    """Do nothing; the default until a callback is set."""


def _ignore_input(octets: int) -> None:
    """Do nothing, since the bytes are known."""
