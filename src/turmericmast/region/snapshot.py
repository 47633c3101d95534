"""The whole state of a region as one value, for snapshots of the log."""

import dataclasses
from typing import final

from turmericmast.fleet.fleet import FleetVersion
from turmericmast.ids import ChangeId, Index, RegionId, Version
from turmericmast.region.records import Feed, FleetRecord, Removal
from turmericmast.region.region import Region


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ChangeAnswer:
    """The answer that a change of the fleet document got."""

    change: ChangeId
    record: FleetRecord


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SeenChange:
    """A change of operators that was carried out."""

    change: ChangeId
    text: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RegionInForce:
    """The fleet version in force in a region."""

    region: RegionId
    version: Version


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RegionSnapshot:
    """Everything that ``Region`` keeps."""

    feed: Feed
    removals: tuple[Removal, ...]
    forgotten: Index
    tables_changed: Index
    fleet_changed: Index
    answers: tuple[ChangeAnswer, ...]
    seen: tuple[SeenChange, ...]
    in_force: tuple[RegionInForce, ...]
    change: ChangeId


def take_snapshot(region: Region) -> RegionSnapshot:
    """Return the state of a region."""
    fleet = region.fleet
    return RegionSnapshot(
        feed=region.feed(Index(0)),
        removals=tuple(region.owners.removals),
        forgotten=region.owners.forgotten,
        tables_changed=region.tables.changed,
        fleet_changed=region.book.changed,
        answers=tuple(
            ChangeAnswer(
                change,
                # The text is not needed to answer: the digest decides.
                FleetRecord(one.version, one.digest, '', fleet.accepted),
            )
            for change, one in fleet.version_by_change.items()
        ),
        seen=tuple(
            SeenChange(change, text)
            for change, text in region.tables.seen.text_by_change.items()
        ),
        in_force=tuple(
            RegionInForce(name, version)
            for name, version in fleet.in_force_by_region.items()
        ),
        change=fleet.current.change,
    )


def restore_region(snapshot: RegionSnapshot, like: Region) -> Region:
    """Return a region such as ``like`` with the state of the snapshot."""
    restored = Region(like.region, like.regions, like.ordering)
    restored.view.apply_feed(snapshot.feed)
    restored.owners.removals = list(snapshot.removals)
    restored.owners.forgotten = snapshot.forgotten
    restored.tables.changed = snapshot.tables_changed
    restored.book.changed = snapshot.fleet_changed
    restored.tables.seen.text_by_change.update(
        (one.change, one.text) for one in snapshot.seen
    )
    record = snapshot.feed.fleet
    if record:
        restored.fleet.restore(
            FleetVersion(
                record.version,
                record.digest,
                record.document,
                snapshot.change,
            ),
            record.accepted,
        )
    restored.fleet.version_by_change = {
        one.change: FleetVersion(
            one.record.version,
            one.record.digest,
            one.record.document,
            one.change,
        )
        for one in snapshot.answers
    }
    restored.fleet.in_force_by_region = {
        one.region: one.version for one in snapshot.in_force
    }
    return restored
