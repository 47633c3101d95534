"""What entries and regions ask of control and ledger, and its answers."""

import dataclasses
from typing import final

from turmericmast.ids import (
    DomainId,
    Epoch,
    Incarnation,
    Index,
    InstanceId,
    RegionId,
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
