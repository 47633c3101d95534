"""Connections between two requests: whether the next one may use them."""

import dataclasses
from collections.abc import Callable
from types import TracebackType
from typing import Self, final

from turmericmast.balance.framing import Stutter
from turmericmast.web.connections import Connection
from turmericmast.web.idlewatch import IdleWatch, unread_bytes


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
    """Follows connections from the end of one request to the next one."""

    def __init__(self) -> None:
        """Begin without connections."""
        self._idle = IdleWatch(self._on_idle_ready)
        self.on_stray: Callable[[StrayBytes], None] = _ignore_stray
        """Called when a peer has sent bytes that answer no request."""

    def __enter__(self) -> Self:
        """Begin to watch connections."""
        self._idle.__enter__()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Watch nothing any more."""
        self._idle.__exit__(kind, error, trace)

    def begin_use(
        self, connection: Connection, address: str, request: str
    ) -> None:
        """Note that ``request`` is about to be sent on a connection."""
        self._idle.remove(connection)
        connection.served += 1
        connection.address = address
        connection.last_request = request

    def end_use(self, connection: Connection) -> None:
        """Note that a request has ended, and that curl keeps its connection."""
        self._idle.add(connection)

    def _on_idle_ready(self, connection: Connection) -> None:
        octets = unread_bytes(connection.descriptor)
        if octets:
            self._report(Stutter.idle, connection, octets)

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
