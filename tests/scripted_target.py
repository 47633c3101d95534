"""A target on loopback that fails in the way that a test asks for."""

import asyncio
import contextlib
import enum
import itertools
from collections.abc import Collection
from types import TracebackType
from typing import Self, final

from bench.layout import free_address

RESET_DELAY = 0.02
"""Seconds from the last octets until the connection ends."""
REPEAT_DELAY = 0.005
"""Seconds from a response to its copy on an idle connection."""


@final
class Reply(enum.Enum):
    """What a target does with a request."""

    answer = 'answer'
    fail = 'fail'
    """A complete response with status 500."""
    reject = 'reject'
    """A response that says that the request did not run."""
    misdirect = 'misdirect'
    """The response of another target at the address, which ran nothing."""
    reset = 'reset'
    """The connection is reset before a response begins."""
    close = 'close'
    """The same, with a connection that is closed."""
    reset_after_interim = 'reset_after_interim'
    """The same after a response with status 103."""
    reset_in_head = 'reset_in_head'
    """The same within the head of a response."""
    cut = 'cut'
    """The connection is reset within the body of a success."""


@final
class Kind(enum.Enum):
    """What a response answers."""

    request = 'request'
    health_check = 'health_check'


_STATUS_BY_REPLY = {
    Reply.fail: '500 Failed',
    Reply.reject: '503 Full',
    Reply.misdirect: '421 Other',
}
_RESETS = frozenset(
    (
        Reply.reset,
        Reply.close,
        Reply.reset_after_interim,
        Reply.reset_in_head,
        Reply.cut,
    )
)


@final
class ScriptedTarget:
    """Answers health checks, and each request with the next of its replies.

    The last reply is that to all further requests.
    """

    def __init__(
        self,
        name: str,
        *replies: Reply,
        repeated: Collection[Kind] = (),
        health_headers: str = '',
        repeats_at_once: bool = False,
    ) -> None:
        """Prepare the target; it listens while the context is open.

        It writes each ``repeated`` response once more, late, before the next
        one on the same connection, or soon, if it ``repeats_at_once``.
        ``health_headers`` has further header lines of the responses to health
        checks.
        """
        self.name = name
        self.address = free_address()
        self.request_ids: list[str] = []
        """Ids of the requests that were read, whether they ran or not."""
        self.heads: list[bytes] = []
        """Heads of the same requests."""
        self.connections: list[int] = []
        """Numbers of the connections on which they came."""
        self._replies = itertools.chain(
            replies[:-1],
            itertools.repeat(replies[-1] if replies else Reply.answer),
        )
        self._repeated = repeated
        self._health_headers = health_headers
        self._repeats_at_once = repeats_at_once
        self._numbers = itertools.count()
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        """Start listening."""
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop listening."""
        if self._server:
            # Python 3.11 logs an error for a connection that is just accepted.
            await asyncio.sleep(RESET_DELAY)
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = next(self._numbers)
        late = b''
        with (
            contextlib.closing(writer),
            contextlib.suppress(ConnectionError, asyncio.IncompleteReadError),
        ):
            while not writer.is_closing():
                head = await reader.readuntil(b'\r\n\r\n')
                await _read_body(reader, head)
                is_health_check = b' /health ' in head
                response = (
                    self._health()
                    if is_health_check
                    else self._respond(head, number, writer)
                )
                writer.write(late + response)
                await writer.drain()
                kind = Kind.health_check if is_health_check else Kind.request
                late = response if kind in self._repeated else b''
                if self._repeats_at_once:
                    # In time for the next request, but after this response.
                    asyncio.get_running_loop().call_later(
                        REPEAT_DELAY, writer.write, late
                    )
                    late = b''

    def _health(self) -> bytes:
        own = f'X-Instance-Id: {self.name}\r\nX-Server-Load: 0,0,4\r\n'
        return _response('200 OK', f'{own}{self._health_headers}', b'')

    def _respond(
        self, head: bytes, number: int, writer: asyncio.StreamWriter
    ) -> bytes:
        request_id = _field(head, b'x-request-id')
        self.request_ids.append(request_id)
        self.heads.append(head)
        self.connections.append(number)
        reply = next(self._replies)
        response = _octets(reply, request_id, self.name)
        if reply in _RESETS:
            writer.write(response)
            # The octets are on their way before the connection is reset.
            end = (
                writer.close if reply is Reply.close else writer.transport.abort
            )
            asyncio.get_running_loop().call_later(RESET_DELAY, end)
            return b''
        return response


def _octets(reply: Reply, request_id: str, name: str) -> bytes:
    """Return what a target writes, as far as it comes."""
    own = f'X-Request-Id: {request_id}\r\nX-Server-Load: 0,0,4\r\n'
    if reply in {Reply.reset, Reply.close}:
        return b''
    if reply is Reply.reset_after_interim:
        return b'HTTP/1.1 103 Hints\r\n\r\n'
    if reply in {Reply.reject, Reply.misdirect}:
        own = f'{own}X-Not-Executed: 1\r\n'
    else:
        own = f'{own}X-Response-Signature: {name}\r\n'
    response = _response(
        _STATUS_BY_REPLY.get(reply, '200 OK'), own, name.encode()
    )
    if reply is Reply.reset_in_head:
        return response.partition(b'X-Server-Load')[0]
    return response[:-1] if reply is Reply.cut else response


def _response(status: str, own: str, body: bytes) -> bytes:
    head = f'HTTP/1.1 {status}\r\n{own}Content-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


def _field(head: bytes, name: bytes) -> str:
    """Return the content of a header, empty if there is none."""
    fields = (line.partition(b':') for line in head.split(b'\r\n')[1:])
    return next(
        (
            content.strip().decode()
            for field, _, content in fields
            if field.lower() == name
        ),
        '',
    )


async def _read_body(reader: asyncio.StreamReader, head: bytes) -> None:
    await reader.readexactly(int(_field(head, b'content-length') or 0))
