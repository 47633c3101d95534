"""Requests of entries and regions to control and ledger, and the answers."""

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
    """An entry renews its lease and requests all changes after an index."""

    instance: InstanceId
    incarnation: Incarnation
    epoch: Epoch
    domain: DomainId
    http: str
    """Address at which the entry takes HTTP requests."""
    known: Index
    """Index up to which the entry has all changes."""
    in_force: Version
    """Version of the fleet document that the entry has in force."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The lease, and all changes after the index that the entry knew."""

    epoch: Epoch
    length_ms: int
    """Milliseconds that the lease is valid."""
    feed: Feed


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Watch:
    """Long poll of an entry for changes after an index.

    It is answered at the next change, or after a time limit.
    """

    instance: InstanceId
    known: Index
    """Index up to which the entry has all changes."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRegion:
    """A command for the control group."""

    command: RegionCommand
    in_force: bool
    """Whether to delay the answer until every entry has a quarantine in force.

    Has no effect on commands that quarantine no request.
    """


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """The command was committed; the record that it created, if any."""

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
    """A region requests the state of another region and reports its own."""

    region: RegionId
    version: Version
    """Version of the fleet document that the region has."""
    accepted: Version
    """Newest version known to be in force in all regions."""
    in_force: Version
    """Version that every entry of the region has in force."""
    summary: RegionSummary


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Followed:
    """The other region's summary, and its fleet document if that is newer."""

    summary: RegionSummary
    fleet: FleetRecord | None
