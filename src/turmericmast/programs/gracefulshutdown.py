"""Stops an edge without cutting off requests."""

import asyncio
from collections.abc import Iterable
from typing import TYPE_CHECKING, final

from tornado.httpserver import HTTPServer

from turmericmast.edge.directory import directory_ttl
from turmericmast.ids import Seconds
from turmericmast.web.edgecontext import EdgeContext
from turmericmast.web.edgefrontend import EdgeFrontend

if TYPE_CHECKING:
    from turmericmast.instancesettings import InstanceSettings
    from turmericmast.programs.runner import Process

PROPAGATION_TIME = 0.3
"""Seconds until no directory lists this instance any more."""
QUIET_TIME = 0.3
"""Seconds without a running request after which a drained instance stops."""
GRACE_RESERVE = 0.4
"""Seconds of the grace period reserved for stopping the process itself."""
STOP_POLL_INTERVAL = 0.05
"""Seconds between two checks whether the instance may stop."""


@final
class GracefulShutdown:
    """Drains an edge, so that it stops without cutting off requests.

    A request is taken if it ends before the grace period does, by its deadline.
    Other ones are refused before their bodies are read.
    """

    def __init__(
        self,
        process: 'Process[InstanceSettings]',
        context: EdgeContext,
        frontends: Iterable[EdgeFrontend],
    ) -> None:
        """Drain the requests that ``frontends`` accepted."""
        self._process = process
        self._context = context
        self._frontends = tuple(frontends)

    async def run(self, servers: Iterable[HTTPServer]) -> None:
        """Announce that the edge is leaving, and finish running requests.

        Accepts requests until cached directory answers have expired and
        callers are quiet, and returns before the grace period is over.
        """
        clock = self._process.clock
        started_at = clock.now()
        ends_at = (
            started_at + self._process.settings.bounds.grace - GRACE_RESERVE
        )
        self._context.edge.leave(Seconds(ends_at))
        self._process.events.write('leaving', running=self._context.running)
        quiet_since = started_at
        while clock.now() < ends_at:
            now = clock.now()
            if self._has_requests():
                quiet_since = now
            is_propagated = (
                now - started_at
                > directory_ttl(self._context.edge.bounds) + PROPAGATION_TIME
            )
            if is_propagated and now - quiet_since > QUIET_TIME:
                break
            await asyncio.sleep(STOP_POLL_INTERVAL)
        await self._close_ports(servers, Seconds(ends_at))
        # A request that is read from here on is refused.
        self._context.edge.leave(clock.now())

    def _has_requests(self) -> bool:
        return any(
            frontend.idle_connections.has_active for frontend in self._frontends
        )

    async def _close_ports(
        self, servers: Iterable[HTTPServer], deadline: Seconds
    ) -> None:
        for server in servers:
            server.stop()
        await asyncio.gather(
            *(
                frontend.idle_connections.drain(deadline)
                for frontend in self._frontends
            )
        )
