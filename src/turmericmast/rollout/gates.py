"""The version gates of all services at one instance."""

from collections.abc import Callable, Iterable
from typing import final

from turmericmast.cluster.records import TargetRecord
from turmericmast.edge.freshness import Freshness
from turmericmast.ids import Index, Seconds, ServiceId
from turmericmast.rollout.gate import VersionGate
from turmericmast.rollout.records import ServiceRollout, VersionCounts


@final
class VersionGates:
    """Keeps the gate of each service up to date from feeds.

    A record is only ever replaced by another one: a feed that has none may
    come from a member of an older build.
    """

    def __init__(
        self,
        freshness: Freshness,
        rank_of: Callable[[ServiceId, Index], float],
    ) -> None:
        """Begin without records.

        ``rank_of`` returns a number from 0 to 1 that is different at each
        instance and for each rollout.
        """
        self.on_change: Callable[[ServiceRollout], None] = _ignore
        """Called with each record that differs in more than its time."""
        self.freshness = freshness
        self._rank_of = rank_of
        self._gate_by_service: dict[ServiceId, VersionGate] = {}

    def gate(self, service: ServiceId) -> VersionGate:
        """Return the gate of a service."""
        known = self._gate_by_service.get(service)
        if known is None:
            known = VersionGate(
                self.freshness, lambda order: self._rank_of(service, order)
            )
            self._gate_by_service[service] = known
        return known

    def apply(self, rollouts: Iterable[ServiceRollout]) -> None:
        """Use the records of a feed."""
        for rollout in rollouts:
            if self.gate(rollout.service).update(rollout):
                self.on_change(rollout)

    def may_send(self, record: TargetRecord, now: Seconds) -> bool:
        """Tell whether a request to a chosen target may still be sent."""
        return self.gate(record.service).may_send(record.version, now)

    def counts(self) -> tuple[VersionCounts, ...]:
        """Return the counts of all running rollouts."""
        return tuple(
            counts
            for gate in self._gate_by_service.values()
            for counts in gate.counts()
        )


def _ignore(rollout: ServiceRollout) -> None:
    """Do nothing; the default until a callback is set."""
