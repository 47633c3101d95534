"""The region aggregate: the state machine of a region's control group."""

import dataclasses
import functools
from typing import TypeAlias, final

from returns.result import Failure, Result, Success

from turmericmast.exceptions import RefusedError, TurmericmastError
from turmericmast.fleet.fleet import Fleet, FleetVersion, Proposal
from turmericmast.ids import (
    ChangeId,
    Epoch,
    Fingerprint,
    Index,
    InstanceId,
    RegionId,
    TargetId,
)
from turmericmast.region import commands
from turmericmast.region.placing import Placing
from turmericmast.region.records import (
    Feed,
    FleetRecord,
    Outage,
    Placement,
    Removal,
    Session,
    SessionPhase,
    Suspicion,
)
from turmericmast.region.view import RegionView

MAX_REMOVALS = 2000
"""Removals remembered; whoever knows less gets complete tables."""
MAX_SUSPICIONS = 1000
"""Suspect requests remembered at the most."""
QUARANTINE_MS = 600_000
"""How long a request stays suspect after its last crash."""
MAX_CHANGES = 4096
"""Changes of operators whose answers are remembered."""

Answer: TypeAlias = Result[object, TurmericmastError]


@final
class Region:
    """Applies commands in the order of the log and tells what changed."""

    def __init__(self, region: RegionId, regions: frozenset[RegionId]) -> None:
        """Start empty; ``regions`` are those of the whole fleet."""
        self.region = region
        self.regions = regions
        self.view = RegionView()
        self.fleet = Fleet()
        self.removals: list[Removal] = []
        self.forgotten = Index(0)
        """Removals up to this index are no longer known."""
        self.tables_changed = Index(0)
        self.fleet_changed = Index(0)
        self.seen_changes: dict[ChangeId, str] = {}

    def apply(self, index: Index, command: commands.RegionCommand) -> Answer:
        """Apply one command."""
        self.view.index = index
        return self._apply(command)

    def feed(self, since: Index) -> Feed:
        """Return what changed after ``since``."""
        complete = since < self.forgotten or since == 0
        floor = 0 if complete else since
        has_tables = self.tables_changed > floor or complete
        has_fleet = self.fleet_changed > floor or complete
        view = self.view
        return Feed(
            index=view.index,
            complete=complete,
            sessions=tuple(
                one
                for one in view.session_by_instance.values()
                if one.changed > floor
            ),
            placements=tuple(
                one
                for one in view.placement_by_target.values()
                if one.changed > floor
            ),
            removals=tuple(one for one in self.removals if one.changed > floor),
            has_tables=has_tables,
            outages=tuple(view.outage_by_name.values()) * has_tables,
            suspicions=(
                tuple(view.suspicion_by_fingerprint.values()) * has_tables
            ),
            summaries=tuple(view.summary_by_region.values()) * has_tables,
            fleet=self.fleet_record() if has_fleet else None,
        )

    def fleet_record(self) -> FleetRecord:
        """Return the fleet document with its standing."""
        current = self.fleet.current
        return FleetRecord(
            current.version,
            current.digest,
            current.document,
            self.fleet.accepted,
        )

    @functools.singledispatchmethod
    def _apply(self, command: object) -> Answer:
        raise TypeError(command)

    @_apply.register
    def _open(self, command: commands.OpenSession) -> Answer:
        known = self.view.session_by_instance.get(command.instance)
        if known and known.incarnation == command.incarnation:
            return Success(known)
        if known:
            self._strip(known.instance, wary=True)
        session = Session(
            command.instance,
            command.incarnation,
            Epoch(self.view.index),
            command.domain,
            command.http,
            SessionPhase.open,
            self.view.index,
        )
        self.view.session_by_instance[command.instance] = session
        self._place_orphans()
        for placement in Placing(self.view).moves_to(session):
            self._move(placement, session.instance)
        return Success(session)

    @_apply.register
    def _leave(self, command: commands.LeaveSession) -> Answer:
        known = self.view.session_by_instance.get(command.instance)
        if known is None or known.epoch != command.epoch:
            return Success(None)
        self.view.session_by_instance[command.instance] = dataclasses.replace(
            known,
            phase=SessionPhase.leaving,
            changed=self.view.index,
        )
        placing = Placing(self.view)
        for placement in self.view.owned_by(command.instance):
            placing.count(placement.spec, command.instance, -1)
            successor = placing.choose(placement.spec)
            placing.count(placement.spec, successor)
            self._move(placement, successor)
        return Success(None)

    @_apply.register
    def _close(self, command: commands.CloseSession) -> Answer:
        known = self.view.session_by_instance.get(command.instance)
        if known is None or known.epoch != command.epoch:
            return Success(None)
        self.view.session_by_instance.pop(command.instance)
        self._remove(instance=command.instance)
        self._strip(command.instance, wary=not command.clean)
        self._place_orphans()
        return Success(None)

    @_apply.register
    def _place(self, command: commands.PlaceTarget) -> Answer:
        spec = command.spec
        known = self.view.placement_by_target.get(spec.target)
        if spec.region != self.region:
            return Failure(self._foreign(spec.region))
        if known and known.spec == spec:
            return Success(known)
        if known:
            placement = dataclasses.replace(
                known,
                spec=spec,
                changed=self.view.index,
            )
        else:
            owner = Placing(self.view).choose(spec)
            placement = Placement(
                spec,
                owner,
                InstanceId(''),
                wary=False,
                granted=self.view.index,
                changed=self.view.index,
            )
        self.view.placement_by_target[spec.target] = placement
        return Success(placement)

    @_apply.register
    def _release(self, command: commands.ReleaseTarget) -> Answer:
        known = self.view.placement_by_target.get(command.target)
        if known and known.owner == command.instance:
            successor = known.successor
            session = self.view.session_by_instance.get(successor)
            if session is None or session.phase is not SessionPhase.open:
                successor = Placing(self.view).choose(known.spec)
            self._grant(known, successor, wary=False)
        return Success(None)

    @_apply.register
    def _withdraw(self, command: commands.WithdrawTarget) -> Answer:
        known = self.view.placement_by_target.get(command.target)
        is_same = (
            known is not None
            and known.owner == command.instance
            and known.spec.incarnation == command.incarnation
        )
        if is_same:
            self.view.placement_by_target.pop(command.target)
            self._remove(target=command.target)
        return Success(None)

    @_apply.register
    def _set_outage(self, command: commands.SetOutage) -> Answer:
        if not self._is_news(command.change, repr(command)):
            return self._repeated(command.change, repr(command))
        name = (command.kind, command.name)
        if command.out:
            self.view.outage_by_name[name] = Outage(
                command.kind,
                command.name,
                command.reason,
            )
        else:
            self.view.outage_by_name.pop(name, None)
        self.tables_changed = self.view.index
        return Success(None)

    @_apply.register
    def _propose(self, command: commands.ProposeFleet) -> Answer:
        proposal = Proposal(
            command.change,
            command.base_version,
            command.base_digest,
            command.document,
        )
        before = self.fleet.current
        answer = self.fleet.propose(proposal)
        if self.fleet.current is not before:
            self.fleet_changed = self.view.index
        return answer

    @_apply.register
    def _adopt(self, command: commands.AdoptFleet) -> Answer:
        version = FleetVersion(
            command.version,
            command.digest,
            command.document,
        )
        before = (self.fleet.current, self.fleet.accepted)
        self.fleet.adopt(version, command.accepted)
        if before != (self.fleet.current, self.fleet.accepted):
            self.fleet_changed = self.view.index
        return Success(None)

    @_apply.register
    def _report(self, command: commands.ReportRegion) -> Answer:
        if self.fleet.report(command.region, command.version, self.regions):
            self.fleet_changed = self.view.index
        return Success(None)

    @_apply.register
    def _suspect(self, command: commands.Suspect) -> Answer:
        table = self.view.suspicion_by_fingerprint
        for fingerprint in [
            one.fingerprint
            for one in table.values()
            if one.until_ms <= command.at_ms
        ]:
            table.pop(fingerprint)
        known = table.pop(command.fingerprint, None)
        # Requests that were at their targets when the first one was lost
        # prove nothing: a whole failure domain may have gone at once.
        is_same_crash = known is not None and command.started_ms < known.last_ms
        suspicion = Suspicion(
            command.fingerprint,
            (known.crashes if known else 0) + (not is_same_crash),
            known.last_ms if known and is_same_crash else command.at_ms,
            command.at_ms + QUARANTINE_MS,
        )
        if len(table) >= MAX_SUSPICIONS:
            table.pop(next(iter(table)))
        table[command.fingerprint] = suspicion
        self.tables_changed = self.view.index
        return Success(suspicion)

    @_apply.register
    def _acquit(self, command: commands.Acquit) -> Answer:
        if self.view.suspicion_by_fingerprint.pop(command.fingerprint, None):
            self.tables_changed = self.view.index
        return Success(None)

    @_apply.register
    def _lift(self, command: commands.LiftQuarantine) -> Answer:
        if not self._is_news(command.change, repr(command)):
            return self._repeated(command.change, repr(command))
        fingerprint = Fingerprint(command.fingerprint)
        if not self.view.suspicion_by_fingerprint.pop(fingerprint, None):
            return Failure(
                RefusedError(
                    f'{fingerprint} is not quarantined here',
                    step='lift quarantine',
                    hint='look at the list with: turmericmast-admin status',
                ),
            )
        self.tables_changed = self.view.index
        return Success(None)

    @_apply.register
    def _note_summary(self, command: commands.NoteSummary) -> Answer:
        summary = command.summary
        self.view.summary_by_region[summary.region] = summary
        self.tables_changed = self.view.index
        return Success(None)

    def _foreign(self, region: RegionId) -> RefusedError:
        return RefusedError(
            f'region {region} is not region {self.region}',
            step='place target',
            hint='announce the target to an entry of its own region',
        )

    def _is_news(self, change: ChangeId, text: str) -> bool:
        if change in self.seen_changes:
            return False
        self.seen_changes[change] = text
        if len(self.seen_changes) > MAX_CHANGES:
            self.seen_changes.pop(next(iter(self.seen_changes)))
        return True

    def _repeated(self, change: ChangeId, text: str) -> Answer:
        if self.seen_changes[change] == text:
            return Success(None)
        return Failure(
            RefusedError(
                f'change {change} was used for something else',
                step='change region',
                hint='send it under a new change id',
            ),
        )

    def _move(self, placement: Placement, successor: InstanceId) -> None:
        if placement.owner:
            moved = dataclasses.replace(
                placement,
                successor=successor,
                changed=self.view.index,
            )
            self.view.placement_by_target[placement.spec.target] = moved
        else:
            self._grant(placement, successor, wary=placement.wary)

    def _grant(
        self,
        placement: Placement,
        owner: InstanceId,
        *,
        wary: bool,
    ) -> None:
        self.view.placement_by_target[placement.spec.target] = Placement(
            placement.spec,
            owner,
            InstanceId(''),
            wary=wary,
            granted=self.view.index,
            changed=self.view.index,
        )

    def _strip(self, instance: InstanceId, *, wary: bool) -> None:
        for placement in self.view.owned_by(instance):
            self._grant(placement, InstanceId(''), wary=wary)

    def _place_orphans(self) -> None:
        placing = Placing(self.view)
        for placement in self.view.owned_by(InstanceId('')):
            owner = placing.choose(placement.spec)
            if owner:
                placing.count(placement.spec, owner)
                self._grant(placement, owner, wary=placement.wary)

    def _remove(
        self,
        *,
        target: TargetId = TargetId(''),
        instance: InstanceId = InstanceId(''),
    ) -> None:
        self.removals.append(Removal(target, instance, self.view.index))
        if len(self.removals) > MAX_REMOVALS:
            self.forgotten = self.removals.pop(0).changed
