"""Reports and logs when an instance loses most of its targets."""

from typing import final

from turmericmast.clock import LONG_AGO
from turmericmast.edge.reach import is_cut_off
from turmericmast.web.edgecontext import EdgeContext
from turmericmast.web.edgeevents import EdgeEvent

CHECK_INTERVAL = 0.09
"""Least seconds between two checks, each of which visits all targets."""


@final
class ReachWatch:
    """Follows whether the targets are in reach of this instance."""

    def __init__(self, context: EdgeContext) -> None:
        """Watch the edge of ``context``."""
        self._context = context
        self._checked_at = LONG_AGO
        edge = context.edge
        context.metrics.gauge(
            'cut_off',
            lambda: int(
                is_cut_off(edge.views(), context.clock.now(), edge.evacuated)
            ),
        )

    def check(self) -> None:
        """Report a change to the core with the next poll, and log it."""
        edge = self._context.edge
        now = self._context.clock.now()
        if now - self._checked_at < CHECK_INTERVAL:
            return
        self._checked_at = now
        if edge.update_reach(now):
            self._context.events.write(
                EdgeEvent.reach_changed.value,
                reach=edge.record.reach.value,
                lost=sum(view.path.is_lost for view in edge.views()),
                targets=len(tuple(edge.views())),
            )
