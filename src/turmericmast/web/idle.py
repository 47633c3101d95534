"""Idle keep-alive connections of callers."""

import collections
import dataclasses
import enum
import itertools
import math
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
@dataclasses.dataclass(frozen=True, slots=True)
class _Idle:
    """A connection on which no request has been handled for some time."""

    stream: IOStream
    seconds: float
    arrival: Arrival


@final
class IdleConnections:
    """Closes connections on which no request has arrived for too long.

    All connections are checked periodically, which costs less than a timer
    for each request. What has arrived counts, handled or not: the loop runs
    a check before it handles the requests that it has just read.
    """

    def __init__(
        self, clock: Clock, metrics: Metrics, events: EventLog
    ) -> None:
        """Create an empty set; idle connections are counted and logged."""
        self._clock = clock
        self._metrics = metrics
        self._events = events
        self._idle_since: dict[HTTP1ServerConnection, Seconds] = {}

    def mark_idle(self, connection: object) -> None:
        """Record that a connection waits for a request from now on."""
        if isinstance(connection, HTTP1ServerConnection):
            self._idle_since[connection] = self._clock.now()

    def mark_active(self, connection: object) -> None:
        """Record that a request has arrived or the connection was closed."""
        if isinstance(connection, HTTP1ServerConnection):
            self._idle_since.pop(connection, None)

    def close_expired(self, idle_timeout: float, header_timeout: float) -> None:
        """Close connections without a request for ``idle_timeout`` seconds.

        If part of a head has arrived, ``header_timeout`` seconds are added.
        """
        longest_by_arrival = {
            Arrival.nothing: idle_timeout,
            Arrival.in_buffer: idle_timeout + header_timeout,
        }
        idle = tuple(self._find_idle(idle_timeout))
        for found in idle:
            if found.seconds > longest_by_arrival.get(found.arrival, math.inf):
                found.stream.close()
        if idle:
            self._report(
                idle_timeout,
                collections.Counter(each.arrival for each in idle),
            )

    def _find_idle(self, idle_timeout: float) -> Iterator['_Idle']:
        now = self._clock.now()
        time_by_stream = {
            connection.stream: now - since
            for connection, since in self._idle_since.items()
            if now - since > idle_timeout and not connection.stream.closed()
        }
        arrivals = find_arrivals(time_by_stream)
        return itertools.starmap(
            _Idle,
            zip(time_by_stream, time_by_stream.values(), arrivals, strict=True),
        )

    def _report(
        self,
        idle_timeout: float,
        count_by_arrival: collections.Counter[Arrival],
    ) -> None:
        for arrival, count in count_by_arrival.items():
            self._metrics.count(
                'connections_idle', count, arrived=arrival.value
            )
        self._events.write(
            'connections_idle',
            timeout_ms=int(idle_timeout * MILLIS_PER_SECOND),
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
        _find_arrival(each, is_readable=each.socket.fileno() in readable)
        for each in known
    )


def _find_arrival(stream: IOStream, *, is_readable: bool) -> Arrival:
    if not stream.reading():
        return Arrival.head
    # Tornado does not tell otherwise that part of a head was read.
    if stream._read_buffer_size:  # noqa: WPS437
        return Arrival.in_buffer
    return Arrival.in_socket if is_readable else Arrival.nothing
