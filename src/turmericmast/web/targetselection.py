"""Selection of a target for a request, with probes of stale targets."""

import dataclasses
from collections.abc import Collection, Iterable, Sequence
from typing import final

from turmericmast.balance.candidate import Candidate, Requirements
from turmericmast.balance.openness import (
    Withholding,
    has_last_resort,
    withheld_by,
    withholdings,
)
from turmericmast.balance.pool import Pool
from turmericmast.balance.scoring import Distance
from turmericmast.balance.targetview import TargetView
from turmericmast.call.call import Call, Loss
from turmericmast.cluster.records import TargetReach
from turmericmast.web.edgecontext import EdgeContext

PROBE_TIMEOUT_BY_DISTANCE = (0.015, 0.025, 0.06)
"""Seconds to wait for probes in the own domain, the region and beyond.

Each is a few round trips at that distance."""
FIRST_PROBE_SHARE = 0.25
"""Fraction of the time left for which a request waits for a first target.

Right after a start no target is verified yet. The probes that are running tell
more than a refusal at once would."""
BETTER_PROBE_WAIT = 0.06
"""Seconds for which a request waits for a better target than a busy one.

Right after a start, the requests that waited would all go to the one target
whose probe was answered first."""


@final
class TargetSelector:
    """Selects the best target of a pool, nearest targets first.

    Targets with a stale load report are probed before they are compared.
    Targets at a larger distance are considered only if the nearer ones are not
    good enough.
    """

    def __init__(self, context: EdgeContext, pool: Pool) -> None:
        """Select among the targets of ``pool``."""
        self._context = context
        self._pool = pool
        self.last_best: Candidate | None = None
        """The best target at the last selection, also if it was too slow."""
        self.withheld_by: Collection[Withholding] = ()
        """Why some targets wanted no requests at the last selection."""
        self.is_cut_off = False
        """Whether the last selection found targets out of reach.

        Without an eligible target one lost path is enough, else it takes most
        of them."""

    async def select(self, requirements: Requirements) -> Candidate | None:
        """Return the best target, ``None`` if there is no good one.

        During a rollout, the targets of the other version are considered if
        those of the drawn one cannot serve, as far as they may.
        """
        best = await self._select(requirements)
        gate = self._pool.gate
        if best or gate is None:
            return best
        if requirements.takes_new:
            gate.withdraw_draw()
        elif not gate.may_replace_old(self._context.clock.now()):
            return None
        return await self._select(
            dataclasses.replace(
                requirements, takes_new=not requirements.takes_new
            )
        )

    def is_doubtful(self, candidate: Candidate | None, call: Call) -> bool:
        """Tell whether another instance would serve a call more likely.

        Where most paths are lost, and one more was lost by this call, those
        to the other targets are doubtful as well. So they are where this call
        has lost two. While the instance reports to be cut off, only targets
        that have just answered it are not. Another instance also comes before
        a target that is leaving.
        """
        lost = call.losses.count(Loss.never_sent)
        if candidate is None:
            return self.is_cut_off or lost > 0
        is_likely_lost = (
            bool(call.losses)
            or candidate.is_last_resort
            or (self._reports_cut_off() and not self._is_confirmed(candidate))
        )
        return lost > 1 or (self.is_cut_off and is_likely_lost)

    def start_probe(self, candidate: Candidate) -> None:
        """Probe a target without waiting for the response."""
        path = self._context.edge.health_path(self._pool.service)
        is_paused = candidate.view.pause.is_on(self._context.clock.now())
        if path and not is_paused:
            self._context.prober.start(candidate.view, path)

    async def _select(self, requirements: Requirements) -> Candidate | None:
        views = tuple(
            self._pool.permitted_targets(
                dataclasses.replace(requirements, avoid=())
            )
        )
        self._count_withheld(views)
        has_lost_most = 2 * self._lost_paths(views) > len(views)
        self.is_cut_off = has_lost_most or self._reports_cut_off()
        best = await (
            self._search_at_once(requirements)
            if self.is_cut_off
            else self._search(requirements)
        )
        if best is None:
            # Few targets of a service that is rarely used are tried at all.
            self.is_cut_off |= self._lost_paths(views) > 0
        now = self._context.clock.now()
        is_unserved = best is None and requirements.has_last_resort
        if is_unserved and has_last_resort(
            self._pool.permitted_targets(requirements), now
        ):
            best = await self._search(
                dataclasses.replace(requirements, allows_leaving=True)
            )
            now = self._context.clock.now()
        self.last_best = best
        is_admitted = best and self._pool.admits(requirements, best, now)
        return best if is_admitted else None

    def _reports_cut_off(self) -> bool:
        return self._context.edge.record.reach is TargetReach.forwarded

    def _is_confirmed(self, candidate: Candidate) -> bool:
        return candidate.view.path.is_confirmed(self._context.clock.now())

    def _lost_paths(self, views: Iterable[TargetView]) -> int:
        """Count targets to which new connections are expected to fail.

        Open connections to them may still be answered.
        """
        now = self._context.clock.now()
        return sum(view.path.is_doubtful(now) for view in views)

    def _count_withheld(self, views: Collection[TargetView]) -> None:
        self.withheld_by = withholdings(views, self._context.clock.now())
        for cause in self.withheld_by:
            self._context.metrics.count('requests_withheld', cause=cause.value)

    async def _search(self, requirements: Requirements) -> Candidate | None:
        """Return the best target; probe unless a good one is known."""
        now = self._context.clock.now()
        best = self._pool.best(requirements, Distance.remote, now)
        if best and self._pool.is_good_enough(requirements, best, now):
            return best
        best = None
        for distance in Distance:
            if best and self._can_stop_before(requirements, distance, best):
                break
            best = await self._search_within(requirements, distance)
        return await self._wait_for_probes(requirements, best)

    async def _search_at_once(
        self, requirements: Requirements
    ) -> Candidate | None:
        """Return the best known target without waiting for probes.

        The probes that it starts serve later requests.
        """
        now = self._context.clock.now()
        path = self._context.edge.health_path(self._pool.service)
        for distance in Distance:
            stale = self._pool.targets_to_probe(requirements, distance, now)
            for view in stale if path else ():
                self._context.prober.start(view, path)
        return self._pool.best(requirements, Distance.remote, now)

    async def _wait_for_probes(
        self, requirements: Requirements, best: Candidate | None
    ) -> Candidate | None:
        """Return the best target, once running probes have ended if need be.

        Waits while there is no verified target, or only busy ones.
        """
        clock = self._context.clock
        began_at = clock.now()
        has_probes = True
        while has_probes and not self._is_idle_enough(requirements, best):
            now = clock.now()
            time_left = _longest_wait(requirements, best, began_at) + (
                began_at - now
            )
            has_probes = time_left > 0 and (
                await self._context.prober.wait_for_any(
                    [
                        view
                        for view in self._pool.permitted_targets(requirements)
                        if withheld_by(view, now, as_last_resort=True) is None
                        if view.eligibility(now).needs_probe
                    ],
                    time_left,
                )
            )
            best = self._pool.best(requirements, Distance.remote, clock.now())
        return best

    def _is_idle_enough(
        self, requirements: Requirements, best: Candidate | None
    ) -> bool:
        """Tell whether waiting for a better target cannot pay off."""
        if best is None:
            return False
        now = self._context.clock.now()
        excess = self._pool.excess_latency(requirements, best, now)
        return excess <= BETTER_PROBE_WAIT

    def _can_stop_before(
        self, requirements: Requirements, distance: Distance, best: Candidate
    ) -> bool:
        """Tell whether targets at a distance need not be considered."""
        now = self._context.clock.now()
        return not self._pool.could_beat(requirements, distance, best, now)

    async def _search_within(
        self, requirements: Requirements, distance: Distance
    ) -> Candidate | None:
        """Return the best target up to a distance, after probing stale ones."""
        now = self._context.clock.now()
        best = self._pool.best(requirements, distance, now)
        if best and self._pool.is_good_enough(requirements, best, now):
            return best
        stale = self._pool.targets_to_probe(requirements, distance, now)
        if not stale:
            return best
        await self._probe(stale, distance)
        return self._pool.best(
            requirements, distance, self._context.clock.now()
        )

    async def _probe(
        self, stale: Sequence[TargetView], distance: Distance
    ) -> None:
        path = self._context.edge.health_path(self._pool.service)
        if path:
            self._context.metrics.count(
                'selection_probes', len(stale), distance=distance.name
            )
            await self._context.prober.probe(
                stale,
                path,
                PROBE_TIMEOUT_BY_DISTANCE[distance],
            )


def _longest_wait(
    requirements: Requirements, best: Candidate | None, began_at: float
) -> float:
    """Return the seconds for which a request waits from ``began_at`` on."""
    if best:
        return BETTER_PROBE_WAIT
    return FIRST_PROBE_SHARE * (requirements.deadline - began_at)
