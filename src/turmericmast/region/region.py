"""The region aggregate: the state machine that a control group replicates."""

from typing import Any, final, get_args

from turmericmast.fleet.fleet import Fleet
from turmericmast.ids import Index, RegionId
from turmericmast.region.commands import RegionCommand
from turmericmast.region.fleethandler import FleetCommand, FleetHandler
from turmericmast.region.handler import Answer, CommandHandler
from turmericmast.region.ownership import OwnershipCommand, OwnershipHandler
from turmericmast.region.records import Feed, FleetRecord
from turmericmast.region.tables import TableCommand, TablesHandler
from turmericmast.region.view import RegionView


@final
class Region:
    """Applies commands in log order and builds feeds of what changed."""

    def __init__(
        self,
        region: RegionId,
        regions: frozenset[RegionId],
        ordering_region: RegionId,
    ) -> None:
        """Start empty.

        ``regions`` are all regions of the fleet; ``ordering_region`` is the
        one that orders changes of the fleet document.
        """
        self.ordering_region = ordering_region
        self.region = region
        self.regions = regions
        self.view = RegionView()
        self.ownership = OwnershipHandler(self.view, region)
        self.tables = TablesHandler(self.view)
        self.fleet_handler = FleetHandler(self.view, regions, ordering_region)
        self._handler_by_command: dict[type, CommandHandler[Any]] = {
            command: handler
            for handler, commands in (
                (self.ownership, OwnershipCommand),
                (self.tables, TableCommand),
                (self.fleet_handler, FleetCommand),
            )
            for command in get_args(commands)
        }

    @property
    def fleet(self) -> Fleet:
        """Return the aggregate of the fleet document."""
        return self.fleet_handler.fleet

    def apply(self, index: Index, command: RegionCommand) -> Answer:
        """Apply the command at a log index and return its result."""
        self.view.index = index
        return self._handler_by_command[type(command)].apply(command)

    def build_feed(self, since: Index) -> Feed:
        """Return the records that changed after the index ``since``.

        The feed is complete when ``since`` is 0 or older than the kept
        removals, and empty when nothing changed, which is the usual case.
        """
        if since == self.view.index:
            return Feed(since, complete=False)
        complete = since < self.ownership.last_pruned_index or since == 0
        after = 0 if complete else since
        has_tables = complete or self.tables.changed_index > after
        has_fleet = complete or self.fleet_handler.changed_index > after
        feed = self.view.build_feed(after, complete=complete, tables=has_tables)
        return feed.with_removals_and_fleet(
            tuple(
                removal
                for removal in self.ownership.removals
                if removal.changed > after
            ),
            self.fleet_record() if has_fleet else None,
        )

    def fleet_record(self) -> FleetRecord:
        """Return the current fleet document and the accepted version."""
        return self.fleet_handler.record()
