"""Relay a response to the caller: buffered while small, else streamed."""

import asyncio
import enum
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, final

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPConnection, HTTPHeaders, ResponseStartLine

from turmericmast.call.call import Loss, Ran
from turmericmast.web.body import MAX_BUFFERED_BYTES
from turmericmast.web.parse import response_headers
from turmericmast.web.problem import (
    RAN_HEADER,
    Problem,
    finish_response,
    is_last_response,
    respond,
)
from turmericmast.web.responsebody import ResponseBody
from turmericmast.web.responsehead import (
    NO_BODY_STATUSES,
    BodyEnd,
    ResponseHead,
)
from turmericmast.web.transfer import ResponseSink

if TYPE_CHECKING:
    from turmericmast.ledger.record import KeptAnswer


@final
class RelayState(enum.Enum):
    """How far a response has been relayed."""

    empty = 'empty'
    """No head has arrived."""
    buffered = 'held'
    """The response is buffered; the caller has seen nothing of it."""
    streaming = 'streaming'
    """The head and part of the body were sent to the caller."""
    broken = 'broken'
    """A resumed response did not continue the one that was interrupted."""


@final
class Relay(ResponseSink):
    """Sends a caller one complete response, or closes the connection within it.

    A response that fails while it is still buffered can be replaced by that of
    another attempt. Concurrent attempts claim the relay first: one of them
    alone may write, until ``discard``.
    """

    def __init__(
        self,
        connection: HTTPConnection,
        method: str,
        connection_headers: Callable[[], Mapping[str, str]] = dict,
    ) -> None:
        """Respond to a request with ``method`` on ``connection``.

        ``connection_headers`` returns the headers that tell the caller how
        long it may use the connection.
        """
        self._connection_headers = connection_headers
        self.head: ResponseHead | None = None
        self.state = RelayState.empty
        self.sent_bytes = 0
        """Bytes of the body that were written to the caller."""
        self.resume: Callable[[], None] = _do_nothing
        """Called when a pending write is done and more chunks are accepted."""
        self._connection = connection
        self._method = method
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0
        self._is_blocked = False
        self._is_last = False
        """Whether the connection closes behind the response."""
        self._is_resuming = False
        self._has_changed = False
        """Whether a success did not continue the interrupted response."""
        self._body = ResponseBody()
        self._has_doubtful_part = False
        """Whether an interrupted body may be of two responses."""
        self.source: object | None = None
        """The only one that may write the response; ``None`` if unclaimed."""

    def claim(self, source: object) -> bool:
        """Make ``source`` the only one that may write, unless another is."""
        if self.source is None:
            self.source = source
        return self.source is source

    def on_body(self, body: ResponseBody) -> None:
        """Keep what becomes known of the body."""
        if self.state is RelayState.streaming:
            self._has_doubtful_part |= self._body.is_doubtful
        self._body = body

    def on_head(self, head: ResponseHead) -> bool:
        """Receive the head; a resumed response must continue the first one.

        Return false if it does not, comes within a response that is being
        sent, or is an interim one that holds another head.
        """
        if head.is_interim:
            return False
        if self._is_resuming:
            is_continuation = _is_continuation(self.head, head, self.sent_bytes)
            if not is_continuation:
                self.state = RelayState.broken
                self._has_changed |= head.status < HTTPStatus.MULTIPLE_CHOICES
            return is_continuation
        if self.state is RelayState.streaming:
            return False
        self._discard_body()
        self.head = head
        self.state = RelayState.buffered
        return True

    def on_chunk(self, chunk: bytes) -> bool:
        """Buffer or write a chunk; return false while a write is pending."""
        if self.state is RelayState.broken:
            return True
        if self._is_blocked:
            return False
        if self.state is RelayState.streaming:
            self._write(chunk)
            return True
        self._buffer.append(chunk)
        self._buffered_bytes += len(chunk)
        if self._is_buffer_full and not _is_refusal(self.head):
            self._start_streaming()
        return True

    @property
    def is_overfull(self) -> bool:
        """Tell whether a refusal is too long to be kept.

        It is not streamed, since another target may succeed.
        """
        if self.state is not RelayState.buffered:
            return False
        return self._is_buffer_full and _is_refusal(self.head)

    def buffered_body(self) -> bytes:
        """Return the buffered bytes of the body."""
        return b''.join(self._buffer)

    def discard(self) -> None:
        """Discard a buffered response and its claim; a streamed one stays."""
        if self.state is not RelayState.streaming:
            self.head = None
            self.state = RelayState.empty
            self.source = None
            self._discard_body()

    @property
    def loss(self) -> Loss | None:
        """Return how a fully received response failed, ``None`` if it is good.

        It failed if it was cut short, or says that the target rejected the
        request without running it.
        """
        head = self.head
        if head is None or self.state is RelayState.broken:
            return Loss.cut_short
        if not self.is_delimited:
            return Loss.cut_short
        return Loss.shed if _is_refusal(head) else None

    @property
    def is_failure(self) -> bool:
        """Tell whether the status of the response is a server error."""
        return self.head is not None and (
            self.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        )

    @property
    def is_delimited(self) -> bool:
        """Tell whether a complete body can be told from one cut short.

        Without a length and without chunks, a body ends when the connection
        closes.
        """
        if self.head is None:
            return False
        return (
            self._method == 'HEAD'
            or self.head.status in NO_BODY_STATUSES
            or self.head.body_end is not BodyEnd.connection
        )

    def range_headers(self) -> tuple[tuple[str, str], ...] | None:
        """Return headers that request the rest of the body, if possible.

        It takes a GET request, status 200, a strong entity tag and a known
        length. The next head must then continue this response. If the last one
        was a failure instead, another target may continue it. What was sent
        must not contain a part of another response.
        """
        head = self.head
        if self._has_doubtful_part or self._body.is_doubtful:
            return None
        if (
            head is None
            or self._has_changed
            or self._method != 'GET'
            or head.status != HTTPStatus.OK
        ):
            return None
        tag = head.headers.get('ETag', '')
        if not tag.startswith('"') or 'Content-Length' not in head.headers:
            return None
        self._is_resuming = True
        self.state = RelayState.streaming
        return (('Range', f'bytes={self.sent_bytes}-'), ('If-Range', tag))

    def finish(self) -> None:
        """Send the buffered response, or end the streamed one."""
        if self.state is RelayState.streaming:
            finish_response(self._connection, is_last=self._is_last)
            return
        if self.head is None:
            return
        headers = response_headers(self.head.headers)
        body = self.buffered_body()
        if self._method == 'HEAD':
            length = self.head.headers.get('Content-Length')
            if length is not None:
                headers['Content-Length'] = length
        elif self.head.status not in NO_BODY_STATUSES:
            headers['Content-Length'] = str(len(body))
        self._send_head(headers, body)
        finish_response(self._connection, is_last=self._is_last)

    def send_problem(self, problem: Problem) -> None:
        """Send problem details instead of a target's response."""
        headers = problem.headers()
        headers.update(self._connection_headers())
        respond(
            self._connection,
            problem.status,
            problem.reason,
            headers,
            problem.body(),
            is_head=self._method == 'HEAD',
        )

    def replay(self, kept: 'KeptAnswer') -> None:
        """Send a response that the ledger has kept."""
        headers = HTTPHeaders()
        for header in kept.headers:
            headers.add(header.name, header.content)
        headers['Turmericmast-Replayed'] = '1'
        respond(
            self._connection,
            kept.status,
            kept.reason,
            headers,
            kept.body,
        )

    def abort(self) -> None:
        """Close the connection so that the caller sees a broken response."""
        if isinstance(self._connection, HTTP1Connection):
            self._connection.close()

    @property
    def _is_buffer_full(self) -> bool:
        return self._buffered_bytes > MAX_BUFFERED_BYTES

    def _discard_body(self) -> None:
        self._buffer = []
        self._buffered_bytes = 0

    def _start_streaming(self) -> None:
        if self.head is None:
            return
        self.state = RelayState.streaming
        headers = response_headers(self.head.headers)
        length = self.head.headers.get('Content-Length')
        if length is not None:
            headers['Content-Length'] = length
        body = self.buffered_body()
        self._buffer = []
        self._send_head(headers, b'')
        self._write(body)

    def _send_head(self, headers: Any, body: bytes) -> None:
        if self.head is None:
            return
        start = ResponseStartLine(
            'HTTP/1.1', self.head.status, self.head.reason
        )
        headers.update(self._connection_headers())
        self._is_last = is_last_response(headers)
        written = self._connection.write_headers(start, headers, body)
        written.add_done_callback(_ignore_error)

    def _write(self, chunk: bytes) -> None:
        self.sent_bytes += len(chunk)
        written = self._connection.write(chunk)
        self._is_blocked = not written.done()
        written.add_done_callback(self._on_written)

    def _on_written(self, written: 'asyncio.Future[None]') -> None:
        _ignore_error(written)
        if self._is_blocked:
            self._is_blocked = False
            self.resume()


def _is_continuation(
    first: ResponseHead | None, head: ResponseHead, sent_bytes: int
) -> bool:
    """Tell whether ``head`` has the rest of the body of ``first``."""
    if first is None or head.status != HTTPStatus.PARTIAL_CONTENT:
        return False
    whole = first.headers['Content-Length']
    expected_range = f'bytes {sent_bytes}-{int(whole) - 1}/{whole}'
    return (
        head.headers.get('ETag') == first.headers.get('ETag')
        and head.headers.get('Content-Range') == expected_range
    )


def _is_refusal(head: ResponseHead | None) -> bool:
    """Tell whether the target says that it has not run the request."""
    if head is None or head.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return False
    return head.headers.get(RAN_HEADER, '') == Ran.no.value


def _ignore_error(written: 'asyncio.Future[None]') -> None:
    # The close callback of the connection handles a caller that disconnected.
    if not written.cancelled():
        written.exception()


def _do_nothing() -> None:
    """Do nothing until there is a transfer to resume."""
