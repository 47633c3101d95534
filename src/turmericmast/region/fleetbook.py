"""The fleet document as a region has it."""

import functools
from typing import TypeAlias, final

from turmericmast.fleet.fleet import Fleet, FleetVersion, Proposal
from turmericmast.ids import Index, RegionId
from turmericmast.region import commands
from turmericmast.region.part import DONE, Answer, Part
from turmericmast.region.records import FleetRecord
from turmericmast.region.view import RegionView

FleetCommand: TypeAlias = (
    commands.ProposeFleet | commands.AdoptFleet | commands.ReportRegion
)


@final
class FleetBook(Part[FleetCommand]):
    """Applies commands to the fleet aggregate and notes what changed."""

    def __init__(
        self,
        view: RegionView,
        regions: frozenset[RegionId],
        ordering: RegionId,
    ) -> None:
        """Start with an empty document; ``regions`` are all of the fleet."""
        super().__init__(view)
        self.fleet = Fleet(ordering)
        self.changed = Index(0)
        self._regions = regions

    def apply(self, command: FleetCommand) -> Answer:
        """Apply one command."""
        before = (self.fleet.current, self.fleet.accepted)
        answer = self._apply(command)
        if before != (self.fleet.current, self.fleet.accepted):
            self.changed = self.index
        return answer

    def record(self) -> FleetRecord:
        """Return the fleet document with its standing."""
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
            command.region, command.version, self._regions
        )
        return DONE
