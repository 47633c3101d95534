"""Connections of callers that wait for their next request."""

from typing import final

from tornado.http1connection import HTTP1ServerConnection

from turmericmast.clock import Clock
from turmericmast.ids import Seconds
from turmericmast.metrics import Metrics


@final
class IdleConnections:
    """Closes connections on which no request has come for long.

    One look at all of them from time to time costs a request less than a
    timer of its own.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        """Start without connections."""
        self._clock = clock
        self._metrics = metrics
        self._idle_since: dict[object, Seconds] = {}

    def mark_idle(self, connection: object) -> None:
        """Note that a connection waits for a request."""
        self._idle_since[connection] = self._clock.now()

    def mark_active(self, connection: object) -> None:
        """Note that a request came."""
        self._idle_since.pop(connection, None)

    def close_older(self, older_than: float) -> None:
        """Close what waited longer, in seconds; forget what is closed."""
        oldest = self._clock.now() - older_than
        for connection, since in tuple(self._idle_since.items()):
            if not isinstance(connection, HTTP1ServerConnection):
                continue
            if connection.stream.closed():
                self._idle_since.pop(connection)
            elif since < oldest:
                self._metrics.count('connections_idle')
                connection.stream.close()
