"""A minimal asyncio HTTP/1.1 client.

It does little work of its own, so that it hardly adds to measured latencies.
It reads only answers with ``Content-Length`` and sends no pipelined requests.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Iterable, Mapping
from typing import Any, final

MAX_IDLE = 256
"""Idle connections kept for one address."""


@final
@dataclasses.dataclass(frozen=True)
class HttpResponse:
    """An HTTP response; its status is 0 when it was not complete."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    is_refused: bool = False
    """Whether the connection was refused."""


BROKEN_RESPONSE = HttpResponse(0, {}, b'')
REFUSED_RESPONSE = HttpResponse(0, {}, b'', is_refused=True)


@final
class _Connection(asyncio.Protocol):
    """A client connection that has one request in progress at a time."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.is_closed = False
        self._chunks: list[bytes] = []
        self._head: tuple[int, dict[str, str]] | None = None
        self._body_octets_left = 0
        self._answer: asyncio.Future[HttpResponse] | None = None

    def connection_made(self, transport: Any) -> None:
        """Store the transport for requests."""
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Resolve an incomplete response as broken."""
        self.is_closed = True
        if self._answer and not self._answer.done():
            self._answer.set_result(BROKEN_RESPONSE)

    def send_request(self, octets: bytes) -> 'asyncio.Future[HttpResponse]':
        """Send a request and return a future of its response."""
        self._answer = asyncio.get_running_loop().create_future()
        self._head = None
        self._chunks = []
        self.transport.write(octets)
        return self._answer

    def data_received(self, octets: bytes) -> None:
        """Parse the head, then collect the body until it is complete."""
        if self._head is None:
            octets = b''.join((*self._chunks, octets))
            head, separator, octets = octets.partition(b'\r\n\r\n')
            if not separator:
                self._chunks = [head]
                return
            self._read_head(head)
            self._chunks = []
        self._chunks.append(octets)
        self._body_octets_left -= len(octets)
        if (
            self._body_octets_left <= 0
            and self._answer
            and not self._answer.done()
        ):
            status, headers = self._head or (0, {})
            body = b''.join(self._chunks)
            self._answer.set_result(HttpResponse(status, headers, body))

    def _read_head(self, head: bytes) -> None:
        lines = head.decode('latin-1').split('\r\n')
        headers = headers_by_name(lines[1:])
        self._head = (int(lines[0].split(' ')[1]), headers)
        self._body_octets_left = int(headers.get('Content-Length', '0'))
        if headers.get('Connection') == 'close':
            self.is_closed = True


def headers_by_name(lines: Iterable[str]) -> dict[str, str]:
    """Return the values of header lines by name, in title case."""
    return {name.title(): text for name, _, text in map(_split_header, lines)}


def _split_header(line: str) -> tuple[str, str, str]:
    return line.partition(': ')


@final
class HttpClient:
    """Send requests over pooled connections."""

    def __init__(self) -> None:
        """Create an empty connection pool."""
        self._idle: dict[str, collections.deque[_Connection]] = (
            collections.defaultdict(collections.deque)
        )

    async def fetch(
        self,
        address: str,
        path: str,
        *,
        method: str = 'GET',
        headers: Mapping[str, str] | None = None,
        body: bytes = b'',
        timeout: float = 10,
    ) -> HttpResponse:
        """Return the response.

        Its status is 0 when the connection fails or is refused, or when the
        response is not complete within ``timeout`` seconds.
        """
        sent_headers = {'Host': address, **(headers or {})}
        if body or method not in {'GET', 'HEAD'}:
            sent_headers['Content-Length'] = str(len(body))
        lines = ''.join(
            f'{name}: {text}\r\n' for name, text in sent_headers.items()
        )
        octets = f'{method} {path} HTTP/1.1\r\n{lines}\r\n'.encode() + body
        try:
            return await asyncio.wait_for(
                self._exchange(address, octets),
                timeout,
            )
        except ConnectionRefusedError:
            return REFUSED_RESPONSE
        except (OSError, TimeoutError):
            return BROKEN_RESPONSE

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connections in self._idle.values():
            while connections:
                connections.pop().transport.close()

    async def _exchange(self, address: str, octets: bytes) -> HttpResponse:
        connection = self._take_idle(address)
        if connection is None:
            host, _, port = address.rpartition(':')
            _, connection = await asyncio.get_running_loop().create_connection(
                _Connection,
                host,
                int(port),
            )
        try:
            answer = await connection.send_request(octets)
        except asyncio.CancelledError:
            connection.transport.close()
            raise
        if not connection.is_closed and len(self._idle[address]) < MAX_IDLE:
            self._idle[address].append(connection)
        else:
            connection.transport.close()
        return answer

    def _take_idle(self, address: str) -> _Connection | None:
        idle = self._idle[address]
        while idle:
            connection = idle.pop()
            if not connection.is_closed:
                return connection
        return None
