"""Detection of targets that crashed while they ran a request."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeAlias, final

from turmericmast.balance.targetview import TargetView
from turmericmast.clock import Clock
from turmericmast.cluster.crashes import ReportCrash
from turmericmast.edge.crashdoubts import COMMON_LOSS_TIME, LostRequest
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
    a probe right after and others do. If they do not, it counts as crashed once
    it starts again.
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
        edge.crash_doubts.on_crash = self._on_crash

    def check(
        self,
        view: TargetView,
        *fingerprints: Fingerprint,
    ) -> 'asyncio.Task[None]':
        """Probe a target whose connection was lost while it ran a request.

        Return the task, which reports a crash unless the target responds.
        ``fingerprints`` are those of the request, each counted by itself.
        """
        lost = LostRequest(
            view.record,
            fingerprints,
            self._clock.now(),
            Millis(self._clock.wall()),
        )
        self._edge.crash_doubts.note_loss(lost)
        return asyncio.ensure_future(self._check(view, lost))

    async def _check(self, view: TargetView, lost: LostRequest) -> None:
        if await self._is_answering(view):
            return
        if await self._are_links_doubtful(view):
            await self._keep_in_doubt(lost)
        else:
            await self._report(lost)

    async def _are_links_doubtful(self, view: TargetView) -> bool:
        """Tell whether the silence of a target may be that of the links."""
        edge = self._edge
        if is_cut_off(edge.views(), self._clock.now(), edge.evacuated):
            return True
        witness = self._find_witness(view)
        return witness is not None and not await self._is_answering(witness)

    async def _keep_in_doubt(self, lost: LostRequest) -> None:
        await asyncio.sleep(COMMON_LOSS_TIME)
        doubts = self._edge.crash_doubts
        doubts.add(lost)
        # The target may have started again meanwhile.
        records = [view.record for view in self._edge.views()]
        doubts.settle(records, self._clock.now())

    def _on_crash(self, lost: LostRequest) -> None:
        asyncio.ensure_future(self._report(lost))

    async def _report(self, lost: LostRequest) -> None:
        for fingerprint in lost.fingerprints:
            await self._report_one(lost, fingerprint)

    async def _report_one(
        self, lost: LostRequest, fingerprint: Fingerprint
    ) -> None:
        crash = ReportCrash(fingerprint, lost.at_ms)
        is_reported = False
        for _ in range(MAX_REPORT_ATTEMPTS):
            is_reported = is_reported or await self._report_to_core(crash)
        self._events.write(
            EdgeEvent.target_crashed.value,
            target=lost.record.target,
            fingerprint=fingerprint,
            is_told=is_reported,
        )

    async def _is_answering(self, view: TargetView) -> bool:
        """Probe a target; true also where its service has no health check."""
        path = self._edge.health_path(view.record.service)
        return not path or await self._prober.start(view, path)

    def _find_witness(self, view: TargetView) -> TargetView | None:
        """Return the target whose answer tells most about the same links."""
        others = (
            other
            for other in self._edge.views()
            if other.record.target != view.record.target
            and not other.path.is_lost
            and other.ejected_until() < math.inf
            and self._edge.may_send(other, self._clock.now())
        )
        return min(
            others,
            key=lambda other: (
                other.record.domain != view.record.domain,
                other.record.service == view.record.service,
            ),
            default=None,
        )
