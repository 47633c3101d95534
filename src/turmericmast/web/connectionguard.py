"""Closes accepted connections when a process holds too much for them."""

import asyncio
import itertools
import socket
from collections.abc import Callable
from typing import final

from tornado.iostream import IOStream

from turmericmast.clock import Clock
from turmericmast.events import EventLog
from turmericmast.limits.connectionbudget import (
    Closing,
    ConnectionBudget,
    ConnectionId,
)
from turmericmast.limits.processlimits import ProcessLimits
from turmericmast.metrics import Metrics
from turmericmast.wire.server import StreamGuard

CONNECTION_OCTETS = 8_192
"""Bytes of memory that an accepted connection needs beside its requests.

1,500 idle connections made an edge grow by 6,567 bytes each."""
MAX_BUFFER_BYTES = 262_144
"""Bytes that a stream reads ahead of those who read from it."""


@final
class GuardedStream(IOStream):
    """A stream that tells a guard when it is closed, and what it must keep."""

    def __init__(
        self,
        connection: socket.socket,
        number: ConnectionId,
        guard: 'ConnectionGuard',
        max_buffer_size: int = MAX_BUFFER_BYTES,
    ) -> None:
        """Use an accepted connection, which ``guard`` knows by ``number``."""
        super().__init__(connection, max_buffer_size=max_buffer_size)
        self.number = number
        self._guard = guard

    def write(self, data: bytes | memoryview) -> 'asyncio.Future[None]':
        """Write, and count the bytes until the client has taken them."""
        written = super().write(data)
        if not written.done():
            size = len(data)
            self._guard.add_writing(self, size)
            written.add_done_callback(
                lambda _: self._guard.add_writing(self, -size)
            )
        return written

    def mark_exceeding(self) -> None:
        """Note that the client has sent more than the limits allow."""
        self._guard.mark_exceeding(self)

    def close_fd(self) -> None:
        """Close the socket, and tell the guard."""
        super().close_fd()
        self._guard.forget(self)


@final
class ConnectionGuard(StreamGuard):
    """Counts what accepted connections hold, and closes those chosen."""

    def __init__(
        self,
        limits: ProcessLimits,
        clock: Clock,
        metrics: Metrics,
        events: EventLog,
    ) -> None:
        """Close connections as ``limits`` demand, counted and logged."""
        self._limits = limits
        self._budget = ConnectionBudget(
            limits.held_octets, limits.connections, CONNECTION_OCTETS
        )
        self._clock = clock
        self._metrics = metrics
        self._events = events
        self._numbers = itertools.count()
        self._stream_by_number: dict[ConnectionId, GuardedStream] = {}
        metrics.gauge('connections_open', lambda: len(self._budget))
        metrics.gauge('connections_held_bytes', lambda: self._budget.octets)

    def accept(self, stream: IOStream) -> GuardedStream:
        """Return a guarded stream in place of one that was just accepted.

        It is closed if there is no room for it.
        """
        number = ConnectionId(next(self._numbers))
        guarded = GuardedStream(
            stream.socket, number, self, stream.max_buffer_size
        )
        self._stream_by_number[number] = guarded
        self._budget.open(number, self._clock.now())
        self._close_excess()
        return guarded

    def begin(self, stream: object, octets: int) -> None:
        """Note the head of a request, and the bytes that are held for it."""
        self._update(self._budget.begin, stream, octets)

    def hold(self, stream: object, octets: int) -> None:
        """Note how many bytes are held for the request by now."""
        self._update(self._budget.hold, stream, octets)

    def add_writing(self, stream: object, octets: int) -> None:
        """Note bytes that wait to be taken, or, if negative, were taken."""
        self._update(self._budget.add_writing, stream, octets)

    def end(self, stream: object) -> None:
        """Note that a connection waits for its next request."""
        if isinstance(stream, GuardedStream):
            self._budget.end(stream.number, self._clock.now())

    def mark_exceeding(self, stream: GuardedStream) -> None:
        """Note that a client has sent more than the limits allow."""
        self._metrics.count('clients_exceeding_limits')
        self._budget.mark_exceeding(stream.number)

    def forget(self, stream: GuardedStream) -> None:
        """Note that a connection is closed."""
        self._stream_by_number.pop(stream.number, None)
        self._budget.close(stream.number)

    def _update(
        self,
        change: Callable[[ConnectionId, int], None],
        stream: object,
        octets: int,
    ) -> None:
        if isinstance(stream, GuardedStream):
            change(stream.number, octets)
            if octets > 0:
                self._close_excess()

    def _close_excess(self) -> None:
        for closing in self._budget.take_excess():
            stream = self._stream_by_number.pop(closing.connection)
            self._report(closing)
            stream.close()

    def _report(self, closing: Closing) -> None:
        self._metrics.count(
            'connections_closed_for_room',
            shortage=closing.shortage.value,
            standing=closing.standing.value,
        )
        self._events.write(
            'connection_closed_for_room',
            shortage=closing.shortage.value,
            standing=closing.standing.value,
            held=closing.octets,
            held_by_all=self._budget.octets,
            max_held=self._limits.held_octets,
            connections=len(self._budget),
            max_connections=self._limits.connections,
        )
