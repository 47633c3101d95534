"""The ports on which an edge accepts requests."""

import socket
from types import TracebackType
from typing import TYPE_CHECKING, Self, final

from tornado.netutil import bind_sockets

from turmericmast.limits.bodyholding import StreamedBody
from turmericmast.web.connectionguard import (
    MAX_BUFFER_BYTES,
    ConnectionGuard,
)
from turmericmast.web.guardedserver import GuardedServer

if TYPE_CHECKING:
    import contextlib

    from turmericmast.instancesettings import InstanceSettings
    from turmericmast.programs.runner import Process
    from turmericmast.web.edgefrontend import EdgeFrontend

MAX_HEADER_BYTES = 65_536
"""Largest head of a request, in bytes."""
MAX_BODY_BYTES = 1_073_741_824
"""Largest request body, in bytes.

Exceeds the limits of all routes, which are checked separately."""
BODY_TIMEOUT = 60.0
"""Seconds within which the body of a refused request must arrive.

Others have until the deadline of their request."""
PACED_CHUNK_BYTES = 16_384
"""Bytes of a body that are read at a time where its link has a pace.

Tornado's 64 KiB take 0.26 s on 2 Mbit/s, longer than a connection may take to
open."""


@final
class RequestPort:
    """Queues connections at once, and serves them when ready.

    They are those of callers, or of instances that forward requests.
    """

    def __init__(
        self,
        process: 'Process[InstanceSettings]',
        address: str,
        frontend: 'EdgeFrontend',
        guard: ConnectionGuard | None = None,
    ) -> None:
        """Pass requests that arrive at ``address`` to ``frontend``."""
        self.server = GuardedServer(
            frontend,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            max_buffer_size=MAX_BUFFER_BYTES,
            body_timeout=BODY_TIMEOUT,
            chunk_size=(
                PACED_CHUNK_BYTES
                if process.settings.host_limits.link_rate
                else None
            ),
        )
        if guard:
            self.server.watch(guard, StreamedBody())
        self._process = process
        self._address = address
        self._sockets: list[socket.socket] = []

    def __enter__(self) -> Self:
        """Bind the port; the kernel queues connections from now on."""
        host, _, port = self._address.rpartition(':')
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
        self._process.events.write('serving', address=self._address)


def open_ports(
    process: 'Process[InstanceSettings]',
    stack: 'contextlib.ExitStack',
    frontends: 'tuple[EdgeFrontend, EdgeFrontend]',
    guard: ConnectionGuard | None = None,
) -> list[RequestPort]:
    """Open the ports for callers and for other instances."""
    listening = process.settings.listening
    return [
        stack.enter_context(RequestPort(process, address, frontend, guard))
        for address, frontend in zip(
            (listening.callers, listening.peers), frontends, strict=True
        )
    ]
