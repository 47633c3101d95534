"""The part of a cold target's requests that one instance may send."""

from collections.abc import Iterable
from typing import final

from turmericmast.balance.affinity import affinity
from turmericmast.cluster.records import EdgeRecord, TargetRecord
from turmericmast.ids import InstanceId, RegionId, Seconds

MAX_COLD_SENDERS = 3
"""Instances that send to one cold target.

Even if instances disagree for a moment about who they are, twice as many
stay within the slack that cold targets bear."""
RATE_SHARE = 0.75
"""Share of the bearable rate that is used."""


def cold_senders(
    record: TargetRecord,
    region: RegionId,
    edges: Iterable[EdgeRecord],
) -> tuple[InstanceId, ...]:
    """Return the instances that may send to a target while it is cold.

    Near ones first; all instances that know the same edges agree.
    """
    ranked = sorted(
        edges,
        key=lambda edge: (
            edge.domain != record.domain,
            edge.region != region,
            affinity(record.target, edge.instance),
        ),
    )
    return tuple(edge.instance for edge in ranked[:MAX_COLD_SENDERS])


@final
class ColdRateLimiter:
    """A bucket that lets one request pass at a time, at a steady rate."""

    def __init__(self) -> None:
        """Start full."""
        self._free_at = float(0)

    def allows(self, now: Seconds) -> bool:
        """Tell whether a request may be sent now."""
        return now >= self._free_at

    def record_send(self, rate: float, now: Seconds) -> None:
        """Count a request; ``rate`` is what the target bears from all."""
        own_rate = max(rate, 1) * RATE_SHARE / MAX_COLD_SENDERS
        self._free_at = now + 1 / own_rate
