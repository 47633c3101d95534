"""Decides about an upload before its body is read."""

import asyncio
from typing import final

from turmericmast.call.call import Call
from turmericmast.numerals import parse_whole
from turmericmast.route.document import RouteKind
from turmericmast.web import edgerefusals
from turmericmast.web.edgecontext import EdgeContext
from turmericmast.web.edgerequest import EdgeRequest
from turmericmast.web.problem import Problem
from turmericmast.web.targetselection import TargetSelector

SLOT_INTERVAL = 0.05
"""Seconds between two looks for a free slot."""
SLOT_WAIT_SHARE = 0.25
"""Fraction of the time left for which an upload waits for a free slot."""


@final
class UploadAdmission:
    """Admits an upload if its link and a target have room for it in time.

    Nothing of its body has been read until then, so that a refusal costs
    neither the caller nor the link its octets.
    """

    def __init__(self, context: EdgeContext, incoming: EdgeRequest) -> None:
        """Decide about ``incoming``."""
        self._context = context
        self._incoming = incoming
        self._selector = TargetSelector(context, incoming.pool)
        length = incoming.headers.get('Content-Length', '0')
        self._octets = parse_whole(length) or 0

    @property
    def is_needed(self) -> bool:
        """Tell whether the request has a body on a route for uploads."""
        is_upload = self._incoming.route.kind is RouteKind.upload
        has_chunks = 'Transfer-Encoding' in self._incoming.headers
        return is_upload and (self._octets > 0 or has_chunks)

    async def find_problem(self) -> Problem | None:
        """Wait for a free slot; return why the upload is refused, if it is."""
        problem = await self._find_room()
        self._context.metrics.count(
            'uploads', outcome='refused' if problem else 'admitted'
        )
        return problem

    async def _find_room(self) -> Problem | None:
        plan = self._context.uploads
        now = self._context.clock.now()
        call = self._incoming.call
        if not plan.fits(self._octets, call.deadline, now):
            return edgerefusals.link_busy(plan.retry_delay(now))
        # It counts while it waits: others are admitted meanwhile.
        plan.begin(call.call, self._octets, call.deadline)
        problem = await self._find_slot()
        if problem:
            plan.end(call.call)
        return problem

    async def _find_slot(self) -> Problem | None:
        """Wait until the best target has a free slot; without one, refuse."""
        clock = self._context.clock
        deadline = self._incoming.call.deadline
        waits_until = clock.now() + SLOT_WAIT_SHARE * (deadline - clock.now())
        requirements = self._incoming.requirements(())
        best = await self._selector.select(requirements)
        while best and not best.view.has_free_slot():
            if clock.now() >= waits_until:
                return self._refuse()
            await asyncio.sleep(SLOT_INTERVAL)
            best = await self._selector.select(requirements)
        # Another instance may reach a target.
        may_forward = self._selector.is_doubtful(
            best, Call(self._incoming.call)
        )
        return None if best or may_forward else self._refuse()

    def _refuse(self) -> Problem:
        retry_delay = self._incoming.pool.retry_delay(
            self._incoming.requirements(()),
            self._context.clock.now(),
            self._selector.last_best,
        )
        return edgerefusals.no_target(
            self._incoming.pool.service,
            retry_delay,
            self._selector.withheld_by,
        )
