"""Attempts of one request that run beside each other."""

import asyncio
from collections.abc import Callable
from typing import final

from turmericmast.balance.hedge import CHECK_INTERVAL
from turmericmast.balance.profile import RouteProfile
from turmericmast.web.edgeattempt import EdgeAttempt


@final
class HedgedAttempts:
    """Waits for the first good answer, and asks for a second target."""

    def __init__(self, profile: RouteProfile) -> None:
        """Start without attempts."""
        self.failed: list[EdgeAttempt] = []
        """Attempts that failed while another one still ran."""
        self._profile = profile
        self._running: list[EdgeAttempt] = []

    def add(self, attempt: EdgeAttempt) -> None:
        """Take an attempt that has begun."""
        self._running.append(attempt)

    def cancel(self, winner: EdgeAttempt | None = None) -> None:
        """Give up all attempts but one."""
        for attempt in tuple(self._running):
            if attempt is not winner:
                attempt.cancel()

    async def wait(self, start_hedge: Callable[[], bool]) -> EdgeAttempt:
        """Return the attempt that decides: a good one, or the last one.

        ``ask_for_second`` begins another attempt where that pays, and tells
        whether to ask it again.
        """
        may_hedge = await self._wait(self._first_check_delay())
        while may_hedge and start_hedge():
            may_hedge = await self._wait(CHECK_INTERVAL)
        decisive: EdgeAttempt | None = None
        while decisive is None:
            await self._wait(None)
            decisive = self._find_decisive()
        return decisive

    def resume(self) -> None:
        """Go on after the caller made the answer wait."""
        for attempt in self._running:
            attempt.resume()

    def _find_decisive(self) -> EdgeAttempt | None:
        """Return the attempt that decides, if there is one by now."""
        ended = [one for one in self._running if one.task.done()]
        for attempt in ended:
            loss = attempt.task.result()
            if loss is None or len(self._running) == 1:
                return attempt
            self._running.remove(attempt)
            self.failed.append(attempt)
        return None

    def _first_check_delay(self) -> float:
        return self._running[0].hedge.first_check_delay(
            self._profile.service_time
        )

    def _is_any_done(self) -> bool:
        return any(attempt.task.done() for attempt in self._running)

    async def _wait(self, timeout: float | None) -> bool:
        """Wait until an attempt ends; tell whether none has."""
        await asyncio.wait(
            [attempt.task for attempt in self._running],
            timeout=timeout,
            return_when=asyncio.FIRST_COMPLETED,
        )
        return not self._is_any_done()
