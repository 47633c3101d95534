"""Messages over UDP, which may be lost."""

import asyncio
from collections.abc import Callable, Iterable
from types import TracebackType
from typing import Any, Self, final

from returns.result import Success

from turmericmast.metrics import Metrics
from turmericmast.wire.codec import decode_received, encode


@final
class DatagramEndpoint(asyncio.DatagramProtocol):
    """Sends and receives messages as datagrams at one address."""

    def __init__(
        self,
        metrics: Metrics,
        receive: Callable[[Any], object],
    ) -> None:
        """Pass each decoded message to ``receive``."""
        self._metrics = metrics
        self._receive = receive
        self._transport: asyncio.DatagramTransport | None = None

    def __enter__(self) -> Self:
        """Return the endpoint; it sends and receives only after ``open``."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the socket; nothing is sent any more."""
        if self._transport:
            self._transport.close()
            self._transport = None

    async def open(self, address: str) -> None:
        """Bind the socket to ``address``, IP address and port."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(host, int(port)),
        )

    def connection_made(self, transport: Any) -> None:
        """Keep the transport of the bound socket."""
        self._transport = transport

    def datagram_received(self, octets: bytes, address: Any) -> None:
        """Pass on a message; drop and count one that cannot be decoded."""
        message = decode_received(octets)
        if isinstance(message, Success):
            self._receive(message.unwrap())
        else:
            self._metrics.count('datagrams_bad')

    def error_received(self, error: Exception) -> None:
        """Count a network error; there is no retry, newer messages follow."""
        self._metrics.count('datagrams_refused', error=type(error).__name__)

    def send(self, message: object, addresses: Iterable[str]) -> None:
        """Send a message to each of ``addresses``; none while it is closed."""
        octets = encode(message)
        for address in addresses:
            self._metrics.count('datagram_bytes', len(octets))
            host, _, port = address.rpartition(':')
            if self._transport and host:
                self._transport.sendto(octets, (host, int(port)))
