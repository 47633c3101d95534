"""Stops an entry without cutting off calls."""

import asyncio
from typing import final

from tornado.httpserver import HTTPServer

from turmericmast.web.entrycontext import EntryContext
from turmericmast.web.frontend import Frontend

DRAIN_TIMEOUT = 600.0
"""Seconds to wait at most for calls to end; the longest deadline of a call."""
STOP_POLL_INTERVAL = 0.05
"""Seconds between two checks whether all calls have ended."""


@final
class CallDrain:
    """Ends what callers have asked of an entry, and takes nothing more."""

    def __init__(self, context: EntryContext, frontend: Frontend) -> None:
        """Drain the calls that ``frontend`` accepted."""
        self._context = context
        self._frontend = frontend

    async def run(self, server: HTTPServer) -> None:
        """Refuse calls from now on; return once earlier ones are answered.

        A keyed call runs on after its caller has disconnected.
        """
        server.stop()
        self._context.entry.is_stopping = True
        self._frontend.idle_connections.close_unused()
        clock = self._context.clock
        deadline = clock.now() + DRAIN_TIMEOUT
        while self._has_calls and clock.now() < deadline:
            await asyncio.sleep(STOP_POLL_INTERVAL)

    @property
    def _has_calls(self) -> bool:
        has_active = self._frontend.idle_connections.has_active
        return has_active or self._context.running > 0
