"""Commands that change a region; each is committed to the replicated log."""

import dataclasses
from typing import TypeAlias, final

from turmericmast.ids import (
    ChangeId,
    Digest,
    DomainId,
    Epoch,
    Fingerprint,
    Incarnation,
    InstanceId,
    RegionId,
    TargetId,
    Version,
)
from turmericmast.region.records import OutageKind, RegionSummary
from turmericmast.target.announcement import TargetSpec


@final
@dataclasses.dataclass(frozen=True, slots=True)
class OpenSession:
    """Open the session of an entry that started or restarted.

    A known incarnation keeps its session; a new one replaces it.
    """

    instance: InstanceId
    incarnation: Incarnation
    domain: DomainId
    http: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LeaveSession:
    """Name successors for the targets of an entry that is about to stop."""

    instance: InstanceId
    epoch: Epoch


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CloseSession:
    """Close a session because its entry stopped or its lease expired."""

    instance: InstanceId
    epoch: Epoch
    clean: bool
    """Whether the entry reported its end, with no requests in flight."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PlaceTarget:
    """Place a target that announced itself, or update its spec."""

    spec: TargetSpec


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseTarget:
    """Hand a target to its next owner.

    The releasing ``instance`` sends it no more requests and has none in
    flight.
    """

    target: TargetId
    instance: InstanceId


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawTarget:
    """Remove a target that stopped announcing itself or has left."""

    target: TargetId
    instance: InstanceId
    incarnation: Incarnation


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SetOutage:
    """Take a failure domain or target out of service, or return it."""

    change: ChangeId
    kind: OutageKind
    name: str
    out: bool
    """Whether to take it out; false returns it to service."""
    reason: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ProposeFleet:
    """Propose a new fleet document, made from a base version."""

    change: ChangeId
    base_version: Version
    base_digest: Digest
    document: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AdoptFleet:
    """Adopt a newer document or acceptance from the ordering region."""

    version: Version
    digest: Digest
    document: str
    accepted: Version


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ReportRegion:
    """Record the fleet version that all entries of a region have in force."""

    region: RegionId
    version: Version


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """Count a crash: a target was lost while it ran the request."""

    fingerprint: Fingerprint
    started_ms: int
    """Wall time at which the attempt was sent."""
    at_ms: int
    """Wall time at which the loss was reported."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Acquit:
    """Clear a suspect request that a target answered without a crash."""

    fingerprint: Fingerprint


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LiftQuarantine:
    """Lift the quarantine of a request on behalf of operators."""

    change: ChangeId
    fingerprint: Fingerprint


@final
@dataclasses.dataclass(frozen=True, slots=True)
class NoteSummary:
    """Record the summary that another region sent of its services."""

    summary: RegionSummary


RegionCommand: TypeAlias = (
    OpenSession
    | LeaveSession
    | CloseSession
    | PlaceTarget
    | ReleaseTarget
    | WithdrawTarget
    | SetOutage
    | ProposeFleet
    | AdoptFleet
    | ReportRegion
    | Suspect
    | Acquit
    | LiftQuarantine
    | NoteSummary
)
