"""Connections between two requests, and after the last one."""

import contextlib
import dataclasses
from collections.abc import Callable
from types import TracebackType
from typing import Self, final

from turmericmast.balance.framing import Stutter
from turmericmast.web.connections import Connection
from turmericmast.web.idlewatch import IdleWatch, has_ended, unread_bytes
from turmericmast.web.lingering import Duplicate, Lingering


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

    def __init__(self) -> None:
        """Begin without connections."""
        self._stack = contextlib.ExitStack()
        self._idle = IdleWatch(self._on_idle_ready)
        self._lingering = Lingering()
        self.on_stray: Callable[[StrayBytes], None] = _ignore_stray
        """Called when a peer has sent bytes that answer no request."""

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
        self._idle.remove(connection)
        if connection.is_retired:
            return False
        connection.served += 1
        connection.address = address
        connection.last_request = request
        return True

    def keep(self, connection: Connection) -> None:
        """Note that a request has ended, and that curl keeps its connection."""
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

    def linger(self, held: Duplicate) -> None:
        """Close a connection when the peer has stopped to write.

        The peer is told at once that it gets nothing more.
        """
        held.stop_sending()
        self._lingering.linger(held)

    def _on_idle_ready(self, connection: Connection) -> None:
        octets = unread_bytes(connection.descriptor)
        if not octets and not has_ended(connection.descriptor):
            # The event was of an earlier connection with this descriptor.
            self._idle.add(connection)
            return
        connection.is_retired = True
        if octets:
            self._report(Stutter.idle, connection, octets)
            held = self.hold(connection)
            if held:
                # It is ended only when the peer is silent: the peer may take
                # an end for one of the request that it still writes about.
                self._lingering.linger(held)

    def _report(
        self, stutter: Stutter, connection: Connection, octets: int
    ) -> None:
        self.on_stray(
            StrayBytes(
                stutter,
                connection.address,
                connection.last_request,
                connection.served,
                octets,
            )
        )


def _ignore_stray(stray: StrayBytes) -> None:
    """Do nothing; the default until a callback is set."""
