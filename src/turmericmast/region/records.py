"""Records that a region keeps and sends to its entries in feeds.

``changed`` is the log index of the last change of a record.
"""

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
    """Whether an entry takes new targets or is about to stop."""

    open = 1
    leaving = 2


@final
class OutageKind(enum.Enum):
    """What operators can take out of service."""

    domain = 1
    target = 2


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """The session of an entry that holds, or may still hold, a lease."""

    instance: InstanceId
    incarnation: Incarnation
    epoch: Epoch
    """Log index at which the session was opened."""
    domain: DomainId
    http: str
    """Address at which the entry takes HTTP requests."""
    phase: SessionPhase
    changed: Index


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A target and its owner, the only entry that may send it requests."""

    spec: TargetSpec
    owner: InstanceId
    """Empty while no entry can own the target."""
    successor: InstanceId
    """Entry that becomes the owner on release; empty if it is not to move."""
    wary: bool
    """Whether requests of an earlier owner or process may still run."""
    granted: Index
    """Log index that assigned the target to its owner."""
    changed: Index


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Outage:
    """A failure domain or target that operators took out of service."""

    kind: OutageKind
    name: str
    reason: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """A request, by fingerprint, after which targets were lost.

    It is quarantined when ``MAX_CRASHES`` crashes were counted.
    """

    fingerprint: Fingerprint
    crashes: int
    """Crashes counted; an attempt sent before the last one adds none."""
    last_ms: int
    """Wall time of the last crash that counted."""
    until_ms: int
    """Wall time until which the count is kept."""

    @property
    def is_quarantined(self) -> bool:
        """Tell whether entries refuse the request until ``until_ms``."""
        return self.crashes >= MAX_CRASHES


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAddresses:
    """Addresses of the entries of a region that own targets of a service."""

    service: ServiceId
    http: tuple[str, ...]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RegionSummary:
    """The services of a region, as other regions know them."""

    region: RegionId
    services: tuple[ServiceAddresses, ...]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class FleetRecord:
    """A region's version of the fleet document and the accepted version."""

    version: Version
    digest: Digest
    document: str
    accepted: Version


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """The removal of a target or of a session.

    Either ``target`` or ``instance`` is set, the other one is empty.
    """

    target: TargetId
    instance: InstanceId
    changed: Index


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Feed:
    """Records that changed since a log index.

    Outages, suspicions and summaries are small: when one of them changes, the
    feed carries all three tables whole.
    """

    index: Index
    complete: bool
    """Whether sessions and placements are to be replaced, not merged."""
    sessions: tuple[Session, ...] = ()
    placements: tuple[Placement, ...] = ()
    removals: tuple[Removal, ...] = ()
    has_tables: bool = False
    """Whether outages, suspicions and summaries are present."""
    outages: tuple[Outage, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()
    summaries: tuple[RegionSummary, ...] = ()
    fleet: FleetRecord | None = None

    def with_removals_and_fleet(
        self,
        removals: tuple[Removal, ...],
        fleet: FleetRecord | None,
    ) -> 'Feed':
        """Return a copy of the feed with removals and the fleet document."""
        return dataclasses.replace(self, removals=removals, fleet=fleet)


MAX_CRASHES = 2
"""Counted crashes at which a request is quarantined."""
