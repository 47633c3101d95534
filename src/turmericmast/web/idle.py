"""Idle keep-alive connections of callers."""

import asyncio
import collections
import dataclasses
import enum
import itertools
import math
import select
from collections.abc import Iterable, Iterator, Mapping
from typing import final

from tornado.http1connection import HTTP1ServerConnection
from tornado.iostream import IOStream

from turmericmast.clock import Clock
from turmericmast.events import EventLog
from turmericmast.ids import Seconds
from turmericmast.metrics import Metrics

DRAIN_POLL_INTERVAL = 0.05
"""Seconds between two checks whether all connections are closed."""


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
class _Wait:
    """Since when a connection waits for a request, and how long it may."""

    since: Seconds
    promised: float
    """Seconds that the caller was told it stays open."""


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
        self._wait_by_connection: dict[HTTP1ServerConnection, _Wait] = {}
        self._active: set[HTTP1ServerConnection] = set()

    @property
    def has_active(self) -> bool:
        """Tell whether a request is read, served or answered anywhere."""
        return not all(each.stream.closed() for each in self._active)

    @property
    def has_open(self) -> bool:
        """Tell whether any connection is open, idle or not."""
        known = itertools.chain(self._active, self._wait_by_connection)
        return not all(each.stream.closed() for each in known)

    def mark_idle(self, connection: object, promised: float = 0) -> None:
        """Record that a connection waits for a request from now on.

        The caller was told that it stays open for ``promised`` seconds.
        """
        if isinstance(connection, HTTP1ServerConnection):
            self._active.discard(connection)
            self._wait_by_connection[connection] = _Wait(
                self._clock.now(), promised
            )

    def mark_active(self, connection: object) -> None:
        """Record that the head of a request has arrived on a connection."""
        if isinstance(connection, HTTP1ServerConnection):
            self._wait_by_connection.pop(connection, None)
            self._active.add(connection)

    def close_expired(self, idle_timeout: float, header_timeout: float) -> None:
        """Close connections without a request for ``idle_timeout`` seconds.

        Each stays open for as long as its caller was told. If part of a head
        has arrived, ``header_timeout`` seconds are added.
        """
        self._forget_closed()
        now = self._clock.now()
        excess_by_connection = {
            connection: now - wait.since - max(idle_timeout, wait.promised)
            for connection, wait in self._wait_by_connection.items()
        }
        self._close(
            {
                connection: excess
                for connection, excess in excess_by_connection.items()
                if excess > 0
            },
            header_timeout,
        )

    def close_unused(self) -> None:
        """Close all connections on which nothing has arrived."""
        self._forget_closed()
        self._close(dict.fromkeys(self._wait_by_connection, 0), math.inf)

    async def drain(self, deadline: Seconds) -> None:
        """Close each connection once no request is expected on it.

        Returns when none is open, at the latest at ``deadline``.
        """
        self.close_unused()
        while self.has_open and self._clock.now() < deadline:
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
            self.close_unused()

    def _close(
        self,
        excess_by_connection: Mapping[HTTP1ServerConnection, float],
        header_timeout: float,
    ) -> None:
        """Close those connections on which nothing has arrived.

        Also those with part of a head that exceed their time by more than
        ``header_timeout`` seconds.
        """
        arrivals = find_arrivals(each.stream for each in excess_by_connection)
        arrival_by_connection = dict(
            zip(excess_by_connection, arrivals, strict=True)
        )
        longest_by_arrival = {
            Arrival.nothing: -math.inf,
            Arrival.in_buffer: header_timeout,
        }
        for connection, arrival in arrival_by_connection.items():
            longest = longest_by_arrival.get(arrival, math.inf)
            if excess_by_connection[connection] > longest:
                connection.stream.close()
        if arrival_by_connection:
            self._report(collections.Counter(arrival_by_connection.values()))

    def _forget_closed(self) -> None:
        # Tornado's server does not tell its delegate of closed connections.
        self._active = {
            each for each in self._active if not each.stream.closed()
        }
        self._wait_by_connection = {
            connection: wait
            for connection, wait in self._wait_by_connection.items()
            if not connection.stream.closed()
        }

    def _report(self, count_by_arrival: collections.Counter[Arrival]) -> None:
        for arrival, count in count_by_arrival.items():
            self._metrics.count(
                'connections_idle', count, arrived=arrival.value
            )
        self._events.write(
            'connections_idle',
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
