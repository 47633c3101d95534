"""Choose a target for a request, with knowledge that is fresh enough."""

from collections.abc import Sequence
from typing import final

from turmericmast.balance.pool import GOOD_SCORE, Candidate, Pool, Requirements
from turmericmast.balance.scoring import Distance, expected_latency
from turmericmast.balance.targetview import TargetView
from turmericmast.web.edgedesk import EdgeDesk

PATIENCE_BY_DISTANCE = (0.015, 0.025, 0.06)
"""Seconds to wait for probes: some round trips at each distance."""


@final
class Chooser:
    """Looks at near targets first, and probes where knowledge is old."""

    def __init__(self, desk: EdgeDesk, pool: Pool) -> None:
        """Choose among the targets of ``pool``."""
        self._desk = desk
        self._pool = pool
        self.last: Candidate | None = None
        """The target that looked best last, whether it was good or not."""

    async def choose(self, requirements: Requirements) -> Candidate | None:
        """Return the best target, none when no target can serve in time."""
        best = await self._find(requirements)
        self.last = best
        return best if best and self._is_in_time(requirements, best) else None

    def probe(self, chosen: Candidate) -> None:
        """Ask a target how it does, without waiting for the answer."""
        path = self._desk.edge.health_path(self._pool.service)
        if path:
            self._desk.prober.start(chosen.view, path)

    async def _find(self, requirements: Requirements) -> Candidate | None:
        now = self._desk.clock.now()
        best = self._pool.best(requirements, Distance.remote, now)
        if best and self._pool.is_good_enough(best, now):
            return best
        best = None
        for ring in Distance:
            if best and self._is_enough(requirements, ring, best):
                break
            best = await self._look(requirements, ring)
        return best

    def _is_enough(
        self, requirements: Requirements, ring: Distance, best: Candidate
    ) -> bool:
        """Tell whether targets at a distance need not be looked at."""
        now = self._desk.clock.now()
        is_good = best.score >= GOOD_SCORE
        return is_good or not self._pool.could_beat(
            requirements, ring, best, now
        )

    async def _look(
        self, requirements: Requirements, ring: Distance
    ) -> Candidate | None:
        """Return the best target up to a distance."""
        now = self._desk.clock.now()
        best = self._pool.best(requirements, ring, now)
        if best and self._pool.is_good_enough(best, now):
            return best
        stale = self._pool.targets_to_probe(requirements, ring, now)
        if not stale:
            return best
        await self._probe(stale, ring)
        return self._pool.best(requirements, ring, self._desk.clock.now())

    async def _probe(self, stale: Sequence[TargetView], ring: Distance) -> None:
        path = self._desk.edge.health_path(self._pool.service)
        if path:
            await self._desk.prober.probe(
                stale,
                path,
                PATIENCE_BY_DISTANCE[ring],
            )

    def _is_in_time(
        self, requirements: Requirements, chosen: Candidate
    ) -> bool:
        estimate = self._pool.estimate(requirements, self._desk.clock.now())
        took = expected_latency(
            chosen.view, chosen.distance, estimate.service_time
        )
        return took < estimate.time_left
