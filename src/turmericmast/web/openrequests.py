"""Requests of callers that are being read, served or answered."""

import weakref
from typing import final

from tornado.http1connection import HTTP1ServerConnection


@final
class OpenRequests:
    """Connections with a request whose response was not written completely."""

    def __init__(self) -> None:
        """Begin without a request."""
        self._connections: weakref.WeakSet[HTTP1ServerConnection] = (
            weakref.WeakSet()
        )

    def begin(self, connection: object) -> None:
        """Record that the headers of a request were read."""
        if isinstance(connection, HTTP1ServerConnection):
            self._connections.add(connection)

    def end(self, connection: object) -> None:
        """Record that a connection waits for its next request."""
        if isinstance(connection, HTTP1ServerConnection):
            self._connections.discard(connection)

    def __len__(self) -> int:
        """Return the number of requests on connections that are open."""
        return sum(not each.stream.closed() for each in self._connections)
