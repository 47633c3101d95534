"""Find out whether a target that lost a request has crashed."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeAlias, final

from turmericmast.balance.targetview import TargetView
from turmericmast.clock import Clock
from turmericmast.cluster.commands import ReportCrash
from turmericmast.edge.edge import Edge
from turmericmast.events import EventLog
from turmericmast.ids import Fingerprint, Millis
from turmericmast.web.edgeevents import EdgeEvent

if TYPE_CHECKING:
    from turmericmast.web.probing import Prober

MAX_REPORT_ATTEMPTS = 3
"""Times that the core is told of one crash, until it takes note."""

ReportToCore: TypeAlias = Callable[[ReportCrash], Awaitable[bool]]


@final
class CrashDetector:
    """Tells the core of requests whose targets crashed.

    A lost connection alone says little: answers get lost, too. The target
    has crashed if it does not answer a probe right after.
    """

    def __init__(
        self,
        edge: Edge,
        prober: 'Prober',
        clock: Clock,
        events: EventLog,
        report_to_core: ReportToCore,
    ) -> None:
        """Tell by ``tell``, which returns whether the core took note."""
        self._edge = edge
        self._prober = prober
        self._clock = clock
        self._events = events
        self._report_to_core = report_to_core

    def check(
        self,
        view: TargetView,
        request: Fingerprint,
    ) -> 'asyncio.Task[None]':
        """Begin to find out, after a target lost a request."""
        return asyncio.ensure_future(self._check(view, request))

    async def _check(self, view: TargetView, request: Fingerprint) -> None:
        path = self._edge.health_path(view.record.service)
        if not path or await self._prober.start(view, path):
            return
        crash = ReportCrash(request, Millis(self._clock.wall()))
        is_told = False
        for _ in range(MAX_REPORT_ATTEMPTS):
            is_told = is_told or await self._report_to_core(crash)
        self._events.write(
            EdgeEvent.target_crashed.value,
            target=view.record.target,
            fingerprint=request,
            is_told=is_told,
        )
