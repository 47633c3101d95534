"""Idle keep-alive connections of callers."""

from typing import final

from tornado.http1connection import HTTP1ServerConnection

from turmericmast.clock import Clock
from turmericmast.ids import Seconds
from turmericmast.metrics import Metrics


@final
class IdleConnections:
    """Closes connections that have been idle for too long.

    All connections are checked periodically, which costs less than a timer
    for each request.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        """Create an empty set; ``metrics`` counts closed connections."""
        self._clock = clock
        self._metrics = metrics
        self._idle_since: dict[object, Seconds] = {}

    def mark_idle(self, connection: object) -> None:
        """Record that a connection waits for a request from now on."""
        self._idle_since[connection] = self._clock.now()

    def mark_active(self, connection: object) -> None:
        """Record that a request has arrived on a connection."""
        self._idle_since.pop(connection, None)

    def close_older(self, older_than: float) -> None:
        """Close connections idle for longer than ``older_than`` seconds.

        Connections that the caller has closed are forgotten.
        """
        cutoff = self._clock.now() - older_than
        for connection, since in tuple(self._idle_since.items()):
            if not isinstance(connection, HTTP1ServerConnection):
                continue
            if connection.stream.closed():
                self._idle_since.pop(connection)
            elif since < cutoff:
                self._metrics.count('connections_idle')
                connection.stream.close()
