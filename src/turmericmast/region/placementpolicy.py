"""Policy for choosing the owner of a target and for moving targets."""

import collections
from collections.abc import Iterable
from typing import final

from turmericmast.ids import DomainId, InstanceId, ServiceId
from turmericmast.region.records import Placement, Session, SessionPhase
from turmericmast.region.view import RegionView
from turmericmast.target.announcement import TargetSpec

MAX_POOL_TARGETS = 8
"""Targets of one service and domain assigned to one entry before the next.

Several targets behind one queue keep it moving while one of them pauses.
"""


@final
class PlacementPolicy:
    """Chooses owners deterministically, so that all replicas agree."""

    def __init__(self, view: RegionView) -> None:
        """Count the targets and slots that each entry owns or will own."""
        self._view = view
        self._slots_by_owner: collections.Counter[InstanceId] = (
            collections.Counter()
        )
        self._targets_by_pool: collections.Counter[
            tuple[InstanceId, ServiceId, DomainId]
        ] = collections.Counter()
        for placement in view.placement_by_target.values():
            self.update_load(
                placement.spec,
                placement.successor or placement.owner,
            )

    def update_load(
        self,
        spec: TargetSpec,
        owner: InstanceId,
        sign: int = 1,
    ) -> None:
        """Add a target to the load of an owner; ``sign`` -1 subtracts it."""
        self._slots_by_owner[owner] += sign * spec.slots
        self._targets_by_pool[owner, spec.service, spec.domain] += sign

    def choose_owner(self, spec: TargetSpec) -> InstanceId:
        """Return the preferred owner, or an empty id if no session is open."""
        candidates = self._candidates(self._view.session_by_instance.values())
        best = min(
            candidates,
            key=lambda session: self._rank(spec, session),
            default=None,
        )
        return best.instance if best else InstanceId('')

    def select_moves(self, session: Session) -> list[Placement]:
        """Return the placements that a new entry should take over.

        These are the targets of its domain that no entry of that domain
        owns. If there are none, it takes its share of slots from the other
        entries of its domain.
        """
        placements = list(self._view.placement_by_target.values())
        misplaced = [
            placement
            for placement in placements
            if placement.spec.domain == session.domain
            and self._domain_of(placement.owner) != session.domain
        ]
        instances = [
            candidate.instance
            for candidate in self._candidates(
                self._view.session_by_instance.values(),
            )
            if candidate.domain == session.domain
        ]
        total = sum(self._slots_by_owner[instance] for instance in instances)
        share = total // max(len(instances), 1)
        return misplaced or self._select_share(placements, session, share)

    def _select_share(
        self,
        placements: list[Placement],
        session: Session,
        share: int,
    ) -> list[Placement]:
        """Take targets from owners above ``share`` slots, up to ``share``."""
        selected: list[Placement] = []
        for placement in placements:
            slots = placement.spec.slots
            donor = placement.successor or placement.owner
            has_surplus = self._slots_by_owner[donor] - slots >= share
            is_same_domain = self._domain_of(donor) == session.domain
            has_room = self._slots_by_owner[session.instance] + slots <= share
            if (
                has_surplus
                and is_same_domain
                and has_room
                and not placement.successor
            ):
                self.update_load(placement.spec, donor, -1)
                self.update_load(placement.spec, session.instance)
                selected.append(placement)
        return selected

    def _candidates(self, sessions: Iterable[Session]) -> list[Session]:
        """Return open sessions, only serving ones if there are any."""
        open_sessions = [
            session
            for session in sessions
            if session.phase is SessionPhase.open
        ]
        return [
            session
            for session in open_sessions
            if self._view.is_serving(session)
        ] or open_sessions

    def _domain_of(self, owner: InstanceId) -> DomainId | None:
        session = self._view.session_by_instance.get(owner)
        return session.domain if session else None

    def _rank(
        self,
        spec: TargetSpec,
        session: Session,
    ) -> tuple[bool, bool, int, str]:
        """Return the sort key of a candidate, the lowest one preferred.

        Own domain first, then a pool that is started and not full, then the
        fewest slots; the instance id breaks ties.
        """
        pool_size = self._targets_by_pool[
            session.instance, spec.service, spec.domain
        ]
        return (
            session.domain != spec.domain,
            not 0 < pool_size < MAX_POOL_TARGETS,
            self._slots_by_owner[session.instance],
            session.instance,
        )
