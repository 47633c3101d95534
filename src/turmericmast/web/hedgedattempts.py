"""Concurrent attempts of one request: the first one and its hedge."""

import asyncio
from collections.abc import Callable
from typing import final

from turmericmast.balance.profile import RouteProfile
from turmericmast.web.edgeattempt import EdgeAttempt


@final
class HedgedAttempts:
    """Awaits concurrent attempts until one succeeds or all have failed."""

    def __init__(self, profile: RouteProfile) -> None:
        """Create an empty set for a route with ``profile``."""
        self.failed: list[EdgeAttempt] = []
        """Attempts that failed while another one was still running."""
        self._profile = profile
        self._running: list[EdgeAttempt] = []

    def add(self, attempt: EdgeAttempt) -> None:
        """Add an attempt that has been started."""
        self._running.append(attempt)

    def cancel(self, winner: EdgeAttempt | None = None) -> None:
        """Cancel all running attempts except ``winner``."""
        for attempt in tuple(self._running):
            if attempt is not winner:
                attempt.cancel()

    async def wait(self, start_hedge: Callable[[], bool]) -> EdgeAttempt:
        """Return the first attempt that succeeds, else the last one to fail.

        ``start_hedge`` adds a second attempt if that helps. It is called
        repeatedly until it returns false or an attempt ends.
        """
        hedge = self._running[0].hedge
        service_time = self._profile.service_time
        may_hedge = await self._wait(hedge.first_check_delay(service_time))
        while may_hedge and start_hedge():
            may_hedge = await self._wait(hedge.check_interval(service_time))
        decisive: EdgeAttempt | None = None
        while decisive is None:
            await self._wait(None)
            decisive = self._find_decisive()
        return decisive

    def resume(self) -> None:
        """Resume transfers that paused because the caller read too slowly."""
        for attempt in self._running:
            attempt.resume()

    def _find_decisive(self) -> EdgeAttempt | None:
        """Return the attempt whose result counts, ``None`` if undecided."""
        ended = [attempt for attempt in self._running if attempt.task.done()]
        for attempt in ended:
            loss = attempt.task.result()
            if loss is None or len(self._running) == 1:
                return attempt
            self._running.remove(attempt)
            self.failed.append(attempt)
        return None

    def _is_any_done(self) -> bool:
        return any(attempt.task.done() for attempt in self._running)

    async def _wait(self, timeout: float | None) -> bool:
        """Wait until an attempt ends; return whether all are still running.

        ``timeout`` is in seconds.
        """
        await asyncio.wait(
            [attempt.task for attempt in self._running],
            timeout=timeout,
            return_when=asyncio.FIRST_COMPLETED,
        )
        return not self._is_any_done()
