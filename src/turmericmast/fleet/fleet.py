"""The fleet aggregate: versions of the fleet document and their rollout."""

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
"""Changes whose versions are kept to answer operators who resend them."""


@final
class ChangeState(enum.Enum):
    """Whether a version is in force in every region; it never goes back."""

    pending = 'pending'
    accepted = 'accepted'


@final
@dataclasses.dataclass(frozen=True)
class Proposal:
    """A new document and the version that it was made from."""

    change: ChangeId
    base_version: Version
    base_digest: Digest
    document: str


@final
@dataclasses.dataclass(frozen=True)
class FleetVersion:
    """A version of the document and the change that made it."""

    version: Version = Version(0)
    digest: Digest = digest_of('{}')
    document: str = '{}'
    change: ChangeId = ChangeId('')


@final
class Fleet:
    """Orders changes by compare-and-set and tracks where they are in force.

    A change id is applied once, so that a change can be sent again.
    """

    def __init__(self, default_region: RegionId) -> None:
        """Start with an empty document, version 0.

        ``default_region`` keeps the records of keyed requests for which the
        document sets neither a home region nor a ledger region.
        """
        self.default_region = default_region
        self.current = FleetVersion()
        self.parsed = FleetDocument()
        """The current document, parsed."""
        self.accepted = Version(0)
        """The newest version known to be in force in every region."""
        self.version_by_change: dict[ChangeId, FleetVersion] = {}
        self.in_force_by_region: dict[RegionId, Version] = {}

    def propose(
        self,
        proposal: Proposal,
        services: frozenset[ServiceId],
    ) -> Result[FleetVersion, TurmericmastError]:
        """Make the next version, or fail if the base is not current.

        The failure names the change that made the current version. A resend
        gets the version that the change made. ``services`` are those with
        targets in any region: the region of their records must not change.
        """
        known = self.version_by_change.get(proposal.change)
        if known:
            return self._answer_resend(known, proposal)
        base = (proposal.base_version, proposal.base_digest)
        if base != (self.current.version, self.current.digest):
            return Failure(self._stale_base_error(proposal))
        parsed = parse_document(proposal.document)
        if not isinstance(parsed, Success):
            return Failure(parsed.failure())
        return self._check_ledger_regions(parsed.unwrap(), services).map(
            lambda document: self._install(proposal, document),
        )

    def adopt(self, version: FleetVersion, accepted: Version) -> bool:
        """Take a version from the ordering region if it is newer.

        Return whether the current version was replaced; neither it nor the
        accepted version ever goes back.
        """
        self.accepted = max(self.accepted, accepted)
        if version.version <= self.current.version:
            return False
        self.restore(version, accepted)
        return True

    def restore(self, version: FleetVersion, accepted: Version) -> None:
        """Replace the current version without checking that it is newer.

        A document that does not parse counts as an empty one.
        """
        self.current = version
        self.accepted = max(self.accepted, accepted)
        self.parsed = parse_document(version.document).value_or(FleetDocument())

    def report_in_force(
        self,
        region: RegionId,
        version: Version,
        regions: frozenset[RegionId],
    ) -> bool:
        """Record the version in force in a region.

        A version is accepted when it is in force in all ``regions``. Return
        whether this report made a newer version accepted.
        """
        known = self.in_force_by_region.get(region, Version(0))
        self.in_force_by_region[region] = max(known, version)
        in_force_everywhere = min(
            self.in_force_by_region.get(name, Version(0)) for name in regions
        )
        is_newly_accepted = in_force_everywhere > self.accepted
        self.accepted = max(self.accepted, in_force_everywhere)
        return is_newly_accepted

    def state_of(self, version: Version) -> ChangeState:
        """Return whether a version is accepted or still pending."""
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

    def _answer_resend(
        self,
        known: FleetVersion,
        proposal: Proposal,
    ) -> Result[FleetVersion, TurmericmastError]:
        if known.digest == digest_of(proposal.document):
            return Success(known)
        return Failure(
            RefusedError(
                f'change {proposal.change} was used for another document',
                step='propose',
                hint='send this document under a new change id',
            ),
        )

    def _stale_base_error(self, proposal: Proposal) -> RefusedError:
        current = self.current
        by = f'by change {current.change}' if current.change else 'at the start'
        return RefusedError(
            f'made against version {proposal.base_version}, but version '
            f'{current.version} ({current.digest}) was made {by}',
            step='propose',
            hint='get the document, make the change again and propose it',
        )

    def _check_ledger_regions(
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
            (
                subject
                for subject in subjects
                if self._changes_ledger_region(document, subject)
            ),
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

    def _changes_ledger_region(
        self,
        document: FleetDocument,
        subject: dict[str, str],
    ) -> bool:
        before, after = (
            parsed.values_for(subject).resolve_ledger_region(
                self.default_region,
            )
            for parsed in (self.parsed, document)
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
