"""Which versions of a service a request may go to at one instance."""

import dataclasses
from collections.abc import Callable
from typing import Final, final

from turmericmast.call.call import Loss
from turmericmast.edge.freshness import Freshness
from turmericmast.ids import Index, RouteName, Seconds, TargetVersion
from turmericmast.rollout.counts import VersionCounter
from turmericmast.rollout.records import (
    FULL_SHARE,
    ServiceRollout,
    VersionCounts,
)
from turmericmast.rollout.shares import EVIDENT_SHARE

FRESH_WITHIN: Final = Seconds(2)
"""Seconds without a proof of the core's state that stop the new version.

With the time until a decision is committed they are within the 5 s in which a
version that is rolled back may still get requests."""


@final
class VersionGate:
    """Keeps the requests of one instance to the current version's targets.

    During a rollout it gives a share of them to the new version. The shares
    of many instances hold together if each of them sends a few requests only,
    since their positions start apart, as those of ``TrafficSplitter`` do.
    """

    def __init__(
        self, freshness: Freshness, start_of: Callable[[Index], float]
    ) -> None:
        """Begin without a version, so that all targets are permitted.

        ``start_of`` returns the start of a rollout's position, at least 0 and
        below 1, evenly distributed over instances.
        """
        self._freshness = freshness
        self._start_of = start_of
        self._rollout: ServiceRollout | None = None
        self._position = float(0)
        self._counter = VersionCounter()

    @property
    def rollout(self) -> ServiceRollout | None:
        """Return what is known of the service, ``None`` before that."""
        return self._rollout

    def update(self, rollout: ServiceRollout) -> bool:
        """Use a newer record; tell whether more than its time differs."""
        known = self._rollout
        if known is None or known.order != rollout.order:
            self._position = self._start_of(rollout.order)
            self._counter = VersionCounter()
        self._rollout = rollout
        return known is None or rollout != dataclasses.replace(
            known, elapsed_ms=rollout.elapsed_ms
        )

    def draw_new(self, now: Seconds) -> bool:
        """Tell whether the next request goes to the new version.

        A request that none of its targets can take is sent to the old one;
        ``withdraw_draw`` lets the next request take its place.
        """
        rollout = self._rollout
        if rollout is None or not self._may_use_new(now):
            return False
        # Draws that were withdrawn do not add up.
        position = min(self._position, 1) + rollout.share / FULL_SHARE
        is_drawn = position >= 1
        self._position = position - is_drawn
        return is_drawn

    def withdraw_draw(self) -> None:
        """Undo a draw whose request went to the old version."""
        self._position = min(self._position + 1, 1)

    def permits(self, version: TargetVersion, *, takes_new: bool) -> bool:
        """Tell whether a target of a version may be chosen.

        ``takes_new`` tells whether the new version was drawn.
        """
        rollout = self._rollout
        if rollout is None:
            return True
        if takes_new and rollout.is_running:
            return version == rollout.target_version
        # Targets of older builds' records have no version.
        is_unknown = not version and not rollout.order
        return version == rollout.current or is_unknown

    def may_send(self, version: TargetVersion, now: Seconds) -> bool:
        """Tell whether a request to a chosen target may still be sent."""
        rollout = self._rollout
        if rollout is None or self.permits(version, takes_new=False):
            return True
        return version == rollout.target_version and self._may_use_new(now)

    def retries_new(self) -> bool:
        """Tell whether a retry may go to the new version.

        Before all requests do, it goes to the old one, so that a request does
        not fail at two targets of a bad version.
        """
        return self._rollout is not None and (self._rollout.share >= FULL_SHARE)

    def may_replace_old(self, now: Seconds) -> bool:
        """Tell whether the new version may serve if the old one cannot.

        It may once its evidence is good, so that the share has risen.
        """
        rollout = self._rollout
        is_risen = rollout and rollout.share >= EVIDENT_SHARE
        return bool(is_risen) and self._may_use_new(now)

    def counter(
        self, route: RouteName, version: TargetVersion
    ) -> Callable[[Loss | None, Seconds | None], None] | None:
        """Return what counts the end of an attempt, if anything does."""
        rollout = self._rollout
        if rollout is None or not rollout.is_running:
            return None
        return self._counter.counter(
            route, is_new=version == rollout.target_version
        )

    def counts(self) -> tuple[VersionCounts, ...]:
        """Return the counts of a running rollout, none otherwise."""
        rollout = self._rollout
        if rollout is None or not rollout.is_running:
            return ()
        return self._counter.counts(rollout.service, rollout.order)

    def _may_use_new(self, now: Seconds) -> bool:
        rollout = self._rollout
        is_shared = rollout and rollout.is_running and rollout.share > 0
        return bool(is_shared) and self._freshness.is_fresh(now, FRESH_WITHIN)
