"""Which connections a process closes when they make it hold too much."""

import dataclasses
import enum
from collections.abc import Iterator
from typing import NewType, final

from turmericmast.ids import Seconds

ConnectionId = NewType('ConnectionId', int)
"""Number of an accepted connection, unique within a process."""
FREED_SHARE = 8
"""Divisor of the memory that is freed at once.

Choosing looks at all connections, so it must not happen at every request."""


@final
class Standing(enum.Enum):
    """What a connection is used for; a label of a metric."""

    idle = 'idle'
    """No head of a request is complete since it was opened or last used."""
    active = 'active'
    """A request is read, served or answered."""
    exceeding = 'exceeding'
    """Its client sent more than the limits allow, and was refused."""


@final
class Shortage(enum.Enum):
    """What there is too little of; a label of a metric."""

    memory = 'memory'
    descriptors = 'descriptors'


@final
@dataclasses.dataclass(slots=True)
class Holding:
    """What the process holds for one connection."""

    since: Seconds
    """When it was opened or last became idle."""
    request: int = 0
    """Bytes of the head and of the body, as far as they are kept."""
    writing: int = 0
    """Bytes of responses that the client has not taken yet."""
    standing: Standing = Standing.idle


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Closing:
    """A connection to close, and why."""

    connection: ConnectionId
    shortage: Shortage
    standing: Standing
    octets: int
    """Bytes that the process holds for it."""


@final
class ConnectionBudget:
    """The accepted connections of a process, and what it holds for them.

    Near a limit, connections of clients that have exceeded the limits of a
    request are closed first, the largest holding first. For memory, the others
    follow in the order of their holdings. For descriptors, the idle ones
    follow, the oldest first; the newest one is closed if none is idle.
    """

    def __init__(
        self, max_octets: int, max_connections: int, connection_octets: int
    ) -> None:
        """Hold at most so many bytes and connections; 0 is no limit.

        ``connection_octets`` are held for each connection beside its requests.
        """
        self._max_octets = max_octets
        self._max_connections = max_connections
        self._connection_octets = connection_octets
        self._holding_by_connection: dict[ConnectionId, Holding] = {}
        self._idle: dict[ConnectionId, None] = {}
        """Idle connections, the one that has been idle longest first."""
        self._exceeding: dict[ConnectionId, None] = {}
        """Connections of refused clients, the one refused first first."""
        self.octets = 0
        """Bytes that are held for all connections."""

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._holding_by_connection)

    def open(self, connection: ConnectionId, now: Seconds) -> None:
        """Add a connection."""
        self._holding_by_connection[connection] = Holding(now)
        self._idle[connection] = None
        self.octets += self._connection_octets

    def close(self, connection: ConnectionId) -> None:
        """Remove a connection, if it is open."""
        holding = self._holding_by_connection.pop(connection, None)
        if holding:
            self._idle.pop(connection, None)
            self._exceeding.pop(connection, None)
            self.octets -= self._octets_of(holding)

    def begin(self, connection: ConnectionId, octets: int) -> None:
        """Note the head of a request, and the bytes that are held for it."""
        holding = self._holding_by_connection.get(connection)
        if holding:
            self._idle.pop(connection, None)
            holding.standing = Standing.active
            self._set_request(holding, octets)

    def end(self, connection: ConnectionId, now: Seconds) -> None:
        """Note that a connection waits for its next request."""
        holding = self._holding_by_connection.get(connection)
        if holding and connection not in self._idle:
            holding.standing = Standing.idle
            holding.since = now
            self._exceeding.pop(connection, None)
            self._idle[connection] = None
            self._set_request(holding, 0)

    def hold(self, connection: ConnectionId, octets: int) -> None:
        """Note how many bytes are held for the request by now."""
        holding = self._holding_by_connection.get(connection)
        if holding:
            self._set_request(holding, octets)

    def add_writing(self, connection: ConnectionId, octets: int) -> None:
        """Note bytes that wait to be taken, or, if negative, were taken."""
        holding = self._holding_by_connection.get(connection)
        if holding:
            holding.writing += octets
            self.octets += octets

    def mark_exceeding(self, connection: ConnectionId) -> None:
        """Note that a client has sent more than the limits allow."""
        holding = self._holding_by_connection.get(connection)
        if holding:
            self._idle.pop(connection, None)
            holding.standing = Standing.exceeding
            self._exceeding[connection] = None

    def take_excess(self) -> tuple[Closing, ...]:
        """Remove and return the connections to close, none in calm."""
        return (*self._take_surplus(), *self._take_largest())

    def _take_surplus(self) -> Iterator[Closing]:
        while self._max_connections and len(self) > self._max_connections:
            newest = next(reversed(self._holding_by_connection))
            oldest_idle = next(iter(self._idle), newest)
            first = next(iter(self._exceeding), oldest_idle)
            yield self._take(first, Shortage.descriptors)

    def _take_largest(self) -> Iterator[Closing]:
        if not self._max_octets or self.octets <= self._max_octets:
            return
        enough = self._max_octets - self._max_octets // FREED_SHARE
        for connection in self._by_excess():
            yield self._take(connection, Shortage.memory)
            if self.octets <= enough:
                return

    def _take(self, connection: ConnectionId, shortage: Shortage) -> Closing:
        holding = self._holding_by_connection[connection]
        self.close(connection)
        return Closing(
            connection, shortage, holding.standing, self._octets_of(holding)
        )

    def _by_excess(self) -> list[ConnectionId]:
        """Return all connections, the first to be closed first."""
        holdings = self._holding_by_connection
        return sorted(
            holdings,
            key=lambda each: (
                holdings[each].standing is not Standing.exceeding,
                -self._octets_of(holdings[each]),
                holdings[each].since,
            ),
        )

    def _octets_of(self, holding: Holding) -> int:
        return self._connection_octets + holding.request + holding.writing

    def _set_request(self, holding: Holding, octets: int) -> None:
        self.octets += octets - holding.request
        holding.request = octets
