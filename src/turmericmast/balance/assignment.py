"""Assignment of targets to the instances nearest to them."""

import bisect
import dataclasses
import itertools
from collections.abc import Iterable, Set
from typing import final

from turmericmast.balance.affinity import affinity
from turmericmast.balance.scoring import Distance
from turmericmast.cluster.records import EdgeRecord, TargetRecord
from turmericmast.ids import DomainId, InstanceId, RegionId, TargetId

MAX_COLD_SENDERS = 3
"""Number of instances that send to one cold target.

While instances disagree about the membership, up to twice as many may send;
their requests still fit into the burst that a cold target tolerates."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TargetPlace:
    """Where a target is."""

    target: TargetId
    domain: DomainId
    region: RegionId

    def distance(self, edge: EdgeRecord) -> Distance:
        """Return the network distance from an instance."""
        if edge.domain == self.domain:
            return Distance.domain
        is_near = edge.region == self.region
        return Distance.region if is_near else Distance.remote


@final
@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _RankedSender:
    """An instance in the order of preference for one target."""

    distance: Distance
    affinity: float
    instance: InstanceId


@final
class AssignmentTable:
    """The instances that probe each target and send to it while it is cold.

    The nearest ones come first, and rendezvous hashing ranks those at the same
    distance. Instances with the same view of the membership compute the same
    result. A change updates only the targets that it affects, so its cost does
    not grow with the product of instances and targets.
    """

    def __init__(self, own_instance: InstanceId) -> None:
        """Begin without instances and targets."""
        self.edges_by_domain: dict[DomainId, dict[InstanceId, EdgeRecord]] = {}
        self._own_instance = own_instance
        self._place_by_target: dict[TargetId, TargetPlace] = {}
        self._senders_by_target: dict[TargetId, list[_RankedSender]] = {}
        self._own_targets: set[TargetId] = set()
        self._probed_targets: set[TargetId] = set()

    @property
    def own_targets(self) -> Set[TargetId]:
        """Return the targets that this instance may send to while cold.

        The set changes with the table.
        """
        return self._own_targets

    @property
    def probed_targets(self) -> Set[TargetId]:
        """Return the targets that this instance probes; changes likewise."""
        return self._probed_targets

    def senders(self, target: TargetId) -> tuple[InstanceId, ...]:
        """Return the instances that may send to a target while it is cold.

        The first one of them probes it.
        """
        ranked = self._senders_by_target.get(target, ())
        return tuple(sender.instance for sender in ranked)

    def set_edge(self, edge: EdgeRecord) -> None:
        """Add an instance, or replace its record."""
        in_domain = self.edges_by_domain.setdefault(edge.domain, {})
        is_known = edge.instance in in_domain
        in_domain[edge.instance] = edge
        if not is_known:
            for target in self._place_by_target:
                self._rank(target, edge)

    def remove_edge(self, edge: EdgeRecord) -> None:
        """Remove an instance by its last record."""
        in_domain = self.edges_by_domain.get(edge.domain, {})
        in_domain.pop(edge.instance, None)
        affected = [
            target
            for target in self._senders_by_target
            if edge.instance in self.senders(target)
        ]
        for target in affected:
            self._rank_all(target)

    def add_target(self, record: TargetRecord, region: RegionId) -> None:
        """Add a target that is in ``region``."""
        self._place_by_target[record.target] = TargetPlace(
            record.target, record.domain, region
        )
        self._rank_all(record.target)

    def remove_target(self, target: TargetId) -> None:
        """Remove a target; unknown ones are ignored."""
        self._place_by_target.pop(target, None)
        self._senders_by_target.pop(target, None)
        self._own_targets.discard(target)
        self._probed_targets.discard(target)

    def _rank_all(self, target: TargetId) -> None:
        self._senders_by_target[target] = []
        self._update_own_role(target)
        for edge in self._candidates(self._place_by_target[target]):
            self._rank(target, edge)

    def _candidates(self, place: TargetPlace) -> Iterable[EdgeRecord]:
        """Return the instances of the domain, farther ones if it has few."""
        in_domain = self.edges_by_domain.get(place.domain, {})
        if len(in_domain) >= MAX_COLD_SENDERS:
            return in_domain.values()
        by_domain = self.edges_by_domain.values()
        return itertools.chain.from_iterable(
            edge_by_instance.values() for edge_by_instance in by_domain
        )

    def _rank(self, target: TargetId, edge: EdgeRecord) -> None:
        """Insert an instance if it is among the nearest ones."""
        ranked = self._senders_by_target[target]
        distance = self._place_by_target[target].distance(edge)
        is_full = len(ranked) == MAX_COLD_SENDERS
        if is_full and ranked[-1].distance < distance:
            return
        sender = _RankedSender(
            distance, affinity(target, edge.instance), edge.instance
        )
        if is_full and ranked[-1] < sender:
            return
        if is_full:
            ranked.pop()
        bisect.insort(ranked, sender)
        self._update_own_role(target)

    def _update_own_role(self, target: TargetId) -> None:
        senders = self.senders(target)
        _include(
            self._own_targets, target, is_member=self._own_instance in senders
        )
        _include(
            self._probed_targets,
            target,
            is_member=senders[:1] == (self._own_instance,),
        )


def _include(
    targets: set[TargetId], target: TargetId, *, is_member: bool
) -> None:
    if is_member:
        targets.add(target)
    else:
        targets.discard(target)
