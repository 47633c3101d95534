"""Counts what a process holds for the request that a client sends."""

from collections.abc import Awaitable
from typing import Any, final

from tornado.httputil import HTTPHeaders, HTTPMessageDelegate
from tornado.iostream import IOStream

from turmericmast.limits.bodyholding import BodyHolding
from turmericmast.web.connectionguard import ConnectionGuard

HEADER_OCTETS = 384
"""Bytes of memory that one header line needs beside its text."""
REQUEST_OCTETS = 16_384
"""Bytes of memory that a request needs beside its head and its body.

400 requests at once made an edge grow by 7,600 to 12,600 bytes each."""


@final
class GuardedRequest(HTTPMessageDelegate):
    """Passes a request on, and tells the guard how much of it is held."""

    def __init__(
        self,
        receiver: HTTPMessageDelegate,
        guard: ConnectionGuard,
        stream: IOStream,
        holding: BodyHolding,
    ) -> None:
        """Pass to ``receiver`` what arrives on ``stream``."""
        self._receiver = receiver
        self._guard = guard
        self._stream = stream
        self._holding = holding
        self._head_octets = 0
        self._received = 0
        self._is_passed = False
        """Whether the receiver knows of the request."""

    def headers_received(
        self, start_line: Any, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Count the head, and pass it on."""
        self._head_octets = REQUEST_OCTETS + head_octets(headers)
        self._guard.begin(self._stream, self._head_octets)
        if self._stream.closed():
            # There was no room for it, so that it does not run.
            return None
        self._is_passed = True
        return self._receiver.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Count a piece of the body, and pass it on."""
        if not self._is_passed:
            return None
        self._received += len(chunk)
        self._guard.hold(
            self._stream,
            self._head_octets + self._holding.octets(self._received),
        )
        return self._receiver.data_received(chunk)

    def finish(self) -> None:
        """Tell that the request is complete."""
        if self._is_passed:
            self._receiver.finish()

    def on_connection_close(self) -> None:
        """Tell that the client has disconnected."""
        if self._is_passed:
            self._receiver.on_connection_close()


def head_octets(headers: HTTPHeaders) -> int:
    """Return the bytes of memory that headers need."""
    return sum(
        HEADER_OCTETS + len(name) + len(text)
        for name, text in headers.get_all()
    )
