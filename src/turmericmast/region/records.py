"""Records that a region keeps; each knows the log index that changed it."""

import dataclasses
import enum
from typing import final

from turmericmast.ids import (
    Digest,
    DomainId,
    Epoch,
    Fingerprint,
    Incarnation,
    Index,
    InstanceId,
    RegionId,
    ServiceId,
    TargetId,
    Version,
)
from turmericmast.target.announcement import TargetSpec


@final
class SessionPhase(enum.Enum):
    """Where an entry is between its start and its end."""

    open = 1
    leaving = 2


@final
class OutageKind(enum.Enum):
    """What an operator can take out."""

    domain = 1
    target = 2


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """An entry that holds, or may hold, a lease."""

    instance: InstanceId
    incarnation: Incarnation
    epoch: Epoch
    domain: DomainId
    http: str
    phase: SessionPhase
    changed: Index


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A target and the only entry that may send it work."""

    spec: TargetSpec
    owner: InstanceId
    successor: InstanceId
    wary: bool
    """Whether the owner took over from an owner that was lost."""
    granted: Index
    """The log index that gave the target to its owner."""
    changed: Index


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Outage:
    """Something that operators took out."""

    kind: OutageKind
    name: str
    reason: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """A request that ended in lost targets."""

    fingerprint: Fingerprint
    crashes: int
    last_ms: int
    """Wall time of the last crash that counted."""
    until_ms: int
    """Wall time until which the count is kept."""

    @property
    def is_quarantined(self) -> bool:
        """Tell whether entries refuse the request."""
        return self.crashes >= MAX_CRASHES


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAddresses:
    """Entries of a region that own targets of a service."""

    service: ServiceId
    http: tuple[str, ...]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RegionSummary:
    """What other regions need to know of a region."""

    region: RegionId
    services: tuple[ServiceAddresses, ...]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class FleetRecord:
    """The fleet document as a region has it."""

    version: Version
    digest: Digest
    document: str
    accepted: Version


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """A record that is gone: a target, or the session of an entry."""

    target: TargetId
    instance: InstanceId
    changed: Index


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Feed:
    """What changed since an index; whole tables where they are small."""

    index: Index
    complete: bool
    """Whether tables must be replaced rather than merged."""
    sessions: tuple[Session, ...] = ()
    placements: tuple[Placement, ...] = ()
    removals: tuple[Removal, ...] = ()
    has_tables: bool = False
    """Whether the tables below are present."""
    outages: tuple[Outage, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()
    summaries: tuple[RegionSummary, ...] = ()
    fleet: FleetRecord | None = None

    def extended(
        self,
        removals: tuple[Removal, ...],
        fleet: FleetRecord | None,
    ) -> 'Feed':
        """Return the feed with removals and the fleet document."""
        return dataclasses.replace(self, removals=removals, fleet=fleet)


MAX_CRASHES = 2
"""Targets that one request may cost before it is refused."""
