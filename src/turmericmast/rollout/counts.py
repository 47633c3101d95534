"""Counts responses of the old and of the new version at one instance."""

import functools
from collections.abc import Callable
from typing import Final, final

from turmericmast.call.call import Loss
from turmericmast.ids import Index, RouteName, Seconds, ServiceId
from turmericmast.rollout.latencies import BUCKETS, bucket_of
from turmericmast.rollout.records import VersionCounts

NO_RESPONSE: Final = frozenset(
    (Loss.never_sent, Loss.shed, Loss.connection_lost)
)
"""Losses that say nothing of a version.

Machines and links are lost whatever runs there, and a full target sheds."""
FAILURES: Final = frozenset((Loss.failed, Loss.cut_short))
"""Losses that count as failures; one that timed out is slow."""


@final
class VersionCounter:
    """The counts of one rollout, by route and version."""

    def __init__(self) -> None:
        """Begin at zero."""
        self._tally_by_side: dict[tuple[RouteName, bool], _Tally] = {}

    def counter(
        self, route: RouteName, *, is_new: bool
    ) -> Callable[[Loss | None, Seconds | None], None]:
        """Return what counts the end of an attempt."""
        return functools.partial(self._count, (route, is_new))

    def counts(
        self, service: ServiceId, order: Index
    ) -> tuple[VersionCounts, ...]:
        """Return the counts as they are sent to the core."""
        return tuple(
            VersionCounts(
                service,
                order,
                route,
                is_new,
                tally.responses,
                tally.failures,
                tuple(tally.latencies),
            )
            for (route, is_new), tally in self._tally_by_side.items()
        )

    def _count(
        self,
        side: tuple[RouteName, bool],
        loss: Loss | None,
        latency: Seconds | None,
    ) -> None:
        """Count a response; ``latency`` is ``None`` if it says nothing."""
        if loss in NO_RESPONSE:
            return
        tally = self._tally_by_side.setdefault(side, _Tally())
        tally.responses += 1
        tally.failures += loss in FAILURES
        if latency is not None:
            tally.latencies[bucket_of(latency)] += 1


@final
class _Tally:
    """What was counted of one route and version."""

    def __init__(self) -> None:
        self.responses = 0
        self.failures = 0
        self.latencies = [0 for _ in range(BUCKETS)]
