"""Responses that a target joins within a head."""

import asyncio
import contextlib
import dataclasses
import itertools
import socket
from collections.abc import AsyncIterator, Iterable, Sequence

LATE_ID = b'X-Request-Id: q'
OWN_ID = b'X-Request-Id: r'
SIGNATURE = b'X-Response-Signature: %b'
LOAD = b'X-Server-Load: 1,0,4,100'
DATE = b'Date: Sun, 06 Dec 2026 00:24:02 GMT'
TYPE = b'Content-Type: text/plain; charset=utf-8'
COOKIE = b'Set-Cookie: a=b; Path=/; Max-Age=60'
NOT_RUN = b'X-Not-Executed: 1'
PAUSE = b'Retry-After: 1'
LENGTH = b'Content-Length: 4'
CHUNKED = b'Transfer-Encoding: chunked'
SIZE = 70_000
"""Bytes of a body that is streamed; smaller ones are buffered."""
LARGE = b'Content-Length: %d' % SIZE


def head(status: bytes, *fields: bytes) -> bytes:
    """Return a head that ends with its blank line."""
    return b'\r\n'.join((b'HTTP/1.1 ' + status, *fields, b'', b''))


OLD = SIGNATURE % b'old'
NEW = SIGNATURE % b'new'
LATE_HEADS = {
    'success_id_first': head(
        b'200 OK', LATE_ID, OLD, LOAD, DATE, TYPE, LENGTH, COOKIE
    ),
    'success_id_within': head(
        b'200 OK', LOAD, DATE, LATE_ID, OLD, TYPE, LENGTH
    ),
    'success_id_last': head(
        b'200 OK', DATE, TYPE, LENGTH, COOKIE, OLD, LOAD, LATE_ID
    ),
    'success_in_chunks': head(b'200 OK', CHUNKED, LATE_ID, OLD),
    'success_in_few_headers': head(b'200 OK', LENGTH, LATE_ID, OLD),
    'failure_id_first': head(
        b'500 Internal Server Error', LATE_ID, OLD, LENGTH
    ),
    'failure_id_last': head(
        b'500 Internal Server Error', LOAD, LENGTH, OLD, LATE_ID
    ),
    'no_content': head(b'204 No Content', DATE, LOAD, LATE_ID, OLD),
    'not_found': head(b'404 Not Found', TYPE, LATE_ID, LENGTH),
    'interim': head(
        b'103 Early Hints', b'Link: </a.css>; rel=preload', LATE_ID
    ),
    'rejection_id_last': head(
        b'503 Service Unavailable', NOT_RUN, PAUSE, LOAD, LENGTH, LATE_ID
    ),
    'misdirected': head(b'421 Misdirected Request', DATE, LENGTH, LATE_ID),
}
"""Heads of late responses to another request, by what they are."""
OWN_RESPONSES = {
    'failure': head(b'500 Internal Server Error', OWN_ID, NEW, LOAD, LENGTH)
    + b'fail',
    'success': head(b'200 OK', DATE, OWN_ID, NEW, LENGTH) + b'good',
    'rejection': head(b'503 Service Unavailable', OWN_ID, NOT_RUN, LENGTH)
    + b'busy',
    'in_chunks': head(b'200 OK', CHUNKED, NEW, OWN_ID)
    + b'4\r\ngood\r\n0\r\n\r\n',
    'no_content': head(b'204 No Content', NEW, OWN_ID),
    'colon': head(b'500 Error: broken', NEW, LENGTH, OWN_ID) + b'fail',
}
"""Whole responses to the request itself."""
LARGE_RESPONSES = {
    'large_success': head(b'200 OK', OWN_ID, NEW, LARGE) + b'g' * SIZE,
    'large_missing': head(b'404 Not Found', OWN_ID, LARGE) + b'm' * SIZE,
}
"""The same with bodies that are streamed."""


@dataclasses.dataclass(frozen=True)
class Received:
    """The parts of a response, as a reader passes them on."""

    status: int
    reason: str
    headers: frozenset[tuple[str, str]]
    body: bytes


def parsed(octets: bytes) -> Received:
    """Return the parts of one whole response."""
    text, _, body = octets.partition(b'\r\n\r\n')
    first, *fields = text.decode().split('\r\n')
    _, status, reason = first.split(' ', 2)
    if CHUNKED in text:
        body = body.split(b'\r\n')[1]
    names_and_values = (field.split(': ', 1) for field in fields)
    return Received(
        int(status),
        reason,
        frozenset((name, text) for name, text in names_and_values),
        body,
    )


class JoiningTarget:
    """Writes one of several responses in pieces, by the path of a request."""

    def __init__(
        self,
        responses: Sequence[Sequence[bytes]],
        pause: float = 0,
        *,
        in_turn: bool = False,
        closes: bool = False,
    ) -> None:
        """Answer ``/n`` with the pieces of response ``n``.

        The next piece is sent ``pause`` seconds later, as its own segment.
        With ``in_turn``, responses go by the number of the request. With
        ``closes``, the connection ends behind each response.
        """
        self._closes = closes
        self._responses = responses
        self._pause = pause
        self._turns = itertools.count() if in_turn else None
        self.connections = 0
        self.requests: list[bytes] = []
        """Heads of the requests that were read."""

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[str]:
        """Serve on loopback, and return the address."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        async with server:
            yield '{}:{}'.format(*server.sockets[0].getsockname())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while not writer.is_closing():
                request = await reader.readuntil(b'\r\n\r\n')
                self.requests.append(request)
                await self._write(writer, self._choose(request))
                if self._closes:
                    break
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()

    def _choose(self, request: bytes) -> int:
        if self._turns:
            return next(self._turns)
        return int(request.split()[1][1:])

    async def _write(self, writer: asyncio.StreamWriter, index: int) -> None:
        pieces = self._responses[index]
        for piece in pieces if self._pause else (b''.join(pieces),):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(self._pause)


def cut(octets: bytes) -> Iterable[bytes]:
    """Return all beginnings of a response that end within its head."""
    return (octets[:end] for end in range(1, len(octets)))
