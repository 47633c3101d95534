"""Refuses requests for pages whose bodies exceed the limit of their page."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, TypeAlias, final

from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
)

from turmericmast.call.call import Ran
from turmericmast.numerals import parse_whole
from turmericmast.web.problem import Problem, refuse_request, respond

LimitOfPath: TypeAlias = Callable[[str], int]
"""Returns the largest body, in bytes, of a request for a path."""


@final
class LimitedPages(HTTPServerConnectionDelegate):
    """Passes requests to an application, unless their bodies are too large."""

    def __init__(
        self,
        application: HTTPServerConnectionDelegate,
        limit_of_path: LimitOfPath,
    ) -> None:
        """Pass requests within ``limit_of_path`` to ``application``."""
        self._application = application
        self._limit_of_path = limit_of_path

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate that receives the next request."""
        receiver = self._application.start_request(server_conn, request_conn)
        return PageRequest(receiver, request_conn, self._limit_of_path)

    def on_close(self, server_conn: object) -> None:
        """Tell the application that a connection was closed."""
        self._application.on_close(server_conn)


@final
class PageRequest(HTTPMessageDelegate):
    """One request, cut at the limit of its page.

    A body that was announced too long is not read. One that is only sent is
    dropped once it is too long, and the connection is closed.
    """

    def __init__(
        self,
        receiver: HTTPMessageDelegate,
        connection: HTTPConnection,
        limit_of_path: LimitOfPath,
    ) -> None:
        """Pass to ``receiver`` what is within the limit."""
        self._receiver = receiver
        self._connection = connection
        self._limit_of_path = limit_of_path
        self._limit = 0
        self._left = 0
        """Bytes that the body may still have."""
        self._is_refused = False

    def headers_received(
        self, start_line: Any, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Pass the head on, or refuse the body that it announces."""
        limit = self._limit_of_path(start_line.path.partition('?')[0])
        self._limit = limit
        self._left = limit
        # A length that is no number is refused by the server itself.
        announced = parse_whole(headers.get('Content-Length', '0')) or 0
        if announced > limit:
            self._is_refused = True
            refuse_request(
                self._connection, _too_large(limit), start_line.method, headers
            )
            return None
        return self._receiver.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass a piece of the body on, unless the body is too long."""
        self._left -= len(chunk)
        if self._is_refused:
            return None
        if self._left >= 0:
            return self._receiver.data_received(chunk)
        self._is_refused = True
        self._receiver.on_connection_close()
        problem = _too_large(self._limit)
        respond(
            self._connection,
            problem.status,
            problem.reason,
            problem.headers(),
            problem.body(),
        )
        return None

    def finish(self) -> None:
        """Tell that the request is complete."""
        if not self._is_refused:
            self._receiver.finish()

    def on_connection_close(self) -> None:
        """Tell that the client has disconnected."""
        if not self._is_refused:
            self._receiver.on_connection_close()


def _too_large(limit: int) -> Problem:
    return Problem(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        'Body too large',
        f'at most {limit} octets of body are allowed here',
        'read request',
        Ran.no,
        closes_connection=True,
    )
