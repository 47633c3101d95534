"""HTTP servers of pages for operators, targets and the directory.

Their requests are small. A peer that sends a head or a body without end, or
none at all, must neither fill the memory nor hold a connection for good.
"""

from tornado.httpserver import HTTPServer
from tornado.web import Application

MAX_HEADER_BYTES = 16_384
"""Largest head of a request, in bytes."""
MAX_PAGE_BODY_BYTES = 4_096
"""Largest body, in bytes, of a request for a page that needs none."""
BODY_TIMEOUT = 10.0
"""Seconds within which the body of a request must arrive."""
IDLE_TIMEOUT = 60.0
"""Seconds within which the head of the next request must arrive."""


def make_page_server(
    application: Application, max_body_bytes: int = MAX_PAGE_BODY_BYTES
) -> HTTPServer:
    """Return a server of ``application``, which does not listen yet.

    Connections with a larger head or body are closed.
    """
    return HTTPServer(
        application,
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=max_body_bytes,
        max_buffer_size=MAX_HEADER_BYTES + max_body_bytes,
        body_timeout=BODY_TIMEOUT,
        idle_connection_timeout=IDLE_TIMEOUT,
    )


def listen(server: HTTPServer, address: str) -> HTTPServer:
    """Let a server listen on ``address``, IP address and port; return it."""
    host, _, port = address.rpartition(':')
    server.listen(int(port), host.strip('[]'))
    return server
