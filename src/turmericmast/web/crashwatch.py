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

TRIES = 3
"""Times that the core is told of one crash, until it takes note."""

Tell: TypeAlias = Callable[[ReportCrash], Awaitable[bool]]


@final
class CrashWatch:
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
        tell: Tell,
    ) -> None:
        """Tell by ``tell``, which returns whether the core took note."""
        self._edge = edge
        self._prober = prober
        self._clock = clock
        self._events = events
        self._tell = tell

    def look(
        self,
        view: TargetView,
        request: Fingerprint,
    ) -> 'asyncio.Task[None]':
        """Begin to find out, after a target lost a request."""
        return asyncio.ensure_future(self._look(view, request))

    async def _look(self, view: TargetView, request: Fingerprint) -> None:
        path = self._edge.health_path(view.record.service)
        if not path or await self._prober.start(view, path):
            return
        crash = ReportCrash(request, Millis(self._clock.wall()))
        is_told = False
        for _ in range(TRIES):
            is_told = is_told or await self._tell(crash)
        self._events.write(
            EdgeEvent.crashed.value,
            target=view.record.target,
            fingerprint=request,
            is_told=is_told,
        )
