"""The fleet aggregate: versions of the configuration, and their acceptance."""

import dataclasses
import enum
from typing import final

from returns.result import Failure, Result, Success

from turmericmast.exceptions import RefusedError, TurmericmastError
from turmericmast.fleet.document import (
    FleetDocument,
    digest_of,
    parse_document,
)
from turmericmast.ids import (
    ChangeId,
    Digest,
    RegionId,
    ServiceId,
    Version,
)

MAX_ANSWERS = 4096
"""Answers to changes that are kept for operators who send them again."""


@final
class ChangeState(enum.Enum):
    """How far a change has come; it never goes back."""

    pending = 'pending'
    accepted = 'accepted'


@final
@dataclasses.dataclass(frozen=True)
class Proposal:
    """A change of the document, made against one version of it."""

    change: ChangeId
    base_version: Version
    base_digest: Digest
    document: str


@final
@dataclasses.dataclass(frozen=True)
class FleetVersion:
    """One version of the document."""

    version: Version = Version(0)
    digest: Digest = digest_of('{}')
    document: str = '{}'
    change: ChangeId = ChangeId('')


@final
class Fleet:
    """Orders changes by compare-and-set; each change id counts once."""

    def __init__(self, default_region: RegionId) -> None:
        """Start with an empty document, version 0.

        ``default_region`` keeps keyed requests that no value places.
        """
        self.default_region = default_region
        self.current = FleetVersion()
        self.parsed = FleetDocument()
        self.accepted = Version(0)
        self.version_by_change: dict[ChangeId, FleetVersion] = {}
        self.in_force_by_region: dict[RegionId, Version] = {}

    def propose(
        self,
        proposal: Proposal,
        services: frozenset[ServiceId],
    ) -> Result[FleetVersion, TurmericmastError]:
        """Make the next version, or say which change came first.

        ``services`` are those with targets anywhere: their records must
        stay in the region where they are.
        """
        first = self.version_by_change.get(proposal.change)
        if first:
            return self._repeat(first, proposal)
        base = (proposal.base_version, proposal.base_digest)
        if base != (self.current.version, self.current.digest):
            return Failure(self._conflict(proposal))
        parsed = parse_document(proposal.document)
        if not isinstance(parsed, Success):
            return Failure(parsed.failure())
        return self._check_move(parsed.unwrap(), services).map(
            lambda document: self._install(proposal, document),
        )

    def adopt(self, version: FleetVersion, accepted: Version) -> bool:
        """Follow the group that orders changes; never go back."""
        self.accepted = max(self.accepted, accepted)
        if version.version <= self.current.version:
            return False
        self.restore(version, accepted)
        return True

    def restore(self, version: FleetVersion, accepted: Version) -> None:
        """Take a version as it is."""
        self.current = version
        self.accepted = max(self.accepted, accepted)
        self.parsed = parse_document(version.document).value_or(FleetDocument())

    def report_in_force(
        self,
        region: RegionId,
        version: Version,
        regions: frozenset[RegionId],
    ) -> bool:
        """Note what is in force in a region; tell whether one got accepted."""
        known = self.in_force_by_region.get(region, Version(0))
        self.in_force_by_region[region] = max(known, version)
        everywhere = min(
            self.in_force_by_region.get(one, Version(0)) for one in regions
        )
        is_news = everywhere > self.accepted
        self.accepted = max(self.accepted, everywhere)
        return is_news

    def state_of(self, version: Version) -> ChangeState:
        """Return how far a version has come."""
        is_accepted = version <= self.accepted
        return ChangeState.accepted if is_accepted else ChangeState.pending

    def waiting_for(
        self,
        version: Version,
        regions: frozenset[RegionId],
    ) -> tuple[RegionId, ...]:
        """Return the regions where the version is not in force yet."""
        return tuple(
            sorted(
                region
                for region in regions
                if self.in_force_by_region.get(region, 0) < version
            ),
        )

    def _repeat(
        self,
        first: FleetVersion,
        proposal: Proposal,
    ) -> Result[FleetVersion, TurmericmastError]:
        if first.digest == digest_of(proposal.document):
            return Success(first)
        return Failure(
            RefusedError(
                f'change {proposal.change} was used for another document',
                step='propose',
                hint='send this document under a new change id',
            ),
        )

    def _conflict(self, proposal: Proposal) -> RefusedError:
        current = self.current
        by = f'by change {current.change}' if current.change else 'at the start'
        return RefusedError(
            f'made against version {proposal.base_version}, but version '
            f'{current.version} ({current.digest}) was made {by}',
            step='propose',
            hint='get the document, make the change again and propose it',
        )

    def _check_move(
        self,
        document: FleetDocument,
        services: frozenset[ServiceId],
    ) -> Result[FleetDocument, TurmericmastError]:
        selectors = [
            dict(exception.selector)
            for exception in (*self.parsed.exceptions, *document.exceptions)
        ]
        subjects = (
            {'service': service, **selector}
            for service in sorted(services)
            for selector in ({}, *selectors)
            if selector.get('service', service) == service
        )
        moved = next(
            (one for one in subjects if self._moves(document, one)),
            None,
        )
        if moved is None:
            return Success(document)
        return Failure(
            RefusedError(
                f'keyed requests of {moved} would be kept in another region, '
                'and running ones could run twice',
                step='propose',
                hint='leave ledger_region and the first home region as they '
                'are, or change them while the service has no targets',
            ),
        )

    def _moves(self, document: FleetDocument, subject: dict[str, str]) -> bool:
        before, after = (
            one.values_for(subject).resolve_ledger_region(self.default_region)
            for one in (self.parsed, document)
        )
        return before != after

    def _install(
        self,
        proposal: Proposal,
        document: FleetDocument,
    ) -> FleetVersion:
        self.current = FleetVersion(
            Version(self.current.version + 1),
            digest_of(proposal.document),
            proposal.document,
            proposal.change,
        )
        self.parsed = document
        self.version_by_change[proposal.change] = self.current
        if len(self.version_by_change) > MAX_ANSWERS:
            self.version_by_change.pop(next(iter(self.version_by_change)))
        return self.current
