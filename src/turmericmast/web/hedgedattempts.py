"""Concurrent attempts of one request: the first one and its hedge."""

import asyncio
from collections.abc import Callable
from typing import final

from turmericmast.balance.profile import RouteProfile
from turmericmast.web.edgeattempt import EdgeAttempt


@final
class HedgedAttempts:
    """Awaits concurrent attempts until one succeeds or all have failed.

    While the caller gets the response of one attempt, that attempt alone
    decides: another one may take its place only if it fails before any part
    of its response was sent.
    """

    def __init__(self, profile: RouteProfile) -> None:
        """Create an empty set for a route with ``profile``."""
        self.failed: list[EdgeAttempt] = []
        """Attempts that failed while another one was still running."""
        self._profile = profile
        self._running: list[EdgeAttempt] = []
        self._spare: EdgeAttempt | None = None
        """One whose whole response waits for the attempt that is forwarded."""

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
        return next(filter(None, map(self._decide, ended)), None)

    def _decide(self, ended: EdgeAttempt) -> EdgeAttempt | None:
        """Return the attempt whose result counts after one has ended."""
        response = ended.response
        is_success = ended.task.result() is None
        if response.is_streamed or (is_success and response.is_forwarded):
            return ended
        if is_success and not self._is_any_forwarded():
            return ended
        if len(self._running) == 1 and not self._spare:
            return ended
        self._running.remove(ended)
        if is_success:
            self._spare = ended if response.is_deliverable else self._spare
            return None
        response.release()
        if not response.is_superseded:
            self.failed.append(ended)
        return None if self._running else self._spare

    def _is_any_forwarded(self) -> bool:
        return any(attempt.response.is_forwarded for attempt in self._running)

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
