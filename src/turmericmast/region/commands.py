"""Commands that change a region; each goes through the replicated log."""

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
    """An entry starts, or starts again."""

    instance: InstanceId
    incarnation: Incarnation
    domain: DomainId
    http: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LeaveSession:
    """An entry is about to stop: its targets go to others."""

    instance: InstanceId
    epoch: Epoch


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CloseSession:
    """The lease of an entry is over, by its own word or by time."""

    instance: InstanceId
    epoch: Epoch
    clean: bool
    """Whether the entry said so itself, with nothing in flight."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PlaceTarget:
    """A target announced itself to an entry."""

    spec: TargetSpec


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseTarget:
    """An owner sends a target no more work and has none in flight."""

    target: TargetId
    instance: InstanceId


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawTarget:
    """A target has been silent for long, or has left."""

    target: TargetId
    instance: InstanceId
    incarnation: Incarnation


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SetOutage:
    """Operators take something out, or return it."""

    change: ChangeId
    kind: OutageKind
    name: str
    out: bool
    reason: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ProposeFleet:
    """Operators change the fleet document."""

    change: ChangeId
    base_version: Version
    base_digest: Digest
    document: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AdoptFleet:
    """The group that orders changes has a newer document."""

    version: Version
    digest: Digest
    document: str
    accepted: Version


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ReportRegion:
    """A region tells which version every entry there has in force."""

    region: RegionId
    version: Version


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """A request ended in a lost target."""

    fingerprint: Fingerprint
    started_ms: int
    """Wall time at which the attempt was sent."""
    at_ms: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Acquit:
    """A suspect request was answered: it does not crash its targets."""

    fingerprint: Fingerprint


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LiftQuarantine:
    """Operators allow a request again."""

    change: ChangeId
    fingerprint: Fingerprint


@final
@dataclasses.dataclass(frozen=True, slots=True)
class NoteSummary:
    """Another region told where its services are."""

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
