"""Error responses to callers, as problem details in JSON (RFC 9457)."""

import asyncio
import contextlib
import dataclasses
import datetime
import http
import json
import socket
from typing import final

from tornado.gen import with_timeout
from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPConnection, HTTPHeaders, ResponseStartLine
from tornado.iostream import IOStream, StreamClosedError
from tornado.util import TimeoutError as TornadoTimeoutError

from turmericmast.call.call import Ran
from turmericmast.ids import CallId, TargetId
from turmericmast.units import MILLIS_PER_SECOND
from turmericmast.web.connectionguard import GuardedStream
from turmericmast.web.triedheader import tried_headers

LINGER_SECONDS = 1
"""Seconds that each read after an early refusal waits for the caller."""
MAX_LINGER_SECONDS = 1
"""Seconds after which the connection is closed though bytes still arrive."""
LINGER_BYTES = 65_536
"""Bytes read at most at a time while lingering."""
LINGER_READS = 64
"""Reads of an unread body that are discarded before the connection closes."""
EXCEEDING_STATUSES = frozenset(
    (
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    )
)
"""Statuses of clients that exceeded the limits of a request."""
RAN_HEADER = 'Turmericmast-Ran'
"""Header that tells whether a target has run the request."""
REFUSAL_HEADER = 'Turmericmast-Refusal'
"""Header with the id of the forwarded request that a problem responds to.

A response to a forwarded request that lacks it comes from a target."""
REACHED_HEADER = 'Turmericmast-Reached'
"""Header that tells whether a forwarded request has reached a target.

A target that rejected the request was reached, though it has not run it."""


@final
@dataclasses.dataclass(frozen=True)
class Problem:
    """Problem details: what failed in which step, and what the caller can do.

    ``title``, ``detail``, ``step``, ``peer`` and ``ran`` are keys of the
    JSON document.
    """

    status: int
    title: str
    detail: str
    step: str
    ran: Ran
    peer: str = ''
    retry_after_ms: int = 0
    """Milliseconds to wait before a retry, 0 to give no advice."""
    addresses: tuple[str, ...] = ()
    """Addresses of entries to send the request to instead."""
    has_fractional_retry_after: bool = False
    """Whether the caller accepts fractions of a second in ``Retry-After``."""
    closes_connection: bool = False
    """Whether the caller is asked to close the connection."""
    forwarded_call: str = ''
    """Id of the request if another instance has forwarded it."""
    has_reached_target: bool = False
    """Whether a target got the request; told to that instance only."""
    tried: tuple[TargetId, ...] = ()
    """Targets that may have got the request; told likewise."""

    def body(self) -> bytes:
        """Return the JSON document."""
        document = {
            'type': 'about:blank',
            'status': self.status,
            'title': self.title,
            'detail': self.detail,
            'step': self.step,
            'peer': self.peer,
            'ran': self.ran.value,
        }
        if self.retry_after_ms:
            document['retry_after_ms'] = self.retry_after_ms
        if self.addresses:
            document['addresses'] = list(self.addresses)
        return f'{json.dumps(document)}\n'.encode()

    def headers(self) -> HTTPHeaders:
        """Return the headers of the response."""
        headers = HTTPHeaders(
            {
                'Content-Type': 'application/problem+json',
                RAN_HEADER: self.ran.value,
            },
        )
        if self.retry_after_ms:
            headers['Retry-After'] = self._retry_after()
        if self.closes_connection:
            headers['Connection'] = 'close'
        if self.forwarded_call:
            headers[REFUSAL_HEADER] = self.forwarded_call
            headers[REACHED_HEADER] = str(int(self.has_reached_target))
            headers.update(
                tried_headers(CallId(self.forwarded_call), self.tried)
            )
        return headers

    @property
    def reason(self) -> str:
        """Return the standard reason phrase of the status."""
        return http.HTTPStatus(self.status).phrase

    def _retry_after(self) -> str:
        if self.has_fractional_retry_after:
            return f'{self.retry_after_ms / MILLIS_PER_SECOND:g}'
        return str(-(-self.retry_after_ms // MILLIS_PER_SECOND))


def refuse_request(
    connection: HTTPConnection,
    problem: Problem,
    method: str,
    headers: HTTPHeaders,
) -> None:
    """Send a problem before the request body, if there is one, was read.

    The connection is closed then, and the response says so.
    """
    closing = dataclasses.replace(problem, closes_connection=True)
    has_body = headers.get('Content-Length', '0') != '0' or (
        'Transfer-Encoding' in headers
    )
    if has_body and isinstance(connection, HTTP1Connection):
        refuse_unread(connection, closing)
        return
    respond(
        connection,
        closing.status,
        closing.reason,
        closing.headers(),
        closing.body(),
        is_head=method == 'HEAD',
    )


def refuse_unread(connection: HTTP1Connection, problem: Problem) -> None:
    """Send a problem without reading the request body, then close.

    The connection lingers until the caller closes it or a limit is reached,
    and what arrives is discarded: closing a socket with unread bytes resets
    the connection, which could destroy the response before the caller reads it.
    """
    body = problem.body()
    headers = problem.headers()
    headers['Content-Length'] = str(len(body))
    headers['Connection'] = 'close'
    lines = ''.join(f'{name}: {text}\r\n' for name, text in headers.get_all())
    head = f'HTTP/1.1 {problem.status:d} {problem.reason}\r\n{lines}\r\n'
    stream = connection.detach()
    mark_exceeding(stream, problem.status)
    asyncio.ensure_future(_linger(stream, head.encode() + body))


async def _linger(stream: IOStream, octets: bytes) -> None:
    with (
        contextlib.closing(stream),
        contextlib.suppress(
            StreamClosedError,
            TornadoTimeoutError,
        ),
    ):
        await stream.write(octets)
        stream.socket.shutdown(socket.SHUT_WR)
        ends_at = stream.io_loop.time() + MAX_LINGER_SECONDS
        for _ in range(LINGER_READS):
            if stream.io_loop.time() > ends_at:
                break
            await with_timeout(
                datetime.timedelta(seconds=LINGER_SECONDS),
                stream.read_bytes(LINGER_BYTES, partial=True),
                quiet_exceptions=StreamClosedError,
            )


def mark_exceeding(stream: object, status: int) -> None:
    """Note a client whose request exceeded a limit, by the status it gets."""
    if status in EXCEEDING_STATUSES and isinstance(stream, GuardedStream):
        stream.mark_exceeding()


def respond(
    connection: HTTPConnection,
    status: int,
    reason: str,
    headers: HTTPHeaders,
    body: bytes,
    *,
    is_head: bool = False,
) -> None:
    """Send a complete response; only its headers if ``is_head``."""
    mark_exceeding(getattr(connection, 'stream', None), status)
    headers['Content-Length'] = str(len(body))
    start = ResponseStartLine('HTTP/1.1', status, reason)
    connection.write_headers(start, headers, b'' if is_head else body)
    finish_response(connection, is_last=is_last_response(headers))


def is_last_response(headers: HTTPHeaders) -> bool:
    """Tell whether a response says that its connection closes behind it."""
    return headers.get('Connection') == 'close'


def finish_response(connection: HTTPConnection, *, is_last: bool) -> None:
    """End a response; behind the last one of a connection nothing is read.

    Tornado reads on if only the response says so. A request that stands there
    is sent again by the caller, and would run twice.
    """
    connection.finish()
    if is_last and isinstance(connection, HTTP1Connection):
        stream = connection.stream
        if stream and not stream.closed():
            written = stream.write(b'')
            if written.done():
                _release(connection)
            else:
                written.add_done_callback(lambda _: _release(connection))


def _release(connection: HTTP1Connection) -> None:
    """Close a connection, unless Tornado has, once the caller has done so."""
    stream = connection.stream
    if stream and not stream.closed():
        asyncio.ensure_future(_linger(connection.detach(), b''))
