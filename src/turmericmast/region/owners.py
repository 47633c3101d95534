"""Sessions of entries, and which entry owns which target."""

import dataclasses
import functools
from typing import TypeAlias, final

from returns.result import Failure, Success

from turmericmast.exceptions import RefusedError
from turmericmast.ids import Epoch, Index, InstanceId, RegionId, TargetId
from turmericmast.region import commands
from turmericmast.region.part import DONE, Answer, Part
from turmericmast.region.placing import Placing
from turmericmast.region.records import (
    Placement,
    Removal,
    Session,
    SessionPhase,
)
from turmericmast.region.view import RegionView
from turmericmast.target.announcement import TargetSpec

MAX_REMOVALS = 2000
"""Removals remembered; whoever knows less gets complete tables."""

NOBODY = InstanceId('')
NO_TARGET = TargetId('')

OwnerCommand: TypeAlias = (
    commands.OpenSession
    | commands.LeaveSession
    | commands.CloseSession
    | commands.PlaceTarget
    | commands.ReleaseTarget
    | commands.WithdrawTarget
)


@final
class Grants:
    """Gives targets to owners; each grant is a new one, never an old one."""

    def __init__(self, view: RegionView) -> None:
        """Work on the placements of ``view``."""
        self._view = view

    def give(self, spec: TargetSpec, owner: InstanceId, *, wary: bool) -> None:
        """Make an entry the owner of a target."""
        self._view.placement_by_target[spec.target] = Placement(
            spec,
            owner,
            NOBODY,
            wary=wary,
            granted=self._view.index,
            changed=self._view.index,
        )

    def promise(self, placement: Placement, successor: InstanceId) -> None:
        """Name the next owner; the present one has to release first."""
        if placement.owner:
            self._view.placement_by_target[placement.spec.target] = (
                dataclasses.replace(
                    placement,
                    successor=successor,
                    changed=self._view.index,
                )
            )
        else:
            self.give(placement.spec, successor, wary=placement.wary)

    def strip(self, instance: InstanceId, *, wary: bool) -> None:
        """Take all targets from an entry whose session is over."""
        for placement in self._view.owned_by(instance):
            self.give(placement.spec, NOBODY, wary=wary)
        self._place_orphans()

    def _place_orphans(self) -> None:
        placing = Placing(self._view)
        for placement in self._view.owned_by(NOBODY):
            owner = placing.choose(placement.spec)
            if owner:
                placing.count(placement.spec, owner)
                self.give(placement.spec, owner, wary=placement.wary)


@final
class Owners(Part[OwnerCommand]):
    """Opens and closes sessions, places and moves targets."""

    def __init__(self, view: RegionView, region: RegionId) -> None:
        """Start without sessions."""
        super().__init__(view)
        self.removals: list[Removal] = []
        self.forgotten = Index(0)
        """Removals up to this index are no longer known."""
        self._region = region
        self._grants = Grants(view)

    @functools.singledispatchmethod
    def apply(self, command: OwnerCommand) -> Answer:
        """Apply one command."""
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
        # An earlier process of this instance may have left work behind.
        self._grants.strip(command.instance, wary=True)
        for placement in Placing(self.view).moves_to(session):
            self._grants.promise(placement, session.instance)
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
        placing = Placing(self.view)
        for placement in self.view.owned_by(command.instance):
            placing.count(placement.spec, command.instance, -1)
            successor = placing.choose(placement.spec)
            placing.count(placement.spec, successor)
            self._grants.promise(placement, successor)
        return DONE

    @apply.register
    def _close(self, command: commands.CloseSession) -> Answer:
        known = self.view.session_by_instance.get(command.instance)
        if known is None or known.epoch != command.epoch:
            return DONE
        self.view.session_by_instance.pop(command.instance)
        self._remove(Removal(NO_TARGET, command.instance, self.index))
        self._grants.strip(command.instance, wary=not command.clean)
        return DONE

    @apply.register
    def _place(self, command: commands.PlaceTarget) -> Answer:
        spec = command.spec
        known = self.view.placement_by_target.get(spec.target)
        if spec.region != self._region:
            return Failure(_foreign(spec.region, self._region))
        if known is None:
            owner = Placing(self.view).choose(spec)
            self._grants.give(spec, owner, wary=False)
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
                successor = Placing(self.view).choose(known.spec)
            self._grants.give(known.spec, successor, wary=False)
        return DONE

    @apply.register
    def _withdraw(self, command: commands.WithdrawTarget) -> Answer:
        known = self.view.placement_by_target.get(command.target)
        if known is None:
            return DONE
        named = (command.instance, command.incarnation)
        if named == (known.owner, known.spec.incarnation):
            self.view.placement_by_target.pop(command.target)
            self._remove(Removal(command.target, NOBODY, self.index))
        return DONE

    def _remove(self, removal: Removal) -> None:
        self.removals.append(removal)
        if len(self.removals) > MAX_REMOVALS:
            self.forgotten = self.removals.pop(0).changed


def _foreign(named: RegionId, own: RegionId) -> RefusedError:
    return RefusedError(
        f'region {named} is not region {own}',
        step='place target',
        hint='announce the target to an entry of its own region',
    )
