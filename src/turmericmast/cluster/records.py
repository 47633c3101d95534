"""Records of the cluster, as they are kept and sent to instances."""

import dataclasses
import enum
from typing import final

from turmericmast.ids import (
    Born,
    Digest,
    DomainId,
    Fingerprint,
    Incarnation,
    Index,
    InstanceId,
    Millis,
    RegionId,
    ServiceId,
    TargetId,
    Version,
)


@final
class TargetPhase(enum.Enum):
    """Whether a target takes new work."""

    ready = 'ready'
    draining = 'draining'


@final
class EdgePhase(enum.Enum):
    """Whether an edge instance takes new callers."""

    serving = 'serving'
    leaving = 'leaving'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TargetRecord:
    """A target as it described itself."""

    target: TargetId
    born: Born
    sequence: int
    """Counts the reports of one start; a lower one is older."""
    service: ServiceId
    address: str
    domain: DomainId
    slots: int
    """Requests that the target runs at a time."""
    phase: TargetPhase

    @property
    def order(self) -> tuple[Born, int]:
        """Return what orders the reports of a target."""
        return (self.born, self.sequence)

    def supersedes(self, known: 'TargetRecord') -> bool:
        """Tell whether this report changes what is known of the target."""
        mine = dataclasses.replace(self, sequence=known.sequence)
        return self.order > known.order and mine != known


@final
@dataclasses.dataclass(frozen=True, slots=True)
class EdgeRecord:
    """An instance that serves callers."""

    instance: InstanceId
    incarnation: Incarnation
    address: str
    """Address for callers, IP number and port."""
    domain: DomainId
    region: RegionId
    phase: EdgePhase
    peer: str
    """Address for news of load from other edges."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RoutesRecord:
    """One version of the route document."""

    version: Version = Version(0)
    digest: Digest = Digest('')
    source: bytes = b''
    """The document as the operator wrote it, compressed."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SuspectRecord:
    """A request that targets crashed on."""

    fingerprint: Fingerprint
    crashes: int
    until_ms: Millis
    """Wall clock until which the crashes count."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ClusterFeed:
    """What changed after an index that a reader knew."""

    index: Index
    complete: bool
    """Whether everything is here, and what is missing is gone."""
    routes: RoutesRecord | None
    evacuated: tuple[DomainId, ...]
    targets: tuple[TargetRecord, ...]
    removed_targets: tuple[TargetId, ...]
    edges: tuple[EdgeRecord, ...]
    removed_edges: tuple[InstanceId, ...]
    suspects: tuple[SuspectRecord, ...] = ()
    """Those that changed; an edge forgets them by their time."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Tombstone:
    """A target that has left; reports of that start are late ones."""

    target: TargetId
    born: Born


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PastVersion:
    """An accepted version, known so that a resend gets the same answer."""

    version: Version
    digest: Digest


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ClusterSnapshot:
    """The whole cluster."""

    index: Index
    routes: RoutesRecord
    past: tuple[PastVersion, ...]
    evacuated: tuple[DomainId, ...]
    targets: tuple[TargetRecord, ...]
    tombstones: tuple[Tombstone, ...]
    edges: tuple[EdgeRecord, ...]
    suspects: tuple[SuspectRecord, ...] = ()
