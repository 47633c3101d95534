"""HTTP requests with a bound on when they can have been sent."""

import weakref
from collections.abc import Callable
from typing import Any, final

from tornado.httputil import (
    HTTPConnection,
    HTTPMessageDelegate,
    HTTPServerRequest,
)
from tornado.web import Application

from turmericmast.ids import Index


@final
class DatedApplication(Application):
    """Notes which index had been applied before a request can have been sent.

    A client sends a request after its connection is accepted or, on a kept
    connection, after the last response. A closed connection is not looked for:
    where its end was lost, it cannot be told from an open one.
    """

    def __init__(
        self,
        handlers: list[Any],
        read_index: Callable[[], Index],
        **options: Any,
    ) -> None:
        """Call ``read_index`` whenever a client may send its next request."""
        super().__init__(handlers, **options)
        self._read_index = read_index
        self._index_by_connection: weakref.WeakKeyDictionary[
            HTTPConnection, Index
        ] = weakref.WeakKeyDictionary()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Expect a request; ``request_conn`` is a new object for each."""
        self._index_by_connection[request_conn] = self._read_index()
        return super().start_request(server_conn, request_conn)

    def known_before(self, request: HTTPServerRequest) -> Index:
        """Return an index that had been applied before it was sent."""
        connection = request.connection
        return (
            self._index_by_connection.get(connection, Index(0))
            if connection
            else Index(0)
        )
