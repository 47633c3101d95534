"""What instances have counted of a rollout, summed over all of them."""

import dataclasses
from collections.abc import Collection, Mapping
from typing import Final, TypeAlias, final

from turmericmast.ids import Incarnation, Index, InstanceId, RouteName
from turmericmast.rollout.latencies import BUCKETS
from turmericmast.rollout.records import EdgeEvidence, VersionCounts

LEAST_SAMPLE: Final = 20
"""Responses of the old version from which it is a standard."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """Responses of one version."""

    responses: int = 0
    failures: int = 0
    latencies: tuple[int, ...] = (0,) * BUCKETS
    """Responses of warm targets by class of latency."""

    def plus(self, counts: 'VersionCounts | Tally') -> 'Tally':
        """Return the sum with the counts of one instance or route."""
        padded = (*counts.latencies, *(0,) * BUCKETS)
        return Tally(
            self.responses + counts.responses,
            self.failures + counts.failures,
            tuple(map(sum, zip(self.latencies, padded, strict=False))),
        )

    def since(self, earlier: 'Tally') -> 'Tally':
        """Return what was counted after an earlier tally.

        Never negative: what an instance counted may be lost with it.
        """
        return Tally(
            max(self.responses - earlier.responses, 0),
            max(self.failures - earlier.failures, 0),
            tuple(
                max(later - before, 0)
                for later, before in zip(
                    self.latencies, earlier.latencies, strict=True
                )
            ),
        )


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """Responses of the old and of the new version on one route."""

    old: Tally = Tally()
    new: Tally = Tally()

    def since(self, earlier: 'Comparison') -> 'Comparison':
        """Return what was counted after an earlier comparison."""
        return Comparison(
            self.old.since(earlier.old), self.new.since(earlier.new)
        )

    def plus(self, counts: VersionCounts) -> 'Comparison':
        """Return the sum with the counts of one instance."""
        if counts.is_new:
            return Comparison(self.old, self.new.plus(counts))
        return Comparison(self.old.plus(counts), self.new)


def sum_routes(evidence: 'Evidence') -> Comparison:
    """Return the comparison over all routes.

    Requests are drawn whatever their route, so both versions get the same
    mixture.
    """
    total = Comparison()
    for compared in evidence.values():
        total = Comparison(
            total.old.plus(compared.old), total.new.plus(compared.new)
        )
    return total


_Source: TypeAlias = tuple[InstanceId, Incarnation, Index, RouteName, bool]
"""A start of an instance, a rollout, a route, and whether it is new."""
Evidence: TypeAlias = Mapping[RouteName, Comparison]
"""The comparison of each route that had responses."""


def new_responses(evidence: Evidence) -> int:
    """Return the responses of the new version on all routes."""
    return sum(compared.new.responses for compared in evidence.values())


def evidence_since(evidence: Evidence, earlier: Evidence) -> Evidence:
    """Return what was counted of the new version after earlier evidence.

    It is compared with the old version in the same time; with all of the old
    one where that had few responses, as at the end of a rollout.
    """
    return {
        route: _since(compared, earlier.get(route, Comparison()))
        for route, compared in evidence.items()
    }


def _since(compared: Comparison, earlier: Comparison) -> Comparison:
    recent = compared.since(earlier)
    if recent.old.responses >= LEAST_SAMPLE:
        return recent
    return Comparison(compared.old, recent.new)


@final
class EvidenceTable:
    """Keeps the newest counts of each start of an instance.

    Counts only grow, so of two messages about one route and version, the one
    with more responses is newer.
    """

    def __init__(self) -> None:
        """Begin without evidence."""
        self._counts_by_source: dict[_Source, VersionCounts] = {}

    def record(self, evidence: EdgeEvidence) -> None:
        """Add what one start of an instance has counted."""
        for counts in evidence.counts:
            source = (
                evidence.instance,
                evidence.incarnation,
                counts.order,
                counts.route,
                counts.is_new,
            )
            known = self._counts_by_source.get(source)
            if known is None or counts.responses > known.responses:
                self._counts_by_source[source] = counts

    def total(self, order: Index) -> Evidence:
        """Return the sum for a rollout over all instances."""
        total: dict[RouteName, Comparison] = {}
        for counts in self._counts_by_source.values():
            if counts.order == order:
                known = total.get(counts.route, Comparison())
                total[counts.route] = known.plus(counts)
        return total

    def forget_except(self, orders: Collection[Index]) -> None:
        """Drop the evidence of rollouts that have ended."""
        self._counts_by_source = {
            source: counts
            for source, counts in self._counts_by_source.items()
            if counts.order in orders
        }
