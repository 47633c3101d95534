"""Requests and answers between processes, besides replication."""

import dataclasses
from typing import final

from turmericmast.cluster.commands import ClusterCommand
from turmericmast.cluster.records import ClusterFeed, EdgeRecord
from turmericmast.ids import (
    DomainId,
    Epoch,
    Incarnation,
    Index,
    InstanceId,
    MemberId,
    RegionId,
    TargetId,
    Version,
)
from turmericmast.ledger.commands import LedgerCommand
from turmericmast.region.commands import RegionCommand
from turmericmast.region.records import (
    Feed,
    FleetRecord,
    Placement,
    RegionSummary,
    Suspicion,
)
from turmericmast.replica.messages import Seat


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Renew:
    """An entry asks for its lease and for what changed."""

    instance: InstanceId
    incarnation: Incarnation
    epoch: Epoch
    domain: DomainId
    http: str
    known: Index
    in_force: Version


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The lease, and everything after the index the entry knew."""

    epoch: Epoch
    length_ms: int
    feed: Feed


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Watch:
    """An entry wants to hear as soon as anything after an index changes."""

    instance: InstanceId
    known: Index


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRegion:
    """A command for the control group."""

    command: RegionCommand
    in_force: bool
    """Whether to answer only when every entry has seen the change."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """The command was committed; what it made, where it made something."""

    placement: Placement | None = None
    suspicion: Suspicion | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ChangeLedger:
    """A command for the ledger group."""

    command: LedgerCommand


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Follow:
    """A region asks another one for news, and tells its own."""

    region: RegionId
    version: Version
    accepted: Version
    in_force: Version
    summary: RegionSummary


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Followed:
    """The answer: the summary, and the fleet document if it is newer."""

    summary: RegionSummary
    fleet: FleetRecord | None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A rule refuses the request; asking again changes nothing."""

    step: str
    message: str
    hint: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class NotNow:
    """The member asked cannot answer now: it does not lead, or lost touch."""

    leader: MemberId
    """The member to ask, empty when it is not known."""
    message: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The change was made against a version that is not in place."""

    step: str
    message: str
    hint: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ChangeCluster:
    """A command for the core group, handed to its leader."""

    command: ClusterCommand


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WatchCluster:
    """An edge tells that it runs, and asks what changed after an index."""

    edge: EdgeRecord
    known: Index


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WatchedCluster:
    """What changed, who the members are, and how fresh this member is."""

    feed: ClusterFeed
    seats: tuple[Seat, ...]
    contact_ms: int
    """Milliseconds since a quorum was known to stand behind this member."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Heard:
    """A member tells the leader whom it heard from since its last word."""

    targets: tuple[TargetId, ...]
    instances: tuple[InstanceId, ...]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AskIndex:
    """A member asks the leader up to where the log is committed."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TellIndex:
    """The answer, given only by a leader whose lease holds."""

    index: Index
