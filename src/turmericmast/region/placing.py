"""Who owns a target: the rule for choosing owners and for moving targets."""

import collections
from collections.abc import Iterable
from typing import final

from turmericmast.ids import DomainId, InstanceId, ServiceId
from turmericmast.region.records import Placement, Session, SessionPhase
from turmericmast.region.view import RegionView
from turmericmast.target.announcement import TargetSpec

POOL = 8
"""Targets of one service and domain that one entry owns before the next.

A shared queue before several targets rides over the pauses of one of them.
"""


@final
class Placing:
    """Chooses owners; the same input gives the same choice everywhere."""

    def __init__(self, view: RegionView) -> None:
        """Count what every entry owns."""
        self._view = view
        self._slots: collections.Counter[InstanceId] = collections.Counter()
        self._pool: collections.Counter[
            tuple[InstanceId, ServiceId, DomainId]
        ] = collections.Counter()
        for placement in view.placement_by_target.values():
            self.count(placement.spec, placement.successor or placement.owner)

    def count(self, spec: TargetSpec, owner: InstanceId, sign: int = 1) -> None:
        """Add a target to an owner, or take it away with ``sign`` -1."""
        self._slots[owner] += sign * spec.slots
        self._pool[owner, spec.service, spec.domain] += sign

    def choose(self, spec: TargetSpec) -> InstanceId:
        """Return the best owner, or an empty id when there is no entry."""
        candidates = self._candidates(self._view.session_by_instance.values())
        best = min(
            candidates,
            key=lambda session: self._rank(spec, session),
            default=None,
        )
        return best.instance if best else InstanceId('')

    def moves_to(self, session: Session) -> list[Placement]:
        """Return the targets that a new entry should take over.

        Targets of its own domain that live with a foreign entry come home;
        then it takes its share from the entries of its domain.
        """
        placements = list(self._view.placement_by_target.values())
        homeless = [
            placement
            for placement in placements
            if placement.spec.domain == session.domain
            and self._domain_of(placement.owner) != session.domain
        ]
        peers = [
            one.instance
            for one in self._candidates(
                self._view.session_by_instance.values(),
            )
            if one.domain == session.domain
        ]
        total = sum(self._slots[peer] for peer in peers)
        share = total // max(len(peers), 1)
        return homeless or self._lift(placements, session, share)

    def _lift(
        self,
        placements: list[Placement],
        session: Session,
        share: int,
    ) -> list[Placement]:
        lifted: list[Placement] = []
        for placement in placements:
            slots = placement.spec.slots
            donor = placement.successor or placement.owner
            is_rich = self._slots[donor] - slots >= share
            is_near = self._domain_of(donor) == session.domain
            is_needed = self._slots[session.instance] + slots <= share
            if is_rich and is_near and is_needed and not placement.successor:
                self.count(placement.spec, donor, -1)
                self.count(placement.spec, session.instance)
                lifted.append(placement)
        return lifted

    def _candidates(self, sessions: Iterable[Session]) -> list[Session]:
        usable = [one for one in sessions if one.phase is SessionPhase.open]
        return [one for one in usable if self._view.is_serving(one)] or usable

    def _domain_of(self, owner: InstanceId) -> DomainId | None:
        session = self._view.session_by_instance.get(owner)
        return session.domain if session else None

    def _rank(
        self,
        spec: TargetSpec,
        session: Session,
    ) -> tuple[bool, bool, int, str]:
        pooled = self._pool[session.instance, spec.service, spec.domain]
        return (
            session.domain != spec.domain,
            not 0 < pooled < POOL,
            self._slots[session.instance],
            session.instance,
        )
