"""The connections that curl has opened, known by their two addresses."""

import contextlib
import socket
from collections.abc import Iterator
from typing import NewType, final

Descriptor = NewType('Descriptor', int)
"""File descriptor of a socket that curl owns."""
AddressPair = tuple[str, int, str, int]
"""Local and remote address of a connection: IP and port of each."""


@final
class Connection:
    """One connection to a target or another instance."""

    def __init__(self, descriptor: Descriptor) -> None:
        """Describe a connection that was just opened."""
        self.descriptor = descriptor
        self.pair: AddressPair | None = None
        """Both addresses, once it was used."""
        self.served = 0
        """Requests that were sent on it."""
        self.address = ''
        """Host and port of the peer, as the last request named them."""
        self.last_request = ''
        """Id of the last request, empty for a health check."""
        self.is_retired = False
        """Whether no further request may be sent on it."""
        self.is_watched = False
        """Whether it was idle before."""
        self.accounted: int | None = 0
        """Bytes received that belong to its responses, once these have ended.

        It is ``None`` while that is not known.
        """

    @property
    def is_open(self) -> bool:
        """Tell whether the descriptor still is that of this connection.

        curl may have closed it, and any file or socket may have got the number.
        """
        return self.pair is not None and _addresses(self.descriptor) == (
            self.pair
        )


@final
class Connections:
    """Finds the connection of a transfer before its first byte is sent.

    curl tells the descriptor when it opens a socket, and only the addresses
    when it is about to send. It doesn't tell when it closes a connection; the
    entry is dropped when its descriptor is used again.
    """

    def __init__(self) -> None:
        """Start with no connection."""
        self._unbound: dict[Descriptor, Connection] = {}
        """Opened, but not yet used for a request."""
        self._connection_by_pair: dict[AddressPair, Connection] = {}
        self._pair_by_descriptor: dict[Descriptor, AddressPair] = {}

    def add(self, descriptor: Descriptor) -> None:
        """Add a socket that is about to be connected."""
        self._drop(descriptor)
        self._unbound[descriptor] = Connection(descriptor)

    def find(self, pair: AddressPair) -> Connection | None:
        """Return the connection with these addresses, if it is known."""
        known = self._connection_by_pair.get(pair)
        # A later connection with the same addresses would be unbound.
        if known and (not self._unbound or known.is_open):
            return known
        # The newest ones first: many may be waiting for an unreachable peer.
        for descriptor, connection in reversed(tuple(self._unbound.items())):
            found = _addresses(descriptor)
            if found:
                self._bind(connection, found)
            if found == pair:
                return connection
        # The peer may have reset it.
        return known

    def at(self, address: str) -> list[Connection]:
        """Return the connections that were last used for an address."""
        return [
            connection
            for connection in self._connection_by_pair.values()
            if connection.address == address
        ]

    def _bind(self, connection: Connection, pair: AddressPair) -> None:
        self._unbound.pop(connection.descriptor)
        former = self._connection_by_pair.get(pair)
        if former:
            self._drop(former.descriptor)
        connection.pair = pair
        self._connection_by_pair[pair] = connection
        self._pair_by_descriptor[connection.descriptor] = pair

    def _drop(self, descriptor: Descriptor) -> None:
        self._unbound.pop(descriptor, None)
        pair = self._pair_by_descriptor.pop(descriptor, None)
        if pair:
            self._connection_by_pair.pop(pair)


@contextlib.contextmanager
def borrowed_socket(descriptor: int) -> Iterator[socket.socket]:
    """Yield a socket object for a descriptor that curl owns.

    Raises:
        OSError: if the descriptor is not a socket.

    """
    borrowed = socket.socket(fileno=descriptor)
    try:
        yield borrowed
    finally:
        # curl owns the descriptor, so the socket object must not close it.
        borrowed.detach()


def _addresses(descriptor: Descriptor) -> AddressPair | None:
    """Return both addresses, ``None`` if the socket is not connected."""
    try:
        with borrowed_socket(descriptor) as borrowed:
            return (*borrowed.getsockname()[:2], *borrowed.getpeername()[:2])
    except OSError:
        return None
