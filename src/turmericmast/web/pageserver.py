"""HTTP servers of pages for operators, targets and the directory.

Their requests are small. A peer that sends a head or a body without end, or
none at all, must neither fill the memory nor hold a connection for good.
"""

from tornado.httpserver import HTTPServer
from tornado.web import Application

from turmericmast.limits.bodyholding import CollectedBody
from turmericmast.web.connectionguard import ConnectionGuard
from turmericmast.web.guardedserver import GuardedServer
from turmericmast.web.pagerequest import LimitedPages, LimitOfPath

MAX_HEADER_BYTES = 16_384
"""Largest head of a request, in bytes."""
MAX_PAGE_BODY_BYTES = 4_096
"""Largest body, in bytes, of a request for a page that needs none."""
UNCHECKED_BODY_BYTES = 1_073_741_824
"""Bytes of a body beyond which Tornado answers 400.

Larger than all limits, which are checked before, so that the answer is 413."""
MAX_PIECE_BYTES = 65_536
"""Bytes of the pieces in which a body is read.

Tornado collects small chunks up to this size before it passes them on, so that
shorter pieces let a body that is too long be refused earlier."""
BODY_TIMEOUT = 10.0
"""Seconds within which the body of a request must arrive."""
IDLE_TIMEOUT = 60.0
"""Seconds within which the head of the next request must arrive."""


def make_page_server(
    application: Application,
    max_body_bytes: int = MAX_PAGE_BODY_BYTES,
    guard: ConnectionGuard | None = None,
    limit_of_path: LimitOfPath | None = None,
) -> HTTPServer:
    """Return a server of ``application``, which does not listen yet.

    A larger body is refused, and its connection closed. ``limit_of_path``
    returns less than ``max_body_bytes`` for pages that need less.
    """
    server = GuardedServer(
        LimitedPages(application, limit_of_path or (lambda _: max_body_bytes)),
        chunk_size=min(MAX_PIECE_BYTES, max_body_bytes),
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=UNCHECKED_BODY_BYTES,
        max_buffer_size=MAX_HEADER_BYTES + max_body_bytes,
        body_timeout=BODY_TIMEOUT,
        idle_connection_timeout=IDLE_TIMEOUT,
    )
    if guard:
        server.watch(guard, CollectedBody())
    return server


def listen(server: HTTPServer, address: str) -> HTTPServer:
    """Let a server listen on ``address``, IP address and port; return it."""
    host, _, port = address.rpartition(':')
    server.listen(int(port), host.strip('[]'))
    return server
