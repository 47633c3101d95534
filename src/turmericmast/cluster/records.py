"""Records of the cluster that are stored and sent to instances."""

import dataclasses
import enum
from typing import final

from turmericmast.addresses import is_unicast_address
from turmericmast.cluster.crashes import SuspectRecord
from turmericmast.ids import (
    Born,
    Digest,
    DomainId,
    Incarnation,
    Index,
    InstanceId,
    RegionId,
    ServiceId,
    TargetId,
    TargetVersion,
    Version,
)
from turmericmast.names import is_token
from turmericmast.rollout.records import ServiceRollout

MAX_SEQUENCE = 9_223_372_036_854_775_807
"""Largest number of a report that the log holds."""
MAX_SLOTS = 1_000_000
"""Requests that a target can process at a time, at most."""


@final
class TargetPhase(enum.Enum):
    """Whether a target accepts new requests."""

    ready = 'ready'
    draining = 'draining'


@final
class EdgePhase(enum.Enum):
    """Whether an edge instance accepts new callers."""

    serving = 'serving'
    leaving = 'leaving'


@final
class TargetReach(enum.Enum):
    """How an edge instance reaches the targets."""

    direct = 'direct'
    forwarded = 'forwarded'
    """It has lost most of them, and forwards requests to other instances."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TargetRecord:
    """What a target reports about itself."""

    target: TargetId
    born: Born
    """When the target started."""
    sequence: int
    """Number of the report since the start; lower ones are older."""
    service: ServiceId
    address: str
    domain: DomainId
    slots: int
    """Requests that the target can process at a time."""
    phase: TargetPhase
    version: TargetVersion = TargetVersion('')
    """Version of its program; empty if it or an older build told none."""

    @property
    def is_usable(self) -> bool:
        """Tell whether requests can be sent to the target.

        Older versions accepted addresses and ids that cannot be used.
        """
        return (
            is_unicast_address(self.address)
            and is_token(self.target)
            and 1 <= self.slots <= MAX_SLOTS
        )

    @property
    def order(self) -> tuple[Born, int]:
        """Return the sort key of a report, newer ones being greater."""
        return (self.born, self.sequence)

    def supersedes(self, known: 'TargetRecord') -> bool:
        """Tell whether this report supersedes a known one.

        It does if it is newer and differs in more than its sequence number.
        """
        same_numbered = dataclasses.replace(self, sequence=known.sequence)
        return self.order > known.order and same_numbered != known


@final
@dataclasses.dataclass(frozen=True, slots=True)
class EdgeRecord:
    """An instance that serves callers, and its addresses."""

    instance: InstanceId
    incarnation: Incarnation
    address: str
    """IP address and port for callers."""
    domain: DomainId
    region: RegionId
    phase: EdgePhase
    peer: str
    """IP address and port for other edge instances.

    They send load gossip to it over UDP, and forward requests over TCP."""
    reach: TargetReach = TargetReach.direct

    @property
    def is_leaving(self) -> bool:
        """Tell whether this instance is about to stop."""
        return self.phase is EdgePhase.leaving

    def with_reach(self, reach: TargetReach) -> 'EdgeRecord':
        """Return the record of an instance that reaches targets like this."""
        return dataclasses.replace(self, reach=reach)

    def leaving(self) -> 'EdgeRecord':
        """Return the record of this instance when it is about to stop."""
        return dataclasses.replace(self, phase=EdgePhase.leaving)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RoutesRecord:
    """One version of the route document and its source."""

    version: Version = Version(0)
    digest: Digest = Digest('')
    source: bytes = b''
    """The document as the operator sent it, compressed with zlib."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ClusterFeed:
    """The changes of the cluster since the index that a reader knows."""

    index: Index
    complete: bool
    """Whether the feed holds the whole state, not only changes.

    Targets and edges that a complete feed leaves out no longer exist.
    """
    routes: RoutesRecord | None
    """The current version if it has changed."""
    evacuated: tuple[DomainId, ...]
    """All evacuated domains, also in a feed that is not complete."""
    targets: tuple[TargetRecord, ...]
    removed_targets: tuple[TargetId, ...]
    edges: tuple[EdgeRecord, ...]
    removed_edges: tuple[InstanceId, ...]
    suspects: tuple[SuspectRecord, ...] = ()
    """Changed records, never removals: edges drop a record when it expires."""
    rollouts: tuple[ServiceRollout, ...] = ()
    """Changed records, never removals; older builds send none."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Tombstone:
    """A removed target; delayed reports of that start are ignored."""

    target: TargetId
    born: Born


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PastVersion:
    """An accepted version of the routes.

    Kept so that sending it again gets the same answer.
    """

    version: Version
    digest: Digest


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ClusterSnapshot:
    """The whole state of the cluster, for restoring a member."""

    index: Index
    routes: RoutesRecord
    past: tuple[PastVersion, ...]
    evacuated: tuple[DomainId, ...]
    targets: tuple[TargetRecord, ...]
    tombstones: tuple[Tombstone, ...]
    edges: tuple[EdgeRecord, ...]
    suspects: tuple[SuspectRecord, ...] = ()
    rollouts: tuple[ServiceRollout, ...] = ()
