"""Periodic checks of an edge."""

import contextlib
from collections.abc import Callable, Iterable

from tornado.ioloop import PeriodicCallback

from turmericmast.web.edgecontext import EdgeContext
from turmericmast.web.edgefrontend import EdgeFrontend
from turmericmast.web.reachwatch import ReachWatch

IDLE_SWEEP_INTERVAL_MS = 500
"""Milliseconds between two checks for idle connections."""
REACH_CHECK_INTERVAL_MS = 100
"""Milliseconds between two checks whether most targets are out of reach."""


def watch_edge(
    stack: contextlib.ExitStack,
    context: EdgeContext,
    frontends: Iterable[EdgeFrontend],
) -> None:
    """Check idle connections and the reach of targets periodically."""
    for frontend in frontends:
        _repeat(stack, frontend.close_idle, IDLE_SWEEP_INTERVAL_MS)
    reach_watch = ReachWatch(context)
    _repeat(stack, reach_watch.check, REACH_CHECK_INTERVAL_MS)


def _repeat(
    stack: contextlib.ExitStack,
    action: Callable[[], None],
    interval_ms: int,
) -> None:
    ticker = PeriodicCallback(action, interval_ms)
    ticker.start()
    stack.callback(ticker.stop)
