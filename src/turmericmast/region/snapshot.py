"""Conversion between a region and the snapshot of its replicated log."""

import dataclasses
from typing import final

from turmericmast.fleet.fleet import FleetVersion
from turmericmast.ids import ChangeId, Index, RegionId, Version
from turmericmast.region.records import Feed, FleetRecord, Removal
from turmericmast.region.region import Region


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ChangeAnswer:
    """The fleet version that a change made, without the document text.

    It answers operators who send the change again.
    """

    change: ChangeId
    record: FleetRecord


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SeenChange:
    """An operator change that was received, to recognise resends.

    ``text`` is the ``repr`` of the command, so the names of its class and
    fields are part of the stored data.
    """

    change: ChangeId
    text: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RegionInForce:
    """The newest fleet version reported to be in force in a region."""

    region: RegionId
    version: Version


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RegionSnapshot:
    """The state of a ``Region``."""

    feed: Feed
    """The complete feed: sessions, placements, tables and fleet document."""
    removals: tuple[Removal, ...]
    forgotten: Index
    """Log index up to which removals have been dropped."""
    tables_changed: Index
    """Log index of the last change of the tables."""
    fleet_changed: Index
    """Log index of the last change of the document or its acceptance."""
    answers: tuple[ChangeAnswer, ...]
    seen: tuple[SeenChange, ...]
    in_force: tuple[RegionInForce, ...]
    change: ChangeId
    """The change that made the current fleet version."""


def take_snapshot(region: Region) -> RegionSnapshot:
    """Return a snapshot of a region."""
    fleet = region.fleet
    return RegionSnapshot(
        feed=region.build_feed(Index(0)),
        removals=tuple(region.ownership.removals),
        forgotten=region.ownership.last_pruned_index,
        tables_changed=region.tables.changed_index,
        fleet_changed=region.fleet_handler.changed_index,
        answers=tuple(
            ChangeAnswer(
                change,
                # Resends are compared by digest, so the text is left out.
                FleetRecord(
                    fleet_version.version,
                    fleet_version.digest,
                    '',
                    fleet.accepted,
                ),
            )
            for change, fleet_version in fleet.version_by_change.items()
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


def restore_region(snapshot: RegionSnapshot, template: Region) -> Region:
    """Return a new region with the state of a snapshot.

    Its own name, the regions and the ordering region are those of
    ``template``; the snapshot does not hold them.
    """
    restored = Region(
        template.region,
        template.regions,
        template.ordering_region,
    )
    restored.view.apply_feed(snapshot.feed)
    restored.ownership.removals = list(snapshot.removals)
    restored.ownership.last_pruned_index = snapshot.forgotten
    restored.tables.changed_index = snapshot.tables_changed
    restored.fleet_handler.changed_index = snapshot.fleet_changed
    restored.tables.seen.text_by_change.update(
        (seen.change, seen.text) for seen in snapshot.seen
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
        answer.change: FleetVersion(
            answer.record.version,
            answer.record.digest,
            answer.record.document,
            answer.change,
        )
        for answer in snapshot.answers
    }
    restored.fleet.in_force_by_region = {
        in_force.region: in_force.version for in_force in snapshot.in_force
    }
    return restored
