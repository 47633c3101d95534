"""The port at which an edge takes callers."""

import asyncio
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
MAX_BODY_BYTES = 1_073_741_824
"""Above every limit of the routes, which decide."""
BODY_TIMEOUT = 60.0
ROUTES_PATIENCE = 0.25
"""Seconds that callers wait at most for a start to learn the routes.

A third of the shortest time that a caller is known to have; later it would
take its request elsewhere."""
ROUTES_PAUSE = 0.01


@final
class CallerPort:
    """Lets callers connect at once, and serves them when it can."""

    def __init__(
        self,
        process: 'Process[InstanceSettings]',
        edge: 'Edge',
        front: 'EdgeFrontend',
    ) -> None:
        """Serve callers by ``front``."""
        self.server = HTTPServer(
            front,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            body_timeout=BODY_TIMEOUT,
        )
        self._process = process
        self._edge = edge
        self._sockets: list[socket.socket] = []

    def __enter__(self) -> Self:
        """Bind the port: the kernel queues callers from now on."""
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
        """Take no more callers."""
        self.server.stop()

    async def open(self) -> None:
        """Wait a moment for the routes, then serve callers.

        Waiting is better for callers than a refusal: the routes are there
        after a few round trips, if a core member runs at all.
        """
        clock = self._process.clock
        ends_at = clock.now() + ROUTES_PATIENCE
        while not self._edge.is_ready and clock.now() < ends_at:
            await asyncio.sleep(ROUTES_PAUSE)
        self.server.add_sockets(self._sockets)
        self._process.events.write(
            'serving',
            domain=self._edge.record.domain,
            has_routes=self._edge.is_ready,
        )
