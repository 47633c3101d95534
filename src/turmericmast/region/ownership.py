"""Commands that change sessions of entries and the ownership of targets."""

import dataclasses
import functools
from typing import TypeAlias, final

from returns.result import Failure, Success

from turmericmast.exceptions import RefusedError
from turmericmast.ids import Epoch, Index, InstanceId, RegionId, TargetId
from turmericmast.region import commands
from turmericmast.region.handler import DONE, Answer, CommandHandler
from turmericmast.region.placementpolicy import PlacementPolicy
from turmericmast.region.records import (
    Placement,
    Removal,
    Session,
    SessionPhase,
)
from turmericmast.region.view import RegionView
from turmericmast.target.announcement import TargetSpec

MAX_REMOVALS = 2000
"""Removals kept for feeds.

A reader whose known index is older than the kept ones gets a complete feed.
"""

NO_INSTANCE = InstanceId('')
"""Stands for an absent owner, successor or session."""
NO_TARGET = TargetId('')
"""Stands for an absent target in the removal of a session."""

OwnershipCommand: TypeAlias = (
    commands.OpenSession
    | commands.LeaveSession
    | commands.CloseSession
    | commands.PlaceTarget
    | commands.ReleaseTarget
    | commands.WithdrawTarget
)


@final
class OwnerAssigner:
    """Assigns targets to owners.

    Each assignment records the log index that made it, so an entry can tell
    a new grant from an earlier one of the same target.
    """

    def __init__(self, view: RegionView) -> None:
        """Read and change the placements of ``view``."""
        self._view = view

    def assign(
        self,
        spec: TargetSpec,
        owner: InstanceId,
        *,
        unclean_handover: bool,
    ) -> None:
        """Make an entry the owner of a target and clear the successor.

        ``unclean_handover`` means that requests of an earlier owner, or of an
        earlier process of the same owner, may still run at the target.
        """
        self._view.placement_by_target[spec.target] = Placement(
            spec,
            owner,
            NO_INSTANCE,
            wary=unclean_handover,
            granted=self._view.index,
            changed=self._view.index,
        )

    def set_successor(
        self,
        placement: Placement,
        successor: InstanceId,
    ) -> None:
        """Name the next owner, which takes over when the owner releases.

        A target without an owner is assigned at once.
        """
        if placement.owner:
            self._view.placement_by_target[placement.spec.target] = (
                dataclasses.replace(
                    placement,
                    successor=successor,
                    changed=self._view.index,
                )
            )
        else:
            self.assign(
                placement.spec,
                successor,
                unclean_handover=placement.wary,
            )

    def reassign_all(
        self,
        instance: InstanceId,
        *,
        unclean_handover: bool,
    ) -> None:
        """Reassign all targets of an entry whose session has ended."""
        for placement in self._view.owned_by(instance):
            self.assign(
                placement.spec,
                NO_INSTANCE,
                unclean_handover=unclean_handover,
            )
        self._assign_unowned()

    def _assign_unowned(self) -> None:
        policy = PlacementPolicy(self._view)
        for placement in self._view.owned_by(NO_INSTANCE):
            owner = policy.choose_owner(placement.spec)
            if owner:
                policy.update_load(placement.spec, owner)
                self.assign(
                    placement.spec,
                    owner,
                    unclean_handover=placement.wary,
                )


@final
class OwnershipHandler(CommandHandler[OwnershipCommand]):
    """Opens and closes sessions; places, moves and withdraws targets."""

    def __init__(self, view: RegionView, region: RegionId) -> None:
        """Start with no sessions, placements or removals.

        Targets of regions other than ``region`` are refused.
        """
        super().__init__(view)
        self.removals: list[Removal] = []
        self.last_pruned_index = Index(0)
        """Log index up to which removals have been dropped."""
        self._region = region
        self._assigner = OwnerAssigner(view)

    @functools.singledispatchmethod
    def apply(self, command: OwnershipCommand) -> Answer:
        """Apply one command and return its result."""
        raise TypeError(command)

    @apply.register
    def _open(self, command: commands.OpenSession) -> Answer:
        known = self.view.session_by_instance.get(command.instance)
        if known and known.incarnation == command.incarnation:
            return Success(known)
        session = Session(
            command.instance,
            command.incarnation,
            Epoch(self.index),
            command.domain,
            command.http,
            SessionPhase.open,
            self.index,
        )
        self.view.session_by_instance[command.instance] = session
        # Requests of an earlier process of this instance may still run.
        self._assigner.reassign_all(command.instance, unclean_handover=True)
        for placement in PlacementPolicy(self.view).select_moves(session):
            self._assigner.set_successor(placement, session.instance)
        return Success(session)

    @apply.register
    def _leave(self, command: commands.LeaveSession) -> Answer:
        known = self.view.session_by_instance.get(command.instance)
        if known is None or known.epoch != command.epoch:
            return DONE
        self.view.session_by_instance[command.instance] = dataclasses.replace(
            known,
            phase=SessionPhase.leaving,
            changed=self.index,
        )
        policy = PlacementPolicy(self.view)
        for placement in self.view.owned_by(command.instance):
            policy.update_load(placement.spec, command.instance, -1)
            successor = policy.choose_owner(placement.spec)
            policy.update_load(placement.spec, successor)
            self._assigner.set_successor(placement, successor)
        return DONE

    @apply.register
    def _close(self, command: commands.CloseSession) -> Answer:
        known = self.view.session_by_instance.get(command.instance)
        if known is None or known.epoch != command.epoch:
            return DONE
        self.view.session_by_instance.pop(command.instance)
        self._record_removal(Removal(NO_TARGET, command.instance, self.index))
        self._assigner.reassign_all(
            command.instance,
            unclean_handover=not command.clean,
        )
        return DONE

    @apply.register
    def _place(self, command: commands.PlaceTarget) -> Answer:
        spec = command.spec
        known = self.view.placement_by_target.get(spec.target)
        if spec.region != self._region:
            return Failure(_wrong_region(spec.region, self._region))
        if known is None:
            owner = PlacementPolicy(self.view).choose_owner(spec)
            self._assigner.assign(spec, owner, unclean_handover=False)
        elif known.spec != spec:
            self.view.placement_by_target[spec.target] = dataclasses.replace(
                known,
                spec=spec,
                changed=self.index,
            )
        return Success(self.view.placement_by_target[spec.target])

    @apply.register
    def _release(self, command: commands.ReleaseTarget) -> Answer:
        known = self.view.placement_by_target.get(command.target)
        if known and known.owner == command.instance:
            successor = known.successor
            session = self.view.session_by_instance.get(successor)
            if session is None or session.phase is not SessionPhase.open:
                successor = PlacementPolicy(self.view).choose_owner(known.spec)
            self._assigner.assign(known.spec, successor, unclean_handover=False)
        return DONE

    @apply.register
    def _withdraw(self, command: commands.WithdrawTarget) -> Answer:
        known = self.view.placement_by_target.get(command.target)
        if known is None:
            return DONE
        # An earlier owner, or a report on an earlier incarnation, is ignored.
        reported = (command.instance, command.incarnation)
        if reported == (known.owner, known.spec.incarnation):
            self.view.placement_by_target.pop(command.target)
            self._record_removal(
                Removal(command.target, NO_INSTANCE, self.index),
            )
        return DONE

    def _record_removal(self, removal: Removal) -> None:
        self.removals.append(removal)
        if len(self.removals) > MAX_REMOVALS:
            self.last_pruned_index = self.removals.pop(0).changed


def _wrong_region(named: RegionId, own: RegionId) -> RefusedError:
    return RefusedError(
        f'the target is in region {named}, this is region {own}',
        step='place target',
        hint='announce the target to an entry of its own region',
    )
