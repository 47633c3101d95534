"""Requests that wait for the first routes after the start of an edge."""

import asyncio
import contextlib
from typing import final

MAX_WAIT = 0.6
"""Longest time in seconds that a request waits for the first routes.

After a loss of power everywhere, the routes arrive about 0.5 s after the
start."""
WAIT_SHARE = 0.25
"""Fraction of a caller's timeout for which its request waits.

The rest suffices to send the request elsewhere."""
DEFAULT_CALLER_TIMEOUT = 1.0
"""Seconds that a caller is assumed to wait if it does not tell."""


def routes_wait(caller_timeout: float | None) -> float:
    """Return the seconds that a request waits for the first routes.

    ``caller_timeout`` is when the caller gives up, in seconds, ``None`` if it
    does not tell.
    """
    if caller_timeout is None:
        caller_timeout = DEFAULT_CALLER_TIMEOUT
    return min(WAIT_SHARE * caller_timeout, MAX_WAIT)


@final
class FirstRoutes:
    """Tells waiting requests that the edge has received its first routes.

    A short wait is better for callers than a refusal: if a core member runs
    at all, the routes arrive after a few round trips. A request that waits has
    been read, so its caller does not take the instance for dead.
    """

    def __init__(self) -> None:
        """Begin without routes."""
        self._received = asyncio.Event()

    def announce(self) -> None:
        """Wake the waiting requests; later ones do not wait."""
        self._received.set()

    async def wait(self, timeout: float) -> None:
        """Wait for the routes, ``timeout`` seconds at most."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._received.wait(), timeout)
