"""Slow start: which instances send to a cold target, and how fast."""

from collections.abc import Iterable
from typing import final

from turmericmast.balance.affinity import affinity
from turmericmast.cluster.records import EdgeRecord, TargetRecord
from turmericmast.ids import InstanceId, RegionId, Seconds

MAX_COLD_SENDERS = 3
"""Number of instances that send to one cold target.

While instances disagree about the membership, up to twice as many may send;
their requests still fit into the burst that a cold target tolerates."""
RATE_SHARE = 0.75
"""Fraction of a cold target's permitted request rate that is used."""


def cold_senders(
    record: TargetRecord,
    region: RegionId,
    edges: Iterable[EdgeRecord],
) -> tuple[InstanceId, ...]:
    """Return the instances that may send to a target while it is cold.

    The nearest come first. Instances with the same view of the membership
    compute the same result.
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
    """Spaces one instance's requests to a cold target evenly."""

    def __init__(self) -> None:
        """Permit the first request at once."""
        self._free_at = float(0)

    def allows(self, now: Seconds) -> bool:
        """Tell whether a request may be sent now."""
        return now >= self._free_at

    def record_send(self, rate: float, now: Seconds) -> None:
        """Delay the next request after one was sent.

        ``rate`` is the number of requests a second that the cold target
        accepts from all instances together.
        """
        own_rate = max(rate, 1) * RATE_SHARE / MAX_COLD_SENDERS
        self._free_at = now + 1 / own_rate
