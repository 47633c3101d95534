"""Commands that change a region's copy of the fleet document."""

import functools
from typing import TypeAlias, final

from turmericmast.fleet.fleet import Fleet, FleetVersion, Proposal
from turmericmast.ids import Index, RegionId
from turmericmast.region import commands
from turmericmast.region.handler import DONE, Answer, CommandHandler
from turmericmast.region.records import FleetRecord
from turmericmast.region.view import RegionView

FleetCommand: TypeAlias = (
    commands.ProposeFleet | commands.AdoptFleet | commands.ReportRegion
)


@final
class FleetHandler(CommandHandler[FleetCommand]):
    """Applies commands to the fleet aggregate; records when it changed."""

    def __init__(
        self,
        view: RegionView,
        regions: frozenset[RegionId],
        ordering_region: RegionId,
    ) -> None:
        """Start with an empty document.

        ``regions`` are all regions of the fleet; ``ordering_region`` is the
        one that orders changes of the document.
        """
        super().__init__(view)
        self.fleet = Fleet(ordering_region)
        self.changed_index = Index(0)
        """Log index of the last change of the document or its acceptance."""
        self._regions = regions

    def apply(self, command: FleetCommand) -> Answer:
        """Apply one command and return its result."""
        before = (self.fleet.current, self.fleet.accepted)
        answer = self._apply(command)
        if before != (self.fleet.current, self.fleet.accepted):
            self.changed_index = self.index
        return answer

    def record(self) -> FleetRecord:
        """Return the current document and the accepted version."""
        current = self.fleet.current
        return FleetRecord(
            current.version,
            current.digest,
            current.document,
            self.fleet.accepted,
        )

    @functools.singledispatchmethod
    def _apply(self, command: FleetCommand) -> Answer:
        raise TypeError(command)

    @_apply.register
    def _propose(self, command: commands.ProposeFleet) -> Answer:
        return self.fleet.propose(
            Proposal(
                command.change,
                command.base_version,
                command.base_digest,
                command.document,
            ),
            self.view.services(),
        )

    @_apply.register
    def _adopt(self, command: commands.AdoptFleet) -> Answer:
        self.fleet.adopt(
            FleetVersion(command.version, command.digest, command.document),
            command.accepted,
        )
        return DONE

    @_apply.register
    def _report(self, command: commands.ReportRegion) -> Answer:
        self.fleet.report_in_force(
            command.region,
            command.version,
            self._regions,
        )
        return DONE
