"""Periodic checks of an edge."""

import contextlib
from collections.abc import Iterable

from tornado.ioloop import PeriodicCallback

from turmericmast.web.edgecontext import EdgeContext
from turmericmast.web.edgefrontend import EdgeFrontend
from turmericmast.web.keytrustwatch import KeyTrustWatch
from turmericmast.web.reachwatch import ReachWatch

IDLE_SWEEP_INTERVAL_MS = 500
"""Milliseconds between two checks for idle connections."""


def watch_edge(
    stack: contextlib.ExitStack,
    context: EdgeContext,
    frontends: Iterable[EdgeFrontend],
) -> None:
    """Check idle connections, reach and accounts until ``stack`` closes.

    The reach is checked whenever the load sharing wakes up anyway.
    """
    context.load_sharing.on_check = ReachWatch(context).check

    key_trust = KeyTrustWatch(context)

    def close_idle() -> None:
        key_trust.check()
        for frontend in frontends:
            frontend.close_idle()

    ticker = PeriodicCallback(close_idle, IDLE_SWEEP_INTERVAL_MS)
    ticker.start()
    stack.callback(ticker.stop)
