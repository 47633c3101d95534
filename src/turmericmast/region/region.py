"""The region aggregate: the state machine of a region's control group."""

from typing import Any, final, get_args

from turmericmast.fleet.fleet import Fleet
from turmericmast.ids import Index, RegionId
from turmericmast.region.commands import RegionCommand
from turmericmast.region.fleetbook import FleetBook, FleetCommand
from turmericmast.region.owners import OwnerCommand, Owners
from turmericmast.region.part import Answer, Part
from turmericmast.region.records import Feed, FleetRecord
from turmericmast.region.tables import TableCommand, Tables
from turmericmast.region.view import RegionView


@final
class Region:
    """Applies commands in the order of the log and tells what changed."""

    def __init__(
        self,
        region: RegionId,
        regions: frozenset[RegionId],
        ordering: RegionId,
    ) -> None:
        """Start empty; ``regions`` are those of the whole fleet.

        ``ordering`` is the region that orders changes of the document.
        """
        self.ordering = ordering
        self.region = region
        self.regions = regions
        self.view = RegionView()
        self.owners = Owners(self.view, region)
        self.tables = Tables(self.view)
        self.book = FleetBook(self.view, regions, ordering)
        self._part_by_command: dict[type, Part[Any]] = {
            command: part
            for part, commands in (
                (self.owners, OwnerCommand),
                (self.tables, TableCommand),
                (self.book, FleetCommand),
            )
            for command in get_args(commands)
        }

    @property
    def fleet(self) -> Fleet:
        """Return the fleet aggregate."""
        return self.book.fleet

    def apply(self, index: Index, command: RegionCommand) -> Answer:
        """Apply one command."""
        self.view.index = index
        return self._part_by_command[type(command)].apply(command)

    def feed(self, since: Index) -> Feed:
        """Return what changed after ``since``; mostly that is nothing."""
        if since == self.view.index:
            return Feed(since, complete=False)
        complete = since < self.owners.forgotten or since == 0
        floor = 0 if complete else since
        has_tables = complete or self.tables.changed > floor
        has_fleet = complete or self.book.changed > floor
        feed = self.view.changes(floor, complete=complete, tables=has_tables)
        return feed.extended(
            tuple(one for one in self.owners.removals if one.changed > floor),
            self.fleet_record() if has_fleet else None,
        )

    def fleet_record(self) -> FleetRecord:
        """Return the fleet document with its standing."""
        return self.book.record()
