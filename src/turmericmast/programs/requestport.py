"""The port on which an edge accepts callers."""

import socket
from types import TracebackType
from typing import TYPE_CHECKING, Self, final

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

if TYPE_CHECKING:
    from turmericmast.edge.edge import Edge
    from turmericmast.instancesettings import InstanceSettings
    from turmericmast.programs.runner import Process
    from turmericmast.web.edgefrontend import EdgeFrontend

MAX_HEADER_BYTES = 65_536
"""Largest head of a request, in bytes."""
MAX_BODY_BYTES = 1_073_741_824
"""Largest request body, in bytes.

Exceeds the limits of all routes, which are checked separately."""
BODY_TIMEOUT = 60.0
"""Seconds within which a request body must arrive."""


@final
class CallerPort:
    """Queues connections of callers at once, and serves them when ready."""

    def __init__(
        self,
        process: 'Process[InstanceSettings]',
        edge: 'Edge',
        frontend: 'EdgeFrontend',
    ) -> None:
        """Pass requests of callers to ``frontend``."""
        self.server = HTTPServer(
            frontend,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            body_timeout=BODY_TIMEOUT,
        )
        self._process = process
        self._edge = edge
        self._sockets: list[socket.socket] = []

    def __enter__(self) -> Self:
        """Bind the port; the kernel queues connections from now on."""
        address = self._process.settings.listening.callers
        host, _, port = address.rpartition(':')
        self._sockets = bind_sockets(int(port), host)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop accepting connections."""
        self.server.stop()

    def serve(self) -> None:
        """Serve the connections, those in the queue first."""
        self.server.add_sockets(self._sockets)
        self._process.events.write('serving', domain=self._edge.record.domain)
