"""Idle keep-alive connections of callers."""

import collections
import enum
import select
from collections.abc import Iterable, Iterator
from typing import final

from tornado.http1connection import HTTP1ServerConnection
from tornado.iostream import IOStream

from turmericmast.clock import Clock
from turmericmast.events import EventLog
from turmericmast.ids import Seconds
from turmericmast.metrics import Metrics
from turmericmast.units import MILLIS_PER_SECOND


@final
class Arrival(enum.Enum):
    """What has arrived on a connection since its last response."""

    nothing = 'nothing'
    in_socket = 'in_socket'
    """Bytes, or the end of the connection, wait to be read."""
    in_buffer = 'in_buffer'
    """Part of a head was read."""
    head = 'head'
    """A head was read and will be handled shortly."""


@final
class IdleConnections:
    """Closes connections that have been idle for too long.

    All connections are checked periodically, which costs less than a timer
    for each request.
    """

    def __init__(
        self, clock: Clock, metrics: Metrics, events: EventLog
    ) -> None:
        """Create an empty set; closed connections are counted and logged."""
        self._clock = clock
        self._metrics = metrics
        self._events = events
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
        expired = [
            stream for stream, since in self._open_streams() if since < cutoff
        ]
        if not expired:
            return
        count_by_arrival = collections.Counter(find_arrivals(expired))
        for stream in expired:
            stream.close()
        self._report(older_than, count_by_arrival)

    def _open_streams(self) -> Iterator[tuple[IOStream, Seconds]]:
        for connection, since in tuple(self._idle_since.items()):
            if not isinstance(connection, HTTP1ServerConnection):
                continue
            if connection.stream.closed():
                self._idle_since.pop(connection)
            else:
                yield connection.stream, since

    def _report(
        self,
        older_than: float,
        count_by_arrival: collections.Counter[Arrival],
    ) -> None:
        for arrival, count in count_by_arrival.items():
            self._metrics.count(
                'connections_idle', count, arrived=arrival.value
            )
        self._events.write(
            'connections_closed',
            timeout_ms=int(older_than * MILLIS_PER_SECOND),
            **{member.value: count_by_arrival[member] for member in Arrival},
        )


def find_arrivals(streams: Iterable[IOStream]) -> Iterator[Arrival]:
    """Return what has arrived on each of several open streams."""
    poll = select.poll()
    known = tuple(streams)
    for stream in known:
        poll.register(stream.socket, select.POLLIN)
    readable = {descriptor for descriptor, _ in poll.poll(0)}
    return (
        _find_arrival(each, is_readable=each.fileno() in readable)
        for each in known
    )


def _find_arrival(stream: IOStream, *, is_readable: bool) -> Arrival:
    if not stream.reading():
        return Arrival.head
    # Tornado does not tell otherwise that part of a head was read.
    if stream._read_buffer_size:  # noqa: WPS437
        return Arrival.in_buffer
    return Arrival.in_socket if is_readable else Arrival.nothing
