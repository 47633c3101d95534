"""HTTP servers whose connections are guarded."""

from typing import Any, final

from tornado.http1connection import HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPConnection, HTTPMessageDelegate
from tornado.iostream import IOStream

from turmericmast.limits.bodyholding import BodyHolding, CollectedBody
from turmericmast.web.connectionguard import ConnectionGuard
from turmericmast.web.guardedrequest import GuardedRequest


@final
class GuardedServer(HTTPServer):
    """Passes requests on, and tells a guard what is held for them."""

    def initialize(self, *args: Any, **options: Any) -> None:
        """Begin without a guard; the options are Tornado's."""
        super().initialize(*args, **options)
        self._guard: ConnectionGuard | None = None
        self._holding: BodyHolding = CollectedBody()

    def watch(self, guard: ConnectionGuard, holding: BodyHolding) -> None:
        """Let ``guard`` watch connections; ``holding`` is for their bodies."""
        self._guard = guard
        self._holding = holding

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a connection, unless there is no room for it."""
        guarded = self._guard.accept(stream) if self._guard else stream
        if not guarded.closed():
            super().handle_stream(guarded, address)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate that receives the next request."""
        receiver = super().start_request(server_conn, request_conn)
        guard = self._guard
        if guard is None or not isinstance(server_conn, HTTP1ServerConnection):
            return receiver
        guard.end(server_conn.stream)
        return GuardedRequest(
            receiver, guard, server_conn.stream, self._holding
        )
