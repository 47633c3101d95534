"""A lean HTTP/1.1 client on the loop, so that it adds little of its own."""

import asyncio
import collections
import dataclasses
from collections.abc import Mapping
from typing import Any, final

MAX_IDLE = 256


@final
@dataclasses.dataclass(frozen=True)
class HttpResponse:
    """An answer as it came; status 0 when it was not whole."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    is_refused: bool = False


BROKEN_RESPONSE = HttpResponse(0, {}, b'')
REFUSED_RESPONSE = HttpResponse(0, {}, b'', is_refused=True)


@final
class _Connection(asyncio.Protocol):
    """One connection; one answer at a time."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.is_closed = False
        self._chunks: list[bytes] = []
        self._head: tuple[int, dict[str, str]] | None = None
        self._left = 0
        self._answer: asyncio.Future[HttpResponse] | None = None

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the answer that is not whole."""
        self.is_closed = True
        if self._answer and not self._answer.done():
            self._answer.set_result(BROKEN_RESPONSE)

    def send_request(self, octets: bytes) -> 'asyncio.Future[HttpResponse]':
        """Send a request and return the answer to come."""
        self._answer = asyncio.get_running_loop().create_future()
        self._head = None
        self._chunks = []
        self.transport.write(octets)
        return self._answer

    def data_received(self, octets: bytes) -> None:
        """Collect the answer."""
        if self._head is None:
            octets = b''.join((*self._chunks, octets))
            head, separator, octets = octets.partition(b'\r\n\r\n')
            if not separator:
                self._chunks = [head]
                return
            self._read_head(head)
            self._chunks = []
        self._chunks.append(octets)
        self._left -= len(octets)
        if self._left <= 0 and self._answer and not self._answer.done():
            status, headers = self._head or (0, {})
            body = b''.join(self._chunks)
            self._answer.set_result(HttpResponse(status, headers, body))

    def _read_head(self, head: bytes) -> None:
        lines = head.decode('latin-1').split('\r\n')
        headers = {
            name.title(): text
            for name, _, text in map(_split_header, lines[1:])
        }
        self._head = (int(lines[0].split(' ')[1]), headers)
        self._left = int(headers.get('Content-Length', '0'))
        if headers.get('Connection') == 'close':
            self.is_closed = True


def _split_header(line: str) -> tuple[str, str, str]:
    return line.partition(': ')


@final
class HttpClient:
    """Keeps connections and sends requests over them."""

    def __init__(self) -> None:
        """Start without connections."""
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
        """Return the answer; one that is not whole has status 0."""
        given = {'Host': address, **(headers or {})}
        if body or method not in {'GET', 'HEAD'}:
            given['Content-Length'] = str(len(body))
        lines = ''.join(f'{name}: {text}\r\n' for name, text in given.items())
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
        """Close all connections that are idle."""
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
