"""Detection of targets that crashed while they ran a request."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeAlias, final

from turmericmast.balance.targetview import TargetView
from turmericmast.clock import Clock
from turmericmast.cluster.crashes import ReportCrash
from turmericmast.edge.edge import Edge
from turmericmast.edge.reach import is_cut_off
from turmericmast.events import EventLog
from turmericmast.ids import Fingerprint, Millis
from turmericmast.web.edgeevents import EdgeEvent

if TYPE_CHECKING:
    from turmericmast.web.probing import Prober

MAX_REPORT_ATTEMPTS = 3
"""Attempts to report one crash, until the core accepts the report."""

ReportToCore: TypeAlias = Callable[[ReportCrash], Awaitable[bool]]
"""Sends a report to the core and returns whether the core accepted it."""


@final
class CrashDetector:
    """Reports to the core which requests crashed their targets.

    A lost connection alone is no evidence, since the response may have been
    lost on the network. A target counts as crashed if it does not respond to
    a probe right after.
    """

    def __init__(
        self,
        edge: Edge,
        prober: 'Prober',
        clock: Clock,
        events: EventLog,
        report_to_core: ReportToCore,
    ) -> None:
        """Probe by ``prober`` and report crashes by ``report_to_core``."""
        self._edge = edge
        self._prober = prober
        self._clock = clock
        self._events = events
        self._report_to_core = report_to_core

    def check(
        self,
        view: TargetView,
        fingerprint: Fingerprint,
    ) -> 'asyncio.Task[None]':
        """Probe a target whose connection was lost while it ran a request.

        Return the task, which reports a crash unless the target responds.
        ``fingerprint`` is that of the request.
        """
        return asyncio.ensure_future(self._check(view, fingerprint))

    async def _check(self, view: TargetView, fingerprint: Fingerprint) -> None:
        path = self._edge.health_path(view.record.service)
        if not path or await self._prober.start(view, path):
            return
        if is_cut_off(self._edge.views(), self._edge.evacuated):
            # The silence says nothing about the target.
            return
        crash = ReportCrash(fingerprint, Millis(self._clock.wall()))
        is_reported = False
        for _ in range(MAX_REPORT_ATTEMPTS):
            is_reported = is_reported or await self._report_to_core(crash)
        self._events.write(
            EdgeEvent.target_crashed.value,
            target=view.record.target,
            fingerprint=fingerprint,
            is_told=is_reported,
        )
